"""Budget of retries of one cell, over all routers: a share of what succeeded lately, and some beyond it.

When engines fail, every retry is more load on those that are left, and the failure feeds itself. Each run needs a
place, so the scheduler that grants places sees every retry of every router, and counts it when it is sent. Entries
keep their own record and tell it to a new scheduler, as they tell what they hold.
"""

from wagtailtrestle.capacity.recent_times import RecentTimes
from wagtailtrestle.record import record

RETRY_SHARE = 0.1
"""Retries allowed for each success within the window."""

RETRY_EXTRA = 3.0
"""Retries allowed within the window whatever succeeded, so that a quiet service can recover."""

RETRY_WINDOW_S = 10.0

ARRIVAL_SPREAD_S = 1.0
"""Retries count for so much longer than the window: one that was granted may take as long to connect, and reach its
engine in the same window as those that are granted after it."""

MIN_KNOWN_SHARE = 0.25
"""Part of the budget that is given out at once where all routers have just started."""

ROUNDING_TOLERANCE = 1e-9


@record
class RetryLimits:
    """What an operator allows.

    Parameters
    ----------
    share : float
        Retries for each success.
    extra : float
        Retries within the window beyond that, over all routers.
    window_s : float
    routers : int
        Routers that may be running, in the view or cut off from it.
    """

    share: float = RETRY_SHARE
    extra: float = RETRY_EXTRA
    window_s: float = RETRY_WINDOW_S
    routers: int = 1


class RetryBudget:
    """Whether one more retry may be granted in a cell.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    limits : callable
        Returns the present :class:`RetryLimits`.
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
        """Take the cell over from another scheduler, whose grants only the entries know."""
        self._began_at = self._clock()
        self._known_from_by_entry = {}

    def has_budget(self, *, waiting, entries):
        """Whether one more retry may be granted.

        Parameters
        ----------
        waiting : int
            Retries that wait for a place.
        entries : collection of str
            Routers that go by this scheduler. Those that are cut off go by another, which has their part of the extra.
        """
        limits = self._limits()
        self._forget_old(limits.window_s)
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
        """Forget the last retry of a request: it was never sent."""
        entry, at = self._spent_by_id.pop(request_id, (None, 0.0))
        times = self._retries_by_entry.get(entry, ())
        if at in times:
            self._retries_by_entry[entry] = RecentTimes(_without(times, at))

    def record_success(self, entry):
        """Count a request that was answered whole."""
        self._successes_by_entry.setdefault(entry, RecentTimes()).record(self._clock())

    def apply_history(self, entry, history):
        """Take what an entry sent and got answered since its process started; what its predecessor spent is kept."""
        now = self._clock()
        started_at = now - history.up_s
        counted = RecentTimes(at for at in self._retries_by_entry.get(entry, ()) if at >= started_at)
        earlier = [at for at in self._retries_by_entry.get(entry, ()) if at < started_at]
        reported = [now - age for age, count in enumerate(history.retries_by_age_s) for _ in range(count)]
        # A grant on its way to the entry is in no history yet.
        in_flight = max(0, counted.count_since(now - 1.0) - sum(history.retries_by_age_s[:1]))
        self._retries_by_entry[entry] = RecentTimes([*earlier, *reported, *[now] * in_flight])
        successes = (now - age - 1 for age, count in enumerate(history.successes_by_age_s) for _ in range(count))
        self._successes_by_entry[entry] = RecentTimes(successes)
        known_from = self._known_from_by_entry.get(entry, self._began_at)
        self._known_from_by_entry[entry] = min(known_from, started_at)

    def retain_successes(self, entries):
        """Let go of what other entries earned: they may be cut off, and spend it at another scheduler."""
        for entry in self._successes_by_entry.keys() - set(entries):
            del self._successes_by_entry[entry]

    def dump(self):
        """Return the present figures for a state dump."""
        limits = self._limits()
        self._forget_old(limits.window_s)
        return {
            "successes": sum(len(times) for times in self._successes_by_entry.values()),
            "retries": sum(len(times) for times in self._retries_by_entry.values()),
            "routers": limits.routers,
        }

    def _known_share(self, window_s, entries):
        """Part of the entries' last window of which this scheduler knows what was sent.

        A router that was started again has forgotten what its predecessor sent, and a scheduler that was started with
        it never knew. What nobody knows is taken for as much as what is known.
        """
        since = self._clock() - window_s
        known_s = [
            window_s - max(0.0, self._known_from_by_entry.get(entry, self._began_at) - since) for entry in entries
        ]
        return max(MIN_KNOWN_SHARE, sum(known_s) / (window_s * len(known_s))) if known_s else 1.0

    def _forget_old(self, window_s):
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
