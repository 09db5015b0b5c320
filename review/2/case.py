"""Streams without a length that the router cuts at the route's timeout: does the client see that they are cut?

For five seconds, and again after a pause, three of six sound engines answer one stream in twenty with neither a length nor
chunks (TROUBLE=0: none). All runs last longer than the route's timeout_ms, so the router has to end the answers early. The
clients would wait longer. An answer that ends early must not look complete.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.client import exchange, head_of
from lib.deployment import KEY, SERVICE_HOST, Deployment, Record, configuration, finish
from lib.engine import Engine

TIMEOUT_MS = 2000
EVENTS = 50
PAUSE_S = 0.1
ENGINES = 6
UNFRAMED_ENGINES = 3
UNFRAMED_EVERY = 20
UNFRAMED_S, BETWEEN_S = 5.0, 1.0
CLIENTS = 40
LASTS_S = 40.0


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record, "events": EVENTS, "pause_s": PAUSE_S}
        engines = [Engine(name=f"i-a{number}", service="asistente", **options) for number in range(ENGINES)]
        engines.append(Engine(name="i-r1", service="reservas", **options))
        deployment.start(configuration(stream_timeout_ms=TIMEOUT_MS), engines)
        deployment.wait_served()
        ends_at = time.monotonic() + LASTS_S
        if trouble:
            threading.Thread(target=unframe, args=(engines[:UNFRAMED_ENGINES], ends_at, record), daemon=True).start()
        return judge(deployment, record, ends_at)
    finally:
        deployment.close()


def unframe(engines, ends_at, record):
    """Have engines answer without lengths for a while, again and again."""
    while time.monotonic() < ends_at:
        for every, seconds in ((UNFRAMED_EVERY, UNFRAMED_S), (0, BETWEEN_S)):
            for engine in engines:
                engine.unframed_every = every
            record(f"{len(engines)} engines answer one stream in {every} without a length" if every else "all have a length")
            time.sleep(seconds)


def judge(deployment, record, ends_at):
    answers, wrong = [], []
    clients = [
        threading.Thread(target=press, args=(deployment, record, number, ends_at, answers, wrong), daemon=True)
        for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    for text in wrong:
        record(f"BROKEN: {text}")
    begun = sum(answer.status == 200 for answer in answers)
    text = f"{len(wrong)} of {begun} streams that began, of {len(answers)} requests, ended early and looked complete"
    record(text)
    print(text)
    return bool(wrong)


def press(deployment, record, client, ends_at, answers, wrong):
    """Send one stream after the other to one router."""
    router = deployment.routers[client % len(deployment.routers)]
    number = 0
    while time.monotonic() < ends_at:
        number += 1
        request_id = f"c{client:02d}-{number:03d}"
        path = f"/stream/{request_id}"
        head = head_of("POST", path, request_id, host=SERVICE_HOST, key=KEY, extra=["Token-Counts: 1460,250"])
        record(f"client sends {request_id} to {router.name}")
        answer = exchange(router.front, head + b"Content-Length: 4\r\n\r\nbody")
        record(f"client gets {request_id}: {answer}, events {answer.event_ids[-1:]}")
        answers.append(answer)
        if answer.is_complete and answer.status == 200 and answer.event_ids != list(range(1, EVENTS + 1)):
            wrong.append(f"{request_id}: 200 and a complete stream with {len(answer.event_ids)} of {EVENTS} events")
        if answer.status != 200:
            time.sleep(float(answer.headers.get("retry-after", 0.5)))


finish(main)
