"""The owner's side of quotas: one bucket for each team, whose credits it hands out."""

from collections import deque

from wagtailtrestle.contracts.quota_messages import QuotaGrant

TAKEOVER_SHARE = 0.25
"""Part of the burst that an owner begins with after another was it: with the whole burst, each
change to and fro would grant it once more; with none, a quiet team would be refused."""

ABSENT_ROUTER_RETENTION_S = 20.0
"""How long a router that left the view is still reckoned with: cut off, it serves on its share alone."""


GRANTED_TOLERANCE_SHARE = 0.6
"""Part of the operator's tolerance that is given out as credits. An operator who tolerates an excess
would rather see idle engines used than a team refused at the very limit; the rest of the tolerance
is for what this module can't know: credits of a former owner, and shares of routers cut off."""


class Tolerance:
    """By how much a team may exceed its quota within any window before the operator minds.

    Parameters
    ----------
    window_s : float
        0 if no excess is tolerated.
    share : float
        Part of what the quota allows in the window.
    units : float
        Beyond that, whatever the quota.
    """

    __slots__ = ("_window_s", "_share", "_units")

    def __init__(self, *, window_s=0.0, share=0.0, units=0.0):
        self._window_s = window_s
        self._share = share
        self._units = units

    def max_request_units(self, quota):
        """Units of the largest request that may ever pass: what the quota allows within the window."""
        return quota.burst + quota.rate_per_s * self._window_s

    def rate_per_s(self, quota):
        """The rate at which a bucket fills: the quota's, and the given part of the tolerance spread over the window."""
        if not self._window_s:
            return quota.rate_per_s
        allowed = quota.rate_per_s * self._window_s + quota.burst
        return quota.rate_per_s + GRANTED_TOLERANCE_SHARE * (self._share * allowed + self._units) / self._window_s


class Bucket:
    """One team's credits: at most ``burst``, filling at ``rate_per_s``."""

    __slots__ = ("_rate_per_s", "_burst", "_level", "_at")

    def __init__(self, *, rate_per_s, burst, level, now):
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = level
        self._at = now

    def limit(self, *, rate_per_s, burst):
        """Put another limit in force."""
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, burst)

    def refill(self, *, now, share):
        """Add what came since the last look; ``share`` of the rate is this owner's to give."""
        elapsed_s = max(0.0, now - self._at)
        self._level = min(self._burst, self._level + elapsed_s * self._rate_per_s * share)
        self._at = now

    @property
    def level(self):
        """Units to give; negative while it makes up for a request larger than the burst."""
        return int(self._level)

    def consume_all(self, units, *, max_request_units):
        """Take all of so many units; whether they were there.

        More than the burst will never be there. Such a request, up to ``largest``, passes while the
        bucket is full, and what it took beyond that is made up for before anything else passes.
        """
        if units > max_request_units or self._level < min(units, self._burst):
            return False
        self._level -= units
        return True

    def consume_up_to(self, units):
        """Take up to so many units; returns how many."""
        taken = int(max(0.0, min(units, self._level)))
        self._level -= taken
        return taken

    def return_units(self, units):
        """Take back units that were granted and not used."""
        self._level = min(self._burst, self._level + units)

    def wait_s(self, units):
        """Seconds until a request of so many units passes."""
        return max(0.0, min(units, self._burst) - self._level) / self._rate_per_s


class QuotaOwner:
    """Hands out the credits of the teams that this router owns.

    Parameters
    ----------
    clock : callable
    members : callable
        Number of routers in the live view.
    fleet_size : callable, optional
        Number of routers that may be running, in the view or not.
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
        """Put the declared quotas in force; credits that are left stay, within the new burst."""
        self._quota_by_team = dict(quota_by_team)
        for team in set(self._bucket_by_team) - set(quota_by_team):
            del self._bucket_by_team[team]
        for team, bucket in self._bucket_by_team.items():
            quota = quota_by_team[team]
            bucket.limit(rate_per_s=self._tolerance().rate_per_s(quota), burst=quota.burst)

    def grant(self, request) -> QuotaGrant:
        """Answer one ask; what requests wait for is granted before what is asked ahead."""
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
        """Note that another router is this team's owner: what it gave out is not known here."""
        self._teams_owned_elsewhere.add(team)
        self._bucket_by_team.pop(team, None)

    def drop_unowned(self, is_owner):
        """Let go of the buckets of teams that another router owns now."""
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
        # A router cut off from this one goes on with its own share of every quota. Granting the whole
        # rate beside it would exceed the quota by that share, so it is left out for a while.
        now = self._clock()
        present = max(1, self._members())
        fleet_size = self._fleet_size()
        if 2 * present <= fleet_size:
            # It is likelier that this side is cut off than that most routers died: each other side may be as large.
            return present / fleet_size
        while self._member_counts and now - self._member_counts[0][0] > ABSENT_ROUTER_RETENTION_S:
            self._member_counts.popleft()
        if not self._member_counts or self._member_counts[-1][1] != present:
            self._member_counts.append((now, present))
        return present / max(count for _, count in self._member_counts)
