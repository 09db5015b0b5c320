"""The stand-in language engine: one process with continuous batching, served over HTTP."""

import json
import os
import threading
import time
import uuid
import weakref
from urllib.parse import parse_qs

from wagtailtrestle.standins.batching import BatchingEngine, BatchRun
from wagtailtrestle.standins.faults import Faults
from wagtailtrestle.standins.http_serving import (
    CONNECTION,
    STOPPING,
    HttpServing,
    bytes_answer,
    hold_silent,
    json_answer,
    metrics_answer,
    read_body,
    refuse_unstarted,
    run_until_signal,
)
from wagtailtrestle.standins.lagging import CacheEventLog, LaggingLoad
from wagtailtrestle.standins.orders import Orders
from wagtailtrestle.standins.prompts import answer_key, count_tokens, prefix_blocks, prompt_text
from wagtailtrestle.standins.record import Record
from wagtailtrestle.standins.runs import EngineRuns, LiveRun
from wagtailtrestle.standins.standin_settings import ENGINE_DEFAULTS, load_settings
from wagtailtrestle.standins.streaming import Following, StreamFault, complete_body

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
DRAIN_LIMIT_S = 300.0
CRASH_STATUS = 70
EVENT_STREAM = [("Content-Type", "text/event-stream"), ("Cache-Control", "no-store")]


class EngineStandin:
    """Stand-in engine process: HTTP endpoints around the batching model.

    Parameters
    ----------
    settings : StandinSettings
        Its names are those of ``ENGINE_DEFAULTS``.
    """

    def __init__(self, *, settings):
        self._settings = settings
        self.faults = Faults()
        self.record = Record()
        self._cache_events = CacheEventLog(lag_s=settings["cache_lag_ms"] / 1000, gap_every=settings["cache_gap_every"])
        self._runs = EngineRuns(
            engine=BatchingEngine(
                slots=settings["slots"],
                base_step_s=settings["base_step_ms"] / 1000,
                per_run_step_s=settings["per_run_step_ms"] / 1000,
                prefill_tokens_per_s=settings["prefill_tokens_per_s"],
                cache_tokens=settings["cache_tokens"],
                prefill_chunk_tokens=settings["prefill_chunk_tokens"],
            ),
            record=self.record,
            on_poison=self.crash,
            on_cache_change=self._cache_events.add,
            orphan_grace_s=settings["orphan_grace_ms"] / 1000,
        )
        self._load = LaggingLoad(read=self._runs.load, lag_s=settings["load_lag_ms"] / 1000)
        self._orders = Orders(checks_fencing=settings["checks_fencing"])
        self._connections = weakref.WeakSet()
        self._silent_connections = weakref.WeakSet()
        self._serving = self._make_serving(settings["port"])
        self._down = None
        self._control = None
        if settings["control_port"] >= 0:
            self._control = HttpServing(
                host=settings["host"], port=settings["control_port"], application=self._serve, threads=2
            )

    def start(self):
        """Start the batching threads and the HTTP servers."""
        self._runs.start()
        self._load.start()
        self._serving.start()
        if self._control is not None:
            self._control.start()

    def close(self):
        """Report that the engine is draining, refuse new runs after the grace period, finish all others, and stop."""
        self.leave()
        time.sleep(self._settings["drain_grace_ms"] / 1000)
        self._orders.refusing = True
        self._runs.wait_idle(DRAIN_LIMIT_S)
        # Requests in transit still get a refusal. If the port were closed immediately, their
        # connections would be reset, and the sender could not tell whether they had run.
        time.sleep(self._settings["drain_linger_ms"] / 1000)
        self._serving.close()
        if self._control is not None:
            self._control.close()
        self._load.close()
        self._runs.close()

    def leave(self):
        """Mark the engine as draining; its current runs continue."""
        self._orders.leaving = True
        self.record.mark_leaving()

    def silence_open(self, *, spared=None):
        """Stop sending on every open connection except ``spared``; new connections work."""
        self._silent_connections.update(other for other in self._connections if other is not spared)
        self._runs.silence_open()

    def addresses(self) -> dict:
        """Return the addresses that the process listens on."""
        control = {} if self._control is None else {"control": f"{self._control.host}:{self._control.port}"}
        return {"name": self._settings["name"], "address": f"{self._serving.host}:{self._serving.port}", **control}

    def _make_serving(self, port):
        return HttpServing(
            host=self._settings["host"], port=port, application=self._serve, threads=self._settings["threads"]
        )

    # HTTP.

    def _serve(self, environ, start_response):
        connection = environ[CONNECTION]
        if connection in self._silent_connections:
            hold_silent(connection, environ[STOPPING])
        self._connections.add(connection)
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if method == "POST" and path in (CHAT_PATH, COMPLETION_PATH):
            return self._complete(environ, start_response, chat=path == CHAT_PATH)
        parts = path.strip("/").split("/")
        handler = self._handlers().get((method, parts[0], len(parts)))
        if handler is None:
            return json_answer(start_response, 404, {"error": f"no {method} {path}"})
        return handler(environ, start_response, parts)

    def _handlers(self):
        return {
            ("GET", "runs", 2): self._attach,
            ("POST", "runs", 3): self._cancel,
            ("GET", "load", 1): self._get_load,
            ("GET", "cache", 2): self._get_cache_events,
            ("POST", "orders", 1): self._post_order,
            ("GET", "kv", 2): self._export_kv,
            ("POST", "kv", 1): self._import_kv,
            ("GET", "record", 1): lambda _, respond, __: json_answer(respond, 200, self.record.as_dict()),
            ("GET", "faults", 1): lambda _, respond, __: json_answer(respond, 200, self.faults.as_dict()),
            ("POST", "faults", 1): self._post_faults,
            ("GET", "healthz", 1): lambda _, respond, __: json_answer(respond, 200, {"alive": True}),
            ("GET", "readyz", 1): self._get_readyz,
            ("GET", "metrics", 1): lambda _, respond, __: metrics_answer(respond, self.record.as_dict()["totals"]),
            ("GET", "state", 1): lambda _, respond, __: json_answer(respond, 200, self.state()),
        }

    def _complete(self, environ, start_response, *, chat):
        try:
            body = json.loads(read_body(environ))
            problem = _body_problem(body, chat=chat)
        except ValueError as error:
            problem = f"not JSON: {error}"
        if problem:
            return json_answer(start_response, 400, {"error": {"message": problem}})
        status = self.faults.consume_reject_status()
        if status:
            return json_answer(start_response, status, {"error": {"message": "refused by the engine"}})
        run_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        if self._orders.refusing:
            return refuse_unstarted(start_response, run_id)
        run = self._live_run(body, run_id, chat=chat)
        reader = self._runs.submit(run, caller_request_id=environ.get("HTTP_X_CALLER_REQUEST_ID", ""))
        if reader is None:
            return json_answer(start_response, 409, {"error": {"message": f"run {run.run_id} is known"}})
        if body.get("stream"):
            return self._stream(environ, start_response, run, reader, run.batch_run.resume_tokens)
        return self._answer_unstreamed(environ, start_response, run, reader)

    def _live_run(self, body, run_id, *, chat) -> LiveRun:
        text = prompt_text(body)
        limit = body.get("max_completion_tokens") or body.get("max_tokens") or self._settings["default_output_tokens"]
        output_tokens = min(limit, body.get("wagtailtrestle_output_tokens") or limit)
        marker = self.faults.poison_marker
        return LiveRun(
            run_id=run_id,
            answer_key=answer_key(text),
            chat=chat,
            max_output_tokens=limit,
            poisoned=bool(marker) and marker in text,
            batch_run=BatchRun(
                run_id=run_id,
                prompt_tokens=count_tokens(text),
                output_tokens=output_tokens,
                prefix_blocks=prefix_blocks(text),
                resume_tokens=min(body.get("resume_tokens", 0), output_tokens),
            ),
        )

    def _stream(self, environ, start_response, run, reader, from_token):
        start_response("200 OK", [*EVENT_STREAM, ("X-Request-Id", run.run_id)])
        kind = self.faults.consume_stream_kind()
        fault = None
        if kind:
            fault = StreamFault(kind=kind, after_tokens=self.faults.stream_after_tokens, late_s=self.faults.late_s)
        following = self._following(environ, run, reader, from_token)
        return self._detaching(run, reader, following.stream(fault))

    def _following(self, environ, run, reader, from_token):
        return Following(
            run=run,
            reader=reader,
            from_token=from_token,
            connection=environ[CONNECTION],
            stopping=environ[STOPPING],
        )

    def _detaching(self, run, reader, chunks):
        try:
            yield from chunks
        finally:
            self._runs.detach(run, reader)

    def _answer_unstreamed(self, environ, start_response, run, reader):
        try:
            self._following(environ, run, reader, 0).wait_end()
        finally:
            self._runs.detach(run, reader)
        headers = [("Content-Type", "application/json"), ("X-Request-Id", run.run_id)]
        return bytes_answer(start_response, 200, complete_body(run), headers)

    def _attach(self, environ, start_response, parts):
        run, reader = self._runs.attach(parts[1])
        if run is None:
            return json_answer(start_response, 404, {"error": {"message": f"run {parts[1]} is not known"}})
        return self._stream(environ, start_response, run, reader, _query_number(environ, "from_token"))

    def _cancel(self, environ, start_response, parts):
        if parts[2] != "cancel":
            return json_answer(start_response, 404, {"error": f"no {parts[2]}"})
        state, output_tokens = self._runs.cancel(parts[1])
        return json_answer(start_response, 200, {"state": state, "output_tokens": output_tokens})

    def _get_load(self, environ, start_response, parts):
        age_s, load = self._load.report()
        return json_answer(
            start_response,
            200,
            {
                "age_s": age_s,
                "running": load.running,
                "waiting": load.waiting,
                "step_s": load.step_s,
                "leaving": self._orders.leaving,
            },
        )

    def _get_cache_events(self, environ, start_response, parts):
        return json_answer(start_response, 200, self._cache_events.events_from(_query_number(environ, "from")))

    def _post_order(self, environ, start_response, parts):
        order = json.loads(read_body(environ))
        status, answer = self._orders.apply(order, ignore_fencing=self.faults.ignore_fencing)
        if self._orders.leaving:
            self.record.mark_leaving()
        return json_answer(start_response, status, answer)

    def _export_kv(self, environ, start_response, parts):
        batch_run = self._runs.batch_run(parts[1])
        if batch_run is None:
            return json_answer(start_response, 404, {"error": {"message": f"run {parts[1]} is not known"}})
        return json_answer(
            start_response,
            200,
            {
                "run_id": parts[1],
                "prompt_tokens": batch_run.prompt_tokens,
                "output_tokens": batch_run.last_index,
                "blocks": list(batch_run.prefix_blocks),
            },
        )

    def _import_kv(self, environ, start_response, parts):
        blocks = json.loads(read_body(environ)).get("blocks", [])
        self._runs.import_blocks(tuple(blocks))
        return json_answer(start_response, 200, {"blocks": len(blocks)})

    def _get_readyz(self, environ, start_response, parts):
        ready = not self._orders.leaving
        return json_answer(start_response, 200 if ready else 503, {"ready": ready})

    def _post_faults(self, environ, start_response, parts):
        values = json.loads(read_body(environ))
        problems = self.faults.update(values)
        if problems:
            return json_answer(start_response, 400, {"problems": problems})
        if "straggle" in values:
            self._runs.straggle(self.faults.straggle)
        if self.faults.silent_open:
            self.faults.silent_open = False
            self.silence_open(spared=environ[CONNECTION])
        if self.faults.crash_now:
            self.crash()
        if self.faults.refuse_connects_s:
            down_s, self.faults.refuse_connects_s = self.faults.refuse_connects_s, 0.0
            self._runs.cut_open()
            self._go_down(down_s)
        return json_answer(start_response, 200, self.faults.as_dict())

    # Crashes.

    def crash(self):
        """Crash as the fault ``crash_mode`` says."""
        self.faults.crash_now = False
        if self.faults.crash_mode == "exit":
            os._exit(CRASH_STATUS)
        self._runs.drop_all()
        self._cache_events.restart()
        self._go_down(self.faults.down_s)

    def is_down(self):
        """Return whether the server is going down, is down, or has yet to listen again."""
        return self._down is not None and self._down.is_alive()

    def _go_down(self, down_s):
        self._down = threading.Thread(target=self._serving.go_down, args=(down_s,), name="down", daemon=True)
        self._down.start()

    def state(self) -> dict:
        """Return the complete state, for the state dump."""
        load = self._runs.load()
        return {
            "settings": self._settings.as_dict(),
            "addresses": self.addresses(),
            "load": {"running": load.running, "waiting": load.waiting, "step_s": load.step_s},
            "runs": self._runs.as_dict(),
            "orders": self._orders.as_dict(),
            "faults": self.faults.as_dict(),
        }


def _query_number(environ, name) -> int:
    values = parse_qs(environ.get("QUERY_STRING", "")).get(name)
    return int(values[0]) if values else 0


def _body_problem(body, *, chat) -> str:
    if not isinstance(body, dict):
        return "the body must be an object"
    if chat and not isinstance(body.get("messages"), list):
        return "messages must be a list"
    if not chat and not isinstance(body.get("prompt"), str | list):
        return "prompt must be a text or a list of texts"
    if body.get("n") not in (None, 1):
        return "n must be 1"
    return ""


def main(settings_path):
    """Run the stand-in engine until SIGTERM."""
    settings = load_settings(settings_path, ENGINE_DEFAULTS)
    run_until_signal(EngineStandin(settings=settings))
