"""Retry budget of one cell, over all routers: a share of recent successes, plus a fixed allowance.

When engines fail, every retry adds load to those that are left, and the failure amplifies itself. Each run needs a
slot, so the scheduler that grants slots sees every retry of every router, and counts it when it is granted. Entries
keep their own records and send them to a new scheduler when they register.
"""

from wagtailtrestle.capacity.recent_times import RecentTimes
from wagtailtrestle.record import record

RETRY_SHARE = 0.1
"""Retries allowed for each success within the window."""

RETRY_EXTRA = 3.0
"""Retries allowed within the window regardless of successes, so that a quiet service can recover."""

RETRY_WINDOW_S = 10.0

ARRIVAL_SPREAD_S = 1.0
"""Time beyond the window for which retries count: a granted retry may take this long to connect, and reach its engine
in the same window as those granted after it."""

MIN_KNOWN_SHARE = 0.25
"""Share of the budget that is available immediately when all routers have just started."""

ROUNDING_TOLERANCE = 1e-9


@record
class RetryLimits:
    """Limits set by the operator.

    Parameters
    ----------
    share : float
        Retries for each success.
    extra : float
        Further retries within the window, over all routers.
    window_s : float
    routers : int
        Routers that may be running, whether in the view or partitioned from it.
    """

    share: float = RETRY_SHARE
    extra: float = RETRY_EXTRA
    window_s: float = RETRY_WINDOW_S
    routers: int = 1


class RetryBudget:
    """Decides whether one more retry may be granted in a cell.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    limits : callable
        Returns the current :class:`RetryLimits`.
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_began_at",
        "_known_from_by_entry",
        "_retries_by_entry",
        "_successes_by_entry",
        "_spent_by_id",
    )

    def __init__(self, *, clock, limits=RetryLimits):
        self._clock = clock
        self._limits = limits
        self._retries_by_entry = {}
        self._successes_by_entry = {}
        self._spent_by_id = {}
        self.begin()

    def begin(self):
        """Begin after another scheduler of the cell, whose grants only the entries know."""
        self._began_at = self._clock()
        self._known_from_by_entry = {}

    def has_budget(self, *, waiting, entries):
        """Whether one more retry may be granted.

        Parameters
        ----------
        waiting : int
            Retries that wait for a slot.
        entries : collection of str
            Routers that use this scheduler. Partitioned ones use another, which has their part of ``extra``.
        """
        limits = self._limits()
        self._drop_expired(limits.window_s)
        part = min(1.0, max(1, len(entries)) / max(1, limits.routers))
        successes = sum(len(times) for times in self._successes_by_entry.values())
        retries = sum(len(times) for times in self._retries_by_entry.values()) + waiting + 1
        allowed = limits.share * successes + limits.extra * part
        return retries <= self._known_share(limits.window_s, entries) * allowed + ROUNDING_TOLERANCE

    def spend(self, *, entry, request_id):
        """Count a retry that is granted."""
        now = self._clock()
        self._retries_by_entry.setdefault(entry, RecentTimes()).record(now)
        self._spent_by_id[request_id] = (entry, now)

    def refund(self, request_id):
        """Refund the last retry of a request, which was never sent."""
        entry, at = self._spent_by_id.pop(request_id, (None, 0.0))
        times = self._retries_by_entry.get(entry, ())
        if at in times:
            self._retries_by_entry[entry] = RecentTimes(_without(times, at))

    def record_success(self, entry):
        """Count a request that was answered completely."""
        self._successes_by_entry.setdefault(entry, RecentTimes()).record(self._clock())

    def apply_history(self, entry, history):
        """Apply an entry's history since its process started; what its previous process spent is kept."""
        now = self._clock()
        started_at = now - history.up_s
        counted = RecentTimes(at for at in self._retries_by_entry.get(entry, ()) if at >= started_at)
        earlier = [at for at in self._retries_by_entry.get(entry, ()) if at < started_at]
        reported = [now - age for age, count in enumerate(history.retries_by_age_s) for _ in range(count)]
        # A grant in flight to the entry is not in its history yet.
        in_flight = max(0, counted.count_since(now - 1.0) - sum(history.retries_by_age_s[:1]))
        self._retries_by_entry[entry] = RecentTimes([*earlier, *reported, *[now] * in_flight])
        successes = (now - age - 1 for age, count in enumerate(history.successes_by_age_s) for _ in range(count))
        self._successes_by_entry[entry] = RecentTimes(successes)
        known_from = self._known_from_by_entry.get(entry, self._began_at)
        self._known_from_by_entry[entry] = min(known_from, started_at)

    def retain_successes(self, entries):
        """Drop the successes of all other entries: they may be partitioned, and spend these at another scheduler."""
        for entry in self._successes_by_entry.keys() - set(entries):
            del self._successes_by_entry[entry]

    def dump(self):
        """Return the current figures for the state dump."""
        limits = self._limits()
        self._drop_expired(limits.window_s)
        return {
            "successes": sum(len(times) for times in self._successes_by_entry.values()),
            "retries": sum(len(times) for times in self._retries_by_entry.values()),
            "routers": limits.routers,
        }

    def _known_share(self, window_s, entries):
        """Return the share of the entries' last window for which this scheduler knows the retries sent.

        A restarted router does not know what its previous process sent, and a scheduler started at the same time
        never knew. The unknown part is assumed to have retries at the same rate as the known part.
        """
        since = self._clock() - window_s
        known_s = [
            window_s - max(0.0, self._known_from_by_entry.get(entry, self._began_at) - since) for entry in entries
        ]
        return max(MIN_KNOWN_SHARE, sum(known_s) / (window_s * len(known_s))) if known_s else 1.0

    def _drop_expired(self, window_s):
        now = self._clock()
        for entry, times in list(self._retries_by_entry.items()):
            times.discard_before(now - window_s - ARRIVAL_SPREAD_S)
            if not times:
                del self._retries_by_entry[entry]
        for times in self._successes_by_entry.values():
            times.discard_before(now - window_s)
        self._spent_by_id = {
            request_id: (entry, at) for request_id, (entry, at) in self._spent_by_id.items() if at > now - window_s
        }


def _without(times, dropped):
    kept = list(times)
    kept.remove(dropped)
    return kept
