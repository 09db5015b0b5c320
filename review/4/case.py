"""Case 4: one engine answers with a body without end; the routers that read it grow until the platform kills them."""

import os
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from trial import (  # noqa: E402
    LIMITS,
    Client,
    Deployment,
    Engine,
    configuration,
    free_ports,
    main,
    route,
)

TROUBLE = os.environ.get("TROUBLE") != "0"
"""Whether the disruption is played."""
ROUTERS = 3
LINK_BYTES_PER_S = 1000e6 / 8
"""`link_mbps` 1,000 of the small sites."""
PLAY_S = 40.0
SETTLE_S = 4.0
"""Over `contact_ms`, so that all machines are in touch when the trouble begins."""
RESTART_S = 0.5
ALLOWED_LOST = 3
STREAMS_PER_S = 4.0
BOOKERS_PER_ROUTER = 8


class EndlessEngine:
    """The faulty engine, in a process of its own."""

    def __init__(self, *, ip, record, name, service):
        self.name, self.service, self.record = name, service, record
        self.runs = []
        address = f"{ip}:{free_ports(ip, 1)[0]}"
        program = str(Path(__file__).resolve().parent / "endless_engine.py")
        command = [sys.executable, "-S", program, address, name, str(LINK_BYTES_PER_S)]
        self._process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        self.address = self._process.stdout.readline().split()[1]
        threading.Thread(target=self._read, daemon=True).start()

    def _read(self):
        for line in self._process.stdout:
            self.runs.append(line.split()[1])
            self.record.note("run", self.name, self.runs[-1])

    def entry(self, sequence):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 10,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
        }

    def close(self):
        self._process.kill()
        self._process.wait()


class Platform(threading.Thread):
    """Kills a process over its memory limit and starts it again after a short delay, as the page DEPLOY says."""

    def __init__(self, deployment):
        super().__init__(daemon=True)
        self._deployment = deployment
        self.stopped = threading.Event()
        self.peak_by_router = {}
        self.ends_by_router = {}

    def run(self):
        while not self.stopped.wait(0.02):
            for router in self._deployment.routers:
                memory_mb = router.memory_mb()
                self.peak_by_router[router.name] = max(self.peak_by_router.get(router.name, 0.0), memory_mb)
                if memory_mb > LIMITS["memory_mb"]:
                    self._deployment.record.note("over the memory limit", router.name, f"{memory_mb:.0f} MiB")
                    router.end()
                    self.ends_by_router[router.name] = self.ends_by_router.get(router.name, 0) + 1
                    threading.Timer(RESTART_S, router.start).start()


def book(deployment, router, number, lost, until):
    """One client: bookings one after the other on a kept connection."""
    client = Client(router, deployment.record)
    sent = 0
    while time.monotonic() < until:
        request_id = f"b{number}-{sent}"
        sent += 1
        was_kept = client.served > 0
        answer = client.send("POST", "/book/1", request_id, body=b"booking")
        if was_kept and answer.status == 0:
            lost.append((router.name, request_id))
        time.sleep(0.02 if answer.status == 200 else 0.2)
    client.close()


def stream(deployment, number, until):
    """Streams at all routers, each on a connection of its own."""
    sent = 0
    while time.monotonic() < until:
        router = deployment.routers[sent % ROUTERS]
        headers = {"Model": "m", "Token-Counts": "600,40", "Prompt-Prefix": f"{number:x}{sent:x}:600"}
        client = Client(router, deployment.record)
        client.send("POST", "/stream/1", f"s{number}-{sent}", deadline_ms=15000, body=b"prompt", headers=headers)
        client.close()
        sent += 1
        time.sleep(0.25)


def case(folder):
    with Deployment(folder=folder, routers=ROUTERS) as deployment:
        for number in range(2):
            deployment.add_engine(name=f"i-a{number}", service="asistente", slots=10, events=20, pause_s=0.02)
        if TROUBLE:
            deployment.add_engine(make=EndlessEngine, name="i-endless", service="asistente")
        else:
            deployment.add_engine(name="i-sound", service="asistente", slots=10, events=20, pause_s=0.02)
        bookings = [
            deployment.add_engine(make=Engine, name=f"i-r{number}", service="reservas", slots=24, work_s=0.4)
            for number in range(3)
        ]
        routes = [
            route("plan", "streaming", "asistente", "/stream/", resumable=True, timeout_ms=15000, gap_target_ms=600),
            route("reserva", "non_idempotent", "reservas", "/book/", timeout_ms=2000, max_attempts=1, priority=2),
        ]
        services = [
            {"name": "asistente", "health_path": "/health", "engine": {"slots": 10, "stride": 5}},
            {"name": "reservas", "health_path": "/health"},
        ]
        deployment.start(configuration(1, routes=routes, services=services))
        platform = Platform(deployment)
        platform.start()
        time.sleep(SETTLE_S)
        until = time.monotonic() + PLAY_S
        lost = []
        threads = [
            threading.Thread(target=book, args=(deployment, router, f"{place}-{number}", lost, until), daemon=True)
            for place, router in enumerate(deployment.routers)
            for number in range(BOOKERS_PER_ROUTER)
        ]
        threads += [threading.Thread(target=stream, args=(deployment, number, until), daemon=True) for number in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PLAY_S + 25.0)
        platform.stopped.set()
        platform.join()
        return judge(deployment, platform, bookings, lost)


def judge(deployment, platform, bookings, lost):
    """LOST: a machine passes a request from a kept connection on to a sound engine and closes without an answer."""
    passed_on = {run["id"] for engine in bookings for run in engine.runs}
    counted = {}
    for router, request_id in lost:
        if request_id in passed_on:
            counted[router] = counted.get(router, 0) + 1
    note = deployment.record.note
    for router in deployment.routers:
        ends = platform.ends_by_router.get(router.name, 0)
        words = f"{router.name}: peak {platform.peak_by_router[router.name]:.0f} MiB of {LIMITS['memory_mb']}"
        words += f", ended {ends} times over its memory limit, {counted.get(router.name, 0)} requests lost"
        note(words)
        print(words)
    return max(counted.values(), default=0) <= ALLOWED_LOST


if __name__ == "__main__":
    main(case)
