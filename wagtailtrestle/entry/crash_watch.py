"""Detects engine crashes from the ends of runs and shares them with all routers."""

from wagtailtrestle.contracts.outcomes import RunCut, RunDone, RunLost, RunNotSent
from wagtailtrestle.entry.poison import REPORTED_DOWN_WINDOW_S, fingerprint_of


class CrashWatch:
    """Turns the outcomes of runs into crash reports and clearances.

    Parameters
    ----------
    table : CrashTable
    detector : CrashDetector
    broadcast : Callable
        Sends a ``CrashReport`` or ``CrashClearance`` to every other router.
    """

    __slots__ = ("_table", "_detector", "_broadcast")

    def __init__(self, *, table, detector, broadcast):
        self._table = table
        self._detector = detector
        self._broadcast = broadcast

    def is_blocked(self, body_digest):
        """Whether a request with this body must not run again."""
        return self._table.is_blocked(fingerprint_of(body_digest))

    def must_run_alone(self, body_digest):
        """Whether a request with this body must run alone on its engine."""
        return self._table.must_run_alone(fingerprint_of(body_digest))

    def crash_count(self, body_digest):
        """Number of crashes of which a request with this body is a suspect."""
        return self._table.crash_count(fingerprint_of(body_digest))

    def record_run_end(self, *, engine, body_digest, outcome, was_sent):
        """Process the end of a run or of an attempt to attach to it.

        Parameters
        ----------
        was_sent : bool
            Whether some byte of the request had reached the engine before.
        """
        fingerprint = fingerprint_of(body_digest)
        match outcome:
            case RunDone():
                self._clear(fingerprint)
            case RunCut():
                self._report(engine, self._detector.on_cut(engine, fingerprint))
            case RunLost():
                self._report(engine, self._detector.on_engine_down(engine, fingerprint))
            case RunNotSent():
                self._report(engine, self._detector.on_engine_down(engine, fingerprint if was_sent else None))

    def record_engine_down(self, engine):
        """Process a report of the scheduler or the engines' list that an engine went down."""
        self._report(engine, self._detector.on_engine_down(engine, within_s=REPORTED_DOWN_WINDOW_S))

    def merge(self, report):
        """Apply another router's report."""
        self._table.merge(report)

    def merge_clearance(self, clearance):
        """Apply another router's clearance."""
        self._table.merge_clearance(clearance)

    def reports(self):
        """Reports of all known crashes, for a router that starts."""
        return self._table.reports()

    def dump(self):
        """Plain data for the state dump."""
        return self._table.dump()

    def _clear(self, fingerprint):
        clearance = self._table.record_success(fingerprint)
        if clearance is not None:
            self._broadcast(clearance)

    def _report(self, engine, suspects):
        if suspects:
            self._broadcast(self._table.record_crash(engine, suspects))
