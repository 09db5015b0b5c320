"""Replays traces of resumed streams against the real :class:`EventSplitter`."""

import itertools

from wagtailtrestle.platform.events import EVENT_END, EventFault, EventSplitter
from wagtailtrestle.spec.resumption import ENGINES

TORN = b"id: 9\ndata: a pie"


def event_bytes(number):
    """Encode one complete event."""
    return f"id: {number}\ndata: piece {number}".encode() + EVENT_END


class ResumptionReplay:
    """Replays one trace as a stream with runs on several engines.

    Attributes
    ----------
    passed : bytes
        Data that the caller has received.
    faults : int
        Number of runs that were ended because of a gap.
    dropped : int
        Number of events dropped because the caller already had them.
    """

    def __init__(self, *, trace):
        self.passed = b""
        self.faults = 0
        self.dropped = 0
        self._trace = trace
        self._active = None
        self._splitter = None
        self._in_transit = dict.fromkeys(ENGINES, b"")

    def run(self):
        """Follow the trace."""
        for before, step in itertools.pairwise(self._trace.steps):
            engine = step.parameters.get("engine")
            match step.verb:
                case "resume" | "run_from_first":
                    self._begin(engine)
                case "send":
                    number = int(before.state[f"next[{engine}]"].removeprefix("c"))
                    self._in_transit[engine] = event_bytes(number)
                case "break_off_torn":
                    self._in_transit[engine] = TORN
                case "abandon" | "take_cut" | "take_end":
                    self._active = None
                case "take" | "drop" | "take_again" | "take_beyond" | "refuse_gap" | "take_torn":
                    self._arrive(engine)

    def numbers(self):
        """Return the numbers of the events passed on, with ``None`` for an incomplete event."""
        pieces = self.passed.split(EVENT_END)
        known = {event_bytes(number).removesuffix(EVENT_END): number for number in range(1, 10)}
        return [known.get(piece) for piece in pieces if piece]

    def _begin(self, engine):
        had = self.numbers()
        self._active = engine
        self._in_transit[engine] = b""
        self._splitter = EventSplitter(after_id=had[-1] if had else None)

    def _arrive(self, engine):
        data, self._in_transit[engine] = self._in_transit[engine], b""
        # Each run has its own connection, which is closed and no longer read once the run is abandoned.
        if engine != self._active:
            return
        got = self._splitter.feed(data)
        if isinstance(got, EventFault):
            self.faults += 1
            self._active = None
            return
        self.dropped += not got.count and data != TORN
        self.passed += got.data
