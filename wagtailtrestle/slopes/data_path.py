"""Cost of the data path: processor time of a real router process by request rate and by token rate."""

import json
import tempfile
import time
from pathlib import Path

import yaml

from wagtailtrestle.demo.deployment import Deployment
from wagtailtrestle.load.mix import RequestKind
from wagtailtrestle.load.plan import make_plan
from wagtailtrestle.load.run import run_load
from wagtailtrestle.slopes.slope import Slope

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
REQUEST_RATES = (0, 10, 20, 40)
TOKEN_LENGTHS = (2, 50, 100, 200)
TOKEN_RUN_RATE = 10
DURATION_S = 8.0
IDLE_S = 5.0
TICKS_PER_S = 100


class Usage:
    """Processor time, s, and resident memory, bytes, of a process at one moment."""

    __slots__ = ("processor_s", "resident_bytes")

    def __init__(self, *, processor_s, resident_bytes):
        self.processor_s = processor_s
        self.resident_bytes = resident_bytes


def usage_of(pid):
    """Read the usage of a process from ``/proc``."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    status = Path(f"/proc/{pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return Usage(
        processor_s=(int(fields[11]) + int(fields[12])) / TICKS_PER_S,
        resident_bytes=int(resident.split()[1]) * 1024,
    )


def main():
    """Print the slopes of the data path."""
    with tempfile.TemporaryDirectory(prefix="wagtailtrestle-slopes-") as directory:
        deployment = Deployment(directory=Path(directory), document=_document(), routers=1)
        try:
            deployment.start()
            deployment.apply()
            deployment.wait_routers_ready()
            _measure(deployment)
        finally:
            deployment.close()


def _measure(deployment):
    pid = next(iter(deployment.routers_by_name.values())).pid
    _load(deployment, rate=10, tokens=10)
    by_rate = [(rate, _core_share(deployment, pid, rate=rate, tokens=2)) for rate in REQUEST_RATES]
    Slope(role="entry", quantity="router's processor time, % of a core", against="requests/s", points=by_rate).print()
    by_tokens = [
        (tokens * TOKEN_RUN_RATE, _core_share(deployment, pid, rate=TOKEN_RUN_RATE, tokens=tokens))
        for tokens in TOKEN_LENGTHS
    ]
    Slope(
        role="entry",
        quantity=f"router's processor time, % of a core, at {TOKEN_RUN_RATE} requests/s",
        against="tokens/s",
        points=by_tokens,
    ).print()
    print(json.dumps({"role": "entry", "quantity": "resident memory, bytes", "value": usage_of(pid).resident_bytes}))


def _core_share(deployment, pid, *, rate, tokens):
    began, before = time.monotonic(), usage_of(pid)
    if rate:
        _load(deployment, rate=rate, tokens=tokens)
    else:
        time.sleep(IDLE_S)
    elapsed = time.monotonic() - began
    return (usage_of(pid).processor_s - before.processor_s) / elapsed * 100


def _load(deployment, *, rate, tokens):
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
        deadline_ms=30_000,
    )
    plan = make_plan(kinds=(kind,), rate=rate, duration_s=DURATION_S, seed=1)
    for planned in plan:
        planned.output_tokens = tokens
    results = run_load(urls=deployment.callers_urls(), plan=plan)
    if not all(result.complete for result in results):
        raise RuntimeError("the router did not answer every request completely, so the slope is not valid")


def _document():
    document = yaml.safe_load((EXAMPLES / "cometas.yaml").read_text())
    document["engines"] = [engine for engine in document["engines"] if engine["name"] == "asistente-1"]
    document["engines"][0].update(slots=64, step_ms=2)
    document["services"] = [service for service in document["services"] if service["name"] == "asistente"]
    return document


if __name__ == "__main__":
    main()
