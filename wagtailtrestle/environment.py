"""The explicit surroundings of a program, so that tests can swap each of them."""

import os
import sys
import time
import uuid


class Environment:
    """What a program takes from and gives to the outside.

    Parameters
    ----------
    program : str
        Name under which it was called.
    stdin, stdout, stderr : file object
    environ : mapping of str to str
    open_store : callable
        ``open_store(url)`` returns an ``ObjectStore`` that is not started yet.
    fetch_json : callable
        ``fetch_json(url)`` returns what a JSON answer holds, or a text that says what went wrong.
    unix_time : callable
        Returns Unix seconds; only recorded, never compared.
    new_id : callable
        Returns a text that is unique for ever.
    """

    __slots__ = ("program", "stdin", "stdout", "stderr", "environ", "open_store", "fetch_json", "unix_time", "new_id")

    def __init__(
        self,
        *,
        program,
        stdin,
        stdout,
        stderr,
        environ,
        open_store,
        fetch_json,
        unix_time=time.time,
        new_id=lambda: uuid.uuid4().hex,
    ):
        self.program = program
        self.stdin = stdin
        self.stdout = stdout
        self.stderr = stderr
        self.environ = environ
        self.open_store = open_store
        self.fetch_json = fetch_json
        self.unix_time = unix_time
        self.new_id = new_id

    @classmethod
    def of_process(cls, *, program):
        """Return the real surroundings of this process."""
        return cls(
            program=program,
            stdin=sys.stdin,
            stdout=sys.stdout,
            stderr=sys.stderr,
            environ=os.environ,
            open_store=_open_http_store,
            fetch_json=_fetch_json,
        )

    def print_result(self, text):
        """Print a result for the person or script that called."""
        print(text, file=self.stdout)

    def print_error(self, text):
        """Print what went wrong."""
        print(text, file=self.stderr)


# Imported late: `check` needs no HTTP, and is run by every commit hook.


def _open_http_store(url):
    from wagtailtrestle.store.object_store_http import HttpObjectStore

    return HttpObjectStore(url=url)


def _fetch_json(url):
    from wagtailtrestle.configuration.status_report import fetch_json

    return fetch_json(url)
