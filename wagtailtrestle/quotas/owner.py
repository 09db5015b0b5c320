"""The owner's side of quotas: a token bucket for each team, from which credits are granted."""

from collections import deque

from wagtailtrestle.contracts.quota_messages import QuotaGrant

TAKEOVER_SHARE = 0.25
"""Share of the burst with which a new owner starts after another router owned the team: with the full
burst, each change of owner would grant it once more; with none, an idle team would be refused."""

ABSENT_ROUTER_RETENTION_S = 20.0
"""Time for which a router that left the view still counts: if it is partitioned, it serves from its own share."""


GRANTED_TOLERANCE_SHARE = 0.6
"""Share of the operator's tolerance that is granted as credits. An operator who tolerates an excess
prefers using idle engines to refusing a team exactly at its limit. The remaining tolerance covers what
this module can't know: credits of a former owner, and shares of partitioned routers."""


class Tolerance:
    """Excess over a team's quota that the operator tolerates within any window.

    Parameters
    ----------
    window_s : float
        Length of the window; 0 if no excess is tolerated.
    share : float
        Tolerated excess as a share of what the quota allows in the window.
    units : float
        Tolerated excess in addition to the share, independent of the quota.
    """

    __slots__ = ("_window_s", "_share", "_units")

    def __init__(self, *, window_s=0.0, share=0.0, units=0.0):
        self._window_s = window_s
        self._share = share
        self._units = units

    def max_request_units(self, quota):
        """Units of the largest request that can be granted: what the quota allows within the window."""
        return quota.burst + quota.rate_per_s * self._window_s

    def rate_per_s(self, quota):
        """Refill rate of a bucket: the quota's, plus the granted share of the tolerance spread over the window."""
        if not self._window_s:
            return quota.rate_per_s
        allowed = quota.rate_per_s * self._window_s + quota.burst
        return quota.rate_per_s + GRANTED_TOLERANCE_SHARE * (self._share * allowed + self._units) / self._window_s


class Bucket:
    """Token bucket of one team: holds at most ``burst`` and refills at ``rate_per_s``."""

    __slots__ = ("_rate_per_s", "_burst", "_level", "_at")

    def __init__(self, *, rate_per_s, burst, level, now):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = level
        self._at = now

    def limit(self, *, rate_per_s, burst):
        """Apply another limit."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def refill(self, *, now, share):
        """Add the units since the last refill; this owner may grant ``share`` of the rate."""
        elapsed_s = max(0.0, now - self._at)
        self._level = min(self._burst, self._level + elapsed_s * self._rate_per_s * share)
        self._at = now

    @property
    def level(self):
        """Units available; negative after a request larger than the burst until the refill has made up for it."""
        return int(self._level)

    def consume_all(self, units, *, max_request_units):
        """Consume all units of a request and return ``True``, or none and return ``False``.

        A bucket never holds more than the burst. A larger request, up to ``max_request_units``, is granted
        when the bucket is full, and nothing else is granted until the refill has made up for the excess.
        """
        if units > max_request_units or self._level < min(units, self._burst):
            return False
        self._level -= units
        return True

    def consume_up_to(self, units):
        """Consume at most this number of units; returns how many were consumed."""
        taken = int(max(0.0, min(units, self._level)))
        self._level -= taken
        return taken

    def return_units(self, units):
        """Add units that were granted and not used."""
        self._level = min(self._burst, self._level + units)

    def wait_s(self, units):
        """Seconds until a request of this size can be granted."""
        return max(0.0, min(units, self._burst) - self._level) / self._rate_per_s


class QuotaOwner:
    """Grants the credits of the teams that this router owns.

    Parameters
    ----------
    clock : callable
    members : callable
        Returns the number of routers in the live view.
    fleet_size : callable, optional
        Returns the number of routers that may be running, in the view or not.
    tolerance : callable
        Returns the ``Tolerance`` in force.
    """

    __slots__ = (
        "_clock",
        "_members",
        "_fleet_size",
        "_tolerance",
        "_quota_by_team",
        "_bucket_by_team",
        "_teams_owned_elsewhere",
        "_member_counts",
    )

    def __init__(self, *, clock, members, fleet_size=lambda: 1, tolerance=Tolerance):
        self._clock = clock
        self._members = members
        self._fleet_size = fleet_size
        self._tolerance = tolerance
        self._quota_by_team = {}
        self._bucket_by_team = {}
        self._teams_owned_elsewhere = set()
        self._member_counts = deque()

    def set_quotas(self, quota_by_team):
        """Apply the declared quotas; a bucket keeps its level, limited to the new burst."""
        self._quota_by_team = dict(quota_by_team)
        for team in set(self._bucket_by_team) - set(quota_by_team):
            del self._bucket_by_team[team]
        for team, bucket in self._bucket_by_team.items():
            quota = quota_by_team[team]
            bucket.limit(rate_per_s=self._tolerance().rate_per_s(quota), burst=quota.burst)

    def grant(self, request) -> QuotaGrant:
        """Answer one message: waiting requests are granted before the prefetch."""
        quota = self._quota_by_team.get(request.team)
        if quota is None:
            return QuotaGrant(team=request.team, units=sum(request.needed) + request.ahead)
        bucket = self._bucket(request.team, quota)
        bucket.refill(now=self._clock(), share=self._share())
        bucket.return_units(request.returned)
        max_request_units = self._tolerance().max_request_units(quota)
        refused = [
            units for units in request.needed if not bucket.consume_all(units, max_request_units=max_request_units)
        ]
        granted = sum(request.needed) - sum(refused)
        if not refused:
            granted += bucket.consume_up_to(request.ahead)
        smallest = min(refused, default=0)
        return QuotaGrant(
            team=request.team,
            units=granted,
            retry_after_s=bucket.wait_s(smallest) if refused else 0.0,
            refused_units=smallest,
            left=bucket.level,
        )

    def mark_owned_elsewhere(self, team):
        """Record that another router owns this team, whose grants are not known here."""
        self._teams_owned_elsewhere.add(team)
        self._bucket_by_team.pop(team, None)

    def mark_all_owned_elsewhere(self):
        """Record that the owners of all teams change, so that new ones start with a share of the burst."""
        for team in self._quota_by_team:
            self.mark_owned_elsewhere(team)

    def drop_unowned(self, is_owner):
        """Drop the buckets of teams that another router now owns."""
        for team in list(self._bucket_by_team):
            if not is_owner(team):
                self.mark_owned_elsewhere(team)

    def _bucket(self, team, quota):
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            now = self._clock()
            level = quota.burst * (TAKEOVER_SHARE if team in self._teams_owned_elsewhere else 1.0) * self._share()
            rate_per_s = self._tolerance().rate_per_s(quota)
            bucket = Bucket(rate_per_s=rate_per_s, burst=quota.burst, level=level, now=now)
            self._bucket_by_team[team] = bucket
        return bucket

    def _share(self):
        # A router that is partitioned from this one continues with its own share of every quota. Granting
        # the whole rate as well would exceed the quota by that share, so it is withheld for a while.
        now = self._clock()
        present = max(1, self._members())
        fleet_size = self._fleet_size()
        if 2 * present <= fleet_size:
            # A partition is more likely than the death of at least half of the routers, and each other side of
            # it may be as large.
            return present / fleet_size
        while self._member_counts and now - self._member_counts[0][0] > ABSENT_ROUTER_RETENTION_S:
            self._member_counts.popleft()
        if not self._member_counts or self._member_counts[-1][1] != present:
            self._member_counts.append((now, present))
        return present / max(count for _, count in self._member_counts)
