"""Detects engine crashes from the ends of runs and shares them with all routers."""

import dataclasses
import random

from loguru import logger

from wagtailtrestle.contracts.outcomes import RunCut, RunDone, RunLost, RunNotSent
from wagtailtrestle.entry.poison import REPORTED_DOWN_WINDOW_S, fingerprint_of

MIN_CLEARANCE_DELAY_S, MAX_CLEARANCE_DELAY_S = 0.1, 1.0
"""Delays of a part's clearance. Most prompts share parts, so after a crash streams begin on them at all routers
at once; the first clearance that arrives makes the others unnecessary."""

MAX_REPORTED_PARTS = 256
LOGGED_DIGITS = 12
"""Digits of a fingerprint in a log line."""
MAX_LOGGED_SUSPECTS = 8


class _Cut:
    """A run cut on an engine: the parts of its prompt that are suspects, and when it was cut."""

    __slots__ = ("parts", "at")

    def __init__(self, *, parts, at):
        self.parts = parts
        self.at = at


class CrashWatch:
    """Turns the outcomes of runs into crash reports and clearances.

    Parameters
    ----------
    table : CrashTable
    detector : CrashDetector
    broadcast : Callable
        Sends a ``CrashReport`` or ``CrashClearance`` to every other router.
    parts : PartTable, optional
        Where prompts name their parts.
    clock : callable, optional
        Returns the loop's time in seconds; required with ``parts``.
    jitter : random.Random, optional
    """

    __slots__ = (
        "_table",
        "_detector",
        "_broadcast",
        "_parts",
        "_clock",
        "_jitter",
        "_cuts_by_engine",
        "_clearances_by_due_time",
    )

    def __init__(self, *, table, detector, broadcast, parts=None, clock=None, jitter=None):
        self._table = table
        self._detector = detector
        self._broadcast = broadcast
        self._parts = parts
        self._clock = clock
        self._jitter = jitter or random.Random()
        self._cuts_by_engine = {}
        self._clearances_by_due_time = {}

    def is_blocked(self, identity):
        """Whether a request with this identity must not run again; see :attr:`CallerRequest.identity`."""
        return self._table.is_blocked(fingerprint_of(identity))

    def blocked_parts(self, parts):
        """Return the parts, among these of a prompt, for which it must not run."""
        return () if self._parts is None else self._parts.blocked(parts)

    def must_run_alone(self, identity, parts=()):
        """Whether a request with this identity and these parts of its prompt must run alone on its engine."""
        if self._table.must_run_alone(fingerprint_of(identity)):
            return True
        return bool(parts) and self._parts is not None and self._parts.on_probation(parts)

    def crash_count(self, identity):
        """Number of crashes of which a request with this identity is a suspect."""
        return self._table.crash_count(fingerprint_of(identity))

    def record_began(self, parts):
        """Process the begin of a stream on a prompt with these parts."""
        if not parts or self._parts is None:
            return
        for clearance in self._parts.record_began(parts):
            delay_s = self._jitter.uniform(MIN_CLEARANCE_DELAY_S, MAX_CLEARANCE_DELAY_S)
            self._clearances_by_due_time[self._clock() + delay_s] = dataclasses.replace(clearance, is_part=True)

    def record_run_end(self, *, engine, identity, outcome, was_sent, parts=()):
        """Process the end of a run or of an attempt to attach to it.

        Parameters
        ----------
        was_sent : bool
            Whether some byte of the request had reached the engine before.
        parts : tuple of str
            Parts of the prompt that the engine may have crashed on; none if the stream had begun.
        """
        fingerprint = fingerprint_of(identity)
        match outcome:
            case RunDone():
                self._clear(fingerprint)
                self.record_began(parts)
            case RunCut():
                self._record_cut(engine, fingerprint, parts)
                self._report(engine, self._detector.on_cut(engine, fingerprint))
            case RunLost():
                self._record_cut(engine, fingerprint, parts)
                self._report(engine, self._detector.on_engine_down(engine, fingerprint))
            case RunNotSent():
                self._report(engine, self._detector.on_engine_down(engine, fingerprint if was_sent else None))

    def record_engine_down(self, engine):
        """Process a report of the scheduler or the engines' list that an engine went down or started again."""
        self._report(engine, self._detector.on_engine_down(engine, within_s=REPORTED_DOWN_WINDOW_S))

    def tick(self):
        """Send the clearances that are due; called several times a second."""
        if not self._clearances_by_due_time:
            return
        now = self._clock()
        for due in [due for due in self._clearances_by_due_time if due <= now]:
            self._broadcast(self._clearances_by_due_time.pop(due))

    def merge(self, report):
        """Apply another router's report."""
        self._table.merge(report)
        self._merge_parts(report)

    def merge_clearance(self, clearance):
        """Apply another router's clearance."""
        if not clearance.is_part:
            self._table.merge_clearance(clearance)
        elif self._parts is not None:
            self._parts.merge_clearance(clearance)
            self._drop_clearances_like(clearance)

    def reports(self):
        """Reports of all known crashes, for a router that starts."""
        reports = self._table.reports()
        if self._parts is None:
            return reports
        parts_by_incident = {report.incident: report.suspects for report in self._parts.reports()}
        return tuple(
            dataclasses.replace(report, parts=parts_by_incident.get(report.incident, ())) for report in reports
        )

    def dump(self):
        """Plain data for the state dump."""
        return self._table.dump() | {"parts": None if self._parts is None else self._parts.dump()}

    def _clear(self, fingerprint):
        clearance = self._table.record_success(fingerprint)
        if clearance is not None:
            logger.bind(fingerprint=fingerprint[:LOGGED_DIGITS], crashes=len(clearance.incidents)).info(
                "a suspect of engine crashes ran to completion and was cleared"
            )
            self._broadcast(clearance)

    def _record_cut(self, engine, fingerprint, parts):
        if self._parts is None:
            return
        now = self._clock()
        horizon = now - REPORTED_DOWN_WINDOW_S
        for name, cuts in list(self._cuts_by_engine.items()):
            recent = {other: cut for other, cut in cuts.items() if cut.at >= horizon}
            if recent:
                self._cuts_by_engine[name] = recent
            else:
                del self._cuts_by_engine[name]
        self._cuts_by_engine.setdefault(engine, {})[fingerprint] = _Cut(parts=parts, at=now)

    def _report(self, engine, suspects):
        if not suspects:
            return
        cuts = self._cuts_by_engine.pop(engine, {})
        cuts = [cuts[fingerprint] for fingerprint in suspects if fingerprint in cuts]
        parts = sorted({part for cut in cuts for part in cut.parts})[:MAX_REPORTED_PARTS]
        age_s = self._clock() - min(cut.at for cut in cuts) if cuts else 0.0
        report = self._table.record_crash(engine, suspects, parts=parts, age_s=age_s)
        self._merge_parts(report)
        logger.bind(
            engine=engine,
            suspects=len(suspects),
            fingerprints=[fingerprint[:LOGGED_DIGITS] for fingerprint in sorted(suspects)[:MAX_LOGGED_SUSPECTS]],
            parts=len(parts),
            age_s=round(age_s, 3),
        ).warning("an engine crashed")
        self._broadcast(report)

    def _merge_parts(self, report):
        if self._parts is not None and report.parts:
            self._parts.merge(dataclasses.replace(report, suspects=report.parts, parts=()))

    def _drop_clearances_like(self, clearance):
        for due, pending in list(self._clearances_by_due_time.items()):
            if pending.fingerprint == clearance.fingerprint and set(pending.incidents) & set(clearance.incidents):
                del self._clearances_by_due_time[due]
