"""All machines lose power for 1.4 s while the engines of a service are replaced by ones of another version.

Streams that the old version began are taken up again by their clients once the machines are back. They may go on only at
the version that began them, of which no engine is left, so they have to be refused. TROUBLE=0: the same release, with
no loss of power.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.client import exchange, head_of
from lib.deployment import BOUNDS, KEY, SERVICE_HOST, Deployment, Record, configuration, finish
from lib.engine import Engine

STREAMS = 9
EVENTS = 70
PAUSE_S = 0.1
BEGUN_S = 1.5
DOWN_S = 1.4
LEAVES_AFTER_S = 0.2
DEADLINE_S = 15.0
MAX_TRIES = 4
MAX_JOINED = 2


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record, "events": EVENTS, "pause_s": PAUSE_S}
        old = [Engine(name=f"i-old{n}", service="asistente", version="v1", **options) for n in (1, 2)]
        new = [Engine(name=f"i-new{n}", service="asistente", version="v2", **options) for n in (1, 2)]
        plain = [Engine(name="i-r1", service="reservas", **options)]
        deployment.start(configuration(resumable=True), old + plain)
        deployment.engines += new
        deployment.wait_served()
        time.sleep(BOUNDS["contact_ms"] / 1000.0)
        streams = {}
        threads = [threading.Thread(target=follow, args=(deployment, record, n, streams), daemon=True) for n in range(STREAMS)]
        for thread in threads:
            thread.start()
        time.sleep(BEGUN_S)
        release(deployment, record, old, new, trouble)
        for thread in threads:
            thread.join()
        return judge(record, streams)
    finally:
        deployment.close()


def release(deployment, record, old, new, trouble):
    """Replace the engines while the power fails: new ones start, the entries of the old ones go, which serve on."""
    if trouble:
        for router in deployment.routers:
            router.kill()
        record("all machines lose power")
    back_at = time.monotonic() + DOWN_S
    for engine in new:
        engine.start()
        record(f"engine {engine.name} of version {engine.version} starts")
    time.sleep(LEAVES_AFTER_S)
    for engine in old:
        engine.withdraw()
        record(f"the entry of engine {engine.name} of version {engine.version} is removed")
    exit_at = time.monotonic() + BOUNDS["drain_ms"] / 1000.0 + 0.2
    time.sleep(max(0.0, back_at - time.monotonic()))
    if trouble:
        for router in deployment.routers:
            router.start()
        record("all machines have power again")
    time.sleep(max(0.0, exit_at - time.monotonic()))
    for engine in old:
        engine.exit()
        record(f"engine {engine.name} exits")


def follow(deployment, record, number, streams):
    """Begin a stream, and take it up again where it broke off; keep what its events say of their engine."""
    until = time.monotonic() + DEADLINE_S
    path = f"/stream/{number}"
    first_id = f"b{number}"
    events = streams[number] = {}
    begin = ask(deployment.routers[number % 3], record, path, first_id, until, ())
    keep(events, begin)
    for attempt in range(MAX_TRIES):
        if not events or len(events) == EVENTS:
            return
        router = ready_router(deployment, number + attempt + 1, until)
        if router is None:
            return
        extra = (f"Last-Event-Id: {max(events)}", f"Resumes: {first_id}")
        answer = ask(router, record, path, f"c{number}-{attempt}", until, extra)
        keep(events, answer)
        # Clients honour Retry-After up to a third of the time that they have left.
        wait_s = float(answer.headers.get("retry-after", 0.2))
        time.sleep(max(0.0, min(wait_s, (until - time.monotonic()) / 3)))


def ready_router(deployment, number, until):
    """Return a router that is ready, as the platform hands no connection to others; None at the deadline."""
    while time.monotonic() < until:
        for place in range(3):
            router = deployment.routers[(number + place) % 3]
            if router.is_ready():
                return router
        time.sleep(0.1)
    return None


def ask(router, record, path, request_id, until, extra):
    left_ms = max(1, int((until - time.monotonic()) * 1000))
    extra = ["Token-Counts: 300,350", *extra]
    head = head_of("POST", path, request_id, host=SERVICE_HOST, key=KEY, deadline_ms=left_ms, extra=extra)
    record(f"client sends {request_id} {path} {', '.join(extra)} to {router.name}")
    answer = exchange(router.front, head + b"Content-Length: 4\r\n\r\nbody", timeout_s=left_ms / 1000.0)
    record(f"client gets {request_id}: {answer}, events {answer.event_ids[:1]} to {answer.event_ids[-1:]}")
    return answer


def keep(events, answer):
    """Keep, by event id, the engine that the event names."""
    if answer.status != 200:
        return
    for event in answer.body.decode("latin-1").split("\n\n"):
        lines = event.split("\n")
        if len(lines) == 2 and lines[0].startswith("id: ") and lines[1].startswith("data: "):
            events[int(lines[0][4:])] = lines[1].split()[1]


def judge(record, streams):
    joined = []
    for number, events in sorted(streams.items()):
        versions = {"v1" if engine.startswith("i-old") else "v2" for engine in events.values()}
        record(f"stream {number}: {len(events)} of {EVENTS} events, versions {' '.join(sorted(versions))}")
        if len(versions) > 1:
            joined.append(number)
    text = f"{len(joined)} of {len(streams)} streams hold events of two software versions"
    record(text)
    print(text)
    return len(joined) > MAX_JOINED


finish(main)
