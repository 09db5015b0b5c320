"""Streams and answers without a length that the router cuts at the route's timeout: does the client see it?

Sound engines answer with neither a length nor chunks and end with their connection (TROUBLE=0: with chunks or a
length). Their runs last longer than the route's timeout_ms, so the router has to end the answers early. The clients
would wait longer. An answer that ends early must not look complete.
"""

import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.client import exchange, head_of
from lib.deployment import KEY, SERVICE_HOST, Deployment, Record, configuration, finish
from lib.engine import Engine

TIMEOUT_MS = 2000
EVENTS = 50
PAUSE_S = 0.1
PLAIN_S = 3.0
ROUNDS = 8
AT_ONCE = 6


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record, "framed": not trouble}
        streaming = {"events": EVENTS, "pause_s": PAUSE_S}
        engines = [Engine(name=f"i-a{n}", service="asistente", **streaming, **options) for n in (1, 2)]
        engines += [Engine(name=f"i-r{n}", service="reservas", plain_s=PLAIN_S, **options) for n in (1, 2)]
        deployment.start(configuration(stream_timeout_ms=TIMEOUT_MS, plain_timeout_ms=TIMEOUT_MS), engines)
        deployment.wait_served()
        return judge(deployment, record)
    finally:
        deployment.close()


def judge(deployment, record):
    wrong = []
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for number in range(ROUNDS):
            jobs = [pool.submit(ask, deployment, record, number * AT_ONCE + place) for place in range(AT_ONCE)]
            wrong += [text for job in jobs if (text := job.result())]
    for text in wrong:
        record(f"BROKEN: {text}")
    record(f"{len(wrong)} of {ROUNDS * AT_ONCE} answers ended early and looked complete")
    print(f"{len(wrong)} of {ROUNDS * AT_ONCE} answers ended early and looked complete")
    return bool(wrong)


def ask(deployment, record, number):
    """Send one request; return what is wrong with its answer, or an empty text."""
    router = deployment.routers[number % len(deployment.routers)]
    is_stream = number % 3 != 2
    path = f"/stream/{number}" if is_stream else f"/status/{number}"
    request_id = f"c{number:04d}"
    extra = ["Token-Counts: 1460,250"] if is_stream else []
    data = head_of("POST" if is_stream else "GET", path, request_id, host=SERVICE_HOST, key=KEY, extra=extra)
    data += b"Content-Length: 4\r\n\r\nbody" if is_stream else b"\r\n"
    record(f"client sends {request_id} {path} to {router.name}")
    answer = exchange(router.front, data)
    record(f"client gets {request_id}: {answer}, events {answer.event_ids[-1:]}")
    if not answer.is_complete or not 200 <= answer.status < 300:
        return ""
    if is_stream and answer.event_ids != list(range(1, EVENTS + 1)):
        return f"{request_id}: 200 and a complete stream with {len(answer.event_ids)} of {EVENTS} events"
    if not is_stream and not answer.body.endswith(b'"}'):
        return f"{request_id}: 200 and a complete body with {len(answer.body)} bytes, half of the engine's"
    return ""


finish(main)
