"""Whole events of a stream, cut from its bytes and checked to follow one another."""

from wagtailtrestle.record import record

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_PARTIAL_BYTES = 1_048_576
"""A stream that never ends an event must not fill the router's memory."""


@record
class Events:
    """Whole events, as the bytes that the engine sent."""

    data: bytes
    count: int


@record
class EventFault:
    """Why a stream can't be what its engine meant to send."""

    detail: str


class EventSplitter:
    """Keeps back what is not a whole event yet, and drops events that were had before.

    An engine may stop in the middle of an event. Passed on as it came, the torn piece would run
    into the first event of the engine that goes on, and the caller would read neither.

    Parameters
    ----------
    after_id : int or None
        Id of the last event that was had before this run.

    Attributes
    ----------
    last_id : int or None
    """

    __slots__ = ("last_id", "_partial")

    def __init__(self, *, after_id):
        self.last_id = after_id
        self._partial = b""

    @property
    def has_partial_event(self):
        """Whether a part of an event is kept back."""
        return bool(self._partial.strip())

    def feed(self, data):
        """Take bytes; return the whole ``Events`` that are new, or an ``EventFault``."""
        pieces = (self._partial + data).split(EVENT_END)
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
        return Events(data=EVENT_END.join(kept) + EVENT_END, count=len(kept))


def _event_id(piece):
    for line in piece.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
