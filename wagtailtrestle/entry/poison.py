"""Detection of poison requests: those that crash the engines that run them.

A request is identified by its fingerprint, the SHA-256 of its caller and its body's digest, so that
it is recognised when its caller resends it through another router, and not taken for another
caller's. Each crash of an engine is an incident; every request that ran there is a suspect, and one
of them is to blame. The blame for an incident is split equally among the suspects that were in the
most incidents: an innocent request that was lost beside the poison request once or twice is cleared
as soon as the poison request crashes an engine without it. Suspects of two crashes run alone, which
speeds that up.
"""

import hashlib
import itertools
import secrets
from collections import Counter, OrderedDict

from wagtailtrestle.record import record

CRASH_LIMIT = 3
"""Blame at which a fingerprint is refused: the number of crashes that it alone explains."""

MIN_CRASHES_TO_ISOLATE = 2
"""Crashes after which a suspect runs alone on its engine.

After one crash every request that ran there is a suspect, nearly all of them innocent, and the engine
may have failed by itself. They run as before, and most are cleared by their own answers.
"""

MAX_EARLY_CLEARANCES = 1024
"""Maximum number of crashes without a report here for which clearances are kept."""

MAX_INCIDENTS = 256
"""Crashes remembered; the oldest are dropped first."""

CRASH_WINDOW_S = 600.0
"""Time for which a crash counts against the requests that ran there."""

SAME_CRASH_WINDOW_S = 5.0
"""Reports on one engine within this time, by any router, are of the same crash."""

MIN_CUTS_FOR_CRASH = 2
"""Runs of one engine cut within ``CUT_WINDOW_S`` that are taken for a crash rather than a broken connection."""

CUT_WINDOW_S = 0.5

RESTART_WINDOW_S = 5.0
"""A lost run or a refused connection within this time after a cut shows that the engine went down."""

REPORTED_DOWN_WINDOW_S = 10.0
"""The same for a report that the engine is down: a silent engine leaves the list only after some heartbeats."""


def fingerprint_of(identity: str) -> str:
    """Identifier of a request by which crashes are counted; it reveals neither its caller nor its body."""
    return hashlib.sha256(identity.encode()).hexdigest()


@record
class CrashReport:
    """One router's report of a crash, sent to all other routers.

    Parameters
    ----------
    incident : str
        Globally unique; merging the same incident twice has no effect.
    suspects : tuple of str
        Fingerprints of the requests that the reporting router ran on the engine.
    age_s : float
        Time since the crash.
    parts : tuple of str
        Parts of the prompts that the reporting router ran on the engine and that had not begun.
    """

    engine: str
    incident: str
    suspects: tuple
    age_s: float = 0.0
    parts: tuple = ()


@record
class CrashClearance:
    """One router's message that a request ran to completion, so that it caused none of these crashes.

    Parameters
    ----------
    incidents : tuple of str
        Only these incidents: a late copy of this message does not clear the request of later crashes.
    is_part : bool
        Whether ``fingerprint`` is a part of prompts on which a stream began.
    """

    fingerprint: str
    incidents: tuple
    is_part: bool = False


class _Incident:
    """One crash: its engine and time, the suspects named by each report, and those cleared since."""

    __slots__ = ("engine", "at", "suspects_by_report", "cleared")

    def __init__(self, *, engine, at):
        self.engine = engine
        self.at = at
        self.suspects_by_report = {}
        self.cleared = set()

    @property
    def suspects(self):
        """Every request that ran there and was not cleared since."""
        return set().union(*self.suspects_by_report.values()) - self.cleared


class CrashTable:
    """Crashes of engines and the requests that are to blame for them.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    limit : int
        Blame at which a request is refused.
    window_s : float
        Time for which a crash counts.
    reporter : str
        Name of this router, part of its incidents' ids.
    """

    __slots__ = (
        "_clock",
        "_limit",
        "_window_s",
        "_reporter",
        "_count",
        "_incidents",
        "_causes",
        "_blame_by_fingerprint",
        "_crashes_by_fingerprint",
        "_early_clearances_by_incident",
    )

    def __init__(self, *, clock, limit=CRASH_LIMIT, window_s=CRASH_WINDOW_S, reporter=""):
        self._clock = clock
        self._limit = limit
        self._window_s = window_s
        self._reporter = f"{reporter}/{secrets.token_hex(4)}"
        self._count = 0
        self._incidents = []
        self._causes = []
        self._blame_by_fingerprint = {}
        self._crashes_by_fingerprint = {}
        self._early_clearances_by_incident = OrderedDict()

    def record_crash(self, engine, running_fingerprints, *, parts=(), age_s=0.0) -> CrashReport:
        """Record a crash seen by this router.

        Parameters
        ----------
        engine : str
        running_fingerprints : iterable of str
            Fingerprints of the requests that this router ran there.
        parts : iterable of str
            See :class:`CrashReport`.
        age_s : float
            Time since the crash.
        """
        self._count += 1
        report = CrashReport(
            engine=engine,
            incident=f"{self._reporter}/{self._count}",
            suspects=tuple(sorted(running_fingerprints)),
            age_s=age_s,
            parts=tuple(parts),
        )
        self.merge(report)
        return report

    def merge(self, report: CrashReport):
        """Apply a crash report of any router; applying it again has no effect."""
        self._drop_expired()
        incident = self._find_or_add_incident(report)
        reported = incident.suspects_by_report.setdefault(report.incident, set())
        reported.update(report.suspects)
        incident.cleared |= self._early_clearances_by_incident.pop(report.incident, set())
        self._assign_blame()

    def record_success(self, fingerprint) -> CrashClearance | None:
        """Clear a request that ran to completion: it does not crash engines.

        Returns
        -------
        CrashClearance or None
            The message for the other routers, if there was anything to clear.
        """
        if fingerprint not in self._blame_by_fingerprint:
            return None
        suspected = [incident for incident in self._incidents if fingerprint in incident.suspects]
        incidents = tuple(sorted(name for incident in suspected for name in incident.suspects_by_report))
        clearance = CrashClearance(fingerprint=fingerprint, incidents=incidents)
        self.merge_clearance(clearance)
        return clearance

    def merge_clearance(self, clearance: CrashClearance):
        """Apply a clearance of any router; applying it again has no effect."""
        self._drop_expired()
        unknown = set(clearance.incidents)
        for incident in self._incidents:
            if unknown & incident.suspects_by_report.keys():
                incident.cleared.add(clearance.fingerprint)
                unknown -= incident.suspects_by_report.keys()
        for name in unknown:
            # A clearance may overtake the report of its crash, which takes another path through the
            # routers. If it were dropped, an innocent request would stay a suspect on this router only.
            self._early_clearances_by_incident.setdefault(name, set()).add(clearance.fingerprint)
        while len(self._early_clearances_by_incident) > MAX_EARLY_CLEARANCES:
            self._early_clearances_by_incident.popitem(last=False)
        self._assign_blame()

    def is_suspect(self, fingerprint) -> bool:
        """Whether a request is a suspect of some crash and not blocked."""
        self._drop_expired()
        return fingerprint in self._blame_by_fingerprint and not self.is_blocked(fingerprint)

    def must_run_alone(self, fingerprint) -> bool:
        """Whether a request shares the blame for several crashes, so that it must run alone on its engine."""
        if not self.is_suspect(fingerprint):
            return False
        blamed = self._blame_by_fingerprint[fingerprint] > 0.0
        return blamed and self._crashes_by_fingerprint[fingerprint] >= MIN_CRASHES_TO_ISOLATE

    def is_blocked(self, fingerprint) -> bool:
        """Whether a request's blame has reached the limit, so that no engine may run it."""
        self._drop_expired()
        return self._blame_by_fingerprint.get(fingerprint, 0.0) >= self._limit

    def crash_count(self, fingerprint) -> int:
        """Number of crashes of which a request is a suspect."""
        self._drop_expired()
        return self._crashes_by_fingerprint.get(fingerprint, 0)

    def reports(self):
        """Reports of all known crashes, for a router that starts or was partitioned."""
        now = self._clock()
        return tuple(
            CrashReport(
                engine=incident.engine,
                incident=incident_id,
                suspects=tuple(sorted(suspects - incident.cleared)),
                age_s=now - incident.at,
            )
            for incident in self._incidents
            for incident_id, suspects in incident.suspects_by_report.items()
        )

    def dump(self):
        """Return a plain view for the state dump."""
        return {"incidents": len(self._incidents), "blame": dict(self._blame_by_fingerprint)}

    def _find_or_add_incident(self, report):
        at = self._clock() - report.age_s
        for incident in self._incidents:
            if report.incident in incident.suspects_by_report:
                return incident
        for incident in self._incidents:
            # Each router reports a crash separately, and once for each of its runs and attach
            # attempts that fail. Counted separately, a single crash would look like several and
            # block a request that ran once.
            if incident.engine == report.engine and abs(incident.at - at) <= SAME_CRASH_WINDOW_S:
                return incident
        incident = _Incident(engine=report.engine, at=at)
        self._incidents.append(incident)
        del self._incidents[:-MAX_INCIDENTS]
        return incident

    def _assign_blame(self):
        suspects_by_incident = [incident.suspects for incident in self._incidents]
        counts = Counter(itertools.chain.from_iterable(suspects_by_incident))
        blame = dict.fromkeys(counts, 0.0)
        self._causes = []
        for incident, suspects in zip(self._incidents, suspects_by_incident, strict=True):
            max_count = max((counts[fingerprint] for fingerprint in suspects), default=0)
            cause = frozenset(fingerprint for fingerprint in suspects if counts[fingerprint] == max_count)
            self._causes.append((incident.at, cause))
            for fingerprint in cause:
                blame[fingerprint] += 1.0 / len(cause)
        self._blame_by_fingerprint = blame
        self._crashes_by_fingerprint = counts

    def _drop_expired(self):
        horizon = self._clock() - self._window_s
        kept = [incident for incident in self._incidents if incident.at >= horizon]
        if len(kept) != len(self._incidents):
            self._incidents = kept
            self._assign_blame()


class CrashDetector:
    """Distinguishes an engine's crash from a broken connection by the runs of one router.

    Parameters
    ----------
    clock : callable
    """

    __slots__ = ("_clock", "_cuts_by_engine")

    def __init__(self, *, clock):
        self._clock = clock
        self._cuts_by_engine = {}

    def on_cut(self, engine, fingerprint):
        """Record a run that ended without its complete answer.

        Returns
        -------
        set of str
            Fingerprints to report as one crash; empty if the cause may be a broken connection.
        """
        self._record_cut(engine, fingerprint)
        recent = self._recent_cuts(engine, CUT_WINDOW_S)
        # Cuts on several engines at once come from this router's links. If one of the engines crashed nevertheless, it
        # refuses connections or leaves the list.
        if len(recent) < MIN_CUTS_FOR_CRASH or self._any_cut_elsewhere(engine):
            return set()
        return self._confirm_crash(engine, recent)

    def on_engine_down(self, engine, fingerprint=None, *, within_s=RESTART_WINDOW_S):
        """Record that the engine does not know a run or refuses connections.

        After a cut this shows that the engine went down; without one it says nothing
        about the requests that ran there. Returns the same as :meth:`on_cut`.
        """
        if fingerprint is not None:
            self._record_cut(engine, fingerprint)
        return self._confirm_crash(engine, self._recent_cuts(engine, within_s))

    def _record_cut(self, engine, fingerprint):
        recent = self._recent_cuts(engine, REPORTED_DOWN_WINDOW_S)
        cuts = self._cuts_by_engine.get(engine, {})
        kept = {name: at for name, at in cuts.items() if name in recent}
        self._cuts_by_engine[engine] = kept | {fingerprint: self._clock()}

    def _recent_cuts(self, engine, window_s):
        horizon = self._clock() - window_s
        return {name for name, at in self._cuts_by_engine.get(engine, {}).items() if at >= horizon}

    def _any_cut_elsewhere(self, engine):
        return any(self._recent_cuts(other, CUT_WINDOW_S) for other in self._cuts_by_engine if other != engine)

    def _confirm_crash(self, engine, suspects):
        if suspects:
            self._cuts_by_engine.pop(engine, None)
        return suspects
