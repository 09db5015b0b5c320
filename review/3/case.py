"""A booking that crashes each engine that begins to run it, sent again and again at any machine.

The engines are back after some seconds, under the id that they had. After the third crash and contact_ms, the request
may reach engines three times more. TROUBLE=0: the same request, which crashes no engine.
"""

import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.client import exchange, head_of
from lib.deployment import BOUNDS, KEY, SERVICE_HOST, Deployment, Record, configuration, finish
from lib.engine import CrashingEngine, Engine

ENGINES = 3
DOWN_S = 2.2
INTERVAL_S = 2.5
SENDINGS = 18
CRASHES = 3
MAX_RETRIES = 3
POISON = "/book/poison"


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record}
        engines = [Engine(name=f"i-a{n}", service="asistente", **options) for n in (1, 2)]
        crashing = [
            CrashingEngine(name=f"i-r{n}", service="reservas", down_s=DOWN_S, crashes=trouble, **options)
            for n in range(ENGINES)
        ]
        deployment.start(configuration(), engines + crashing)
        deployment.wait_served()
        answers = send_all(deployment, record)
        return judge(crashing, record, answers, trouble)
    finally:
        deployment.close()


def send_all(deployment, record):
    answers = {}
    threads = []
    for number in range(SENDINGS):
        router = deployment.routers[number % len(deployment.routers)]
        threads.append(threading.Thread(target=send, args=(router, record, f"p{number:04d}", POISON, answers)))
        threads[-1].start()
        name = f"s{number:04d}"
        threads.append(threading.Thread(target=send, args=(router, record, name, f"/book/{name}", answers)))
        threads[-1].start()
        time.sleep(INTERVAL_S)
    for thread in threads:
        thread.join()
    return answers


def send(router, record, request_id, path, answers):
    head = head_of("POST", path, request_id, host=SERVICE_HOST, key=KEY, deadline_ms=4000)
    record(f"client sends {request_id} {path} to {router.name}")
    answers[request_id] = exchange(router.front, head + b"Content-Length: 4\r\n\r\nbody", timeout_s=5.0)
    record(f"client gets {request_id}: {answers[request_id]}")


def judge(engines, record, answers, trouble):
    crashes = sorted(at for engine in engines for at in engine.crashed_at)
    runs = sorted(at for engine in engines for at, _, _, path, _ in engine.ran if path == POISON)
    served = sum(answer.status == 200 for answer in answers.values())
    record(f"{len(runs)} runs of the request, {len(crashes)} crashes; {served} of {len(answers)} requests were served")
    if trouble and len(crashes) < CRASHES:
        print(f"{len(crashes)} crashes")
        return False
    after = crashes[CRASHES - 1] + BOUNDS["contact_ms"] / 1000.0 if crashes else float("inf")
    late = sum(at > after for at in runs)
    text = f"{late} runs of the request over contact_ms after its third crash, {len(crashes)} crashes in all"
    record(text)
    print(text)
    return late > MAX_RETRIES


finish(main)
