"""The users' platform in small: a store, engines, and routers as processes of their own."""

import http.client
import json
import os
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import yaml

from wagtailtrestle.demo.processes import LocalProcess
from wagtailtrestle.standins.local_ports import HOST, reserve_ports

KEY = "example-key"
TEAM = "club"
WAIT_S = 10.0
POLL_S = 0.02
SIGNATURE = "signed"


class Server:
    """An HTTP server in threads; ``serve(handler)`` answers one request."""

    def __init__(self):
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def answer(self):
                length = int(self.headers.get("Content-Length") or 0)
                self.body = self.rfile.read(length) if length else b""
                outer.serve(self)

            do_GET = do_POST = do_PUT = do_DELETE = answer

            def log_message(self, *args):
                return None

        self.server = ThreadingHTTPServer((HOST, 0), Handler)
        # A router that ends cuts its watches: what their answers run into says nothing.
        self.server.handle_error = lambda request, client_address: None
        self.server.daemon_threads = True
        self.address = f"{HOST}:{self.server.server_port}"
        self._thread = threading.Thread(target=self.server.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True)
        self._thread.start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()

    def serve(self, handler):
        raise NotImplementedError

    @staticmethod
    def reply(handler, status, body=b"", headers=()):
        handler.send_response(status)
        for name, value in headers:
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)


class Copy:
    """What the store held at one revision."""

    def __init__(self, *, revision, objects, log):
        self.revision = revision
        self.objects = objects
        self.log = log


class Store(Server):
    """Objects by kind and name with revisions, watches, an outage and a return from a copy on request.

    Attributes
    ----------
    down : bool
    era : int
        Told in each answer; 0 for a store that tells none.
    """

    def __init__(self):
        self.down = False
        self.era = 0
        self.calls = 0
        self._objects = {}
        self._log = []
        self._revision = 10
        self._changed = threading.Condition()
        super().__init__()

    def put(self, kind, name, value):
        """Write as the operator or an engine does."""
        with self._changed:
            self._write(kind, name, value)

    def delete(self, kind, name):
        with self._changed:
            self._write(kind, name, None)

    def objects(self, kind):
        with self._changed:
            return {name: item["specification"] for (of, name), item in self._objects.items() if of == kind}

    def status(self, kind, name):
        """What the system told of an object."""
        with self._changed:
            item = self._objects.get((kind, name))
            return item["status"] if item else None

    def copy(self):
        """Keep what the store holds now."""
        with self._changed:
            return Copy(revision=self._revision, objects=dict(self._objects), log=list(self._log))

    def return_from(self, copy):
        """Go on from a copy: what was written since is gone, and its revisions are given out again."""
        with self._changed:
            self._objects, self._log, self._revision = dict(copy.objects), list(copy.log), copy.revision
            self.era += 1
            self.down = False
            self._changed.notify_all()

    def drill(self, copy, *, away_s=0.5):
        """Be away for a moment and come back from a copy."""
        self.down = True
        with self._changed:
            self._changed.notify_all()
        time.sleep(away_s)
        self.return_from(copy)

    def _write(self, kind, name, value, status=None):
        self._revision += 1
        item = {
            "metadata": {"name": name, "revision": self._revision, "created": 1, "finalizers": [], "deleting": False},
            "specification": value,
            "status": status,
        }
        if value is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = item
        self._log.append((self._revision, kind, {"object": item, "deleted": value is None}))
        self._changed.notify_all()
        return item

    def serve(self, handler):
        self.calls += 1
        if self.down:
            handler.close_connection = True
            return
        era = self.era
        parts = urlsplit(handler.path)
        _, _, _, kind, *rest = parts.path.split("/")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name = rest[0] if rest else None
        with self._changed:
            if rest[1:] == ["status"]:
                status, body = self._put_status(kind, name, handler.body)
            else:
                status, body = getattr(self, f"_{handler.command.lower()}")(kind, name, query, handler.body)
        heads = [("Content-Type", "application/json")]
        if self.era:
            heads.append(("Store-Era", str(era)))
        self.reply(handler, status, json.dumps(body).encode(), heads)

    def _get(self, kind, name, query, body):
        if name is not None:
            item = self._objects.get((kind, name))
            return (200, item) if item else (404, {"error": "absent"})
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query["wait_ms"]) / 1000.0)
        items = [item for (of, _), item in sorted(self._objects.items()) if of == kind]
        return 200, {"items": items, "has_more": False, "store_revision": self._revision}

    def _watch(self, kind, revision, wait_s):
        until = time.monotonic() + wait_s
        era = self.era
        while True:
            if self.era != era or revision > self._revision:
                return 410, {"error": "gone"}
            events = [event for at, of, event in self._log if of == kind and at > revision]
            left_s = until - time.monotonic()
            if events or left_s <= 0 or self.down:
                return 200, {"events": events, "store_revision": self._revision}
            self._changed.wait(left_s)

    def _post(self, kind, name, query, body):
        document = json.loads(body)
        name = document["metadata"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        return 200, self._write(kind, name, document["specification"])

    def _put(self, kind, name, query, body):
        document = json.loads(body)
        item = self._objects.get((kind, name))
        if item is None:
            return 404, {"error": "absent"}
        if document["metadata"].get("revision", item["metadata"]["revision"]) != item["metadata"]["revision"]:
            return 409, item
        return 200, self._write(kind, name, document["specification"])

    def _put_status(self, kind, name, body):
        document = json.loads(body)
        item = self._objects.get((kind, name))
        if item is None:
            return 404, {"error": "absent"}
        if document["metadata"].get("revision", item["metadata"]["revision"]) != item["metadata"]["revision"]:
            return 409, item
        return 200, self._write(kind, name, item["specification"], status=document["status"])

    def _delete(self, kind, name, query, body):
        item = self._objects.get((kind, name))
        if item is None:
            return 404, {"error": "absent"}
        if int(query.get("revision", item["metadata"]["revision"])) != item["metadata"]["revision"]:
            return 409, item
        self._write(kind, name, None)
        return 200, item


class Engine(Server):
    """Streams events or answers whole; ``script`` names how the next requests are answered.

    Attributes
    ----------
    seen : list of dict
        Headers of the requests that it ran, by lower-case name, with ``path`` and ``body``.
    events : int
    script : list of str
        ``full``, ``cut``, ``torn``, ``fail``, ``coded``, ``crossed`` or ``unsigned``; one is used up
        by each request, then all are answered well.
    """

    def __init__(self, *, name, service, events=6, pause_s=0.005):
        self.name = name
        self.service = service
        self.events = events
        self.pause_s = pause_s
        self.script = []
        self.seen = []
        self.gone = threading.Event()
        super().__init__()

    def entry(self, state="ready"):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold_remaining_ms": 0,
            "sequence": 1,
        }

    def serve(self, handler):
        if handler.path == "/v1/report":
            body = json.dumps({"stage": "both", "waiting": 0, "running": 0, "kv_used": 0, "kv_total": 1}).encode()
            self.reply(handler, 200, body)
            return
        expected = handler.headers.get("Expect-Instance")
        if expected and expected != self.name:
            self.reply(handler, 421, headers=[("Instance-Id", self.name)])
            return
        how = self.script.pop(0) if self.script else "well"
        if how == "full":
            self.reply(handler, 503, headers=[("Not-Executed", "1")])
            return
        headers = {name.lower(): value for name, value in handler.headers.items()}
        self.seen.append(headers | {"path": handler.path, "body": handler.body})
        if how == "fail":
            self.reply(handler, 500, b"broken", self._heads(handler))
        elif "stream" in handler.path:
            self._stream(handler, how)
        else:
            self._whole(handler, how)

    def _heads(self, handler, how="well"):
        request_id = "another" if how == "crossed" else handler.headers["Request-Id"]
        heads = [("Request-Id", request_id)]
        if how != "unsigned":
            heads.append(("Response-Stamp", f"{SIGNATURE}-{self.name}"))
        if how == "coded":
            heads.append(("Content-Encoding", "gzip"))
        return heads

    def _whole(self, handler, how):
        body = f"whole from {self.name}".encode()
        handler.send_response(200)
        for name, value in self._heads(handler, how):
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        if how == "cut":
            handler.wfile.write(body[:3])
            handler.close_connection = True
        else:
            handler.wfile.write(body)

    def _stream(self, handler, how):
        handler.send_response(200)
        for name, value in [*self._heads(handler, how), ("Content-Type", "text/event-stream")]:
            handler.send_header(name, value)
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id") or 0) + 1
        try:
            for number in range(first, self.events + 1):
                event = f"id: {number}\ndata: {self.name}\n\n".encode()
                if how in ("cut", "torn") and number == first + 2:
                    self._chunk(handler, event[:7] if how == "torn" else b"")
                    handler.close_connection = True
                    return
                self._chunk(handler, event)
                time.sleep(self.pause_s)
            handler.wfile.write(b"0\r\n\r\n")
        except OSError:
            handler.close_connection = True
            self.gone.set()

    @staticmethod
    def _chunk(handler, data):
        if data:
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(data), data))
            handler.wfile.flush()


def configuration(version=1, *, keys=(KEY,), rate_per_s=0, burst=0, timeout_ms=5000):
    """The operator's document: a streaming route, a call that may be repeated, and one that may not."""

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
    """What a caller read."""

    def __init__(self, *, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def event_ids(self):
        return [int(line[4:]) for line in self.body.decode().split("\n") if line.startswith("id: ")]


class RouterProcess(LocalProcess):
    """A router with its settings at hand."""

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
    settings : dict
        Further settings of every router.
    """

    def __init__(self, *, routers=1, **settings):
        self._directory = tempfile.TemporaryDirectory()
        self.store = Store()
        self.engines = {
            name: Engine(name=name, service=service)
            for name, service in (("a-1", "assistant"), ("a-2", "assistant"), ("b-1", "booking"), ("b-2", "booking"))
        }
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
        return RouterProcess(
            values=values,
            settings_file=settings_file,
            name=f"router-{number}",
            module="wagtailtrestle.cli.router",
            arguments=["--settings", str(settings_file)],
            ready_url=f"http://{HOST}:{admin}/readyz",
            log_path=folder / f"router-{number}.log",
        )

    def start(self):
        try:
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
        for reservation in self._reservations:
            reservation.close()
        self._directory.cleanup()

    def runs(self, *, service):
        """Requests that engines of a service ran, oldest first for each engine."""
        return [seen for engine in self.engines.values() if engine.service == service for seen in engine.seen]

    def connect(self, router=0):
        return http.client.HTTPConnection(self.routers[router].values["callers_address"], timeout=WAIT_S)

    def ask(self, method, path, *, router=0, request_id="r1", key=KEY, connection=None, **headers):
        """One request; keyword headers are written with dashes."""
        given = {"Host": "service.example", "Request-Id": request_id, "Deadline-Milliseconds": "4000"}
        if key is not None:
            given["Authorization"] = f"Token {key}"
        given |= {name.replace("_", "-"): value for name, value in headers.items()}
        own = connection is None
        connection = connection or self.connect(router)
        try:
            connection.request(method, path, body=b"body" if method == "POST" else None, headers=given)
            response = connection.getresponse()
            try:
                body, whole = response.read(), True
            except http.client.IncompleteRead as error:
                body, whole = error.partial, False
            return Answer(status=response.status, headers=response.headers, body=body, whole=whole)
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
