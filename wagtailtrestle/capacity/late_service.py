"""Late service: which requests wait on after they can no longer meet their target to the first token.

After a short burst, engines become free before the callers give up. A late request uses only what timely requests
leave, which is nothing while the overload lasts. It waits only if it is predicted to start well before its caller gives
up; otherwise it is refused immediately, since an early refusal is better than a late one.
"""

WAIT_SHARE = 0.5
"""Share of the time to its latest late start that a late request may be predicted to wait. The prediction leaves out
bursts of timely requests to come."""

RESERVED_SHARE = 0.05
"""Share of a cell's slots that late requests leave free. At 1.1 times capacity, late requests that took every free slot
displaced as many timely ones, which then found no slot on arrival."""

MIN_EXCESS_SHARE = 0.05
"""Demand beyond the granted work, as a share of the capacity, above which a cell is overloaded. Work that only waits
for a slot counts as excess for a moment."""

MAX_OVERLOADED_S = 5.0
"""Limit of the time that an overload is counted for, so that late service resumes soon after a long one."""

MAX_STEP_S = 0.2
"""Limit of the time counted between two observations: a process that was paused has observed nothing meanwhile."""


class OverloadTime:
    """For how long demand has exceeded the work granted.

    The time runs back while demand is lower, so that a moment without overload does not reset it.

    Parameters
    ----------
    clock : callable

    Attributes
    ----------
    seconds : float
    """

    __slots__ = ("seconds", "_clock", "_at")

    def __init__(self, *, clock):
        self.seconds = 0.0
        self._clock = clock
        self._at = clock()

    def observe(self, *, demand_per_s, granted_per_s, capacity_per_s):
        """Count the time since the last observation.

        Parameters
        ----------
        demand_per_s, granted_per_s : float
            Work that arrives, admitted or not, and work granted, both averaged over the same window.
        capacity_per_s : float
            Work that the cell can take up.
        """
        is_overloaded = demand_per_s - granted_per_s > MIN_EXCESS_SHARE * capacity_per_s
        now = self._clock()
        elapsed_s = min(MAX_STEP_S, now - self._at)
        self._at = now
        changed_s = self.seconds + (elapsed_s if is_overloaded else -elapsed_s)
        self.seconds = min(MAX_OVERLOADED_S, max(0.0, changed_s))


def has_slot_for_late(engines):
    """Whether more slots of these engines are free than late requests leave to timely ones."""
    free = sum(engine.free_slots for engine in engines)
    return free > int(RESERVED_SHARE * sum(engine.limit for engine in engines))


def gives_up_at(waiting):
    """Return the time until which the caller waits for the first event; ``None`` if unknown.

    Parameters
    ----------
    waiting : WaitingRequest
    """
    if not waiting.request.patience_s:
        return None
    return min(waiting.arrived_at + waiting.request.patience_s, waiting.deadline)


def latest_late_start(waiting, *, first_token_s):
    """Return the time after which a late start is of no use; ``None`` if the request can't be served late.

    Parameters
    ----------
    waiting : WaitingRequest
    first_token_s : float
        Predicted time from dispatch to the first token on a usual engine.
    """
    request = waiting.request
    gives_up = gives_up_at(waiting)
    if gives_up is None or not request.first_token_within_s or request.alone:
        return None
    return min(gives_up - first_token_s, waiting.deadline - waiting.shortest_run_s)


def is_worth_waiting(*, ahead_s, granted_per_s, overloaded_s, left_s):
    """Whether a late request is predicted to start early enough.

    An overload is assumed to last as long again as it has lasted.

    Parameters
    ----------
    ahead_s : float
        Engine-seconds of waiting work that is served first.
    granted_per_s : float
        Work that the cell grants per second.
    overloaded_s : float
        Time for which demand has exceeded the work granted.
    left_s : float
        Time to the latest late start.
    """
    return left_s > 0.0 and granted_per_s * (WAIT_SHARE * left_s - overloaded_s) >= ahead_s
