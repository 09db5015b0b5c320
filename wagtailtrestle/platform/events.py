"""Splits a byte stream into complete events and checks that their ids are consecutive."""

from wagtailtrestle.record import record

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_PARTIAL_BYTES = 1_048_576
"""Limit on an unfinished event, so that a stream without event ends can't exhaust the memory."""
MAX_ID_DIGITS = 18
"""A longer number is no id: Python refuses to read one of thousands of digits."""


@record
class Events:
    """Complete events, as the bytes that the engine sent."""

    data: bytes
    count: int


@record
class EventFault:
    """Reason why a stream is corrupt."""

    detail: str


class EventSplitter:
    """Buffers incomplete events and drops events that were received before.

    An engine may stop in the middle of an event. If the fragment were forwarded, it would merge with
    the first event of the engine that resumes the stream, and the caller could parse neither.

    Parameters
    ----------
    after_id : int or None
        Id of the last event received before this run.

    Attributes
    ----------
    last_id : int or None
    """

    __slots__ = ("last_id", "_partial")

    def __init__(self, *, after_id):
        self.last_id = after_id
        self._partial = b""

    @property
    def partial_bytes(self):
        """Bytes buffered of an incomplete event."""
        return len(self._partial)

    @property
    def has_partial_event(self):
        """Whether part of an event is buffered."""
        return bool(self._partial.strip())

    def feed(self, data):
        """Process bytes; return the new complete ``Events``, or an ``EventFault``."""
        if self._partial:
            data = self._partial + data
        pieces = data.split(EVENT_END)
        self._partial = pieces.pop()
        if len(self._partial) > MAX_PARTIAL_BYTES:
            return EventFault(detail="an event does not end")
        kept = []
        for piece in pieces:
            number = _event_id(piece)
            if number is None:
                kept.append(piece)
                continue
            if self.last_id is not None and number <= self.last_id:
                continue
            if self.last_id is not None and number != self.last_id + 1:
                return EventFault(detail=f"gap: event {number} follows event {self.last_id}")
            self.last_id = number
            kept.append(piece)
        if not kept:
            return Events(data=b"", count=0)
        if len(kept) == len(pieces) and not self._partial:
            return Events(data=data, count=len(kept))
        return Events(data=EVENT_END.join(kept) + EVENT_END, count=len(kept))


def _event_id(piece):
    # Usually the first line: the others are then not looked at.
    lines = [piece.partition(b"\n")[0]] if piece.startswith(ID_FIELD) else piece.split(b"\n")
    for line in lines:
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
    return None
