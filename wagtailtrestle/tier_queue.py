"""Requests that wait for a place: strict order of tiers, fair shares of teams inside a tier.

Inside a tier, start-time fair queueing shares engine-seconds between teams by their
declared shares. Inside a team, the order is shortest predicted work first with ageing:
the key is ``arrived_at + AGEING * work_s``, so a request is overtaken only by work that is
shorter by at least a fixed part of the time it has waited already, and by nothing that
arrives more than ``AGEING * work_s`` after it. The key never changes, so a heap keeps it.
"""

import heapq
import itertools

from wagtailtrestle.grants import WaitingRequest

AGEING = 4.0
DEFAULT_SHARE = 1.0


class _TeamQueue:
    """Requests of one team in one tier, with its virtual time."""

    __slots__ = ("heap", "virtual_start")

    def __init__(self):
        self.heap = []
        self.virtual_start = 0.0


class _Tier:
    """One tier: its teams, and the heap of teams by virtual start time."""

    __slots__ = ("teams_by_name", "active_heap", "active_names", "virtual_time", "waiting", "work_s")

    def __init__(self):
        self.teams_by_name = {}
        self.active_heap = []
        self.active_names = set()
        self.virtual_time = 0.0
        self.waiting = 0
        self.work_s = 0.0


class TierQueue:
    """Waiting requests by tier, team and predicted work; each operation is O(log n)."""

    __slots__ = (
        "waiting_by_request_id",
        "_tiers_by_rank",
        "_ranks",
        "_latest_start_heap",
        "_share_by_team",
        "_sequence",
    )

    def __init__(self, *, share_by_team=None):
        self.waiting_by_request_id = {}
        self._tiers_by_rank = {}
        self._ranks = []
        self._latest_start_heap = []
        self._share_by_team = dict(share_by_team or {})
        self._sequence = itertools.count()

    def __len__(self):
        return len(self.waiting_by_request_id)

    def set_shares(self, share_by_team):
        """Put declared shares in force for what is served from now on."""
        self._share_by_team = dict(share_by_team)

    def push(self, waiting: WaitingRequest):
        """Add a request; it must not be waiting already."""
        request = waiting.request
        self.waiting_by_request_id[request.request_id] = waiting
        tier = self._tier(request.tier)
        team = tier.teams_by_name.setdefault(request.team, _TeamQueue())
        order = waiting.arrived_at + AGEING * waiting.work_s
        heapq.heappush(team.heap, (order, next(self._sequence), waiting))
        heapq.heappush(self._latest_start_heap, (waiting.latest_start, next(self._sequence), waiting))
        tier.waiting += 1
        tier.work_s += waiting.work_s
        self._activate(tier, request.team, team)

    def remove(self, request_id):
        """Take a request out, wherever it stands; ``None`` if it is not waiting."""
        waiting = self.waiting_by_request_id.pop(request_id, None)
        if waiting is not None:
            tier = self._tiers_by_rank[waiting.request.tier]
            tier.waiting -= 1
            tier.work_s = max(0.0, tier.work_s - waiting.work_s) if tier.waiting else 0.0
        return waiting

    def pop(self):
        """Take the next request in order; ``None`` when nothing waits."""
        for rank in self._ranks:
            waiting = self._pop_tier(self._tiers_by_rank[rank])
            if waiting is not None:
                return waiting
        return None

    def put_back(self, waiting: WaitingRequest):
        """Return a popped request that found no place, and its team's charge with it."""
        request = waiting.request
        team = self._tier(request.tier).teams_by_name[request.team]
        team.virtual_start -= waiting.work_s / self._share(request.team)
        self.push(waiting)

    def pop_expired(self, now):
        """Take out and return all whose latest start has passed."""
        expired = []
        while self._latest_start_heap and self._latest_start_heap[0][0] < now:
            waiting = heapq.heappop(self._latest_start_heap)[2]
            if self._is_waiting(waiting):
                self.remove(waiting.request.request_id)
                expired.append(waiting)
        return expired

    def count(self, rank):
        """How many wait in one tier."""
        tier = self._tiers_by_rank.get(rank)
        return tier.waiting if tier else 0

    def work_up_to(self, rank):
        """Predicted engine-seconds waiting in this tier and those above it."""
        return sum(self._tiers_by_rank[other].work_s for other in self._ranks if other <= rank)

    def waiting_by_tier(self):
        """Count by rank of the tiers in which something waits."""
        return {rank: self.count(rank) for rank in self._ranks if self.count(rank)}

    def _tier(self, rank):
        tier = self._tiers_by_rank.get(rank)
        if tier is None:
            tier = self._tiers_by_rank[rank] = _Tier()
            self._ranks = sorted(self._tiers_by_rank)
        return tier

    def _share(self, team_name):
        return self._share_by_team.get(team_name, DEFAULT_SHARE)

    def _is_waiting(self, waiting):
        return self.waiting_by_request_id.get(waiting.request.request_id) is waiting

    def _activate(self, tier, team_name, team):
        if team_name in tier.active_names:
            return
        # A team that was idle starts at the tier's present: it has no claim on what it
        # did not ask for, or its first burst would stop every other team.
        team.virtual_start = max(team.virtual_start, tier.virtual_time)
        tier.active_names.add(team_name)
        heapq.heappush(tier.active_heap, (team.virtual_start, next(self._sequence), team_name))

    def _pop_tier(self, tier):
        while tier.active_heap:
            virtual_start, _, team_name = heapq.heappop(tier.active_heap)
            tier.active_names.discard(team_name)
            team = tier.teams_by_name[team_name]
            waiting = self._pop_team(team)
            if waiting is None:
                continue
            tier.virtual_time = virtual_start
            team.virtual_start = virtual_start + waiting.work_s / self._share(team_name)
            if team.heap:
                self._activate(tier, team_name, team)
            self.remove(waiting.request.request_id)
            return waiting
        return None

    def _pop_team(self, team):
        while team.heap:
            waiting = heapq.heappop(team.heap)[2]
            if self._is_waiting(waiting):
                return waiting
        return None
