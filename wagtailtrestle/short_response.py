"""HTTP responses of which only so many bytes are read, within one time limit for the whole response."""

import http.client
import io
import time

from wagtailtrestle.strict_response import StrictResponse


class ResponseTooLong(http.client.HTTPException):
    """The response has more bytes than allowed."""


class ShortResponse(StrictResponse):
    """Limits the bytes and the time of a response, its head included.

    A socket's timeout applies to each read: a peer that never ends its response could occupy a thread forever, and
    all memory.

    Parameters
    ----------
    sock : socket.socket
        Its timeout, plus ``margin_s``, limits the time from now to the end of the response.
    max_bytes : int
    margin_s : float

    Raises
    ------
    ResponseTooLong
        When more bytes are read, or announced by a length.
    TimeoutError
        When a byte is read after the time limit.
    """

    def __init__(self, sock, *, max_bytes, margin_s=0.0, **options):
        super().__init__(sock, **options)
        raw = _LimitedSocket(raw=self.fp.detach(), sock=sock, max_bytes=max_bytes, margin_s=margin_s)
        self.fp = _LimitedReader(raw=raw, max_bytes=max_bytes)


class _LimitedSocket(io.RawIOBase):
    """Reads a socket until a number of bytes or a point in time is reached."""

    def __init__(self, *, raw, sock, max_bytes, margin_s):
        super().__init__()
        self._raw = raw
        self._sock = sock
        self._left_bytes = max_bytes
        timeout_s = sock.gettimeout()
        self._ends_at = None if timeout_s is None else time.monotonic() + timeout_s + margin_s

    def readable(self):
        return True

    def readinto(self, buffer):
        self._limit_wait()
        count = self._raw.readinto(buffer)
        self._left_bytes -= count or 0
        if self._left_bytes < 0:
            raise ResponseTooLong("more bytes than allowed")
        return count

    def close(self):
        self._raw.close()
        super().close()

    def _limit_wait(self):
        if self._ends_at is None:
            return
        left_s = self._ends_at - time.monotonic()
        if left_s <= 0:
            raise TimeoutError("the response did not end in time")
        self._sock.settimeout(left_s)


class _LimitedReader(io.BufferedReader):
    """Refuses reads of more bytes than allowed before the buffer for them is created."""

    def __init__(self, *, raw, max_bytes):
        super().__init__(raw)
        self._max_bytes = max_bytes

    def read(self, size=-1, /):
        if size is not None and size > self._max_bytes + 1:
            raise ResponseTooLong(f"a length of {size} bytes is announced")
        return super().read(size)


def limit_responses(connection, *, max_bytes, margin_s=0.0):
    """Limit all responses of an ``http.client`` connection; see :class:`ShortResponse`."""
    connection.response_class = lambda sock, **options: ShortResponse(
        sock, max_bytes=max_bytes, margin_s=margin_s, **options
    )


def read_body(response, *, max_bytes) -> bytes:
    """Read the decoded body of a ``urllib3`` response that isn't preloaded.

    Raises
    ------
    ResponseTooLong
        If it is longer than ``max_bytes``, also once decompressed.
    """
    body = response.read(max_bytes + 1)
    if len(body) > max_bytes:
        response.close()
        raise ResponseTooLong("the decoded body is too long")
    response.release_conn()
    return body
