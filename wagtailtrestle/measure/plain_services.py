"""Measure the top tiers of plain services on real processes: ``python -m wagtailtrestle.measure.plain_services``.

The plain service gets 2.5 times the load that its engines can serve, of which the top tier's share fits their
capacity; a service without a lower tier gets only the load that fits. Meanwhile callers of the language
service overload the same routers, which have few threads, so that the routers' own limits apply too.
"""

import random

import fire
import yaml

from wagtailtrestle.load.mix import RequestKind
from wagtailtrestle.load.plan import PlannedRequest
from wagtailtrestle.load.records import check_against_records, read_records
from wagtailtrestle.load.run import run_load
from wagtailtrestle.measure.one_run import EXAMPLE_BY_SERVICE, EXAMPLES
from wagtailtrestle.measure.real_processes import (
    planned_request,
    running_deployment,
    slowed_document,
    slowed_run,
)

DURATION_S = 15.0
LOAD = 2.5
SEED = 1
SLOTS = 4
CALLER_THREADS = 48
FITTING_LOAD = 0.7
"""Load of the top tier, as a share of the plain engines' capacity."""


class PlainCase:
    """Plain service of one deployment: its slowdown against the declaration, and its load by route.

    Parameters
    ----------
    service, language : str
    time_scale : float
    load_by_route : dict of str to float
        Multiples of the engines' capacity, with the top tier's route first.
    """

    __slots__ = ("service", "language", "time_scale", "load_by_route")

    def __init__(self, *, service, language, time_scale, load_by_route):
        self.service = service
        self.language = language
        self.time_scale = time_scale
        self.load_by_route = load_by_route


CASES = (
    PlainCase(
        service="reservas",
        language="asistente",
        time_scale=10.0,
        load_by_route={"book": FITTING_LOAD, "slot-status": LOAD - FITTING_LOAD},
    ),
    PlainCase(service="thikana", language="naamkosh", time_scale=40.0, load_by_route={"door-number": FITTING_LOAD}),
)


def run():
    """Print by route the share answered in time, and duplicates and false refusals by the engines' records."""
    print("| service | route | tier | load | sent | in time | refused unrun | started twice, false refusals |")
    print("|---|---|---|---|---|---|---|---|")
    for case in CASES:
        _measure(case)


def _measure(case):
    document = _document(case)
    plan = _plain_plan(case, document) + _language_plan(case, document)
    plan.sort(key=lambda planned: planned.at_s)
    for number, planned in enumerate(plan):
        planned.number = number
    with running_deployment(document, {"caller_threads": CALLER_THREADS}) as deployment:
        results = run_load(urls=deployment.callers_urls(), plan=plan)
        record_check = check_against_records(results, *read_records(deployment.engine_urls()))
    by_route = {}
    for result in results:
        by_route.setdefault((result.planned.kind.service, result.planned.kind.name), []).append(result)
    for (service, route), group in sorted(by_route.items()):
        load = case.load_by_route.get(route, LOAD) if service == case.service else LOAD
        in_time = sum(result.in_deadline() for result in group) / len(group)
        refused = sum(not result.complete and result.executed == "no" for result in group) / len(group)
        print(
            f"| {service} | {route} | {group[0].planned.kind.tier} | {load:.1f} | {len(group)} | {in_time:.1%} "
            f"| {refused:.1%} | {len(record_check.doubled)}, {len(record_check.false_refusals)} |",
            flush=True,
        )


def _document(case):
    document = slowed_document(case.language)
    example = yaml.safe_load((EXAMPLES / f"{EXAMPLE_BY_SERVICE[case.language]}.yaml").read_text())
    document["services"] += [each for each in example["services"] if each["name"] == case.service]
    for engine in example["engines"]:
        if engine["service"] == case.service:
            slowed = {"slots": SLOTS, "step_ms": engine["step_ms"] * case.time_scale}
            document["engines"].append({**engine, **slowed})
    return document


def _plain_plan(case, document):
    rng = random.Random(f"{case.service} {SEED}")
    engines = [engine for engine in document["engines"] if engine["service"] == case.service]
    capacity = sum(engine["slots"] / engine["step_ms"] * 1000.0 for engine in engines)
    (service,) = [each for each in document["services"] if each["name"] == case.service]
    routes_by_name = {route["name"]: route for route in service["routes"]}
    plan = []
    for name, load in case.load_by_route.items():
        at_s = rng.expovariate(load * capacity)
        while at_s < DURATION_S:
            plan.append(_plain_request(case, routes_by_name[name], at_s, f"plain-{len(plan)}"))
            at_s += rng.expovariate(load * capacity)
    return plan


def _plain_request(case, route, at_s, request_id):
    kind = RequestKind(
        name=route["name"],
        service=case.service,
        method=route["method"],
        path=f"/{case.service}{route['path']}",
        route=route["name"],
        tier=route["tier"],
        key=f"example-key-{route.get('teams', ['oficina'])[0]}",
        share=1,
        deadline_ms=route["deadline_ms"],
        repeatable=route["repeatable"],
    )
    return PlannedRequest(number=0, at_s=at_s, kind=kind, caller_request_id=request_id, prompt="", output_tokens=0)


def _language_plan(case, document):
    slowed = slowed_run(case.language, LOAD, document, duration_s=DURATION_S)
    routes_by_name = slowed.setting.service.routes_by_name
    return [planned_request(each, case.language, routes_by_name[each.kind.route]) for each in slowed.arrivals()]


if __name__ == "__main__":
    fire.Fire(run)
