"""One measured run: one service under one policy, load, scenario and seed."""

import asyncio
import random
import time
from dataclasses import asdict
from pathlib import Path

from wagtailtrestle.declarations.check import parse_declaration
from wagtailtrestle.engines.policies import LeastReportedLoad, PredictedFinish, RoundRobin, TwoChoices
from wagtailtrestle.measure import virtual_time
from wagtailtrestle.measure.baseline_routers import BaselineRouters
from wagtailtrestle.measure.cluster import SchedulerRouters, caller_request
from wagtailtrestle.measure.fake_engine import FakeEngine
from wagtailtrestle.measure.fleet import fleet_cost_s, remaining_capacity, true_speeds
from wagtailtrestle.measure.platform_store import MeasuredLedgers, MeasuredStore, is_keyed
from wagtailtrestle.measure.run_parts import RunSetting
from wagtailtrestle.measure.tally import tally, tally_keyed
from wagtailtrestle.measure.workload import ArrivalGenerator
from wagtailtrestle.record import record

ROUTERS = ("r1", "r2", "r3", "r4")
WARM_UP_S = 10.0
STRAGGLE_FACTOR = 5.0
FAULT_AT = 1.0 / 3.0
DRAIN_S = 60.0
MEAN_SEED = 0

NO_FAULT = "none"
STRAGGLER = "straggler"
KILLED_ENTRY = "killed-entry"
KILLED_SCHEDULER = "killed-scheduler"
KEYED = "keyed"
PLATFORM_OUT = "platform-out"
KEYED_SCENARIOS = (KEYED, PLATFORM_OUT)
"""Half of the callers on at-most-once routes send a key; in ``PLATFORM_OUT`` the store is unavailable."""

OURS = "ours"
BASELINES = ("round-robin", "least-reported", "two-choices")
ABLATIONS = ("scheduler-round-robin", "scheduler-least-reported", "scheduler-two-choices")

EXAMPLE_BY_SERVICE = {"asistente": "cometas", "naamkosh": "nagarchinha"}
EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


@record
class RunSpec:
    """Parameters of one run; a ``prefill_weight`` below 0 means the declared weight."""

    service: str
    policy: str
    load: float
    scenario: str
    seed: int
    duration_s: float
    prefill_weight: float = -1.0


def measure(spec):
    """Run one spec and return its parameters and figures as plain data."""
    began = time.perf_counter()
    figures = virtual_time.run(MeasuredRun(spec=spec).run())
    return {**asdict(spec), **figures, "processor_s": round(time.perf_counter() - began, 2)}


class MeasuredRun:
    """Builds the parts of one run, drives its arrivals and faults, and tallies it.

    Parameters
    ----------
    spec : RunSpec
    declaration : Declaration or None
        By default the example that contains the service.
    routers : tuple of str
    warm_up_s : float
        Time after which requests are counted.

    Attributes
    ----------
    setting : RunSetting
    speed_by_name : dict of str to TrueSpeed
        By engine name; may be replaced before the run.
    """

    def __init__(self, *, spec, declaration=None, routers=ROUTERS, warm_up_s=WARM_UP_S):
        self._spec = spec
        self._warm_up_s = warm_up_s
        declaration = declaration or load_declaration(spec.service)
        service = declaration.services_by_name[spec.service]
        weight = service.prefill_weight if spec.prefill_weight < 0 else spec.prefill_weight
        self.setting = RunSetting(declaration=declaration, service=service, routers=routers, prefill_weight=weight)
        self.speed_by_name = true_speeds(self.setting.declared_engines, seed=spec.seed)
        self._tier_of = {
            route.name: declaration.tiers_by_name[route.tier].rank for route in service.routes_by_name.values()
        }
        self._callers = []
        self._store = MeasuredStore(is_unavailable=spec.scenario == PLATFORM_OUT)

    async def run(self):
        """Run to the end and return the figures."""
        spec = self._spec
        loop = asyncio.get_running_loop()
        engines_by_name = {
            name: FakeEngine(name=name, speed=speed, loop=loop) for name, speed in self.speed_by_name.items()
        }
        routers = self._routers(engines_by_name, loop, await self._claims_by_router(loop))
        routers.start()
        loop.call_later(spec.duration_s * FAULT_AT, self._inject_fault, routers, engines_by_name)
        await self._submit_arrivals(routers, loop)
        await asyncio.sleep(DRAIN_S)
        return self._figures(engines_by_name)

    async def _claims_by_router(self, loop):
        if self._spec.scenario not in KEYED_SCENARIOS:
            return {}
        ledgers = MeasuredLedgers(setting=self.setting, store=self._store, loop=loop)
        await ledgers.start()
        return ledgers.ledger_by_router

    def _routers(self, engines_by_name, loop, claims_by_router):
        policy = self._spec.policy
        seed = self._spec.seed
        scheduler = policy == OURS or policy in ABLATIONS
        name = policy.removeprefix("scheduler-")

        def make_policy(number=0):
            match name:
                case "round-robin":
                    return RoundRobin()
                case "least-reported":
                    return LeastReportedLoad()
                case "two-choices":
                    return TwoChoices(seed=seed * 100 + number)
                case _:
                    return PredictedFinish(prefill_weight=self.setting.prefill_weight)

        parts = dict(setting=self.setting, engines_by_name=engines_by_name, make_policy=make_policy, loop=loop)
        return SchedulerRouters(**parts, claims_by_router=claims_by_router) if scheduler else BaselineRouters(**parts)

    async def _submit_arrivals(self, routers, loop):
        spec = self._spec
        pick = random.Random(f"balancer {spec.seed}")
        for arrival in self.arrivals():
            await asyncio.sleep(arrival.at_s - loop.time())
            route = self.setting.service.routes_by_name[arrival.kind.route]
            router = pick.choice(routers.live())
            request_id = f"{router}-{arrival.number}"
            keyed = spec.scenario in KEYED_SCENARIOS and route.at_most_once and is_keyed(request_id)
            request = caller_request(
                arrival=arrival,
                request_id=request_id,
                key=request_id if keyed else "",
                service=spec.service,
                tier=self._tier_of[route.name],
                repeatable=route.repeatable,
                now=loop.time(),
            )
            self._callers.append(routers.submit(router=router, request=request, arrival=arrival))

    def arrivals(self):
        """Draw the arrivals of the run, which are the same at each call."""
        spec = self._spec
        cost_s = self._arrival_generator(MEAN_SEED).mean(lambda arrival: fleet_cost_s(self.speed_by_name, arrival))
        return self._arrival_generator(spec.seed).arrivals(rate=spec.load / cost_s, duration_s=spec.duration_s)

    def _arrival_generator(self, seed):
        teams = self.setting.declaration.teams_by_name
        return ArrivalGenerator(service=self.setting.service, teams_by_name=teams, seed=seed)

    def _inject_fault(self, routers, engines_by_name):
        match self._spec.scenario:
            case "straggler":
                engines_by_name[self.setting.declared_engines[0].name].straggle(STRAGGLE_FACTOR)
            case "killed-entry":
                routers.kill(ROUTERS[-1])
            case "killed-scheduler":
                routers.kill(ROUTERS[0])

    def _figures(self, engines_by_name):
        spec = self._spec
        declaration = self.setting.declaration
        routes = self.setting.service.routes_by_name.values()
        figures = tally(
            callers=self._callers,
            engines=list(engines_by_name.values()),
            speed_by_name=self.speed_by_name,
            tier_names={tier.rank: tier.name for tier in declaration.tiers_by_name.values()},
            tier_of=self._tier_of,
            repeatable_of={route.name: route.repeatable for route in routes},
            window=(self._warm_up_s, spec.duration_s),
        )
        figures["requests"] = len(self._callers)
        figures["writes"] = self._store.writes
        if spec.scenario in KEYED_SCENARIOS:
            figures["keyed"] = tally_keyed(callers=self._callers, routes_by_name=self.setting.service.routes_by_name)
        figures["bound"] = min(figures["offered_of_fleet"], self._capacity())
        figures["busy_share"] = figures.pop("busy_s") / (spec.duration_s * len(engines_by_name))
        return figures

    def _capacity(self):
        """Capacity over the measured time, as a share of the fleet's capacity without a fault."""
        spec = self._spec
        if spec.scenario != STRAGGLER:
            return 1.0
        left = remaining_capacity(
            self.speed_by_name,
            self.setting.declared_engines[0].name,
            STRAGGLE_FACTOR,
            lambda speed: self._arrival_generator(MEAN_SEED).mean(speed.cost_s),
        )
        slow_share = (spec.duration_s * (1.0 - FAULT_AT)) / (spec.duration_s - self._warm_up_s)
        return 1.0 - min(1.0, slow_share) * (1.0 - left)


def load_declaration(service):
    """Return the example declaration that contains a service."""
    path = EXAMPLES / f"{EXAMPLE_BY_SERVICE[service]}.yaml"
    return parse_declaration(path.read_text(), file=path.name)
