"""State that a scheduler holds for one request: its wait in the queue, then its grant."""

from collections import Counter, OrderedDict

from wagtailtrestle.contracts.messages import GrantRequest

MAX_ENDED_ATTEMPTS = 8192
"""Ended attempts remembered: tens of seconds' worth at the rates of one cell."""

START_SHARE = 0.7
"""Share of the target time to first token within which a run must start; the rest is left to the engine. A run started
later would miss the target and take its slot from a request that can still meet its own."""

SUITABLE_ENGINE_WAIT_SHARE = 0.25
"""Share of the target time to first token for which a request waits for a suitable engine. A full cell of six engines
started 25 to 47 runs per second, one every 20 to 40 ms; longer waits were not measured."""

FLOOR_SLOTS_FACTOR = 1.5
"""Slots that a tier limited to its floor is assumed to hold at most, in multiples of the floor's share of all slots
held: how many it holds varies with the lengths of its runs and with its arrivals."""


class WaitingRequest:
    """A request that waits for a slot.

    Parameters
    ----------
    request : GrantRequest
        With the expected output rather than its upper limit.
    asked_tokens : int
        Upper limit of the output as requested by the entry.
    arrived_at, deadline : float
        Times on the scheduler's clock.
    work_s : float
        Predicted engine-seconds: the share of one full engine's time that the run consumes.
    shortest_run_s : float
        Time that the run would take on the fastest engine with no other run.

    Attributes
    ----------
    tried_engines : frozenset of str
        While it is parked, the engines with free slots that were not suitable for it.
    refused_engines : frozenset of str
        While it is parked, the engines that it will not take even at its latest start.
    victims : int
        Runs preempted for it so far.
    by_floor : bool
        Whether it was taken from the queue because its tier is below its floor.
    late_until : float or None
        Latest start of a request that missed its target and waits on as late; ``None`` while it is timely.
    """

    __slots__ = (
        "request",
        "asked_tokens",
        "arrived_at",
        "deadline",
        "work_s",
        "shortest_run_s",
        "tried_engines",
        "refused_engines",
        "victims",
        "by_floor",
        "late_until",
    )

    def __init__(self, *, request: GrantRequest, asked_tokens, arrived_at, deadline, work_s, shortest_run_s):
        self.request = request
        self.asked_tokens = asked_tokens
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.work_s = work_s
        self.shortest_run_s = shortest_run_s
        self.tried_engines = frozenset()
        self.refused_engines = frozenset()
        self.victims = 0
        self.by_floor = False
        self.late_until = None

    @property
    def is_late(self):
        """Whether it waits on although it missed its target."""
        return self.late_until is not None

    @property
    def request_id(self):
        """Identity of the request."""
        return self.request.request_id

    @property
    def latest_start(self):
        """Time after which a slot is of no use: too late to finish or to start in time."""
        if self.late_until is not None:
            return self.late_until
        latest = self.deadline - self.shortest_run_s
        within_s = self.request.first_token_within_s
        return min(latest, self.arrived_at + START_SHARE * within_s) if within_s else latest

    @property
    def wait_for_suitable_until(self):
        """Time until which it may wait for a suitable engine rather than take any free slot."""
        return self.arrived_at + SUITABLE_ENGINE_WAIT_SHARE * self.request.first_token_within_s


class Grant:
    """A slot on an engine that belongs to one request until its run ends.

    Parameters
    ----------
    request : GrantRequest
        With the expected output rather than its upper limit.
    asked_tokens : int
        Upper limit of the output as requested by the entry.
    engine : str
    granted_at, deadline : float
        Times on the scheduler's clock.
    prefill_tokens : int
        Tokens that the engine is expected to prefill for it, as they are not in its cache.
    ahead_tokens : int
        Tokens that the engine still had to prefill for other runs at the time of the grant.

    Attributes
    ----------
    started : bool
        Whether the first token was reported.
    progress_at : float
        When ``output_tokens`` was last reported.
    preempted_at : float or None
        When its run was preempted; the run has yet to end.
    orphaned_at : float or None
        When its entry left the view; the engine may still execute the run.
    filled : bool
        Whether the grant filled its engine.
    by_floor : bool
        Whether it was granted because its tier was below its floor.
    """

    __slots__ = (
        "request",
        "asked_tokens",
        "engine",
        "granted_at",
        "deadline",
        "prefill_tokens",
        "ahead_tokens",
        "started",
        "output_tokens",
        "progress_at",
        "preempted_at",
        "orphaned_at",
        "filled",
        "by_floor",
        "_concurrency_sum",
        "_concurrency_samples",
    )

    def __init__(
        self, *, request: GrantRequest, asked_tokens, engine, granted_at, deadline, prefill_tokens, ahead_tokens=0
    ):
        self.request = request
        self.asked_tokens = asked_tokens
        self.engine = engine
        self.granted_at = granted_at
        self.deadline = deadline
        self.prefill_tokens = prefill_tokens
        self.ahead_tokens = ahead_tokens
        self.started = False
        self.output_tokens = 0
        self.progress_at = granted_at
        self.preempted_at = None
        self.orphaned_at = None
        self.filled = False
        self.by_floor = False
        self._concurrency_sum = 0
        self._concurrency_samples = 0

    @property
    def request_id(self):
        """Identity of the request that holds the slot."""
        return self.request.request_id

    @property
    def remaining_tokens(self):
        """Expected tokens still to generate."""
        return max(1, self.request.output_tokens - self.output_tokens)

    def sample_concurrency(self, running):
        """Record how many runs shared the engine, for the engine's model."""
        self._concurrency_sum += running
        self._concurrency_samples += 1

    @property
    def mean_concurrency(self):
        """Mean number of runs on the engine during this one, itself included."""
        if not self._concurrency_samples:
            return 1.0
        return max(1.0, self._concurrency_sum / self._concurrency_samples)


class HeldByTier:
    """Number of slots that each tier holds in a cell, maintained so that it needs no scan of all runs."""

    __slots__ = ("_count_by_tier", "_preemptable_by_tier")

    def __init__(self):
        self._count_by_tier = Counter()
        self._preemptable_by_tier = Counter()

    def add(self, request: GrantRequest):
        """Add the slot of a request."""
        self._count_by_tier[request.tier] += 1
        self._preemptable_by_tier[request.tier] += request.repeatable

    def remove(self, request: GrantRequest):
        """Subtract the slot of a request."""
        self._count_by_tier[request.tier] -= 1
        self._preemptable_by_tier[request.tier] -= request.repeatable

    def any_below(self, tier, *, floor=0.0):
        """Whether a lower tier holds a slot beyond those that a floor, a share of the cell's work, leaves to it."""
        kept = self._kept(floor)
        return any(count > kept for other, count in self._count_by_tier.items() if other > tier)

    def any_preemptable_below(self, tier, *, floor=0.0):
        """Whether a lower tier holds a slot that may be preempted, beyond those that a floor leaves to it."""
        kept = self._kept(floor)
        return any(count > kept for other, count in self._preemptable_by_tier.items() if other > tier)

    def _kept(self, floor):
        return FLOOR_SLOTS_FACTOR * floor * sum(self._count_by_tier.values()) if floor else 0


class EndedAttempts:
    """The most recently ended attempts of requests, by which a delayed duplicate of a grant request is recognised.

    A duplicate that arrives after its request was served would wait, be granted, and hold a slot for a run that
    never starts. Attempt numbers only grow, so the last one of each request is enough.
    """

    __slots__ = ("_attempt_by_request_id",)

    def __init__(self):
        self._attempt_by_request_id = OrderedDict()

    def record(self, request: GrantRequest):
        """Record that this attempt has ended."""
        self._attempt_by_request_id[request.request_id] = request.attempt
        self._attempt_by_request_id.move_to_end(request.request_id)
        while len(self._attempt_by_request_id) > MAX_ENDED_ATTEMPTS:
            self._attempt_by_request_id.popitem(last=False)

    def covers(self, request: GrantRequest):
        """Whether this attempt, or a later one of the same request, has ended."""
        return request.attempt <= self._attempt_by_request_id.get(request.request_id, 0)
