"""A client's request that holds another request in its body, and whose length is not a valid one.

In turn the length is -1, or there are two lengths that differ. The router has to refuse the request and end the
connection. An engine must not run what was smuggled inside it, nor run the request without its body. TROUBLE=0: the same
requests with one length, that of the body.
"""

import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lib.client import head_of
from lib.deployment import KEY, SERVICE_HOST, Deployment, Record, configuration, finish
from lib.engine import Engine

ROUNDS = 12
READ_S = 1.0


def main(trouble):
    record = Record(FOLDER / "record.txt")
    deployment = Deployment(routers=3, record=record)
    try:
        options = {"store": deployment.store, "record": record}
        engines = [Engine(name=f"i-a{n}", service="asistente", **options) for n in (1, 2)]
        engines += [Engine(name=f"i-r{n}", service="reservas", **options) for n in (1, 2)]
        deployment.start(configuration(), engines)
        deployment.wait_served()
        bodies = {}
        for number in range(ROUNDS):
            bodies |= send(deployment, record, number, trouble)
        time.sleep(1.0)
        return judge(engines, record, bodies)
    finally:
        deployment.close()


def send(deployment, record, number, trouble):
    """Send one booking whose body is a text that looks like another booking; return its body by its id."""
    router = deployment.routers[number % len(deployment.routers)]
    inner = head_of("POST", f"/book/inner{number}", f"inner{number}", host=SERVICE_HOST, key=KEY)
    body = inner + b"Content-Length: 0\r\n\r\n"
    lengths = [f"Content-Length: {len(body)}"]
    if trouble:
        lengths = ["Content-Length: -1"] if number % 2 == 0 else [*lengths, "Content-Length: 0"]
    head = head_of("POST", f"/book/outer{number}", f"outer{number}", host=SERVICE_HOST, key=KEY, extra=lengths)
    record(f"client sends outer{number} to {router.name}: {', '.join(lengths)}; a body of {len(body)} bytes")
    host, _, port = router.front.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=READ_S) as sock:
        sock.sendall(head + b"\r\n" + body)
        try:
            while data := sock.recv(65536):
                received += data
        except OSError:
            pass
    statuses = [part[:3].decode("latin-1") for part in received.split(b"HTTP/1.1 ")[1:]]
    record(f"client gets {len(statuses)} answers for outer{number}: {' '.join(statuses)}")
    return {f"outer{number}": body}


def judge(engines, record, bodies):
    wrong = []
    for engine in engines:
        for _, request_id, _, _, body in engine.ran:
            if request_id.startswith("inner"):
                wrong.append(f"{engine.name} ran {request_id}, which was the body of another request")
            elif request_id in bodies and body != bodies[request_id]:
                wrong.append(f"{engine.name} ran {request_id} with {len(body)} of {len(bodies[request_id])} bytes")
    for text in wrong:
        record(f"BROKEN: {text}")
    summary = f"{len(wrong)} runs of requests that no client sent or whose body was changed"
    record(summary)
    print(summary)
    return bool(wrong)


finish(main)
