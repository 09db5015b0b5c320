"""Decoder of HTTP's chunked transfer coding; does no I/O."""

from urllib3.exceptions import ProtocolError

from wagtailtrestle.strict_response import InvalidResponse, parse_chunk_size

LINE_FEED = b"\n"
CARRIAGE_RETURN = b"\r"
LINE_END = b"\r\n"
LINE_END_BYTES = len(LINE_END)
MAX_LINE_BYTES = 65536
"""Limit on the length of a chunk's size line and of a trailer line, so that no line can exhaust the memory."""


class ChunkedDecoder:
    """Extracts the data of the chunks in each piece that is read from a connection.

    urllib3 returns one chunk per call and reads its size, its data and its line end separately from a buffered
    file: about 25 calls for a chunk of one event. Here one read of the socket gives all chunks that it
    contains, in one piece.

    Attributes
    ----------
    has_last_chunk : bool
        Whether the last chunk was received, which shows that the body is complete.
    is_complete : bool
        Whether the trailer after the last chunk was received too.
    """

    __slots__ = ("has_last_chunk", "is_complete", "_buffer", "_chunk_left")

    def __init__(self):
        self.has_last_chunk = False
        self.is_complete = False
        self._buffer = b""
        self._chunk_left = 0

    def feed(self, data) -> bytes:
        """Return the chunks' data contained in newly read bytes, which is empty if no chunk has data in them.

        Raises
        ------
        ProtocolError
            If the bytes are not chunked coding.
        """
        if self._buffer:
            data = self._buffer + data
            self._buffer = b""
        elif not self._chunk_left and not self.has_last_chunk:
            # The usual case, a piece that consists of one complete chunk.
            line, _, rest = data.partition(LINE_FEED)
            if rest[-LINE_END_BYTES:] == LINE_END and self._size(line) == len(rest) - LINE_END_BYTES > 0:
                return rest[:-LINE_END_BYTES]
        parts = []
        at = 0
        while at < len(data) and not self.is_complete:
            if self._chunk_left:
                # The line end after a chunk counts as part of it, and is left out of its data.
                taken = data[at : at + self._chunk_left]
                at += len(taken)
                parts.append(self._without_line_end(taken))
                self._chunk_left -= len(taken)
                continue
            line_end = data.find(LINE_FEED, at)
            if line_end < 0:
                self._buffer = data[at:]
                if len(self._buffer) > MAX_LINE_BYTES:
                    raise ProtocolError("Response line of the chunked coding exceeded maximum allowed length")
                break
            self._read_line(data[at:line_end])
            at = line_end + 1
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _read_line(self, line):
        if self.has_last_chunk:
            self.is_complete = not line.rstrip(CARRIAGE_RETURN)
            return
        size = self._size(line)
        if size:
            self._chunk_left = size + LINE_END_BYTES
        else:
            self.has_last_chunk = True

    def _without_line_end(self, taken):
        """Return the data in the next bytes of a chunk, whose line end they may hold in part."""
        data_left = max(0, self._chunk_left - LINE_END_BYTES)
        line_end_start = LINE_END_BYTES - (self._chunk_left - data_left)
        found = taken[data_left:]
        if found != LINE_END[line_end_start : line_end_start + len(found)]:
            raise ProtocolError("Response chunk does not end where its size says")
        return taken[:data_left]

    @staticmethod
    def _size(line):
        try:
            return parse_chunk_size(line)
        except InvalidResponse as error:
            raise ProtocolError(str(error)) from error
