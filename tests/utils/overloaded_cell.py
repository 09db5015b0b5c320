"""A cell of 45 engines under more load than it serves: seeded arrivals by tier, and runs of known work."""

import heapq
import itertools
import random
from collections import Counter, defaultdict

from tests.utils.scheduler_fakes import Cell, ask, engine, finished
from wagtailtrestle.capacity.features import Features
from wagtailtrestle.contracts.messages import Granted, Refused, Withdraw

ENGINES = 45
SLOTS = 6
STEP_MS = 3.82
FULL_STEP_S = STEP_MS * 1.15 / 1000
"""A decode step with 6 runs, by the prior of the engines' models."""

WORK_BY_TIER_S = {0: 0.22, 1: 0.125, 2: 0.03}
TARGET_BY_TIER_S = {0: 0.845, 1: 0.419, 2: 0.422}
PATIENCE_BY_TIER_S = {0: 4.0, 1: 4.0, 2: 3.2}
DEADLINE_BY_TIER_S = {0: 12.7, 1: 10.5, 2: 3.2}
TICK_S = 0.05


class OverloadedCell:
    """Feeds a scheduler with requests and ends their runs, on the clock of its cell.

    Parameters
    ----------
    features : Features
    seed : int

    Attributes
    ----------
    arrived_at, granted_at, refused_at, gone_at : dict of str to float
        Times by request; ``gone_at`` those at which callers gave up.
    """

    def __init__(self, *, features, seed=7):
        self.features = features
        self.cell = Cell(engines=(), features=lambda: self.features)
        by_name = {f"e{number:02}": engine(f"e{number:02}", slots=SLOTS) for number in range(ENGINES)}
        for declared in by_name.values():
            declared.step_ms = STEP_MS
            declared.prefill_tokens_per_s = 1e6
        self.cell.scheduler.set_engines(by_name)
        self.arrived_at = {}
        self.granted_at = {}
        self.refused_at = {}
        self.gone_at = {}
        self.refusals = {}
        self._random = random.Random(seed)
        self._number = itertools.count()
        self._events = []
        self._schedule(self.cell.clock.now, self._tick)

    def run(self, seconds, demand_by_tier):
        """Run for so long with this demand, in engine-seconds per second by tier."""
        now = self.cell.clock.now
        until = now + seconds
        for tier, demand in demand_by_tier.items():
            at, mean_s = now, WORK_BY_TIER_S[tier] / demand if demand else seconds + 1.0
            while (at := at + self._random.expovariate(1.0 / mean_s)) < until and demand:
                self._schedule(at, self._arrive, tier)
        while self._events and self._events[0][0] <= until:
            at, _, act, arguments = heapq.heappop(self._events)
            self.cell.clock.now = max(at, self.cell.clock.now)
            act(*arguments)
            self._apply_messages()
        self.cell.clock.now = until
        return self

    def request(self, request_id):
        """Return the request that a caller sent, as its entry would register it now."""
        tier = int(request_id.partition("-")[0])
        waited_s = self.cell.clock.now - self.arrived_at[request_id]
        return ask(
            request_id,
            tier=tier,
            prompt_tokens=1,
            output_tokens=round(WORK_BY_TIER_S[tier] * SLOTS / FULL_STEP_S),
            first_token_within_s=max(0.001, TARGET_BY_TIER_S[tier] - waited_s),
            remaining_s=DEADLINE_BY_TIER_S[tier] - waited_s,
            patience_s=max(0.001, PATIENCE_BY_TIER_S[tier] - waited_s),
        )

    def outcomes(self, tier, *, since=0.0):
        """Count the requests of a tier that arrived since then: served in time, served late, refused, given up."""
        counts = Counter()
        for request_id, at in self.arrived_at.items():
            if at < since or not request_id.startswith(f"{tier}-"):
                continue
            if request_id in self.granted_at:
                in_time = self.granted_at[request_id] - at <= TARGET_BY_TIER_S[tier]
                counts["in_time" if in_time else "late"] += 1
            elif request_id in self.refused_at:
                counts["refused"] += 1
            elif request_id in self.gone_at:
                counts["gone"] += 1
        return counts

    def served_share(self, tier, *, since=0.0):
        """Return the share of a tier's requests since then that were granted a slot."""
        counts = self.outcomes(tier, since=since)
        return (counts["in_time"] + counts["late"]) / max(1, counts.total())

    def granted_work_s(self, tier, *, since=0.0):
        """Return the work granted to requests of a tier that arrived since then."""
        counts = self.outcomes(tier, since=since)
        return (counts["in_time"] + counts["late"]) * WORK_BY_TIER_S[tier]

    def held_before_refusal(self, *, since=0.0):
        """Return for each request refused, by tier, the share of its target for which it was held."""
        shares = defaultdict(list)
        for request_id, at in self.refused_at.items():
            if self.arrived_at[request_id] >= since:
                tier = int(request_id.partition("-")[0])
                shares[tier].append((at - self.arrived_at[request_id]) / TARGET_BY_TIER_S[tier])
        return shares

    def _schedule(self, at, act, *arguments):
        heapq.heappush(self._events, (at, next(self._number), act, arguments))

    def _tick(self):
        self.cell.scheduler.tick()
        self._schedule(self.cell.clock.now + TICK_S, self._tick)

    def _arrive(self, tier):
        request_id = f"{tier}-{next(self._number)}"
        now = self.arrived_at[request_id] = self.cell.clock.now
        self._schedule(now + PATIENCE_BY_TIER_S[tier], self._give_up, request_id)
        self.cell.receive(self.request(request_id))

    def _give_up(self, request_id):
        if request_id not in self.granted_at and request_id not in self.refused_at:
            self.gone_at[request_id] = self.cell.clock.now
            self.cell.receive(Withdraw(request_id=request_id))

    def _end(self, request_id, engine_name, run_s, tokens):
        self.cell.receive(finished(request_id, on=engine_name, duration_s=run_s, output_tokens=tokens))

    def _apply_messages(self):
        sent, self.cell.entries.sent = self.cell.entries.sent, []
        now = self.cell.clock.now
        for message in sent:
            if isinstance(message, Granted):
                self.granted_at[message.request_id] = now
                tokens = self.request(message.request_id).output_tokens
                run_s = tokens * FULL_STEP_S
                self._schedule(now + run_s, self._end, message.request_id, message.engine, run_s, tokens)
            elif isinstance(message, Refused):
                self.refused_at[message.request_id] = now
                self.refusals[message.request_id] = message


def overloaded(phases, **features):
    """Return a cell after these phases, each seconds and demand by tier, with these features."""
    cell = OverloadedCell(features=Features(**features))
    for seconds, demand_by_tier in phases:
        cell.run(seconds, demand_by_tier)
    return cell
