"""The stand-in plain service: fixed service time, bounded concurrency, a record of executed requests."""

import hashlib
import json
import os
import threading
import time
import uuid
import weakref

from wagtailtrestle.standins.faults import Faults
from wagtailtrestle.standins.http_serving import (
    CONNECTION,
    STOPPING,
    HttpServing,
    break_connection,
    hold_silent,
    json_answer,
    metrics_answer,
    read_body,
    refuse_unstarted,
    run_until_signal,
)
from wagtailtrestle.standins.record import Record
from wagtailtrestle.standins.standin_settings import SERVICE_DEFAULTS, load_settings

CRASH_STATUS = 70
OTHER_RUN = "another-run"


class ServiceStandin:
    """Answers any method and path; counts executions by run id and by the caller's request id.

    Parameters
    ----------
    settings : StandinSettings
        Its names are those of ``SERVICE_DEFAULTS``.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self.faults = Faults()
        self.record = Record()
        self._slots = threading.BoundedSemaphore(settings["concurrency"])
        self._counts_lock = threading.Lock()
        self._running = 0
        self._crashes = 0
        self._waiting = 0
        self._leaving = False
        self._refusing = False
        self._connections = weakref.WeakSet()
        self._silent_connections = weakref.WeakSet()
        self._serving = self._make_serving(settings["port"])
        self._control = None
        if settings["control_port"] >= 0:
            self._control = HttpServing(
                host=settings["host"], port=settings["control_port"], application=self._serve, threads=2
            )

    def start(self):
        """Start serving."""
        self._serving.start()
        if self._control is not None:
            self._control.start()

    def close(self):
        """Report that the service is draining, let requests in progress finish, then stop."""
        self._leaving = True
        self.record.mark_leaving()
        time.sleep(self._settings["drain_grace_ms"] / 1000)
        self._refusing = True
        # As in the engine: late requests get a refusal instead of a reset connection.
        time.sleep(self._settings["drain_linger_ms"] / 1000)
        self._serving.close()
        if self._control is not None:
            self._control.close()

    def silence_open(self, *, spared=None):
        """Stop sending on every open connection except ``spared``; new connections work."""
        self._silent_connections.update(other for other in self._connections if other is not spared)

    def addresses(self) -> dict:
        """Return the addresses that the process listens on."""
        control = {} if self._control is None else {"control": f"{self._control.host}:{self._control.port}"}
        return {"name": self._settings["name"], "address": f"{self._serving.host}:{self._serving.port}", **control}

    def state(self) -> dict:
        """Return the complete state, for the state dump."""
        return {
            "settings": self._settings.as_dict(),
            "addresses": self.addresses(),
            "load": self._load(),
            "faults": self.faults.as_dict(),
        }

    def _make_serving(self, port):
        return HttpServing(
            host=self._settings["host"], port=port, application=self._serve, threads=self._settings["threads"]
        )

    def _serve(self, environ, start_response):
        connection = environ[CONNECTION]
        if connection in self._silent_connections:
            hold_silent(connection, environ[STOPPING])
        self._connections.add(connection)
        handler = self._handlers().get((environ["REQUEST_METHOD"], environ["PATH_INFO"]), self._run)
        return handler(environ, start_response)

    def _handlers(self):
        return {
            ("GET", "/load"): lambda _, respond: json_answer(respond, 200, self._load()),
            ("GET", "/record"): lambda _, respond: json_answer(respond, 200, self.record.as_dict()),
            ("GET", "/faults"): lambda _, respond: json_answer(respond, 200, self.faults.as_dict()),
            ("POST", "/faults"): self._post_faults,
            ("GET", "/healthz"): lambda _, respond: json_answer(respond, 200, {"alive": True}),
            ("GET", "/readyz"): lambda _, respond: json_answer(
                respond, 503 if self._leaving else 200, {"ready": not self._leaving}
            ),
            ("GET", "/metrics"): lambda _, respond: metrics_answer(respond, self.record.as_dict()["totals"]),
            ("GET", "/state"): lambda _, respond: json_answer(respond, 200, self.state()),
        }

    def _load(self) -> dict:
        with self._counts_lock:
            return {
                "age_s": 0.0,
                "running": self._running,
                "waiting": self._waiting,
                "step_s": self._settings["service_ms"] / 1000,
                "leaving": self._leaving,
            }

    def _run(self, environ, start_response):
        body = read_body(environ)
        status = self.faults.consume_reject_status()
        run_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        if status:
            return json_answer(start_response, status, {"error": "refused by the service"}, request_id=run_id)
        if self._refusing:
            return refuse_unstarted(start_response, run_id)
        if not self._work(run_id, environ.get("HTTP_X_CALLER_REQUEST_ID", ""), body):
            break_connection(environ[CONNECTION])
        return self._answer(environ, start_response, run_id, body)

    def _work(self, run_id, caller_request_id, body) -> bool:
        """Execute one request; return ``False`` if the service crashed meanwhile."""
        crashes = self._crashes
        with self._counts_lock:
            self._waiting += 1
        with self._slots:
            with self._counts_lock:
                self._waiting -= 1
                self._running += 1
            self.record.started(run_id=run_id, caller_request_id=caller_request_id)
            marker = self.faults.poison_marker.encode()
            if marker and marker in body:
                self.crash()
            time.sleep(self._settings["service_ms"] / 1000 * self.faults.straggle)
            completed = self._crashes == crashes
            if completed:
                self.record.finished(run_id=run_id)
            with self._counts_lock:
                self._running -= 1
        return completed

    def _answer(self, environ, start_response, run_id, body):
        kind = self.faults.consume_stream_kind()
        if kind == "silent":
            hold_silent(environ[CONNECTION], environ[STOPPING])
        if kind == "late":
            time.sleep(self.faults.late_s)
        answer_id = OTHER_RUN if kind == "cross" else run_id
        answer = {
            "request_id": answer_id,
            "method": environ["REQUEST_METHOD"],
            "path": environ["PATH_INFO"],
            "query": environ.get("QUERY_STRING", ""),
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        if kind == "cut":
            return _cut_answer(start_response, run_id, answer, environ[CONNECTION])
        return json_answer(start_response, 200, answer, request_id=answer_id)

    def _post_faults(self, environ, start_response):
        values = json.loads(read_body(environ))
        problems = self.faults.update(values)
        if problems:
            return json_answer(start_response, 400, {"problems": problems})
        if self.faults.silent_open:
            self.faults.silent_open = False
            self.silence_open(spared=environ[CONNECTION])
        if self.faults.crash_now:
            self.faults.crash_now = False
            self.crash()
        if self.faults.refuse_connects_s:
            down_s, self.faults.refuse_connects_s = self.faults.refuse_connects_s, 0.0
            self._go_down(down_s)
        return json_answer(start_response, 200, self.faults.as_dict())

    def crash(self):
        """Crash as the fault ``crash_mode`` says."""
        if self.faults.crash_mode == "exit":
            os._exit(CRASH_STATUS)
        self._crashes += 1
        self._go_down(self.faults.down_s)

    def _go_down(self, down_s):
        threading.Thread(target=self._serving.go_down, args=(down_s,), name="down", daemon=True).start()


def _cut_answer(start_response, run_id, answer, connection):
    body = json.dumps(answer).encode()
    headers = [("Content-Type", "application/json"), ("X-Request-Id", run_id), ("Content-Length", str(len(body)))]
    start_response("200 OK", headers)
    yield body[: len(body) // 2]
    break_connection(connection)


def main(settings_path):
    """Run the stand-in service until SIGTERM."""
    run_until_signal(ServiceStandin(settings=load_settings(settings_path, SERVICE_DEFAULTS)))
