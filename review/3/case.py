"""Another writer overwrites one engine's entry, with text as its version that can't be encoded.

The entry names no engine to use until the engine writes its own again, at its next heartbeat. The routers use it all the
same, and the task of each resumable stream that begins at that engine fails, which ends the process. TROUBLE=0: the same
without that entry.
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

TIMEOUT_S = 3.0
"""The route's timeout_ms."""

ALLOWED_S = 0.5
WAIT_S = 8.0
CLIENTS = 12
"""Clients of each router, each with one stream at a time."""

PAUSE_S = 0.1
BEFORE_S, AFTER_S = 2.0, 6.0
EXIT_S = 12.0


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record}
        engines = [Engine(name=f"i-a{n}", service="asistente", **options) for n in (1, 2, 3)]
        engines += [Engine(name="i-r1", service="reservas", **options)]
        deployment.start(configuration(resumable=True, stream_timeout_ms=int(TIMEOUT_S * 1000)), engines)
        deployment.wait_served()
        stopped = threading.Event()
        answers = {}
        threads = [
            threading.Thread(target=ask_on, args=(router, record, f"{place}c{n}", stopped, answers), daemon=True)
            for place, router in enumerate(deployment.routers)
            for n in range(CLIENTS)
        ]
        for thread in threads:
            thread.start()
        time.sleep(BEFORE_S)
        if trouble:
            overwrite(deployment, record, engines[0])
        time.sleep(AFTER_S)
        stopped.set()
        for thread in threads:
            thread.join()
        return judge(deployment, record, answers)
    finally:
        deployment.close()


def overwrite(deployment, record, engine):
    """Write the engine's entry as another writer; the engine writes its own again at its next heartbeat."""
    engine.wait_heartbeat()
    entry = engine.entry() | {"version": "\udcff"}
    deployment.store.put("servers", engine.name, entry)
    record(f"another writer writes the entry of {engine.name}, with a version that can't be encoded")


def ask_on(router, record, name, stopped, answers):
    """Ask for one stream after the other, until the router's process takes no more."""
    number = 0
    while not stopped.is_set():
        number += 1
        request_id = f"s{name}x{number}"
        head = head_of("POST", f"/stream/{request_id}", request_id, host=SERVICE_HOST, key=KEY, deadline_ms=int(WAIT_S * 1000))
        record(f"client sends {request_id} to {router.name}")
        answer = answers[request_id] = exchange(router.front, head + b"Content-Length: 4\r\n\r\nbody", timeout_s=WAIT_S)
        record(f"client gets {request_id}: {answer}")
        time.sleep(PAUSE_S)


def judge(deployment, record, answers):
    """Return whether more than half of the requests unanswered at the route's timeout are so half a second later."""
    until = time.monotonic() + EXIT_S
    while time.monotonic() < until and not all(router.exit_status is not None for router in deployment.routers):
        time.sleep(0.1)
    ended = [f"{router.name} {router.exit_status}" for router in deployment.routers if router.exit_status is not None]
    sent = [answer for answer in answers.values() if answer.status]
    unanswered = [answer for answer in sent if answer.took_s > TIMEOUT_S]
    still = [answer for answer in unanswered if answer.took_s > TIMEOUT_S + ALLOWED_S]
    text = (
        f"{len(still)} of {len(unanswered)} requests unanswered at timeout_ms, of {len(sent)}, had no answer"
        f" {ALLOWED_S} s later; processes that ended by themselves: {', '.join(ended) or 'none'}"
    )
    record(text)
    print(text)
    return 2 * len(still) > len(unanswered)


finish(main)
