"""HTTP response whose head must be complete."""

import http.client
import io


class RawResponse(http.client.HTTPResponse):
    """Reads an answer; an answer whose connection ends within the head is an error.

    The base class takes the end of the connection for the end of the head. Without the header lines that were cut
    off, such an answer would have no length, and its body would be complete and empty.
    """

    def __init__(self, sock, **options):
        super().__init__(sock, **options)
        self.fp = self._lines = _LineReader(self.fp.detach())

    def begin(self):
        """Read the head.

        Raises
        ------
        http.client.RemoteDisconnected
            If the connection ends before the head does.
        """
        super().begin()
        if self._lines.is_at_end:
            raise http.client.RemoteDisconnected("the connection ended within the head of the answer")


class _LineReader(io.BufferedReader):
    """Tells whether the connection ended while a line was read."""

    is_at_end = False

    def readline(self, size=-1, /):
        line = super().readline(size)
        self.is_at_end = not line
        return line
