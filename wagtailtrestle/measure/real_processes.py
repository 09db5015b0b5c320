"""Repeat points of the measurement on real processes: ``python -m wagtailtrestle.measure.real_processes``.

A small deployment (two routers, four engines, a platform) runs as processes; the same arrivals on the
same declared engines run on fakes under the virtual clock. Engines and deadlines are slowed down by
``TIME_SCALE``, so that one computer can run the deployment.
"""

import contextlib
import tempfile
import time
from pathlib import Path

import fire
import yaml

from wagtailtrestle.declarations.check import parse_declaration
from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.engines.prefix_cache import BLOCK_TOKENS
from wagtailtrestle.load.mix import RequestKind
from wagtailtrestle.load.plan import BYTES_PER_TOKEN, PlannedRequest
from wagtailtrestle.load.records import check_against_records, read_records
from wagtailtrestle.load.run import run_load
from wagtailtrestle.measure import virtual_time
from wagtailtrestle.measure.fleet import TrueSpeed, fleet_cost_s
from wagtailtrestle.measure.one_run import EXAMPLE_BY_SERVICE, EXAMPLES, NO_FAULT, OURS, MeasuredRun, RunSpec
from wagtailtrestle.measure.workload import with_deadline

TIME_SCALE = 2.0
LOADS = (1.0, 2.5)
ENGINES = 4
ROUTERS = ("router-1", "router-2")
SEED = 1
DURATION_S = 24.0
WARM_UP_S = 6.0
LONGEST_DEADLINE_S = 20.0
STEP_GROWTH = 1.0 / 40.0
"""Growth of the stand-in's step with each run, as the local deployment sets it."""

CHARACTERS_PER_BLOCK = BLOCK_TOKENS * BYTES_PER_TOKEN


class SlowedRun(MeasuredRun):
    """A run on fakes with the slowed engines of a local deployment.

    Parameters
    ----------
    spec : RunSpec
    declaration : Declaration
    """

    def __init__(self, *, spec, declaration):
        super().__init__(spec=spec, declaration=declaration, routers=ROUTERS, warm_up_s=WARM_UP_S)
        self.speed_by_name = {engine.name: _speed(engine) for engine in self.setting.declared_engines}

    def arrivals(self):
        """Return the arrivals with deadlines scaled by ``TIME_SCALE``, capped at what the run waits for."""
        return [
            with_deadline(arrival, min(LONGEST_DEADLINE_S, TIME_SCALE * arrival.kind.deadline_s))
            for arrival in super().arrivals()
        ]


def run(service="asistente"):
    """Print the figures of each point from the fakes and from the processes.

    Parameters
    ----------
    service : {"asistente", "naamkosh"}
    """
    print(
        "| service | load | on | goodput / bound | wasted prefill | in time by tier | started twice, false refusals |"
    )
    print("|---|---|---|---|---|---|---|")
    for load in LOADS:
        document = slowed_document(service)
        slowed = slowed_run(service, load, document)
        figures = virtual_time.run(slowed.run())
        _print(service, load, "fakes", figures)
        _print(service, load, "processes", _on_processes(slowed, document, figures["bound"]))


def slowed_run(service, load, document, duration_s=DURATION_S):
    """Build the run of one point on the fakes; the processes use the same arrivals."""
    spec = RunSpec(service=service, policy=OURS, load=load, scenario=NO_FAULT, seed=SEED, duration_s=duration_s)
    return SlowedRun(spec=spec, declaration=parse_declaration(yaml.safe_dump(document), file=service))


def slowed_document(service):
    """Return a declaration of one service on a few slowed engines."""
    document = yaml.safe_load((EXAMPLES / f"{EXAMPLE_BY_SERVICE[service]}.yaml").read_text())
    document["services"] = [each for each in document["services"] if each["name"] == service]
    document["engines"] = [each for each in document["engines"] if each["service"] == service][:ENGINES]
    for engine in document["engines"]:
        engine["step_ms"] *= TIME_SCALE
        engine["prefill_tokens_per_s"] /= TIME_SCALE
    return document


def _speed(engine):
    step_s = engine.step_ms / 1000.0
    return TrueSpeed(
        slots=engine.slots,
        base_step_s=step_s,
        per_run_step_s=step_s * STEP_GROWTH,
        prefill_tokens_per_s=engine.prefill_tokens_per_s,
    )


def _on_processes(run, document, bound):
    arrivals = run.arrivals()
    routes = run.setting.service.routes_by_name
    plan = [planned_request(arrival, run.setting.service.name, routes[arrival.kind.route]) for arrival in arrivals]
    with running_deployment(document) as deployment:
        results = run_load(urls=deployment.callers_urls(), plan=plan)
        record_check = check_against_records(results, *read_records(deployment.engine_urls()))
    asked, in_time, done_s = {}, {}, 0.0
    for arrival, result in zip(arrivals, results, strict=True):
        tier = routes[arrival.kind.route].tier
        if result.in_deadline() and WARM_UP_S <= arrival.at_s + result.total_s < DURATION_S:
            done_s += fleet_cost_s(run.speed_by_name, arrival)
        if arrival.at_s >= WARM_UP_S:
            asked[tier] = asked.get(tier, 0) + 1
            in_time[tier] = in_time.get(tier, 0) + result.in_deadline()
    return {
        "goodput_of_fleet": done_s / (DURATION_S - WARM_UP_S),
        "bound": bound,
        "wasted_prefill": record_check.wasted_share(),
        "by_tier": {tier: {"asked": asked[tier], "in_time": in_time[tier]} for tier in asked},
        "duplicates": len(record_check.doubled),
        "lies": len(record_check.false_refusals),
    }


@contextlib.contextmanager
def running_deployment(document, router_settings=None):
    """Start a deployment of the document and close it on exit."""
    with tempfile.TemporaryDirectory(prefix="wagtailtrestle-measure-") as directory:
        deployment = Deployment(
            directory=Path(directory), document=document, routers=len(ROUTERS), router_settings=router_settings
        )
        try:
            deployment.start()
            deployment.apply()
            deployment.wait_routers_ready()
            # Wait for one round of load reports, so that the schedulers know the engines.
            time.sleep(1.0)
            yield deployment
        finally:
            deployment.close()


def planned_request(arrival, service, route):
    """Return the request that the load client sends for an arrival."""
    kind = RequestKind(
        name=route.name,
        service=service,
        path=route.path,
        route=route.name,
        tier=route.tier,
        key=f"example-key-{arrival.team}",
        share=1,
        prompt_tokens=arrival.prompt_tokens,
        output_tokens=arrival.output_cap,
        deadline_ms=int(arrival.kind.deadline_s * 1000),
        stream=False,
        repeatable=route.repeatable,
    )
    return PlannedRequest(
        number=arrival.number,
        at_s=arrival.at_s,
        kind=kind,
        caller_request_id=f"measure-{arrival.number}",
        prompt=_prompt(arrival),
        output_tokens=arrival.output_cap,
        actual_output_tokens=arrival.output_tokens,
    )


def _prompt(arrival):
    """Return text of the arrival's length; equal prefix blocks of two arrivals give equal text."""
    text = "".join(f"{block:016x}" * (CHARACTERS_PER_BLOCK // 16) for block in arrival.prefix_blocks)
    padding = arrival.prompt_tokens * BYTES_PER_TOKEN - len(text)
    return text + (f"{arrival.number:08x}" * (padding // 8 + 1))[:padding]


def _print(service, load, on, figures):
    tiers = ", ".join(
        f"{tier} {counts['in_time'] / counts['asked']:.1%}" for tier, counts in sorted(figures["by_tier"].items())
    )
    print(
        f"| {service} | {load} | {on} | {figures['goodput_of_fleet'] / figures['bound']:.3f} "
        f"| {figures['wasted_prefill']:.2%} | {tiers} | {figures['duplicates']}, {figures['lies']} |",
        flush=True,
    )


if __name__ == "__main__":
    fire.Fire(run)
