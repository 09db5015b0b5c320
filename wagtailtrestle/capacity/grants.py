"""What a scheduler holds for one request: its wait in the queue, then its grant."""

from collections import Counter, OrderedDict

from wagtailtrestle.contracts.messages import GrantRequest

MAX_ENDED_ATTEMPTS = 8192
"""Settled asks remembered: tens of seconds at the rates of one cell."""

START_SHARE = 0.7
"""Part of the time to the hoped-for first token within which a run must begin: the rest is the engine's.
Begun later it would disappoint, and take its place from a request that can still be in time."""


SUITABLE_ENGINE_WAIT_SHARE = 0.25
"""Part of the time to the hoped-for first token within which a request waits for an engine that suits it.
A full cell of six engines began 25 to 47 runs a second, one each 20 to 40 ms; how much longer a wait would pay was
not measured."""


class WaitingRequest:
    """A request that waits for a place.

    Parameters
    ----------
    request : GrantRequest
        With the output that is expected rather than its upper limit.
    asked_tokens : int
        Upper limit of the output as the entry asked.
    arrived_at, deadline : float
        Times on the scheduler's clock.
    work_s : float
        Predicted engine-seconds: the share of one full engine that the run uses up.
    shortest_run_s : float
        Time the run would take on the best engine with nothing else on it.

    Attributes
    ----------
    tried_engines : frozenset of str
        While it is parked, the engines with room that did not suit it.
    victims : int
        Runs preempted for it so far.
    """

    __slots__ = (
        "request",
        "asked_tokens",
        "arrived_at",
        "deadline",
        "work_s",
        "shortest_run_s",
        "tried_engines",
        "victims",
    )

    def __init__(self, *, request: GrantRequest, asked_tokens, arrived_at, deadline, work_s, shortest_run_s):
        self.request = request
        self.asked_tokens = asked_tokens
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.work_s = work_s
        self.shortest_run_s = shortest_run_s
        self.tried_engines = frozenset()
        self.victims = 0

    @property
    def request_id(self):
        """Identity of the request."""
        return self.request.request_id

    @property
    def latest_start(self):
        """Time after which a place is of no use: too late to finish, or to begin."""
        latest = self.deadline - self.shortest_run_s
        within_s = self.request.first_token_within_s
        return min(latest, self.arrived_at + START_SHARE * within_s) if within_s else latest

    @property
    def wait_for_suitable_until(self):
        """Time until which it may wait for an engine that suits it rather than take what is free."""
        return self.arrived_at + SUITABLE_ENGINE_WAIT_SHARE * self.request.first_token_within_s


class Grant:
    """A place on an engine that belongs to one request until its run ends.

    Parameters
    ----------
    request : GrantRequest
        With the output that is expected rather than its upper limit.
    asked_tokens : int
        Upper limit of the output as the entry asked.
    engine : str
    granted_at, deadline : float
        Times on the scheduler's clock.
    prefill_tokens : int
        Tokens the engine is expected to prefill for it (not in its cache).
    ahead_tokens : int
        Tokens the engine had still to prefill for others when it was granted.

    Attributes
    ----------
    started : bool
        Whether the first token came.
    progress_at : float
        When ``output_tokens`` was last told.
    preempted_at : float or None
        When its place was taken back; the run is still to end.
    orphaned_at : float or None
        When its entry left the view; the engine may still run it.
    filled : bool
        Whether its engine was full with it when it was granted.
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
        self._concurrency_sum = 0
        self._concurrency_samples = 0

    @property
    def request_id(self):
        """Identity of the request that holds the place."""
        return self.request.request_id

    @property
    def remaining_tokens(self):
        """Expected tokens still to generate."""
        return max(1, self.request.output_tokens - self.output_tokens)

    def sample_concurrency(self, running):
        """Note how many runs shared the engine, for the engine's model."""
        self._concurrency_sum += running
        self._concurrency_samples += 1

    @property
    def mean_concurrency(self):
        """Mean number of runs on the engine during this one, itself included."""
        if not self._concurrency_samples:
            return 1.0
        return max(1.0, self._concurrency_sum / self._concurrency_samples)


class HeldByTier:
    """How many places each tier holds in a cell, so that nobody has to look through all runs for it."""

    __slots__ = ("_count_by_tier", "_preemptable_by_tier")

    def __init__(self):
        self._count_by_tier = Counter()
        self._preemptable_by_tier = Counter()

    def add(self, request: GrantRequest):
        """Count a place."""
        self._count_by_tier[request.tier] += 1
        self._preemptable_by_tier[request.tier] += request.repeatable

    def remove(self, request: GrantRequest):
        """Count a place no more."""
        self._count_by_tier[request.tier] -= 1
        self._preemptable_by_tier[request.tier] -= request.repeatable

    def any_below(self, tier):
        """Whether a lower tier holds a place."""
        return any(count for other, count in self._count_by_tier.items() if other > tier)

    def any_preemptable_below(self, tier):
        """Whether a lower tier holds a place that may be taken back."""
        return any(count for other, count in self._preemptable_by_tier.items() if other > tier)


class EndedAttempts:
    """The last asks that were settled, so that a late copy of one is recognised.

    A copy that comes after its request was served would wait, be granted, and hold a
    place for a run that never comes. Attempts only grow, so the last one is enough.
    """

    __slots__ = ("_attempt_by_request_id",)

    def __init__(self):
        self._attempt_by_request_id = OrderedDict()

    def record(self, request: GrantRequest):
        """Remember that this ask is settled."""
        self._attempt_by_request_id[request.request_id] = request.attempt
        self._attempt_by_request_id.move_to_end(request.request_id)
        while len(self._attempt_by_request_id) > MAX_ENDED_ATTEMPTS:
            self._attempt_by_request_id.popitem(last=False)

    def covers(self, request: GrantRequest):
        """Whether this ask, or a later one of the same request, is settled."""
        return request.attempt <= self._attempt_by_request_id.get(request.request_id, 0)
