"""Measures the latency that a router adds: the same requests through it and directly to its engine.

Run as ``python -m wagtailtrestle.load.latency``; it starts its own small deployment. Requests on
both paths alternate in one run, so that noise on the machine affects both equally.
"""

import json
import tempfile
import threading
import time
from pathlib import Path

import urllib3
import yaml
from hdrh.histogram import HdrHistogram

from wagtailtrestle.demo.deployment import Deployment

EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
RATE = 100.0
DURATION_S = 20.0
WARM_UP_S = 3.0
OUTPUT_TOKENS = 2
STEP_MS = 2.0
PERCENTILES = (50, 95, 99)
HEADERS = {"Authorization": "Bearer example-key-oficina", "Content-Type": "application/json"}


def measure():
    """Run the measurement; return latency percentiles in ms for each path, and what the router adds."""
    document = yaml.safe_load((EXAMPLES / "cometas.yaml").read_text())
    document["engines"] = [engine for engine in document["engines"] if engine["name"] == "asistente-1"]
    document["engines"][0].update(slots=32, step_ms=STEP_MS)
    document["services"] = [service for service in document["services"] if service["name"] == "asistente"]
    with tempfile.TemporaryDirectory(prefix="wagtailtrestle-latency-") as directory:
        deployment = Deployment(directory=Path(directory), document=document, routers=1)
        try:
            deployment.start()
            deployment.apply()
            deployment.wait_routers_ready()
            return _compare(deployment.callers_urls()[0], deployment.engine_url("asistente-1"))
        finally:
            deployment.close()


def _compare(router, engine):
    _send_all({"router": router, "straight": engine}, WARM_UP_S)
    histograms = _send_all({"router": router, "straight": engine}, DURATION_S)
    percentiles_by_path = {path: _percentiles(histogram) for path, histogram in histograms.items()}
    added = {
        key: round(percentiles_by_path["router"][key] - percentiles_by_path["straight"][key], 2)
        for key in percentiles_by_path["router"]
    }
    return {
        "rate": RATE,
        "sent": {path: each.total_count for path, each in histograms.items()},
        **percentiles_by_path,
        "added": added,
    }


def _send_all(url_by_path, duration_s):
    histograms = {path: HdrHistogram(1, 60_000_000, 3) for path in url_by_path}
    pool = urllib3.PoolManager(maxsize=64, retries=False)
    threads = []
    began = time.monotonic()
    for number in range(int(RATE * duration_s)):
        due_at = began + number / RATE
        time.sleep(max(due_at - time.monotonic(), 0))
        for path, url in url_by_path.items():
            thread = threading.Thread(target=_send, args=(pool, url, histograms[path]))
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()
    return histograms


def _send(pool, url, histogram):
    body = {"model": "asistente", "max_tokens": OUTPUT_TOKENS, "messages": [{"role": "user", "content": "hello"}]}
    began = time.monotonic()
    response = pool.request("POST", f"{url}/v1/chat/completions", json=body, headers=HEADERS, timeout=10)
    if response.status == 200:
        histogram.record_value(int((time.monotonic() - began) * 1e6))


def _percentiles(histogram):
    return {f"p{each}_ms": round(histogram.get_value_at_percentile(each) / 1000, 2) for each in PERCENTILES}


if __name__ == "__main__":
    print(json.dumps(measure()))
