"""Callers' HTTP: each request is read, checked and carried by one thread."""

import asyncio
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from loguru import logger

from wagtailtrestle.answer_check import ReceivedAnswer
from wagtailtrestle.authentication import KeyIndex, authenticate
from wagtailtrestle.caller_answer import Answer, CallerResponse, PlainAnswer, StreamedAnswer, WholeAnswer
from wagtailtrestle.caller_body import body_digest, parse_language, read_body, slow_sender
from wagtailtrestle.caller_exchange import CallerExchange
from wagtailtrestle.caller_headers import CallerHeaders, caller_headers, caller_request_id, deadline_s
from wagtailtrestle.caller_limits import CallerLimits, Full
from wagtailtrestle.caller_stream import JSON_TYPE, EventWriter, model_list
from wagtailtrestle.caller_watch import CallerWatch
from wagtailtrestle.caller_wsgi import CONNECTION_ENVIRON, REQUEST_ENVIRON, CallersWsgiServer
from wagtailtrestle.declaration import LANGUAGE, PLAIN, Team
from wagtailtrestle.engine_http import EngineCall
from wagtailtrestle.exchange import AnswerRecorded, AnswerRefusal, AnswerWhole, CallerRequest
from wagtailtrestle.metrics import Metrics
from wagtailtrestle.outcomes import Executed, Reason, Refusal
from wagtailtrestle.route_match import (
    CHAT_PATH,
    LANGUAGE_PATHS,
    MODELS_PATH,
    Matched,
    match_language,
    match_plain,
    services_of,
)

DEFAULT_THREADS = 128
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_CONNECTIONS = 4096
DEFAULT_RECEIVE_TIMEOUT_S = 15.0
DEFAULT_MOST_DEADLINE_S = 3600.0
CANCEL_THREADS = 8
RETRY_AFTER_S = 1.0
DRAIN_POLL_S = 0.02
UNFORWARDED_PREFIX = "HTTP_WAGTAILTRESTLE_"
UNFORWARDED = frozenset({"HTTP_HOST", "HTTP_AUTHORIZATION", "HTTP_CONNECTION", "HTTP_TRANSFER_ENCODING", "HTTP_EXPECT"})


@dataclass(slots=True, kw_only=True)
class _Work:
    """One request while its thread carries it."""

    began_at: float
    request_id: str
    response: CallerResponse
    request: CallerRequest = None
    call: EngineCall = None
    answer: Answer = None
    exchange: CallerExchange = None
    received: ReceivedAnswer = field(default_factory=ReceivedAnswer)
    generation: int = 0
    first_run_at: float = 0.0
    first_token_at: float = 0.0


class CallersServer:
    """Serves callers and hands their requests to the tasks on the loop.

    Parameters
    ----------
    name : str
        The router's name, part of each request's id.
    address : tuple of (str, int)
        Where to listen; port 0 picks a free one, see ``port``.
    directory : callable
        Returns the configuration in force (``generation``, ``declaration``) or ``None``.
    submit : callable
        ``submit(request, link)``, called on the loop.
    post : callable
        ``post(request_id, event)``, called on the loop.
    engine_client : EngineClient
    loop : asyncio.AbstractEventLoop
    limits : CallerLimits
    metrics : Metrics
    ready : callable
        Returns ``None`` or the ``Reason`` why no request can be served yet.
    threads : int
        More than ``limits`` hold; the rest read heads and refuse.
    """

    def __init__(
        self,
        *,
        name,
        address,
        directory,
        submit,
        post,
        engine_client,
        loop,
        limits: CallerLimits,
        metrics: Metrics,
        ready: Callable[[], Reason | None],
        threads=DEFAULT_THREADS,
        max_body_bytes=DEFAULT_MAX_BODY_BYTES,
        max_header_bytes=DEFAULT_MAX_HEADER_BYTES,
        max_connections=DEFAULT_MAX_CONNECTIONS,
        receive_timeout_s=DEFAULT_RECEIVE_TIMEOUT_S,
        most_deadline_s=DEFAULT_MOST_DEADLINE_S,
    ):
        self._name = name
        self._directory = directory
        self._submit = submit
        self._post = post
        self._engine_client = engine_client
        self._loop = loop
        self._limits = limits
        self._metrics = metrics
        self._ready = ready
        self._most_deadline_s = most_deadline_s
        self._receive_timeout_s = receive_timeout_s
        self._watch = CallerWatch()
        self._cancels = ThreadPoolExecutor(max_workers=CANCEL_THREADS, thread_name_prefix="cancel")
        self._lock = threading.Lock()
        self._exchanges_by_id = {}
        self._in_work = 0
        self._indexed = None
        self._index = None
        self._draining = False
        self._grace_over = False
        self._thread = None
        self._server = CallersWsgiServer(
            address=address,
            application=self._serve,
            threads=threads,
            watch=self._watch,
            max_connections=max_connections,
            max_header_bytes=max_header_bytes,
            max_body_bytes=max_body_bytes,
            receive_timeout_s=receive_timeout_s,
        )

    @property
    def port(self):
        """Port listened on."""
        return self._server.bind_addr[1]

    @property
    def draining(self):
        """Whether the drain has begun; ``/readyz`` is false from then on."""
        return self._draining

    def start(self):
        """Bind and serve in threads."""
        self._watch.start()
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="callers", daemon=True)
        self._thread.start()

    async def drain(self, *, grace_s: float):
        """Finish every request in work, and those still coming within the grace.

        The balancer learns late that this router leaves. For ``grace_s`` what it still
        sends is served; after that it is refused as not run, and once nothing is in
        work this returns.
        """
        self._draining = True
        await asyncio.sleep(grace_s)
        self._grace_over = True
        while self._in_work:
            await asyncio.sleep(DRAIN_POLL_S)

    def close(self):
        """Stop listening; requests still in work are ended as not known to have run."""
        self._draining = True
        self._grace_over = True
        for exchange in list(self._exchanges_by_id.values()):
            exchange.post(AnswerRefusal(refusal=_stopping(exchange)))
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
            self._watch.close()
        self._cancels.shutdown(wait=False)

    def dump(self) -> dict:
        """Plain data for the state dump."""
        return {
            "draining": self._draining,
            "in_work": self._in_work,
            "connections": self._server.connections,
            "limits": self._limits.usage(),
        }

    # The WSGI application, run in a worker thread.

    def _serve(self, environ, start_response):
        began_at = time.monotonic()
        with self._lock:
            self._in_work += 1
        try:
            self._serve_one(environ, start_response, began_at)
        finally:
            with self._lock:
                self._in_work -= 1
        return ()

    def _serve_one(self, environ, start_response, began_at):
        given_id = caller_request_id(environ)
        refusal = given_id if isinstance(given_id, Refusal) else None
        response = CallerResponse(
            start_response=start_response,
            request_id=uuid.uuid4().hex if refusal else given_id,
            on_gone=lambda: None,
            closing=lambda: self._draining,
        )
        work = _Work(began_at=began_at, request_id=f"{self._name}-{uuid.uuid4().hex}", response=response)
        refusal = refusal or self._prepare(work, environ)
        if refusal is not None:
            self._refuse(work, environ, refusal)
        elif work.request is not None:
            self._carry(work, environ[CONNECTION_ENVIRON])
        if response.gone:
            environ[REQUEST_ENVIRON].close_connection = True

    def _refuse(self, work, environ, refusal):
        # What was not read of the body is not read now either: the connection ends instead.
        if refusal.status in (401, 408, 413) or refusal.reason in (Reason.DRAINING, Reason.NOT_READY):
            environ[REQUEST_ENVIRON].close_connection = True
        work.response.send_refusal(refusal)
        self._metrics.count("requests_refused_early", reason=refusal.reason.value)

    # Reading and checking.

    def _prepare(self, work, environ) -> Refusal | None:
        """Fill ``work`` from the request; without a refusal and a request it was answered here."""
        refusal = self._closed_refusal()
        if refusal is not None:
            return refusal
        in_force = self._directory()
        work.generation = in_force.generation
        team = authenticate(header=environ.get("HTTP_AUTHORIZATION", ""), index=self._keys(in_force))
        if isinstance(team, Refusal):
            return team
        headers = caller_headers(environ)
        if isinstance(headers, Refusal):
            return headers
        path = environ["PATH_INFO"]
        if path == MODELS_PATH:
            return self._list_models(work, environ, in_force, team)
        body = self._read(environ)
        if isinstance(body, Refusal):
            return body
        if path in LANGUAGE_PATHS:
            return self._prepare_language(work, environ, in_force, team, headers, body)
        return self._prepare_plain(work, environ, in_force, team, headers, body)

    def _closed_refusal(self):
        reason = Reason.DRAINING if self._grace_over else self._ready()
        if reason is None or (reason is Reason.DRAINING and not self._grace_over):
            reason = None if self._directory() is not None else Reason.NOT_READY
        if reason is None:
            return None
        return Refusal(
            status=503,
            reason=reason,
            executed=Executed.NO,
            detail="This router takes no requests now; another one does.",
            retry_after_s=RETRY_AFTER_S,
        )

    def _keys(self, in_force):
        if self._indexed is not in_force.declaration:
            self._index = KeyIndex(declaration=in_force.declaration)
            self._indexed = in_force.declaration
        return self._index

    def _read(self, environ):
        connection = environ[CONNECTION_ENVIRON]
        length = environ.get("CONTENT_LENGTH")
        chunked = environ.get("wsgi.input_terminated")
        body = read_body(
            stream=environ["wsgi.input"],
            length=None if chunked else int(length or 0),
            deadline=time.monotonic() + self._receive_timeout_s,
        )
        self._watch.received(connection=connection)
        return slow_sender() if connection.too_slow else body

    def _list_models(self, work, environ, in_force, team):
        if environ["REQUEST_METHOD"] != "GET":
            return Refusal(
                status=405, reason=Reason.NO_ROUTE, executed=Executed.NO, detail="Allowed methods on this path: GET."
            )
        names = [service.name for service in services_of(declaration=in_force.declaration, team=team)]
        work.response.send(status=200, content_type=JSON_TYPE, body=model_list(names))
        return None

    def _prepare_language(self, work, environ, in_force, team: Team, headers: CallerHeaders, body):
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] != "POST":
            return Refusal(
                status=405, reason=Reason.NO_ROUTE, executed=Executed.NO, detail="Allowed methods on this path: POST."
            )
        parsed = parse_language(body=body, path=path)
        if isinstance(parsed, Refusal):
            return parsed
        matched = match_language(
            declaration=in_force.declaration,
            team=team,
            path=path,
            model=parsed.model,
            route_name=headers.route,
            tier_name=headers.tier,
        )
        if isinstance(matched, Refusal):
            return matched
        chat = path == CHAT_PATH
        if parsed.stream:
            events = EventWriter(
                request_id=work.response.request_id, model=parsed.model, chat=chat, include_usage=parsed.include_usage
            )
            work.answer = StreamedAnswer(response=work.response, events=events)
        else:
            work.answer = WholeAnswer(response=work.response, model=parsed.model, chat=chat)
        work.call = EngineCall(
            kind=LANGUAGE,
            method="POST",
            path=path,
            document=parsed.fields,
            caller_request_id=work.response.request_id,
        )
        work.request = self._request(
            work,
            team,
            matched,
            headers,
            digest=body_digest(method="POST", path=path, body=body),
            prompt_tokens=parsed.shape.tokens,
            output_tokens=parsed.output_tokens,
            prefix_blocks=parsed.shape.prefix_blocks,
        )
        return self._hold(work, body_bytes=len(body))

    def _prepare_plain(self, work, environ, in_force, team: Team, headers: CallerHeaders, body):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"]
        matched = match_plain(
            declaration=in_force.declaration,
            team=team,
            method=method,
            path=path,
            route_name=headers.route,
            tier_name=headers.tier,
        )
        if isinstance(matched, Refusal):
            return matched
        work.answer = PlainAnswer(response=work.response)
        target = environ["REQUEST_URI"].partition("?")
        work.call = EngineCall(
            kind=PLAIN,
            method=method,
            path=target[0],
            query=target[2],
            headers=_forwarded(environ),
            body=body,
            caller_request_id=work.response.request_id,
        )
        work.request = self._request(
            work,
            team,
            matched,
            headers,
            digest=body_digest(method=method, path=environ["REQUEST_URI"], body=body),
            prompt_tokens=0,
            output_tokens=0,
            prefix_blocks=(),
        )
        return self._hold(work, body_bytes=len(body))

    def _request(self, work, team, matched: Matched, headers, *, digest, prompt_tokens, output_tokens, prefix_blocks):
        route = matched.route
        allowed_s = deadline_s(headers=headers, default_ms=route.deadline_ms, most_s=self._most_deadline_s)
        elapsed_s = time.monotonic() - work.began_at
        return CallerRequest(
            request_id=work.request_id,
            service=matched.service.name,
            team=team.name,
            route=route.name,
            tier=matched.tier,
            repeatable=route.repeatable,
            at_most_once=route.at_most_once,
            idempotency_key=headers.idempotency_key,
            body_digest=digest,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            prefix_blocks=prefix_blocks,
            deadline=self._loop.time() + allowed_s - elapsed_s,
        )

    # Carrying.

    def _hold(self, work, *, body_bytes) -> Refusal | None:
        request = work.request
        admitted = self._limits.admit(
            request_id=request.request_id, tier=request.tier, body_bytes=body_bytes, repeatable=request.repeatable
        )
        if isinstance(admitted, Full):
            work.request = None
            return Refusal(
                status=503,
                reason=Reason.ROUTER_FULL,
                executed=Executed.NO,
                detail=admitted.detail,
                retry_after_s=RETRY_AFTER_S,
            )
        for request_id in admitted.displaced:
            exchange = self._exchanges_by_id.get(request_id)
            if exchange is not None:
                exchange.displace()
        return None

    def _carry(self, work, connection):
        request = work.request
        exchange = CallerExchange(
            request_id=request.request_id,
            post_event=lambda event: self._loop.call_soon_threadsafe(self._post, request.request_id, event),
            cancel=self._cancel,
        )
        work.exchange = exchange
        work.response.on_gone = exchange.caller_gone
        fd = connection.socket.fileno()
        with self._lock:
            self._exchanges_by_id[request.request_id] = exchange
        self._loop.call_soon_threadsafe(self._submit, request, exchange)
        self._watch.watch(fd=fd, on_gone=exchange.caller_gone)
        try:
            wait_s = max(0.0, request.deadline - self._loop.time())
            command = exchange.carry(run=lambda start: self._run(work, start), wait_s=wait_s)
            self._answer(work, command)
        finally:
            self._watch.forget(fd=fd)
            self._limits.release(request_id=request.request_id)
            with self._lock:
                del self._exchanges_by_id[request.request_id]

    def _run(self, work, start):
        if not work.first_run_at:
            work.first_run_at = time.monotonic()
        self._limits.mark_running(request_id=work.request_id)
        try:
            return self._engine_client.run(
                command=start,
                request=work.call,
                received=work.received,
                on_event=lambda event: self._loop.call_soon_threadsafe(self._post, work.request_id, event),
                on_token=lambda index, text: self._token(work, text),
            )
        finally:
            self._limits.mark_waiting(request_id=work.request_id)

    def _token(self, work, text):
        if not work.first_token_at:
            work.first_token_at = time.monotonic()
        work.answer.token(text)

    def _cancel(self, *, run_id, address):
        self._cancels.submit(self._engine_client.cancel, address=address, run_id=run_id)

    def _answer(self, work, command):
        outcome = "answered"
        match command:
            case AnswerWhole():
                work.answer.whole(work.received)
            case AnswerRecorded():
                work.answer.recorded(command)
            case AnswerRefusal(refusal=refusal):
                if work.exchange.displaced and refusal.reason is Reason.CALLER_GONE:
                    refusal = _displaced(refusal)
                outcome = refusal.reason.value
                if not work.response.gone:
                    work.answer.refuse(refusal)
        self._note(work, outcome)

    def _note(self, work, outcome):
        request = work.request
        now = time.monotonic()
        labels = {"route": f"{request.service}/{request.route}", "tier": request.tier}
        self._metrics.count("requests", outcome=outcome, **labels)
        self._metrics.observe("total", seconds=now - work.began_at, **labels)
        if work.first_run_at:
            self._metrics.observe("queue_wait", seconds=work.first_run_at - work.began_at, **labels)
        if work.first_token_at:
            self._metrics.observe("first_token", seconds=work.first_token_at - work.began_at, **labels)
        logger.bind(
            request_id=request.request_id,
            caller_request_id=work.response.request_id,
            team=request.team,
            tier=request.tier,
            generation=work.generation,
        ).info(
            "{} {}: {} in {:.3f} s, {} runs",
            request.service,
            request.route,
            outcome,
            now - work.began_at,
            work.exchange.runs,
        )


def _forwarded(environ):
    headers = {}
    for name, value in environ.items():
        if name.startswith("HTTP_") and name not in UNFORWARDED and not name.startswith(UNFORWARDED_PREFIX):
            headers[name[5:].replace("_", "-").title()] = value
    if "CONTENT_TYPE" in environ:
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    return headers


def _displaced(refusal):
    return Refusal(
        status=503,
        reason=Reason.ROUTER_FULL,
        executed=refusal.executed,
        detail="This router needed its room for a higher tier.",
        retry_after_s=RETRY_AFTER_S,
    )


def _stopping(exchange):
    return Refusal(
        status=503,
        reason=Reason.DRAINING,
        executed=Executed.UNKNOWN if exchange.runs else Executed.NO,
        detail="This router stopped before the answer was complete.",
        retry_after_s=RETRY_AFTER_S,
    )
