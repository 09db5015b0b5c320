"""State of one engine as its scheduler sees it: the grants made there, corrected by the engine's load reports."""

import math
from collections import deque

from wagtailtrestle.capacity.grants import Grant
from wagtailtrestle.engines.model import EngineModel
from wagtailtrestle.engines.notices import LEAVING_NOTICE_TTL_S, is_earlier_start
from wagtailtrestle.engines.prefix_cache import PrefixCacheIndex
from wagtailtrestle.engines.rate_limit import RateLimit
from wagtailtrestle.engines.rejection_limit import RejectionLimit

ENDED_GRANTS_RETENTION_S = 10.0
"""Retention of ended grants; a load report that arrives late may still count their runs."""

PHANTOM_RETENTION_S = 5.0
"""Time after which phantom load is dropped unless a newer report confirms it."""

DELAY_FACTOR = 1.0
"""Assumed delay of a run, in seconds, for each second of another run's prefill."""

CACHE_TOKENS = 262_144
"""Assumed size of an engine's prefix cache; its cache events correct the contents."""


class EngineState:
    """One engine of the cell, as seen by the scheduler and its policy.

    Parameters
    ----------
    declared : DeclaredEngine
    clock : callable
        Returns the loop's time in seconds.

    Attributes
    ----------
    limit : int
        Concurrency that saturates the engine; lower while its health is in doubt, 0 while it is unreachable, reserved
        or draining, or awaits its entry.
    phantom : int
        Runs that the engine reported and that match no grant known to this scheduler.
    health_share : float
        Share of its concurrency limit that its health allows.
    start_ms : int
        Start of the engine that this state describes, where engines report it; see ``DeclaredEngine``.
    version : str
        Version of the software it runs, by its entry.
    reserved : bool
        Whether a rollout has reserved the engine: only requests chosen by the rollout are sent there.
    rate_limit : RateLimit
        Requests per second that it accepts from all routers together, if its answers state a limit.
    rejection_limit : RejectionLimit
        Requests per second that it can reject without falling over, if its answers state such a limit.
    kept_for : str or None
        Request that must run alone on the engine; until it has started, nothing else is granted there.
    free_slots : int
        Free slots; 0 while a suspected poison request runs there, since its crash would end the runs beside it. Updated
        on every change and not computed on access, since the scheduler reads it for all engines on each message.
    """

    __slots__ = (
        "name",
        "model",
        "cache",
        "slots",
        "zone",
        "hardware",
        "grants_by_request_id",
        "limit",
        "phantom",
        "health_share",
        "free_slots",
        "rate_limit",
        "rejection_limit",
        "_kept_for",
        "start_ms",
        "version",
        "_version_is_known",
        "reserved",
        "_alone_runs",
        "_declared_leaving",
        "_marked_leaving",
        "_leaving_notice_at",
        "_back_off_until_by_entry",
        "_unreachable",
        "_reports_valid_from",
        "_clock",
        "_ended_grants",
        "_report",
        "_report_at",
        "_unstarted_tokens",
        "_prefill_until",
        "_slacks",
    )

    def __init__(self, *, declared, clock):
        self.name = declared.name
        self.model = EngineModel(
            slots=declared.slots,
            step_s=declared.step_ms / 1000.0,
            prefill_tokens_per_s=declared.prefill_tokens_per_s,
        )
        self.cache = PrefixCacheIndex(capacity_tokens=CACHE_TOKENS)
        self.slots = declared.slots
        self.zone = declared.zone
        self.hardware = declared.hardware
        self.grants_by_request_id = {}
        self.limit = 0
        self.phantom = 0
        self.health_share = 1.0
        self.free_slots = 0
        self.rate_limit = RateLimit(clock=clock)
        self.rejection_limit = RejectionLimit(clock=clock)
        self._kept_for = None
        self.start_ms = declared.start_ms
        self.version = declared.version
        self._version_is_known = True
        self.reserved = False
        self._alone_runs = 0
        self._declared_leaving = declared.leaving
        self._marked_leaving = False
        self._leaving_notice_at = -math.inf
        self._back_off_until_by_entry = {}
        self._unreachable = False
        self._reports_valid_from = -math.inf
        self._clock = clock
        self._ended_grants = deque()
        self._report = None
        self._report_at = -math.inf
        self._unstarted_tokens = 0
        self._prefill_until = clock()
        self._slacks = []
        self._refresh_limit()

    @property
    def running(self):
        """Estimated number of runs on the engine: the grants and the phantom load."""
        return len(self.grants_by_request_id) + self.phantom

    @property
    def is_full(self):
        """Whether it holds as many runs as saturate it."""
        return self.running >= self.model.concurrency_limit()

    @property
    def pending_prefill_tokens(self):
        """Prompt tokens that the engine has still to prefill for its grants."""
        left_s = max(0.0, self._prefill_until - self._clock())
        if not left_s or not self._unstarted_tokens:
            return 0
        return min(self._unstarted_tokens, int(left_s / self.model.prefill_s(1)))

    @property
    def reported_running(self):
        """Running and waiting runs in the last load report."""
        return self._report.running + self._report.waiting if self._report else 0

    @property
    def report_age_s(self):
        """Age of the last load report; infinite before the first."""
        return self._clock() - self._report_at

    @property
    def reported(self):
        """Whether the last load report is no older than the last call of :meth:`invalidate_reports`, if any."""
        return self._report_at >= self._reports_valid_from

    @property
    def leaving(self):
        """Whether the engine is draining according to the declaration, the platform's list, a report or a notice."""
        reported = self._report is not None and self._report.leaving
        noticed = self._clock() - self._leaving_notice_at < LEAVING_NOTICE_TTL_S
        return self._declared_leaving or self._marked_leaving or reported or noticed

    @property
    def kept_for(self):
        """Request that must run alone on the engine, or ``None``."""
        return self._kept_for

    @kept_for.setter
    def kept_for(self, request_id):
        self._kept_for = request_id
        self._update_free_slots()

    @property
    def runs_alone(self):
        """Whether a request that must run alone is on the engine."""
        return self._alone_runs > 0

    @property
    def available(self):
        """Whether the policy may choose the engine."""
        return self.free_slots > 0

    def apply_declaration(self, declared):
        """Apply a newer declaration of the engine."""
        self._declared_leaving = declared.leaving
        self.version = declared.version
        if declared.start_ms == self.start_ms:
            self._version_is_known = True
        self._refresh_limit()

    def mark_leaving(self, leaving):
        """Set whether the platform's list or a peer reports the engine as leaving."""
        self._marked_leaving = leaving
        self._refresh_limit()

    def set_reserved(self, reserved):
        """Reserve the engine for requests chosen by a rollout, or end the reservation."""
        self.reserved = reserved
        self._refresh_limit()

    @property
    def is_unreachable(self):
        """Whether it did not answer the last request for its load report."""
        return self._unreachable

    @property
    def awaits_entry(self):
        """Whether it restarted and its version is not known until its entry shows the same start."""
        return not self._version_is_known

    def await_entry(self):
        """Grant nothing on the engine until an entry of its present start tells its version."""
        self._version_is_known = False
        self._refresh_limit()

    @property
    def free_rollout_slots(self):
        """Free slots for requests that a rollout sends here."""
        if self.awaits_entry or self.leaving or self._unreachable or self._kept_for is not None or self._alone_runs > 0:
            return 0
        return self._cap_by_limits(self.model.concurrency_limit() - self.running)

    @property
    def within_rate_limit(self):
        """Whether the limits that the engine states allow one more request now."""
        return self._cap_by_limits(1) > 0

    def apply_notice(self, notice):
        """Apply a notice that the engine sent in the head of an answer."""
        if is_earlier_start(notice.start_ms, self.start_ms):
            return
        if notice.rest_s:
            until = self._clock() + notice.rest_s
            self._back_off_until_by_entry[notice.entry] = max(
                until, self._back_off_until_by_entry.get(notice.entry, until)
            )
        if notice.limits_rejections or not notice.rest_s:
            self.rejection_limit.observe(notice.max_rejections_per_s, age_s=notice.age_s)
        if notice.leaving:
            self._leaving_notice_at = max(self._leaving_notice_at, self._clock() - notice.age_s)
            self._refresh_limit()
            return
        if notice.rest_s and not notice.has_rate_limit:
            # Entries repeat back-off notices in registrations, so one without a limit doesn't show that a limit ended.
            return
        was_limited = self.rate_limit.in_force
        self.rate_limit.observe(notice.limit_per_s, age_s=notice.age_s)
        if self.rate_limit.in_force and not was_limited:
            # The recent grants may already exceed the new limit, so they count towards its window.
            for grant in self.grants_by_request_id.values():
                self.rate_limit.record_earlier_request(grant.granted_at)
        self._update_free_slots()

    @property
    def backs_off(self):
        """Whether it asked any entry to back off."""
        return bool(self._back_off_until_by_entry)

    def rest_s(self, entry):
        """Time left of the back-off that it asked of an entry; 0 without one."""
        if not self._back_off_until_by_entry:
            return 0.0
        return max(0.0, self._back_off_until_by_entry.get(entry, 0.0) - self._clock())

    def mark_unreachable(self):
        """Grant nothing on the engine until its next load report."""
        self._unreachable = True
        self._refresh_limit()

    def add(self, grant: Grant):
        """Add a grant that is made now."""
        self.rate_limit.record_request()
        self.rejection_limit.record_grant()
        self._add_run(grant)

    def _add_run(self, grant):
        self.grants_by_request_id[grant.request_id] = grant
        self._alone_runs += grant.request.alone
        if not grant.started:
            self._unstarted_tokens += grant.prefill_tokens
            prefill_s = self.model.prefill_s(grant.prefill_tokens)
            self._prefill_until = max(self._clock(), self._prefill_until) + prefill_s
            self._slacks = [(tier, slack_s - prefill_s) for tier, slack_s in self._slacks if slack_s > prefill_s]
        self._update_free_slots()

    def add_registered(self, grant: Grant):
        """Add a run that an entry registered; if the last report counted it as a phantom, remove one phantom."""
        if grant.granted_at <= self._report_at:
            self.phantom = max(0, self.phantom - 1)
        self.rate_limit.record_earlier_request(grant.granted_at)
        self._add_run(grant)

    def start(self, grant: Grant):
        """Record that the grant's run produced its first token."""
        if not grant.started:
            grant.started = True
            self._unstarted_tokens -= grant.prefill_tokens

    def end(self, grant: Grant):
        """Release the grant's slot."""
        if self.grants_by_request_id.pop(grant.request_id, None) is None:
            return
        self._alone_runs -= grant.request.alone
        self._ended_grants.append((self._clock(), grant.granted_at))
        if not grant.started:
            self._unstarted_tokens -= grant.prefill_tokens
            self._prefill_until -= self.model.prefill_s(grant.prefill_tokens)
        self._update_free_slots()

    def record_rejection(self):
        """Record that the engine rejected a run, whose grant has ended."""
        self.rejection_limit.record_rejection(running=self.running)
        self._update_free_slots()

    def invalidate_reports(self):
        """Treat earlier reports as out of date: this process may have been paused."""
        self._reports_valid_from = self._clock()

    def apply_report(self, report):
        """Correct the estimated load by a load report, which describes a past moment.

        The report is compared with the grants that were running at its time. Compared with
        the present grants, every run that ended since would count as load, and its slot
        would stay empty until the next report.

        Returns
        -------
        list of Grant
            Orphaned grants whose runs the report shows to have ended.
        """
        report_at = self._clock() - report.age_s
        if report_at < self._report_at:
            return []
        self._report = report
        self._report_at = report_at
        self._unreachable = False
        self._refresh_limit()
        if report.step_s and report.running:
            self.model.observe_report(step_s=report.step_s, running=report.running)
        unexplained = report.running + report.waiting - self._accounted_runs_at(report_at)
        orphans = [grant for grant in self.grants_by_request_id.values() if _is_orphan_at(grant, report_at)]
        ended = orphans[: max(0, len(orphans) - max(0, unexplained))]
        self.phantom = max(0, unexplained - len(orphans))
        self._update_free_slots()
        return ended

    def tick(self, *, health_share):
        """Refresh the cached limit and slacks, and remove expired back-offs, phantom load and ended grants."""
        self.health_share = health_share
        if self.report_age_s > PHANTOM_RETENTION_S:
            self.phantom = 0
        self._refresh_limit()
        self._expire_back_offs()
        horizon = self._clock() - ENDED_GRANTS_RETENTION_S
        while self._ended_grants and self._ended_grants[0][0] < horizon:
            self._ended_grants.popleft()
        running = self.running
        self._slacks.clear()
        for grant in self.grants_by_request_id.values():
            grant.sample_concurrency(running)
            slack_s = self._slack_s(grant, running)
            if slack_s > 0.0:
                self._slacks.append((grant.request.tier, slack_s))

    def _expire_back_offs(self):
        now = self._clock()
        for entry in [entry for entry, until in self._back_off_until_by_entry.items() if until <= now]:
            del self._back_off_until_by_entry[entry]

    def would_delay(self, *, prefill_s, tier):
        """Whether a prefill this long would make a run of this tier or a higher one miss its deadline.

        While the engine prefills, every run on it slows down. Runs that are already late
        and runs of lower tiers don't count. The slacks are those of the last tick.
        """
        return any(slack_s < DELAY_FACTOR * prefill_s for other, slack_s in self._slacks if other <= tier)

    def remaining_s(self, grant: Grant):
        """Predicted seconds until the grant's run completes."""
        return self._remaining_s(grant, self.model.token_interval_s(self.running))

    def _slack_s(self, grant, running):
        # A run that would be late at the expected token interval may still be in time if no
        # further prompt is prefilled beside it: its slack is then computed from clean steps.
        left_s = grant.deadline - self._clock()
        slack_s = left_s - self._remaining_s(grant, self.model.token_interval_s(running))
        return slack_s if slack_s > 0.0 else left_s - self._remaining_s(grant, self.model.step_s(running))

    def _remaining_s(self, grant, step_s):
        since_progress_s = self._clock() - grant.progress_at
        decode_s = grant.remaining_tokens * step_s
        if not grant.started:
            decode_s += self.model.prefill_s(grant.prefill_tokens)
        return max(step_s, decode_s - since_progress_s)

    def dump(self):
        """Plain data for the state dump."""
        return {
            "running": len(self.grants_by_request_id),
            "phantom": self.phantom,
            "kept_for": self.kept_for,
            "limit": self.limit,
            "rate_limit": self.rate_limit.dump(),
            "rejection_limit": self.rejection_limit.dump(),
            "rest_s_by_entry": {entry: round(self.rest_s(entry), 3) for entry in self._back_off_until_by_entry},
            "pending_prefill_tokens": self.pending_prefill_tokens,
            "reported_running": self.reported_running,
            "report_age_s": round(self.report_age_s, 3) if self._report else None,
            "leaving": self.leaving,
            "unreachable": self._unreachable,
            "awaits_entry": self.awaits_entry,
            "health_share": self.health_share,
            "model": self.model.dump(),
        }

    def _refresh_limit(self):
        usable = not self.leaving and not self._unreachable and not self.reserved and self._version_is_known
        self.limit = math.ceil(self.model.concurrency_limit() * self.health_share) if usable else 0
        self._update_free_slots()

    def _update_free_slots(self):
        serves_one_request = self._kept_for is not None or self._alone_runs > 0
        self.free_slots = 0 if serves_one_request else self._cap_by_limits(self.limit - self.running)

    def _cap_by_limits(self, places):
        for available in (self.rate_limit.available_requests(), self.rejection_limit.available(self.running)):
            if available is not None:
                places = min(places, available)
        return max(0, int(places))

    def _accounted_runs_at(self, at):
        """Runs of live entries that were on the engine at that time, by the grants recorded here."""
        known = sum(
            1 for grant in self.grants_by_request_id.values() if grant.granted_at <= at and not _is_orphan_at(grant, at)
        )
        return known + sum(1 for ended_at, granted_at in self._ended_grants if granted_at <= at < ended_at)


def _is_orphan_at(grant, at):
    return grant.orphaned_at is not None and grant.orphaned_at <= at
