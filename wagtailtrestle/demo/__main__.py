"""``make demo``: starts a small Cometas deployment, applies a declaration, sends a mixed load and prints a table."""

import sys
import tempfile
import time
from pathlib import Path

import yaml

from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.load.mix import read_mix
from wagtailtrestle.load.plan import make_plan
from wagtailtrestle.load.records import check_against_records, read_records
from wagtailtrestle.load.report import reason_lines, record_check_lines, rows_by_tier, table
from wagtailtrestle.load.run import run_load

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
ROUTERS = 3
TIME_SCALE = 3.0
OVERLOAD = 1.5
DURATION_S = 30.0
SEED = 7


def main():
    """Run the demo; exit status 0 if every tier was served, every guarantee held and all processes stopped cleanly."""
    document = yaml.safe_load((EXAMPLES / "cometas.yaml").read_text())
    kinds = read_mix((EXAMPLES / "load" / "cometas.yaml").read_text())
    with tempfile.TemporaryDirectory(prefix="wagtailtrestle-demo-") as directory:
        deployment = Deployment(directory=Path(directory), document=document, routers=ROUTERS, time_scale=TIME_SCALE)
        try:
            succeeded = _run(deployment, kinds)
        finally:
            statuses = deployment.close()
    print(f"stopped {len(statuses)} processes, exit statuses {sorted(set(statuses.values()))}")
    sys.exit(0 if succeeded and not any(statuses.values()) else 1)


def _run(deployment, kinds):
    print(f"starting {ROUTERS} routers, {len(deployment.document['engines'])} engines and a platform")
    deployment.start()
    began = time.monotonic()
    deployment.apply()
    deployment.wait_routers_ready()
    print(f"declaration applied and in force on every router after {time.monotonic() - began:.1f} s")
    rate = OVERLOAD * capacity(deployment.document, kinds, TIME_SCALE)
    print(f"sending {rate:.0f} requests a second, {OVERLOAD} times capacity, for {DURATION_S:.0f} s")
    plan = make_plan(kinds=kinds, rate=rate, duration_s=DURATION_S, seed=SEED)
    results = run_load(urls=deployment.callers_urls(), plan=plan)
    rows = rows_by_tier(results, deployment.document["tiers"])
    record_check = check_against_records(results, *read_records(deployment.engine_urls()))
    print(table(rows))
    if reasons := reason_lines(results):
        print(reasons)
    print(record_check_lines(record_check))
    served = any(row.in_deadline for row in rows.values())
    return served and not record_check.false_refusals and not record_check.doubled and not record_check.unreadable


def capacity(document, kinds, time_scale):
    """Return how many requests per second of this mix the language engines can finish.

    An engine divides its time between prefill and decode steps at a full batch; the mix
    determines how much of each a request needs.
    """
    language = [kind for kind in kinds if kind.prompt_tokens]
    share = sum(kind.share for kind in language) / sum(kind.share for kind in kinds)
    total = sum(kind.share for kind in language)
    prompt = sum(kind.share * _mean(kind.prompt_tokens, kind.spread) for kind in language) / total
    output = sum(kind.share * _mean(kind.output_tokens, kind.spread / 2) for kind in language) / total
    rate = 0.0
    for engine in document["engines"]:
        if "prefill_tokens_per_s" not in engine:
            continue
        step_s = engine["step_ms"] / 1000 * (1 + engine["slots"] / 40)
        seconds = prompt / engine["prefill_tokens_per_s"] + output * step_s / engine["slots"]
        rate += 1 / seconds
    return rate / share / time_scale


def _mean(median, spread):
    """Mean of a log-normal distribution."""
    return median * 2.718281828 ** (spread * spread / 2)


if __name__ == "__main__":
    main()
