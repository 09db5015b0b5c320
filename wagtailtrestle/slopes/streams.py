"""Cost of one token in a router by the number of concurrent streams.

The engine's step grows with the number of streams, so the tokens a second stay the same. Each point is
the difference between long and short answers, which cancels the fixed cost of a request; the cost of the
idle process is subtracted.
"""

import tempfile
import time
from pathlib import Path

import yaml

from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.load.mix import RequestKind
from wagtailtrestle.load.plan import make_plan
from wagtailtrestle.load.run import run_load
from wagtailtrestle.slopes.data_path import EXAMPLES, IDLE_S, usage_of
from wagtailtrestle.slopes.slope import Slope

STREAM_COUNTS = (1, 16, 64, 128)
TOKENS_PER_S = 800
SHORT_S, LONG_S = 3.0, 10.0
START_WITHIN_S = 0.5
DEADLINE_MS = 60_000
CALLER_THREADS = 200


class LoadUsage:
    """Processor time, elapsed time and tokens of one load."""

    __slots__ = ("processor_s", "elapsed_s", "tokens")

    def __init__(self, *, processor_s, elapsed_s, tokens):
        self.processor_s = processor_s
        self.elapsed_s = elapsed_s
        self.tokens = tokens


def token_us(streams):
    """Return the processor time in µs that a router uses for one token at this number of concurrent streams."""
    with tempfile.TemporaryDirectory(prefix="wagtailtrestle-slopes-") as directory:
        deployment = _deployment(directory, streams)
        try:
            deployment.start()
            deployment.apply()
            deployment.wait_routers_ready()
            return _token_us(deployment, streams)
        finally:
            deployment.close()


def _token_us(deployment, streams):
    pid = next(iter(deployment.routers_by_name.values())).pid
    _usage_of_load(deployment, pid, streams, seconds=1.0)
    idle = usage_of(pid).processor_s
    time.sleep(IDLE_S)
    idle_share = (usage_of(pid).processor_s - idle) / IDLE_S
    short = _usage_of_load(deployment, pid, streams, seconds=SHORT_S)
    long = _usage_of_load(deployment, pid, streams, seconds=LONG_S)
    extra_s = long.processor_s - short.processor_s - idle_share * (long.elapsed_s - short.elapsed_s)
    return extra_s / (long.tokens - short.tokens) * 1e6


def _usage_of_load(deployment, pid, streams, *, seconds):
    tokens = max(2, int(TOKENS_PER_S * seconds / streams))
    began, before = time.monotonic(), usage_of(pid)
    results = run_load(urls=deployment.callers_urls(), plan=_plan(streams, tokens))
    if not all(result.complete for result in results):
        raise RuntimeError("the router did not answer every request completely, so the slope is not valid")
    return LoadUsage(
        processor_s=usage_of(pid).processor_s - before.processor_s,
        elapsed_s=time.monotonic() - began,
        tokens=tokens * streams,
    )


def _plan(streams, tokens):
    kind = RequestKind(
        name="question",
        service="asistente",
        path="/v1/chat/completions",
        tier="question",
        key="example-key-oficina",
        share=1,
        prompt_tokens=40,
        output_tokens=tokens,
        spread=0.001,
        deadline_ms=DEADLINE_MS,
    )
    plan = make_plan(kinds=(kind,), rate=4 * streams, duration_s=60, seed=1)[:streams]
    for planned in plan:
        planned.at_s = START_WITHIN_S * planned.number / streams
        planned.output_tokens = tokens
    return plan


def _deployment(directory, streams):
    step_ms = 1e3 * streams / TOKENS_PER_S
    document = yaml.safe_load((EXAMPLES / "cometas.yaml").read_text())
    document["engines"] = [engine for engine in document["engines"] if engine["name"] == "asistente-1"]
    document["engines"][0].update(slots=2 * streams, step_ms=step_ms)
    document["services"] = [service for service in document["services"] if service["name"] == "asistente"]
    return Deployment(
        directory=Path(directory),
        document=document,
        routers=1,
        engine_settings={"base_step_ms": step_ms, "per_run_step_ms": 0.0},
        router_settings={"caller_threads": CALLER_THREADS},
    )


def main():
    """Print the slope of the cost of a token."""
    Slope(
        role="entry",
        quantity=f"router's processor time for one token, us, at {TOKENS_PER_S} tokens/s together",
        against="streams at a time",
        points=[(streams, token_us(streams)) for streams in STREAM_COUNTS],
    ).print()


if __name__ == "__main__":
    main()
