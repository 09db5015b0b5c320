"""Dependencies of a program on its surroundings, passed explicitly so that tests can replace them."""

import os
import sys
import time
import uuid


class Environment:
    """Streams, environment variables, clients and clock of a program.

    Parameters
    ----------
    program : str
        Name under which the program was called.
    stdin, stdout, stderr : file object
    environ : mapping of str to str
    open_store : callable
        ``open_store(url)`` returns an ``ObjectStore`` that is not started yet.
    fetch_json : callable
        ``fetch_json(url)`` returns the decoded JSON body, or a str that describes the error.
    unix_time : callable
        Returns Unix seconds; the values are recorded but never compared.
    new_id : callable
        Returns a globally unique str.
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
        """Return the environment of the running process."""
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
        """Print a result to standard output."""
        print(text, file=self.stdout)

    def print_error(self, text):
        """Print an error message to standard error."""
        print(text, file=self.stderr)


# Imported inside the functions because `check`, which every commit hook runs, needs no HTTP.


def _open_http_store(url):
    from wagtailtrestle.store.object_store_http import HttpObjectStore

    return HttpObjectStore(url=url)


def _fetch_json(url):
    from wagtailtrestle.configuration.status_report import fetch_json

    return fetch_json(url)
