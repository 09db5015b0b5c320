"""Case 5: an engine's head holds a line that is no header, in front of the headers that tell how its body is framed."""

import os
import random
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from trial import Client, Deployment, Engine, configuration, main, route  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
"""Whether the disruption is played."""
ROUTERS = 2
ENGINES = 3
SETTLE_S = 7.0
PLAY_S = 30.0
SPOILED_SHARE = 0.028
"""`garble` of the site's days: x = 0.0284, share 0.347; one engine of three spoils answers here."""
SPOILING_S = 5.5
PAUSE_S = 1.0
"""`garble` of the site: for_s = 5.5; it comes again after a pause."""
CLIENTS_PER_ROUTER = 8
NO_HEADER = b"segment 3 flushed\r\n"


class SpoilingEngine(Engine):
    """Answers in chunks; some heads hold a line that is no header."""

    def __init__(self, *, spoils, body_by_id, **options):
        self._spoils = spoils
        self._body_by_id = body_by_id
        self._random = random.Random(options["name"])
        self._began_at = time.monotonic()
        super().__init__(**options)

    def _is_time(self):
        return (time.monotonic() - self._began_at) % (SPOILING_S + PAUSE_S) < SPOILING_S

    def run(self, handler, request_id):
        is_spoiled = self._spoils and self._is_time() and self._random.random() < SPOILED_SHARE
        time.sleep(self.work_s)
        if "/stream" in handler.path:
            pieces = [f"id: {number}\ndata: {request_id} {number}\n\n".encode() for number in range(1, 6)]
            kind = b"Content-Type: text/event-stream\r\n"
        else:
            pieces = [f"booking {request_id} ".encode(), b"is made: slot 12, beach 4\n"]
            kind = b"Content-Type: text/plain\r\n"
        self._body_by_id[request_id] = b"".join(pieces)
        head = b"HTTP/1.1 200 OK\r\n"
        head += b"".join(f"{name}: {value}\r\n".encode() for name, value in self.answer_headers(request_id))
        if is_spoiled:
            self.record.note("spoiled", self.name, request_id)
            head += NO_HEADER
        head += kind + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        handler.wfile.write(head)
        for piece in pieces:
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece))
            time.sleep(0.01)
        handler.wfile.write(b"0\r\n\r\n")
        handler.close_connection = True


def ask(deployment, router, name, method, path, answers, until):
    client = Client(router, deployment.record, timeout_s=10.0)
    sent = 0
    while time.monotonic() < until:
        request_id = f"{name}-{sent}"
        sent += 1
        answers.append((request_id, client.send(method, path, request_id, body=b"body")))
        time.sleep(0.03)
    client.close()


def case(folder):
    body_by_id, answers = {}, []
    with Deployment(folder=folder, routers=ROUTERS) as deployment:
        for service in ("asistente", "reservas"):
            for number in range(ENGINES):
                deployment.add_engine(
                    make=SpoilingEngine,
                    name=f"i-{service}-{number}",
                    service=service,
                    slots=10,
                    work_s=0.03,
                    spoils=TROUBLE and number == 0,
                    body_by_id=body_by_id,
                )
        routes = [
            route("consulta", "streaming", "asistente", "/stream/", resumable=False, max_attempts=1, gap_target_ms=600),
            route("reserva", "non_idempotent", "reservas", "/book/", timeout_ms=2000, max_attempts=1),
        ]
        services = [
            {"name": "asistente", "health_path": "/health", "engine": {"slots": 10, "stride": 5}},
            {"name": "reservas", "health_path": "/health"},
        ]
        deployment.start(configuration(1, routes=routes, services=services))
        time.sleep(SETTLE_S)
        until = time.monotonic() + PLAY_S
        threads = [
            threading.Thread(target=ask, args=(deployment, router, name, "POST", path, answers, until), daemon=True)
            for router in deployment.routers
            for number in range(CLIENTS_PER_ROUTER)
            for name, path in (
                (f"s-{router.name}-{number}", "/stream/1"),
                (f"b-{router.name}-{number}", "/book/1"),
            )
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PLAY_S + 15.0)
        return judge(deployment, answers, body_by_id)


def judge(deployment, answers, body_by_id):
    """MIXED: a client gets a success with a body that isn't the engine's whole body."""
    mixed = [
        (request_id, answer)
        for request_id, answer in answers
        if 200 <= answer.status < 300 and answer.is_whole and answer.body != body_by_id.get(request_id)
    ]
    for request_id, answer in mixed:
        deployment.record.note("mixed", request_id, "engine", body_by_id.get(request_id), "client", answer.body)
    good = sum(answer.status == 200 and answer.is_whole for _, answer in answers) - len(mixed)
    words = f"{len(answers)} requests, {good} answered with the engine's body, {len(mixed)} with another one"
    deployment.record.note(words)
    print(words)
    return not mixed


if __name__ == "__main__":
    main(case)
