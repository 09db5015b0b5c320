"""Case 7: a request of one caller crashes the engines that run it; another caller's like it is sound."""

import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from trial import Client, Deployment, Engine, configuration, main, route, tenant  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
"""Whether the disruption is played."""
ROUTERS = 3
ENGINES = 6
SETTLE_S = 7.0
PLAY_S = 40.0
DOWN_S = 2.0
"""`srv_crash` of the site's days: for_s = 2.0."""
CONTACT_S = 3.0
"""`contact_ms` of the site."""
ALLOWED_RETRIES = 3
POISON_KEY = "key-of-otra"
POISON_TENANT = "otra"
SHARED_PATH = "/status/7"
POISON_EACH_S = 2.0
"""The request comes again so often, at one machine after the other."""


class BrittleEngine(Engine):
    """An engine that crashes when it begins to run the request; it is back after some seconds under its id."""

    def __init__(self, *, crashes, **options):
        self._crashes = crashes
        super().__init__(**options)

    def run(self, handler, request_id):
        if handler.headers.get("Tenant") == POISON_TENANT and handler.path == SHARED_PATH:
            self._crashes.append((time.monotonic(), self.name, request_id))
            self.record.note("crash", self.name, "by", request_id)
            threading.Thread(target=self._fall, daemon=True).start()
            time.sleep(1.0)  # its connection is reset meanwhile
            return
        super().run(handler, request_id)

    def _fall(self):
        self.crash()
        time.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        self.restart()
        self.record.note("back", self.name)


def ask(deployment, router, name, method, path, answers, until, *, pause_s, key=None):
    client = Client(router, deployment.record, timeout_s=5.0)
    sent = 0
    while time.monotonic() < until:
        options = {} if key is None else {"key": key}
        body = f"booking {name} {sent}".encode() if method == "POST" else None
        answers.append(client.send(method, path, f"{name}-{sent}", body=body, **options).status)
        sent += 1
        time.sleep(pause_s)
    client.close()


def poison(deployment, until):
    """The request comes again and again, with the same path, caller and body, at any machine."""
    sent = 0
    while time.monotonic() < until:
        client = Client(deployment.routers[sent % ROUTERS], deployment.record, timeout_s=5.0)
        client.send("GET", SHARED_PATH, f"poison-{sent}", key=POISON_KEY)
        client.close()
        sent += 1
        time.sleep(POISON_EACH_S)


def case(folder):
    crashes = []
    with Deployment(folder=folder, routers=ROUTERS) as deployment:
        for number in range(ENGINES):
            deployment.add_engine(
                make=BrittleEngine, name=f"i-r{number}", service="reservas", slots=6, work_s=0.06, crashes=crashes
            )
        routes = [
            route("estado", "idempotent", "reservas", "/status/", timeout_ms=2000, max_attempts=2),
            route("reserva", "non_idempotent", "reservas", "/book/", timeout_ms=2000, max_attempts=1),
        ]
        services = [{"name": "reservas", "health_path": "/health"}]
        tenants = [tenant(POISON_TENANT, [POISON_KEY])]
        deployment.start(configuration(1, routes=routes, services=services, more_tenants=tenants))
        time.sleep(SETTLE_S)
        until = time.monotonic() + PLAY_S
        status_answers, booking_answers = [], []
        threads = []
        for router in deployment.routers:
            for name, method, path, answers in (
                (f"status-{router.name}", "GET", SHARED_PATH, status_answers),
                (f"booking-{router.name}", "POST", "/book/1", booking_answers),
            ):
                arguments = (deployment, router, name, method, path, answers, until)
                threads.append(threading.Thread(target=ask, args=arguments, kwargs={"pause_s": 0.05}, daemon=True))
        if TROUBLE:
            threads.append(threading.Thread(target=poison, args=(deployment, until), daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PLAY_S + 15.0)
        return judge(deployment, crashes, status_answers, booking_answers)


def judge(deployment, crashes, status_answers, booking_answers):
    """BUDGET: it reaches engines in more than three retries, sent later than `contact_ms` after its third crash."""
    arrived = sorted(
        run["at"] for engine in deployment.engines for run in engine.runs if run["id"].startswith("poison-")
    )
    third_at = crashes[2][0] if len(crashes) > 2 else None
    late = [at for at in arrived if third_at is not None and at > third_at + CONTACT_S]
    words = f"{len(arrived)} arrivals of the request, {len(crashes)} crashes; {len(late)} arrivals later than "
    words += f"{CONTACT_S:g} s after the third; {sum(status == 502 for status in booking_answers)} of "
    words += f"{len(booking_answers)} bookings and {sum(status == 502 for status in status_answers)} of "
    words += f"{len(status_answers)} sound calls answered 502"
    deployment.record.note(words)
    print(words)
    return len(late) <= ALLOWED_RETRIES


if __name__ == "__main__":
    main(case)
