"""A complete local deployment: stand-in platform, engines and services, and routers."""

import json
from pathlib import Path

import urllib3
import yaml

from wagtailtrestle.contracts.declaration import LANGUAGE
from wagtailtrestle.demo.processes import LocalProcess
from wagtailtrestle.standins.local_ports import HOST, reserve_ports

ROUTER_MODULE = "wagtailtrestle.cli.router"
STANDIN_MODULE = "wagtailtrestle.cli.standin"
OPERATE_MODULE = "wagtailtrestle.cli.operate"
CALL_TIMEOUT_S = 5.0
OK = 200
MAX_ERROR_BODY_BYTES = 200


class Deployment:
    """The processes of one deployment, with their settings files and logs.

    Parameters
    ----------
    directory : pathlib.Path
        Directory for settings files and logs.
    document : dict
        The declaration as read from YAML. Its engines are assigned free local addresses.
    routers : int
        Number of routers.
    time_scale : float
        Factor by which engines are slower than declared.
    engine_settings : dict
        Additional settings for every language engine.
    router_settings : dict
        Additional settings for every router.
    """

    def __init__(self, *, directory, document, routers=3, time_scale=1.0, engine_settings=None, router_settings=None):
        self.directory = Path(directory)
        self.document = document
        self.time_scale = time_scale
        self.platform = None
        self.engines_by_name = {}
        self.routers_by_name = {}
        self.callers_url_by_router = {}
        self.admin_url_by_router = {}
        self.peers_address_by_router = {}
        self._engine_settings = engine_settings or {}
        self._router_settings = router_settings or {}
        self._router_count = routers
        self.platform_url = ""
        self._reservations = []

    # Starting and stopping.

    def start(self):
        """Start all processes and wait for the platform and the engines; no declaration is applied yet."""
        self.directory.mkdir(parents=True, exist_ok=True)
        self._configure_engines()
        self._configure_routers()
        self._start_platform()
        for process in self.engines_by_name.values():
            process.start()
        for process in self.engines_by_name.values():
            process.wait_ready()
        for process in self.routers_by_name.values():
            process.start()

    def wait_routers_ready(self):
        """Wait until every router is ready, which requires a configuration in force."""
        for process in self.routers_by_name.values():
            process.wait_ready()

    def close(self):
        """Stop all running processes gracefully and return their exit statuses by name."""
        running = self._running_processes()
        for process in running:
            process.resume()
            process.terminate()
        statuses = {process.name: process.wait_stopped() for process in running}
        self._release_ports()
        return statuses

    def kill(self):
        """Kill all running processes."""
        for process in self._running_processes():
            process.kill()
        self._release_ports()

    # Operating.

    def declaration_path(self):
        """Write the current document to a file and return its path."""
        path = self.directory / "declaration.yaml"
        path.write_text(yaml.safe_dump(self.document, sort_keys=False))
        return path

    def apply(self):
        """Apply the current document with the operators' command line."""
        process = LocalProcess(
            name="apply",
            module=OPERATE_MODULE,
            arguments=("apply", str(self.declaration_path()), f"--platform={self.platform_url}"),
            ready_url="",
            log_path=self.directory / "apply.log",
        )
        process.start()
        status = process.wait_stopped()
        if status != 0:
            raise RuntimeError(f"apply failed with {status}:\n{process.log_tail()}")

    def engine_urls(self):
        """URLs of all engines, used to read their records."""
        return [f"http://{engine['address']}" for engine in self.document["engines"]]

    def engine_url(self, name):
        """URL of one engine."""
        return next(f"http://{each['address']}" for each in self.document["engines"] if each["name"] == name)

    def callers_urls(self):
        """URLs at which the routers accept callers, as the balancer would know them."""
        return list(self.callers_url_by_router.values())

    def post(self, url, document):
        """POST a JSON document (faults, VM lists) and return the status."""
        return urllib3.request("POST", url, json=document, timeout=CALL_TIMEOUT_S, retries=False).status

    def get(self, url):
        """GET a JSON document.

        Raises
        ------
        RuntimeError
            If the status is not 200: the body is then not the requested document.
        """
        response = urllib3.request("GET", url, timeout=CALL_TIMEOUT_S, retries=False)
        if response.status != OK:
            raise RuntimeError(f"{url} answered {response.status}: {response.data[:MAX_ERROR_BODY_BYTES]!r}")
        return json.loads(response.data)

    def publish_vms(self, leaving=()):
        """Publish the list of VMs on the platform, with the names in ``leaving`` marked as leaving."""
        return self.post(f"{self.platform_url}/vms", self._vms(leaving))

    # Internals.

    def _running_processes(self):
        processes = [*self.routers_by_name.values(), *self.engines_by_name.values()]
        if self.platform is not None:
            processes.append(self.platform)
        return [process for process in processes if process.is_running()]

    def _reserve_ports(self, count):
        reservation = reserve_ports(count)
        self._reservations.append(reservation)
        return reservation.ports

    def _release_ports(self):
        for reservation in self._reservations:
            reservation.close()
        self._reservations.clear()

    def _configure_engines(self):
        kinds = {service["name"]: service["kind"] for service in self.document["services"]}
        engines = self.document["engines"]
        for engine, port in zip(engines, self._reserve_ports(len(engines)), strict=True):
            engine["address"] = f"{HOST}:{port}"
            language = kinds[engine["service"]] == LANGUAGE
            settings = (
                self._engine_standin_settings(engine, port)
                if language
                else self._service_standin_settings(engine, port)
            )
            self.engines_by_name[engine["name"]] = self._standin_process(
                "engine" if language else "service", engine["name"], settings, f"http://{engine['address']}/healthz"
            )

    def _engine_standin_settings(self, engine, port):
        step_ms = engine["step_ms"] * self.time_scale
        return {
            "name": engine["name"],
            "host": HOST,
            "port": port,
            "slots": engine["slots"],
            "base_step_ms": step_ms,
            "per_run_step_ms": step_ms / 40,
            "prefill_tokens_per_s": engine["prefill_tokens_per_s"] / self.time_scale,
            "checks_fencing": engine.get("checks_fencing", False),
            **self._engine_settings,
        }

    def _service_standin_settings(self, engine, port):
        return {
            "name": engine["name"],
            "host": HOST,
            "port": port,
            "service_ms": engine["step_ms"] * self.time_scale,
            "concurrency": engine["slots"],
        }

    def _standin_process(self, kind, name, settings, ready_url):
        path = self.directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return LocalProcess(
            name=name,
            module=STANDIN_MODULE,
            arguments=(kind, f"--settings={path}"),
            ready_url=ready_url,
            log_path=self.directory / f"{name}.log",
        )

    def _configure_routers(self):
        zones = [zone for zones in self.document["regions"].values() for zone in zones]
        names = [f"router-{number + 1}" for number in range(self._router_count)]
        platform_port, *ports = self._reserve_ports(1 + 3 * len(names))
        self.platform_url = f"http://{HOST}:{platform_port}"
        self.peers_address_by_router = {name: f"{HOST}:{port}" for name, port in zip(names, ports[::3], strict=True)}
        for number, name in enumerate(names):
            callers, admin = ports[3 * number + 1 : 3 * number + 3]
            self.callers_url_by_router[name] = f"http://{HOST}:{callers}"
            self.admin_url_by_router[name] = f"http://{HOST}:{admin}"
            self.routers_by_name[name] = self._router_process(name, zones[number % len(zones)], callers, admin)

    def _peers_of(self, name):
        return [(peer, address) for peer, address in self.peers_address_by_router.items() if peer != name]

    def _router_process(self, name, zone, callers, admin):
        path = self.directory / f"{name}.yaml"
        settings = {
            "name": name,
            "zone": zone,
            "callers_address": f"{HOST}:{callers}",
            "peers_address": self.peers_address_by_router[name],
            "admin_address": f"{HOST}:{admin}",
            "platform_url": self.platform_url,
            "peers": [f"{peer}={address}" for peer, address in self._peers_of(name)],
            **self._router_settings,
        }
        path.write_text(yaml.safe_dump(settings))
        return LocalProcess(
            name=name,
            module=ROUTER_MODULE,
            arguments=(f"--settings={path}",),
            ready_url=f"http://{HOST}:{admin}/readyz",
            log_path=self.directory / f"{name}.log",
        )

    def _start_platform(self):
        address = self.platform_url.removeprefix("http://")
        settings = {"listen": address, "vm_list_lag_s": 0.5, "vms": self._vms()}
        self.platform = self._standin_process("platform", "platform", settings, f"{self.platform_url}/healthz")
        self.platform.start()
        self.platform.wait_ready()

    def _vms(self, leaving=()):
        routers = [
            {"id": name, "role": "router", "address": address, "admin": self.admin_url_by_router[name]}
            for name, address in self.peers_address_by_router.items()
        ]
        engines = [
            {"id": engine["name"], "role": "engine", "zone": engine["zone"], "address": engine["address"]}
            for engine in self.document["engines"]
        ]
        return [{**vm, "state": "leaving" if vm["id"] in leaving else "live"} for vm in routers + engines]
