"""Requests that wait for a slot: strict order of tiers, fair shares of teams within a tier.

Within a tier, start-time fair queueing divides engine-seconds among teams by their
declared shares. Within a team, requests are served by their due time,
``min(arrived_at + AGEING_FACTOR * work_s, latest_start - URGENT_MARGIN_S)``: shortest predicted work
first, but a request is not overtaken by any that arrives more than ``AGEING_FACTOR * work_s``
after it, and one that is about to become infeasible goes first. The due time never changes,
so heaps maintain the order at O(log n) per operation.

Late requests, which missed their target, are in no team's queue and count in no tier's totals: they
are served after all others.
"""

import heapq
import itertools

from wagtailtrestle.capacity.grants import WaitingRequest
from wagtailtrestle.capacity.late_queue import LateQueue
from wagtailtrestle.capacity.team_queue import TeamQueue, Tier, due_time

DEFAULT_SHARE = 1.0


class TierQueue:
    """Waiting requests by tier, team and due time.

    Attributes
    ----------
    waiting_by_request_id : dict of str to WaitingRequest
        All waiting requests, including parked, isolated and late ones.
    isolated_by_request_id : dict of str to WaitingRequest
        Requests that count as waiting but are never popped: see :meth:`push_isolated`.
    late : LateQueue
    """

    __slots__ = (
        "waiting_by_request_id",
        "isolated_by_request_id",
        "late",
        "_parked_by_request_id",
        "_parked_by_tried",
        "_tiers_by_rank",
        "_ranks",
        "_latest_start_heap",
        "_share_by_team",
        "_sequence",
    )

    def __init__(self, *, share_by_team=None):
        self.waiting_by_request_id = {}
        self.isolated_by_request_id = {}
        self.late = LateQueue()
        self._parked_by_request_id = {}
        self._parked_by_tried = {}
        self._tiers_by_rank = {}
        self._ranks = []
        self._latest_start_heap = []
        self._share_by_team = dict(share_by_team or {})
        self._sequence = itertools.count()

    def __len__(self):
        return len(self.waiting_by_request_id)

    @property
    def work_s(self):
        """Total engine-seconds of timely waiting work."""
        return sum(self.work_by_tier().values())

    @property
    def ready(self):
        """Number of requests that any free slot might serve: neither parked nor isolated, nor late."""
        timely = len(self.waiting_by_request_id) - len(self.late)
        return timely - (len(self._parked_by_request_id) - self.late.parked) - len(self.isolated_by_request_id)

    def set_shares(self, share_by_team):
        """Apply declared shares to what is served from now on."""
        self._share_by_team = dict(share_by_team)

    def push(self, waiting: WaitingRequest):
        """Add a request; it must not be waiting already."""
        self._add(waiting)
        self._track_latest_start(waiting)
        heapq.heappush(self._team(waiting).eviction_heap, (-due_time(waiting), -next(self._sequence), waiting))
        self._enqueue(waiting)

    def push_late(self, waiting: WaitingRequest):
        """Add a request that became late; it must not be waiting."""
        self._add(waiting)
        self._track_latest_start(waiting)
        self._enqueue(waiting)

    def push_isolated(self, waiting: WaitingRequest):
        """Add a request that only :meth:`pop_isolated` serves, as it needs an engine to itself."""
        self._add(waiting)
        self._track_latest_start(waiting)
        self.isolated_by_request_id[waiting.request_id] = waiting

    def pop_isolated(self, waiting: WaitingRequest):
        """Remove an isolated request and charge its team for it."""
        self.remove(waiting.request_id)
        team = self._team(waiting)
        tier = self._tiers_by_rank[waiting.request.tier]
        start = max(team.virtual_start, tier.virtual_time)
        self._set_virtual_start(team, waiting, start + waiting.work_s / self._share(team.name))

    def remove(self, request_id):
        """Remove and return a request, parked or isolated too; ``None`` if it is not waiting."""
        waiting = self.waiting_by_request_id.pop(request_id, None)
        if waiting is not None:
            self._remove_parked(request_id)
            self.isolated_by_request_id.pop(request_id, None)
            if waiting.is_late:
                self.late.remove(waiting)
                return waiting
            team = self._team(waiting)
            team.remove_from_totals(waiting)
            team.compact(is_ready=self._is_ready, is_waiting=self._is_timely)
        return waiting

    def pop(self, *, tier=None):
        """Remove and return the next request in order, or the next one of ``tier``; ``None`` if none is ready."""
        for rank in self._ranks if tier is None else (tier,):
            waiting = self._pop_tier(self._tiers_by_rank[rank])
            if waiting is not None:
                return waiting
        return None

    def pop_late(self):
        """Remove and return the first late request; ``None`` if none is ready."""
        waiting = self.late.first()
        return None if waiting is None else self.remove(waiting.request_id)

    def refused_by_timely(self):
        """Return the names of the engines that no timely request will take; ``None`` for all engines.

        A slot that does not suit a parked request now may be the one that it takes when it can wait no longer.
        """
        if self.ready:
            return frozenset()
        if len(self._parked_by_request_id) == self.late.parked:
            return None
        refused = None
        for waiting in self._parked_by_request_id.values():
            if waiting.is_late or not waiting.request.first_token_within_s:
                continue
            refused = waiting.refused_engines if refused is None else refused & waiting.refused_engines
            if not refused:
                break
        return refused

    def park(self, waiting: WaitingRequest, *, tried_engines, refused_engines=frozenset()):
        """Requeue a popped request for which none of these engines is suitable, until another has free slots.

        Its team is refunded what the pop charged it.
        """
        if not waiting.is_late:
            team = self._team(waiting)
            self._set_virtual_start(team, waiting, team.virtual_start - waiting.work_s / self._share(team.name))
        waiting.tried_engines = tried_engines
        waiting.refused_engines = refused_engines
        self._add(waiting)
        self._parked_by_request_id[waiting.request_id] = waiting
        self._parked_by_tried.setdefault(tried_engines, {})[waiting.request_id] = waiting

    def unpark(self, engine_names):
        """Make parked requests ready again for which one of these engines has not been tried."""
        for tried_engines in [tried for tried in self._parked_by_tried if not engine_names <= tried]:
            for waiting in list(self._parked_by_tried[tried_engines].values()):
                self._unpark(waiting)

    def unpark_oldest(self, count):
        """Make the ``count`` requests parked longest ready again for every engine."""
        for waiting in list(itertools.islice(self._parked_by_request_id.values(), count)):
            self._unpark(waiting)

    def peek_last(self):
        """Return the request to evict first: a late one, if any.

        Else it is of the lowest tier, of the team with most work per share, due last.

        So the team that floods its tier bears the cost. Isolated requests are left out.
        """
        late = self.late.last()
        if late is not None:
            return late
        for rank in reversed(self._ranks):
            teams = [team for team in self._tiers_by_rank[rank].teams_by_name.values() if team.waiting]
            for team in sorted(teams, key=lambda team: -team.work_s / self._share(team.name)):
                waiting = team.peek_last(self._is_timely)
                if waiting is not None:
                    return waiting
        return None

    def pop_expired(self, now):
        """Remove and return all requests whose latest start has passed."""
        expired = []
        while self._latest_start_heap and self._latest_start_heap[0][0] < now:
            waiting = heapq.heappop(self._latest_start_heap)[2]
            if self._is_waiting(waiting):
                self.remove(waiting.request_id)
                expired.append(waiting)
        return expired

    def first(self, count):
        """Return the first timely requests by tier and due time without removing them; shares are ignored."""
        found = []
        for rank in self._ranks:
            tier = self._tiers_by_rank[rank]
            parked = sorted(
                (due_time(waiting), index, waiting)
                for index, waiting in enumerate(self._parked_by_request_id.values())
                if waiting.request.tier == rank and not waiting.is_late
            )
            ordered = [_in_order(team.heap) for team in tier.teams_by_name.values()]
            for _, _, waiting in heapq.merge(parked, *ordered, key=lambda entry: entry[:2]):
                if len(found) >= count:
                    return found
                if self._is_timely(waiting):
                    found.append(waiting)
        return found

    def work_ahead_s(self, waiting: WaitingRequest):
        """Engine-seconds that will be served before this request, whether it waits or not.

        Other teams of its own tier count only as far as fair shares serve them first: a team that floods the queue
        must not make another team's requests look infeasible.
        """
        rank = waiting.request.tier
        above = sum(self._tiers_by_rank[other].work_s() for other in self._ranks if other < rank)
        return above + self.work_ahead_in_tier_s(waiting)

    def work_ahead_in_tier_s(self, waiting: WaitingRequest):
        """Engine-seconds of its own tier that will be served before this request."""
        tier = self._tiers_by_rank.get(waiting.request.tier)
        team = tier.teams_by_name.get(waiting.request.team) if tier else None
        own = team.work_ahead_s(waiting) if team else 0.0
        if not tier:
            return 0.0
        share = self._share(waiting.request.team)
        others = [other for other in tier.teams_by_name.values() if other.waiting and other is not team]
        fair = sum(min(other.work_s, own * self._share(other.name) / share) for other in others)
        return own + fair

    def any_waiting_above(self, rank):
        """Whether a timely request of a higher tier waits."""
        return any(self._tiers_by_rank[other].count() for other in self._ranks if other < rank)

    def waiting_by_tier(self):
        """Return the number of timely waiting requests by rank, for tiers with any."""
        counts = {rank: self._tiers_by_rank[rank].count() for rank in self._ranks}
        return {rank: count for rank, count in counts.items() if count}

    def work_by_tier(self):
        """Return the engine-seconds of timely waiting work by rank."""
        return {rank: self._tiers_by_rank[rank].work_s() for rank in self._ranks}

    def work_ahead_of_late_s(self, tier):
        """Engine-seconds that are served before a late request of this tier: all timely and some late work."""
        return self.work_s + self.late.work_ahead_s(tier)

    def _share(self, team_name):
        return self._share_by_team.get(team_name, DEFAULT_SHARE)

    def _is_waiting(self, waiting):
        return self.waiting_by_request_id.get(waiting.request_id) is waiting

    def _is_timely(self, waiting):
        # A request that became late leaves entries in the heaps of its team.
        return self._is_waiting(waiting) and not waiting.is_late

    def _is_ready(self, waiting):
        return self._is_timely(waiting) and waiting.request_id not in self._parked_by_request_id

    def _team(self, waiting):
        rank = waiting.request.tier
        tier = self._tiers_by_rank.get(rank)
        if tier is None:
            tier = self._tiers_by_rank[rank] = Tier()
            self._ranks = sorted(self._tiers_by_rank)
        name = waiting.request.team
        team = tier.teams_by_name.get(name)
        if team is None:
            team = tier.teams_by_name[name] = TeamQueue(name=name)
        return team

    def _track_latest_start(self, waiting):
        heapq.heappush(self._latest_start_heap, (waiting.latest_start, next(self._sequence), waiting))

    def _add(self, waiting):
        self.waiting_by_request_id[waiting.request_id] = waiting
        if waiting.is_late:
            self.late.add(waiting)
        else:
            self._team(waiting).count(waiting)

    def _enqueue(self, waiting):
        if waiting.is_late:
            self.late.make_ready(waiting)
            return
        team = self._team(waiting)
        heapq.heappush(team.heap, (due_time(waiting), next(self._sequence), waiting))
        if team.ticket is None:
            # A team that was idle starts at the tier's current virtual time. It earns no credit while idle, or its
            # first burst would block every other team.
            tier = self._tiers_by_rank[waiting.request.tier]
            team.virtual_start = max(team.virtual_start, tier.virtual_time)
            self._activate_team(tier, team)

    def _unpark(self, waiting):
        self._remove_parked(waiting.request_id)
        waiting.tried_engines = frozenset()
        self._enqueue(waiting)

    def _remove_parked(self, request_id):
        waiting = self._parked_by_request_id.pop(request_id, None)
        if waiting is None:
            return
        parked_by_id = self._parked_by_tried[waiting.tried_engines]
        del parked_by_id[request_id]
        if not parked_by_id:
            del self._parked_by_tried[waiting.tried_engines]

    def _activate_team(self, tier, team):
        team.ticket = next(self._sequence)
        heapq.heappush(tier.heap, (team.virtual_start, team.ticket, team))

    def _set_virtual_start(self, team, waiting, virtual_start):
        team.virtual_start = virtual_start
        if team.ticket is not None:
            self._activate_team(self._tiers_by_rank[waiting.request.tier], team)

    def _pop_tier(self, tier):
        while tier.heap:
            virtual_start, ticket, team = heapq.heappop(tier.heap)
            if ticket != team.ticket:
                continue
            team.ticket = None
            waiting = team.pop_first(self._is_ready)
            if waiting is None:
                continue
            tier.virtual_time = max(tier.virtual_time, virtual_start)
            team.virtual_start = virtual_start + waiting.work_s / self._share(team.name)
            if team.heap:
                self._activate_team(tier, team)
            self.remove(waiting.request_id)
            return waiting
        return None


def _in_order(heap):
    """Yield a heap's entries in order without changing it, in O(k log k) for the first k."""
    frontier = [(heap[0], 0)] if heap else []
    while frontier:
        entry, index = heapq.heappop(frontier)
        yield entry
        for child in (2 * index + 1, 2 * index + 2):
            if child < len(heap):
                heapq.heappush(frontier, (heap[child], child))
