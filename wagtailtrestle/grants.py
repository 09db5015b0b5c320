"""What a steward holds for one request: its wait in the queue, then its grant."""

from wagtailtrestle.messages import GrantRequest


class WaitingRequest:
    """A request that waits for a place.

    Parameters
    ----------
    request : GrantRequest
    arrived_at, deadline : float
        Times on the steward's clock.
    work_s : float
        Predicted engine-seconds: the share of one full engine that the run uses up.
    shortest_run_s : float
        Time the run would take on the best engine with nothing else on it.
    """

    __slots__ = ("request", "arrived_at", "deadline", "work_s", "shortest_run_s")

    def __init__(self, *, request: GrantRequest, arrived_at, deadline, work_s, shortest_run_s):
        self.request = request
        self.arrived_at = arrived_at
        self.deadline = deadline
        self.work_s = work_s
        self.shortest_run_s = shortest_run_s

    @property
    def latest_start(self):
        """Time after which no engine of the cell could finish it by its deadline."""
        return self.deadline - self.shortest_run_s


class Grant:
    """A place on an engine that belongs to one request until its run ends.

    Parameters
    ----------
    request : GrantRequest
    engine : str
    granted_at, deadline : float
        Times on the steward's clock.
    prefill_tokens : int
        Tokens the engine is expected to prefill for it (not in its cache).
    """

    __slots__ = (
        "request",
        "engine",
        "granted_at",
        "deadline",
        "prefill_tokens",
        "started",
        "output_tokens",
        "progress_at",
        "preempted_at",
        "preempted_for_tier",
        "concurrency_sum",
        "concurrency_samples",
    )

    def __init__(self, *, request: GrantRequest, engine, granted_at, deadline, prefill_tokens):
        self.request = request
        self.engine = engine
        self.granted_at = granted_at
        self.deadline = deadline
        self.prefill_tokens = prefill_tokens
        self.started = False
        self.output_tokens = 0
        self.progress_at = granted_at
        self.preempted_at = None
        self.preempted_for_tier = None
        self.concurrency_sum = 0
        self.concurrency_samples = 0

    @property
    def request_id(self):
        """Identity of the request that holds the place."""
        return self.request.request_id

    @property
    def remaining_tokens(self):
        """Expected tokens still to generate."""
        return max(1, self.request.output_tokens - self.output_tokens)

    @property
    def discarded_prefill_tokens(self):
        """Tokens that a run resumed elsewhere would prefill once more."""
        if not self.started:
            return 0
        return self.request.prompt_tokens + self.request.done_tokens + self.output_tokens

    def sample_concurrency(self, running):
        """Note how many runs shared the engine, for the engine's model."""
        self.concurrency_sum += running
        self.concurrency_samples += 1

    @property
    def mean_concurrency(self):
        """Mean number of runs on the engine during this one, itself included."""
        if not self.concurrency_samples:
            return 1.0
        return max(1.0, self.concurrency_sum / self.concurrency_samples)
