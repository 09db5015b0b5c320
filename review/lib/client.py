"""A client: one request on one connection, and what came back."""

import socket
import time


class Answer:
    """What a client saw of one request."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False
        self.error = ""
        self.took_s = 0.0

    @property
    def event_ids(self):
        return [int(line[4:]) for line in self.body.decode("latin-1").split("\n") if line.startswith("id: ")]

    def __str__(self):
        if not self.status:
            return f"no answer ({self.error}) after {self.took_s:.3f} s"
        end = "complete" if self.is_complete else f"not complete ({self.error})"
        return f"{self.status} {end}, {len(self.body)} bytes, after {self.took_s:.3f} s"


class Connection:
    """A kept connection to one router."""

    def __init__(self, address, timeout_s):
        host, _, port = address.rpartition(":")
        self.sock = socket.create_connection((host, int(port)), timeout=1.0)
        self.sock.settimeout(timeout_s)
        self.file = self.sock.makefile("rb")

    def close(self):
        for part in (self.file, self.sock):
            try:
                part.close()
            except OSError:
                pass


def head_of(method, path, request_id, *, host, key, deadline_ms=15000, extra=()):
    """Return the head of a request without the empty line at its end."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"Request-Id: {request_id}",
        f"Deadline-Milliseconds: {deadline_ms}",
        f"Authorization: Token {key}",
        *extra,
    ]
    return "\r\n".join(lines).encode() + b"\r\n"


def exchange(address, data, *, timeout_s=20.0, connection=None):
    """Send the bytes of one request and read its answer."""
    answer = Answer()
    began_at = time.monotonic()
    own = connection is None
    try:
        connection = connection or Connection(address, timeout_s)
        connection.sock.sendall(data)
        _read(connection.file, answer)
    except (OSError, ValueError) as error:
        answer.error = f"{type(error).__name__}: {error}"
    finally:
        answer.took_s = time.monotonic() - began_at
        if own and connection is not None:
            connection.close()
    return answer


def _read(file, answer):
    line = file.readline()
    if not line:
        raise ConnectionError("closed without an answer")
    answer.status = int(line.split()[1])
    while (line := file.readline()) not in (b"\r\n", b"\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        _read_chunks(file, answer)
    elif "content-length" in answer.headers:
        length = int(answer.headers["content-length"])
        answer.body = file.read(length)
        answer.is_complete = len(answer.body) == length
        answer.error = "" if answer.is_complete else "closed before the end"
    else:
        answer.body = file.read()
        answer.is_complete = True


def _read_chunks(file, answer):
    while True:
        line = file.readline()
        if not line.endswith(b"\n"):
            answer.error = "closed before the last chunk"
            return
        size = int(line.split(b";")[0], 16)
        if size == 0:
            while file.readline() not in (b"\r\n", b"\n", b""):
                pass
            answer.is_complete = True
            return
        data = file.read(size)
        answer.body += data
        if len(data) < size or not file.readline():
            answer.error = "closed inside a chunk"
            return
