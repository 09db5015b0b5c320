"""All machines lose power for 1.4 s while two versions of a service's engines serve side by side.

Later than contact_ms after the machines are back, the clients take their streams up again, while two engines of each version
serve. TROUBLE=0: the same with no loss of power; the clients' connections break instead.
"""

import socket
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.client import Connection, exchange, head_of
from lib.deployment import BOUNDS, KEY, SERVICE_HOST, Deployment, Record, configuration, finish
from lib.engine import Engine

STREAMS = 18
EVENTS = 70
PAUSE_S = 0.1
BEGUN_S = 1.5
DOWN_S = 1.4
SETTLE_S = 0.6
"""Added to contact_ms, before the streams are taken up."""

MIN_STREAMS = 12
"""Fewer streams break no rule."""


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record, "events": EVENTS, "pause_s": PAUSE_S}
        engines = [
            Engine(name=f"i-{version}{n}", service="asistente", version=version, **options)
            for version in ("v1", "v2")
            for n in (1, 2)
        ]
        engines.append(Engine(name="i-r1", service="reservas", **options))
        deployment.start(configuration(resumable=True), engines)
        deployment.wait_served()
        time.sleep(2 * BOUNDS["contact_ms"] / 1000.0)
        begun, connections = {}, []
        threads = [start(ask, deployment, record, begun, n, f"b{n}", (), connections) for n in range(STREAMS)]
        time.sleep(BEGUN_S)
        if trouble:
            lose_power(deployment, record)
        else:
            break_connections(connections, record)
        for thread in threads:
            thread.join()
        time.sleep(BOUNDS["contact_ms"] / 1000.0 + SETTLE_S)
        return judge(record, *take_up(deployment, record, begun))
    finally:
        deployment.close()


def lose_power(deployment, record):
    for router in deployment.routers:
        router.kill()
    record("all machines lose power")
    time.sleep(DOWN_S)
    for router in deployment.routers:
        router.start()
    record("all machines have power again")
    deployment.wait_ready()
    record("all machines are ready")


def break_connections(connections, record):
    for connection in connections:
        connection.sock.shutdown(socket.SHUT_RDWR)
    record("the clients' connections break")
    time.sleep(DOWN_S)


def take_up(deployment, record, begun):
    """Take up each stream and begin as many new ones, all at once; return the answers of both."""
    resumed, fresh, threads = {}, {}, []
    for number, answer in begun.items():
        extra = (f"Last-Event-Id: {answer.event_ids[-1]}", f"Resumes: b{number}")
        threads.append(start(ask, deployment, record, resumed, number, f"c{number}", extra))
        threads.append(start(ask, deployment, record, fresh, number, f"n{number}", ()))
    for thread in threads:
        thread.join()
    return resumed, fresh


def start(function, *arguments):
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def ask(deployment, record, answers, number, request_id, extra, connections=None):
    """Send one request for a stream to a machine that depends on its number, and keep the answer."""
    router = deployment.routers[(number + len(extra)) % len(deployment.routers)]
    extra = ["Token-Counts: 300,350", *extra]
    head = head_of("POST", f"/stream/{number}", request_id, host=SERVICE_HOST, key=KEY, extra=extra)
    record(f"client sends {request_id} {', '.join(extra)} to {router.name}")
    connection = Connection(router.front, timeout_s=15.0)
    if connections is not None:
        connections.append(connection)
    data = head + b"Content-Length: 4\r\n\r\nbody"
    answer = answers[number] = exchange(router.front, data, connection=connection)
    connection.close()
    record(f"client gets {request_id}: {answer}, events {answer.event_ids[:1]} to {answer.event_ids[-1:]}")


def judge(record, resumed, fresh):
    went_on = sum(answer.status == 200 for answer in resumed.values())
    began = sum(answer.status == 200 for answer in fresh.values())
    text = f"{went_on} of {len(resumed)} streams that were taken up went on, {began} of {len(fresh)} new ones began"
    record(text)
    print(text)
    return len(resumed) >= MIN_STREAMS and 2 * went_on * len(fresh) < began * len(resumed)


finish(main)
