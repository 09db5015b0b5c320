"""What a steward knows of one engine: its grants exactly, its own reports as a correction."""

import math
from collections import deque

from wagtailtrestle.engine_model import EngineModel
from wagtailtrestle.grants import Grant
from wagtailtrestle.prefix_cache import PrefixCacheIndex

FINISHES_KEPT_S = 10.0
"""How long ended grants are remembered to be set against late load reports."""

PHANTOM_KEPT_S = 5.0
"""How long load that only a report showed is believed without a newer report."""

CACHE_BLOCKS = 4096
"""Prefix blocks an engine is assumed to hold until its cache events say otherwise."""


class EngineState:
    """One engine of the cell, as the steward and its policy see it.

    Parameters
    ----------
    declared : DeclaredEngine
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = (
        "name",
        "model",
        "cache",
        "slots",
        "zone",
        "hardware",
        "grants_by_request_id",
        "leaving",
        "health_share",
        "unreachable",
        "places_open",
        "_clock",
        "_finishes",
        "_report",
        "_report_at",
        "_phantom",
    )

    def __init__(self, *, declared, clock):
        self.name = declared.name
        self.model = EngineModel(
            slots=declared.slots,
            step_s=declared.step_ms / 1000.0,
            prefill_tokens_per_s=declared.prefill_tokens_per_s,
        )
        self.cache = PrefixCacheIndex(capacity_blocks=CACHE_BLOCKS)
        self.slots = declared.slots
        self.zone = declared.zone
        self.hardware = declared.hardware
        self.grants_by_request_id = {}
        self.leaving = declared.leaving
        self.health_share = 1.0
        self.unreachable = False
        self.places_open = True
        self._clock = clock
        self._finishes = deque()
        self._report = None
        self._report_at = -math.inf
        self._phantom = 0

    @property
    def running(self):
        """Runs believed to be on the engine: the grants, and the phantom load."""
        return len(self.grants_by_request_id) + self.phantom

    @property
    def phantom(self):
        """Runs the engine reported that this steward granted to nobody it knows."""
        if self._clock() - self._report_at > PHANTOM_KEPT_S:
            return 0
        return self._phantom

    @property
    def pending_prefill_tokens(self):
        """Prompt tokens still to compute for grants that gave no first token yet."""
        return sum(grant.prefill_tokens for grant in self.grants_by_request_id.values() if not grant.started)

    @property
    def reported_running(self):
        """Runs, waiting ones included, in the last load report."""
        return self._report.running + self._report.waiting if self._report else 0

    @property
    def report_age_s(self):
        """Age of the last load report; infinite before the first."""
        return self._clock() - self._report_at

    @property
    def limit(self):
        """Runs that keep it just full; fewer while its health is in doubt."""
        if self.leaving or self.unreachable:
            return 0
        return math.ceil(self.model.concurrency_limit() * self.health_share)

    @property
    def room(self):
        """Places free now."""
        return max(0, self.limit - self.running)

    @property
    def available(self):
        """Whether the policy may choose it."""
        return self.places_open and self.room > 0

    def add(self, grant: Grant):
        """Count a grant against this engine."""
        self.grants_by_request_id[grant.request_id] = grant

    def end(self, grant: Grant):
        """Free the grant's place."""
        if self.grants_by_request_id.pop(grant.request_id, None) is not None:
            self._finishes.append((self._clock(), grant.granted_at))

    def report(self, report):
        """Correct the account by a load report, which shows the past.

        Only what was granted before the report's time and had not ended by then is set
        against it: comparing a late report with the present account would count every
        run that ended since as load, and leave its place empty until the next report.
        """
        report_at = self._clock() - report.age_s
        if report_at < self._report_at:
            return
        self._report = report
        self._report_at = report_at
        known = sum(1 for grant in self.grants_by_request_id.values() if grant.granted_at <= report_at)
        known += sum(1 for ended_at, granted_at in self._finishes if granted_at <= report_at < ended_at)
        self._phantom = max(0, report.running + report.waiting - known)
        self.leaving = self.leaving or report.leaving
        self.unreachable = False
        if report.step_s and report.running:
            self.model.observe_report(step_s=report.step_s, running=report.running)

    def tick(self):
        """Forget ended grants that no report can still speak of, and sample concurrency."""
        horizon = self._clock() - FINISHES_KEPT_S
        while self._finishes and self._finishes[0][0] < horizon:
            self._finishes.popleft()
        for grant in self.grants_by_request_id.values():
            grant.sample_concurrency(self.running)

    def dump(self):
        """Return a plain view for the state dump."""
        return {
            "running": len(self.grants_by_request_id),
            "phantom": self.phantom,
            "limit": self.limit,
            "pending_prefill_tokens": self.pending_prefill_tokens,
            "reported_running": self.reported_running,
            "report_age_s": round(self.report_age_s, 3) if self._report else None,
            "leaving": self.leaving,
            "unreachable": self.unreachable,
            "health_share": self.health_share,
            "model": self.model.dump(),
        }
