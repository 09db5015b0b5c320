"""A simulated users' platform: a store and engines in this process, and routers as separate processes."""

import http.client
import json
import os
import tempfile
import time
from pathlib import Path

import yaml

from tests.utils.engine_links import EngineLinks
from tests.utils.world_engine import Engine
from tests.utils.world_store import Store
from wagtailtrestle.demo.processes import LocalProcess
from wagtailtrestle.standins.local_ports import HOST, reserve_ports

KEY = "example-key"
TEAM = "club"
WAIT_S = 10.0
POLL_S = 0.02


def configuration(version=1, *, keys=(KEY,), rate_per_s=0, burst=0, timeout_ms=5000):
    """Return an operator's configuration with streaming, idempotent and non-idempotent routes."""

    def route(name, kind, service, **fields):
        common = {"host": "service.example", "timeout_ms": timeout_ms, "target_latency_ms": 1000, "max_attempts": 2}
        return common | {"name": name, "kind": kind, "service": service, "priority": 0} | fields

    return {
        "version": version,
        "routes": [
            route("drafts", "streaming", "assistant", path_prefix="/stream/", resumable=True),
            route("once", "streaming", "assistant", path_prefix="/stream-once/", resumable=False),
            route("booking", "non_idempotent", "booking", path_prefix="/book/"),
            route("status", "idempotent", "booking", path_prefix="/status/"),
        ],
        "services": [
            {"name": "assistant", "health_path": "/health", "engine": {"slots": 8, "stride": 2}},
            {"name": "booking", "health_path": "/health"},
        ],
        "limits": {},
        "tenants": [
            {
                "name": TEAM,
                "api_keys": list(keys),
                "priority": 0,
                "unit": "tokens",
                "plain_tokens": 10,
                "rate_per_s": rate_per_s,
                "burst": burst,
            }
        ],
    }


class Answer:
    """A caller's view of an answer."""

    def __init__(self, *, status, headers, body, is_complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_complete = is_complete

    @property
    def event_ids(self):
        return [int(line[4:]) for line in self.body.decode().split("\n") if line.startswith("id: ")]


class RouterProcess(LocalProcess):
    """A router process, with its settings."""

    __slots__ = ("values", "settings_file")

    def __init__(self, *, values, settings_file, **process):
        super().__init__(**process)
        self.values = values
        self.settings_file = settings_file

    def signal(self, number):
        os.kill(self.pid, number)


class World:
    """A store, two engines of each service, and routers.

    Parameters
    ----------
    routers : int
    make_engines : callable, optional
        ``make_engines(store)`` returns the engines by name; by default two of each service.
    linked : bool
        Whether each router reaches each engine through a link of ``links``, which can be cut.
    settings : dict
        Additional settings of every router.
    """

    def __init__(self, *, routers=1, make_engines=None, linked=False, **settings):
        self._directory = tempfile.TemporaryDirectory()
        self.store = Store()
        self.engines = (
            make_engines(self.store)
            if make_engines
            else {
                name: Engine(name=name, service=service)
                for name, service in (
                    ("a-1", "assistant"),
                    ("a-2", "assistant"),
                    ("b-1", "booking"),
                    ("b-2", "booking"),
                )
            }
        )
        self.links = None
        if linked:
            addresses = {name: engine.address for name, engine in self.engines.items()}
            self.links = EngineLinks(routers=routers, addresses_by_engine=addresses)
        self._reservations = []
        self.routers = [self._router(number, settings) for number in range(routers)]

    def _router(self, number, settings):
        reservation = reserve_ports(3)
        self._reservations.append(reservation)
        callers, admin, peers = reservation.ports
        values = {
            "name": f"router-{number}",
            "zone": "a",
            "callers_address": f"{HOST}:{callers}",
            "admin_address": f"{HOST}:{admin}",
            "peers_address": f"{HOST}:{peers}",
            "platform_url": f"http://{self.store.address}",
            "adapter": "platform",
            "caller_threads": 32,
            "log_json": True,
            "drain_timeout_s": 5.0,
            "balancer_grace_s": 0.3,
            "configuration_poll_s": 0.3,
        } | settings
        folder = Path(self._directory.name)
        settings_file = folder / f"router-{number}.yaml"
        settings_file.write_text(yaml.safe_dump(values))
        module, arguments = "wagtailtrestle.cli.router", ["--settings", str(settings_file)]
        if self.links is not None:
            links_file = folder / f"links-{number}.json"
            self.links.write_map(router=number, file=links_file)
            module, arguments = "tests.utils.linked_router", [str(links_file), *arguments]
        return RouterProcess(
            values=values,
            settings_file=settings_file,
            name=f"router-{number}",
            module=module,
            arguments=arguments,
            ready_url=f"http://{HOST}:{admin}/readyz",
            log_path=folder / f"router-{number}.log",
        )

    def start(self):
        try:
            if self.links is not None:
                self.links.start()
            self.store.put("config", "main", configuration())
            for engine in self.engines.values():
                self.store.put("servers", engine.name, engine.entry())
            for router in self.routers:
                router.start()
            for router in self.routers:
                router.wait_ready()
        except BaseException:
            self.close()
            raise
        return self

    def close(self):
        for router in self.routers:
            if router.is_running():
                router.kill()
        for server in (self.store, *self.engines.values()):
            server.close()
        if self.links is not None:
            self.links.close()
        for reservation in self._reservations:
            reservation.close()
        self._directory.cleanup()

    def runs(self, *, service):
        """Return the requests that a service's engines ran, oldest first for each engine."""
        return [seen for engine in self.engines.values() if engine.service == service for seen in engine.seen]

    def state(self, router=0):
        """Return a router's state dump."""
        connection = http.client.HTTPConnection(self.routers[router].values["admin_address"], timeout=WAIT_S)
        try:
            connection.request("GET", "/state")
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def scheduler_of(self, cell):
        """Return the number of the router that schedules a cell, according to the first running router."""
        responding = next(number for number, router in enumerate(self.routers) if router.is_running())
        name = self.state(responding)["stewards_by_cell"][cell]
        return next(number for number, router in enumerate(self.routers) if router.values["name"] == name)

    def connect(self, router=0):
        return http.client.HTTPConnection(self.routers[router].values["callers_address"], timeout=WAIT_S)

    def request(self, method, path, *, router=0, request_id="r1", key=KEY, connection=None, **headers):
        """Send one request; underscores in keyword headers become dashes."""
        sent_headers = {"Host": "service.example", "Request-Id": request_id, "Deadline-Milliseconds": "4000"}
        if key is not None:
            sent_headers["Authorization"] = f"Token {key}"
        sent_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        own = connection is None
        connection = connection or self.connect(router)
        try:
            connection.request(method, path, body=b"body" if method == "POST" else None, headers=sent_headers)
            response = connection.getresponse()
            try:
                body, is_complete = response.read(), True
            except http.client.IncompleteRead as error:
                body, is_complete = error.partial, False
            return Answer(status=response.status, headers=response.headers, body=body, is_complete=is_complete)
        finally:
            if own:
                connection.close()


def wait_until(condition, what):
    """Wait until a condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not in {WAIT_S} s: {what}")
        time.sleep(POLL_S)
