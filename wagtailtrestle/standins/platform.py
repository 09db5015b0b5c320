"""Stand-in for the platform: its object API and its list of VMs over HTTP, with faults.

The API is the section "Platform HTTP" of ``docs/design/architecture.md``. Objects live
in memory only: stopping the process loses them.
"""

import errno
import json
import sys
import threading
import time
import weakref
from http import HTTPStatus
from urllib.parse import parse_qs, unquote, urlsplit

from cheroot import wsgi

from wagtailtrestle.contracts.outcomes import StoreDone
from wagtailtrestle.standins.http_serving import (
    CONNECTION,
    connection_closed,
    metrics_answer,
    read_body,
    run_until_signal,
)
from wagtailtrestle.standins.object_table import ObjectTable
from wagtailtrestle.standins.platform_answers import Answer, answer_outcome, bad_request, entity_tag, send
from wagtailtrestle.standins.platform_faults import (
    DOWN_CUT,
    DOWN_UNAVAILABLE,
    SILENT_ALL,
    SILENT_OPEN,
    PlatformFaults,
    RateLimit,
    parse_faults,
)
from wagtailtrestle.standins.platform_settings import USAGE_STATUS, check_vms, load_platform_settings

MAX_VALUE_BYTES = 1024 * 1024
# Bodies above MAX_VALUE_BYTES are still read completely, so that the client gets a 413 instead of a reset.
MAX_BODY_BYTES = 16 * MAX_VALUE_BYTES
MAX_WATCH_S = 60.0
KEEP_ALIVE_CONNECTIONS = 2048
IDLE_CONNECTION_S = 60
SILENT_CHECK_S = 0.2
STOP_CHECK_S = 0.1


class CallCounts:
    """Calls by kind since the start; a long-polling watch counts as one call."""

    __slots__ = ("reads", "writes", "watches", "refused")

    def __init__(self):
        self.reads = 0
        self.writes = 0
        self.watches = 0
        self.refused = 0

    def dump(self):
        """Return a plain dict."""
        return {name: getattr(self, name) for name in self.__slots__}


class ConnectionLost(ConnectionResetError):
    """Raised to have the server close this connection without an answer."""


class _Gateway(wsgi.Gateway_10):
    """Passes the connection of a request to the application."""

    def get_environ(self):
        environ = super().get_environ()
        environ[CONNECTION] = self.req.conn
        return environ


class PlatformStandin:
    """HTTP server around one :class:`ObjectTable`.

    Parameters
    ----------
    settings : PlatformSettings
    """

    def __init__(self, *, settings):
        self.settings = settings
        self.table = ObjectTable()
        self.faults = PlatformFaults()
        self.counts = CallCounts()
        self._rate_limit = RateLimit()
        self._changed = threading.Condition()
        self._closing = threading.Event()
        self._faults_set = threading.Event()
        self._connections = weakref.WeakSet()
        self._silent_connections = weakref.WeakSet()
        self._server = None
        self._thread = None
        self.table.set_vms(vms=list(settings.vms), now=float("-inf"))

    @property
    def address(self):
        """``host:port`` that the server listens on."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"

    def addresses(self):
        """Return the address of the process, printed when it starts."""
        return {"process": "platform", "name": self.settings.name, "address": self.address}

    def start(self):
        """Listen and serve in background threads."""
        self._server = wsgi.Server(
            (self.settings.host, self.settings.port),
            self._application,
            numthreads=self.settings.threads,
            request_queue_size=256,
            timeout=IDLE_CONNECTION_S,
            shutdown_timeout=1,
        )
        self._server.gateway = _Gateway
        self._server.max_request_body_size = MAX_BODY_BYTES
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self._server.expiration_interval = STOP_CHECK_S
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="platform", daemon=True)
        self._thread.start()

    def close(self):
        """End waiting watches and silent connections, then stop serving."""
        self._closing.set()
        self._faults_set.set()
        with self._changed:
            self._changed.notify_all()
        self._server.stop()
        self._thread.join(timeout=5)

    # HTTP

    def _application(self, environ, start_response):
        connection = environ[CONNECTION]
        self._connections.add(connection)
        if environ["PATH_INFO"] == "/metrics":
            return metrics_answer(start_response, self.counts.dump())
        answer = self._answer(environ, connection)
        return send(answer, environ, start_response)

    def _answer(self, environ, connection):
        target = urlsplit(environ["REQUEST_URI"])
        path = tuple(unquote(part) for part in target.path.strip("/").split("/"))
        query = {name: values[-1] for name, values in parse_qs(target.query).items()}
        body = read_body(environ)
        method = environ["REQUEST_METHOD"]
        if path[0] not in ("objects", "watch", "vms") or (path == ("vms",) and method == "POST"):
            return self._answer_admin(method, path, body)
        self._apply_faults(connection)
        answer = self._refuse() or self._answer_object(method, path, query, body, environ)
        # The connection may have been silenced while a watch was waiting.
        self._wait_while_silent(connection)
        return answer

    def _apply_faults(self, connection):
        self._wait_while_silent(connection)
        if self._closing.is_set() or self.faults.down == DOWN_CUT:
            raise _connection_lost()
        if self.faults.slow_s:
            self._closing.wait(self.faults.slow_s)

    def _wait_while_silent(self, connection):
        while self._is_silent(connection):
            if connection_closed(connection):
                raise _connection_lost()
            self._faults_set.wait(SILENT_CHECK_S)

    def _is_silent(self, connection):
        if self._closing.is_set():
            return False
        return connection in self._silent_connections or self.faults.silent == SILENT_ALL

    def _refuse(self):
        if self.faults.down == DOWN_UNAVAILABLE:
            return self._refused(HTTPStatus.SERVICE_UNAVAILABLE, "down")
        over = self._rate_limit.refuse(limit_per_s=self.faults.rate_limit_per_s, now=time.monotonic())
        if over is not None:
            return self._refused(HTTPStatus.TOO_MANY_REQUESTS, over.detail)
        return None

    def _refused(self, status, problem):
        self.counts.refused += 1
        return Answer(status=status, body={"applied": False, "error": problem})

    def _answer_object(self, method, path, query, body, environ):
        match method, path:
            case "GET", ("vms",):
                return self._read_vms(environ.get("HTTP_IF_NONE_MATCH"))
            case "GET", ("watch", kind):
                return self._watch(kind, query)
            case "GET", ("objects", kind):
                return self._list(kind)
            case "GET", ("objects", kind, name):
                return self._get(kind, name, environ.get("HTTP_IF_NONE_MATCH"))
            case (("POST" | "PUT" | "DELETE"), ("objects", kind, name)):
                return self._write(method, kind, name, query, body)
        return Answer(status=HTTPStatus.NOT_FOUND, body={"error": "no such path"})

    # Reads

    def _get(self, kind, name, known_tag):
        with self._changed:
            self.counts.reads += 1
            outcome = self.table.get(kind=kind, name=name, stale_versions=self.faults.stale_versions)
        return _answer_read(outcome, known_tag)

    def _list(self, kind):
        with self._changed:
            self.counts.reads += 1
            outcome = self.table.list(kind=kind, stale_versions=self.faults.stale_versions)
        objects = {name: {"version": version, "value": value} for name, (version, value) in outcome.value.items()}
        return Answer(status=HTTPStatus.OK, body={"version": outcome.version, "value": objects})

    def _read_vms(self, known_tag):
        with self._changed:
            self.counts.reads += 1
            outcome = self.table.vms(now=time.monotonic(), lag_s=self.settings.vm_list_lag_s)
        return _answer_read(outcome, known_tag)

    def _watch(self, kind, query):
        try:
            from_version = int(query.get("from_version", "0"))
            timeout_s = min(float(query.get("timeout_s", "30")), MAX_WATCH_S)
        except ValueError:
            return bad_request("from_version and timeout_s must be numbers")
        deadline = time.monotonic() + timeout_s
        with self._changed:
            self.counts.watches += 1
            while True:
                outcome = self.table.changes(kind=kind, from_version=from_version)
                left_s = deadline - time.monotonic()
                if outcome.value or left_s <= 0 or self._closing.is_set() or self.faults.down:
                    break
                self._changed.wait(left_s)
        if self.faults.down:
            return self._refused(HTTPStatus.SERVICE_UNAVAILABLE, "down")
        events = [{"name": name, "version": version, "value": value} for name, version, value in outcome.value]
        return Answer(status=HTTPStatus.OK, body={"version": outcome.version, "value": events})

    # Writes

    def _write(self, method, kind, name, query, body):
        if len(body) > MAX_VALUE_BYTES:
            return self._refused(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, f"value over {MAX_VALUE_BYTES} bytes")
        try:
            value = json.loads(body)["value"] if method != "DELETE" else None
            if_version = int(query["if_version"]) if method != "POST" else None
        except (ValueError, KeyError, TypeError):
            return bad_request('needs {"value": …} and, but for POST, ?if_version=V')
        with self._changed:
            self.counts.writes += 1
            outcome = self._write_table(method, kind, name, value, if_version)
            is_lost = isinstance(outcome, StoreDone) and self.faults.consume_lost_answer()
            self._changed.notify_all()
        if is_lost:
            raise _connection_lost()
        # The writer knows the value, so only the version is returned.
        return answer_outcome(outcome, with_value=False)

    def _write_table(self, method, kind, name, value, if_version):
        hide = self.faults.drop_watch_events
        if method == "POST":
            return self.table.create(kind=kind, name=name, value=value, hide=hide)
        if method == "PUT":
            return self.table.update(kind=kind, name=name, value=value, if_version=if_version, hide=hide)
        return self.table.delete(kind=kind, name=name, if_version=if_version, hide=hide)

    # Administration

    def _answer_admin(self, method, path, body):
        match method, path:
            case "GET", ("healthz",):
                return Answer(status=HTTPStatus.OK, body={"alive": True})
            case "GET", ("readyz",):
                return Answer(status=HTTPStatus.OK, body={"ready": True})
            case "GET", ("counts",):
                return Answer(status=HTTPStatus.OK, body=self.counts.dump())
            case "GET", ("faults",):
                return Answer(status=HTTPStatus.OK, body=self.faults.dump())
            case "GET", ("state",):
                return Answer(status=HTTPStatus.OK, body=self.dump())
            case "POST", ("faults",):
                return self._set_faults(_parse_json(body))
            case "POST", ("vms",):
                return self._set_vms(_parse_json(body))
        return Answer(status=HTTPStatus.NOT_FOUND, body={"error": "no such path"})

    def dump(self):
        """Return the complete state as a plain dict, without the values of objects."""
        with self._changed:
            return {
                "process": "platform",
                "name": self.settings.name,
                "revision": self.table.revision,
                "objects_by_kind": self.table.objects_by_kind(),
                "counts": self.counts.dump(),
                "faults": self.faults.dump(),
                "vm_list_lag_s": self.settings.vm_list_lag_s,
                "vms": self.table.vms(now=time.monotonic(), lag_s=0).value,
                "connections": len(self._connections),
            }

    def _set_faults(self, fields):
        faults = parse_faults(fields)
        if isinstance(faults, list):
            return bad_request(*faults)
        with self._changed:
            self.faults = faults
            self._silent_connections.clear()
            if faults.silent == SILENT_OPEN:
                self._silent_connections.update(self._connections)
            # Wakes waiting watches, which an outage ends.
            self._changed.notify_all()
        # Wakes threads that hold silent connections, so that they continue once the fault is cleared.
        self._faults_set.set()
        self._faults_set.clear()
        return Answer(status=HTTPStatus.OK, body=faults.dump())

    def _set_vms(self, vms):
        problems = check_vms(vms)
        if problems:
            return bad_request(*problems)
        with self._changed:
            self.table.set_vms(vms=vms, now=time.monotonic())
        return Answer(status=HTTPStatus.OK, body={"vms": len(vms)})


def _answer_read(outcome, known_tag):
    """Answer a read, or with 304 if the client already has this version."""
    if isinstance(outcome, StoreDone) and known_tag == entity_tag(outcome.version):
        return Answer(status=HTTPStatus.NOT_MODIFIED, version=outcome.version)
    return answer_outcome(outcome)


def _parse_json(body):
    try:
        return json.loads(body)
    except ValueError:
        return None


def _connection_lost():
    # cheroot ignores a connection reset without logging it and closes the connection.
    return ConnectionLost(errno.ECONNRESET, "closed without an answer")


def main(settings_path):
    """Run one platform stand-in until SIGTERM or SIGINT."""
    settings = load_platform_settings(settings_path)
    if isinstance(settings, list):
        for problem in settings:
            print(f"{settings_path}: {problem}", file=sys.stderr)
        raise SystemExit(USAGE_STATUS)
    run_until_signal(PlatformStandin(settings=settings))
