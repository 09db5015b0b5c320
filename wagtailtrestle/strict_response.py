"""HTTP responses that are read strictly: what can't be understood in a head or in its framing is an error.

The standard library drops what it can't understand. The framing of the body then falls back to "until the connection
ends", and a body with the framing in it, or a part of one, passes for a complete body. The rules are those of RFC
9112 (2.2, 5, 6.1, 6.3 and 7.1) for an intermediary.
"""

import http.client
import re

MAX_LINE_BYTES = 65_536
MAX_HEAD_BYTES = 262_144
"""Limit on the head, with those of interim responses before it."""
MAX_FIELDS = 100
MAX_LENGTH_DIGITS = 18
VISIBLE = rb"[\t\x20-\x7e\x80-\xff]*"
STATUS_LINE = re.compile(rb"HTTP/1\.([0-9]) ([1-9][0-9]{2})(?: (" + VISIBLE + rb"))?\r?\n")
FIELD_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+)[\t ]*:(" + VISIBLE + rb")\r?\n")
FOLDED_LINE = re.compile(rb"[\t ](" + VISIBLE + rb")\r?\n")
LENGTH = re.compile(r"[0-9]+")
CHUNK_SIZE_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})[\t ]*(?:;" + VISIBLE + rb")?\r?\n?")
BLANK_LINES = (b"\r\n", b"\n")
BLANKS = " \t"
LINE_END = b"\r\n"
SWITCHING_PROTOCOLS = 101
FIRST_FINAL_STATUS = 200
NO_BODY_STATUSES = frozenset({204, 304})


class InvalidResponse(http.client.HTTPException):
    """The head of a response, or the framing of its body, can't be understood."""


class StrictResponse(http.client.HTTPResponse):
    """Reads a response whose head must be complete and valid.

    Whitespace between a field's name and its colon is removed and folded lines are joined, as the RFC has a proxy do.
    After :meth:`begin` the headers hold at most one ``Content-Length``, a decimal number.
    """

    def begin(self):
        """Read the head of the final response; interim ones are skipped.

        Raises
        ------
        InvalidResponse
        http.client.RemoteDisconnected
            If the connection ends before the head does.
        """
        if self.headers is not None:
            return
        self._head_bytes_left = MAX_HEAD_BYTES
        while True:
            version, status, reason = parse_status_line(self._read_line())
            fields = self._read_fields()
            if status == SWITCHING_PROTOCOLS:
                raise InvalidResponse("the protocol was switched without a request for it")
            if status >= FIRST_FINAL_STATUS:
                break
        self.code = self.status = status
        self.reason = reason
        self.version = 10 if version == 0 else 11
        self._set_framing(fields)
        self.headers = self.msg = http.client.HTTPMessage()
        for name, value in fields:
            self.headers[name] = value
        self.will_close = self._ends_connection()

    def _read_line(self):
        line = self.fp.readline(min(MAX_LINE_BYTES, self._head_bytes_left) + 1)
        self._head_bytes_left -= len(line)
        if self._head_bytes_left < 0 or len(line) > MAX_LINE_BYTES:
            raise InvalidResponse("the head is too long")
        if not line.endswith(b"\n"):
            raise http.client.RemoteDisconnected("the connection ended within the head of the response")
        return line

    def _read_fields(self):
        fields = []
        while (line := self._read_line()) not in BLANK_LINES:
            if line[:1] in (b" ", b"\t"):
                _join_folded_line(fields, line)
                continue
            match = FIELD_LINE.fullmatch(line)
            if match is None:
                raise InvalidResponse(f"not a field line: {line[:80]!r}")
            if len(fields) == MAX_FIELDS:
                raise InvalidResponse(f"the head has more than {MAX_FIELDS} fields")
            name, value = match.groups()
            fields.append((name.decode("ascii"), value.decode("latin-1").strip(BLANKS)))
        return fields

    def _set_framing(self, fields):
        self.chunked, self.chunk_left, self.length = False, None, None
        if self._method == "HEAD" or self.status in NO_BODY_STATUSES:
            self.length = 0
            return
        if any(name.lower() == "transfer-encoding" for name, _ in fields):
            self._check_coding(_list_of(fields, "transfer-encoding"))
            self.chunked = True
            # The coding overrides a length, which must not be passed on.
            _replace_length(fields, None)
            return
        lengths = [value for name, value in fields if name.lower() == "content-length"]
        if lengths:
            self.length = parse_length(lengths)
            _replace_length(fields, self.length)

    def _check_coding(self, codings):
        if self.version == 10:
            raise InvalidResponse("a transfer coding in a response of HTTP/1.0")
        if [coding.lower() for coding in codings] != ["chunked"]:
            raise InvalidResponse(f"unknown transfer coding: {', '.join(codings)[:80]!r}")

    def _ends_connection(self):
        if self.length is None and not self.chunked:
            return True
        options = {option.lower() for option in _list_of(self.headers.items(), "connection")}
        return "close" in options or (self.version == 10 and "keep-alive" not in options)

    # Chunks: these override methods of the base class, which takes signs, prefixes and underscores for a part of a
    # size, and skips whatever stands in place of the line end behind a chunk.

    def _read_next_chunk_size(self):
        line = self.fp.readline(MAX_LINE_BYTES + 1)
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(b"")
        return parse_chunk_size(line)

    def _get_chunk_left(self):
        if self.chunk_left == 0 and self._safe_read(len(LINE_END)) != LINE_END:
            raise InvalidResponse("a chunk doesn't end where its size says")
        if not self.chunk_left:
            self.chunk_left = self._read_next_chunk_size()
            if not self.chunk_left:
                self._read_and_discard_trailer()
                self._close_conn()
                self.chunk_left = None
        return self.chunk_left


def parse_status_line(line):
    """Return minor version, status and reason.

    Raises
    ------
    InvalidResponse
    """
    match = STATUS_LINE.fullmatch(line)
    if match is None:
        raise InvalidResponse(f"not a status line: {line[:80]!r}")
    minor, status, reason = match.groups()
    return int(minor), int(status), (reason or b"").decode("latin-1").strip(BLANKS)


def parse_length(values) -> int:
    """Return the length that all values of ``Content-Length``, each a number or a list of them, agree on.

    Raises
    ------
    InvalidResponse
    """
    numbers = {number.strip(BLANKS) for value in values for number in value.split(",")}
    if not all(LENGTH.fullmatch(number) and len(number) <= MAX_LENGTH_DIGITS for number in numbers):
        raise InvalidResponse(f"not a length: {', '.join(values)[:80]!r}")
    lengths = {int(number) for number in numbers}
    if len(lengths) != 1:
        raise InvalidResponse(f"several lengths: {', '.join(values)[:80]!r}")
    return lengths.pop()


def parse_chunk_size(line) -> int:
    """Return the size in a chunk's first line, with or without its line end; extensions are ignored.

    Raises
    ------
    InvalidResponse
    """
    match = CHUNK_SIZE_LINE.fullmatch(line)
    if match is None:
        raise InvalidResponse(f"not a chunk size: {line[:80]!r}")
    return int(match[1], 16)


def _join_folded_line(fields, line):
    match = FOLDED_LINE.fullmatch(line)
    if match is None or not fields:
        raise InvalidResponse(f"not a field line: {line[:80]!r}")
    name, value = fields[-1]
    fields[-1] = (name, f"{value} {match[1].decode('latin-1').strip(BLANKS)}".strip(BLANKS))


def _list_of(fields, name):
    """Return the elements of a field whose value is a list, over all its lines; empty ones don't count."""
    values = [value for other, value in fields if other.lower() == name]
    return [element for value in values for part in value.split(",") if (element := part.strip(BLANKS))]


def _replace_length(fields, length):
    fields[:] = [(name, value) for name, value in fields if name.lower() != "content-length"]
    if length is not None:
        fields.append(("Content-Length", str(length)))
