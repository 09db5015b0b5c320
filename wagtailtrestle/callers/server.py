"""The HTTP server for callers: each request is read, validated and handled by one worker thread."""

import asyncio
import threading
import time
import uuid
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from wagtailtrestle.callers.answer import CallerResponse
from wagtailtrestle.callers.caller_exchange import CallerExchange
from wagtailtrestle.callers.connection_watcher import ConnectionWatcher
from wagtailtrestle.callers.dialect import IncomingRequest, ModelList, PreparedRequest
from wagtailtrestle.callers.limits import DEFAULT_RECEIVE_BYTES, CallerLimits, Full, ReceiveLimit, max_held_requests
from wagtailtrestle.callers.native_dialect import NativeDialect, not_accepting
from wagtailtrestle.callers.request_handler import RequestHandler
from wagtailtrestle.callers.start_hold import StartHold
from wagtailtrestle.callers.stream import JSON_TYPE
from wagtailtrestle.callers.wsgi import CONNECTION_ENVIRON, REQUEST_ENVIRON, CallersWsgiServer
from wagtailtrestle.contracts.exchange import AnswerRefusal, RunAdvanced
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal
from wagtailtrestle.observe.metrics import Metrics

DEFAULT_THREADS = 128
DEFAULT_MAX_BODY_BYTES = 4_194_304
DEFAULT_MAX_HEADER_BYTES = 16_384
DEFAULT_MAX_CONNECTIONS = 4096
DEFAULT_RECEIVE_TIMEOUT_S = 15.0
DEFAULT_MAX_DEADLINE_S = 3600.0
CANCEL_THREADS = 8
RETRY_AFTER_S = 1.0
DRAIN_POLL_S = 0.02
SMALL_UNREAD_BYTES = 65_536
LOOP_STAGE = "loop"
"""Wait of a read request for the event loop."""


class CallersServer:
    """Serves callers and submits their requests to tasks on the event loop.

    Parameters
    ----------
    name : str
        The router's name, the prefix of each request's id.
    address : tuple of (str, int)
        Address to listen on; with port 0 the kernel picks a free one, see ``port``.
    directory : callable
        Returns the configuration in force (``generation``, ``declaration``) or ``None``.
    submit : callable
        ``submit(request, link)``, called on the event loop.
    post : callable
        ``post(request_id, event)``, called on the event loop.
    engine_client : EngineClient
    loop : asyncio.AbstractEventLoop
    limits : CallerLimits
        Admits up to ``max_held_requests(threads)`` requests; the other threads read requests and refuse them.
    metrics : Metrics
    ready : callable
        Returns ``None``, or the ``Reason`` why the router can't serve requests yet.
    threads, max_body_bytes, max_header_bytes, max_connections : int
    receive_timeout_s : float
        Maximum time to receive one complete request.
    max_deadline_s : float
        Upper limit of the deadline of a request.
    start_hold_s : float
        Maximum time to hold requests while ``ready`` returns ``NOT_READY``; with 0 they are refused immediately.
    has_alternatives : callable
        Whether other routers serve callers; only then are new connections closed unread when too many wait.
    listener : socket.socket, optional
        A socket that already listens on ``address``.
    make_dialect : callable
        Builds the ``CallerDialect`` from ``directory``, ``now``, ``watch``, ``receive_limit`` and
        ``max_deadline_s``; ``NativeDialect`` by default.
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
        max_deadline_s=DEFAULT_MAX_DEADLINE_S,
        start_hold_s=0.0,
        has_alternatives=lambda: False,
        listener=None,
        make_dialect=NativeDialect,
    ):
        self._name = name
        self._submit = submit
        self._post = post
        self._engine_client = engine_client
        self._loop = loop
        self._limits = limits
        self._metrics = metrics
        # The reserved threads do the receiving. Once half of them are busy receiving, the shorter
        # timeout applies, so that slow senders can't occupy all of them.
        self._watch = ConnectionWatcher(
            timeout_s=receive_timeout_s, max_receiving=(threads - max_held_requests(threads)) // 2
        )
        self._start_hold = StartHold(
            reason=ready, watch=self._watch, max_hold_s=start_hold_s, max_held=max_held_requests(threads) // 2
        )
        self._dialect = make_dialect(
            directory=directory,
            now=loop.time,
            watch=self._watch,
            receive_limit=ReceiveLimit(total_bytes=DEFAULT_RECEIVE_BYTES, max_bytes=max_body_bytes),
            max_deadline_s=max_deadline_s,
        )
        self._cancel_pool = ThreadPoolExecutor(max_workers=CANCEL_THREADS, thread_name_prefix="cancel")
        self._lock = threading.Lock()
        self._exchanges_by_id = {}
        self._deferred_events = deque()
        self._active_requests = 0
        self._draining = False
        self._refuse_streams = False
        self._refuse_all = False
        self._thread = None
        self._server = CallersWsgiServer(
            address=address,
            application=self._serve,
            threads=threads,
            watch=self._watch,
            max_connections=max_connections,
            max_header_bytes=max_header_bytes,
            max_body_bytes=max_body_bytes,
            on_delay=self._record_delay,
            may_close_unread=has_alternatives,
            on_closed_unread=self._record_closed_unread,
            listener=listener,
        )

    @property
    def port(self):
        """The port that the server listens on."""
        return self._server.bind_addr[1]

    @property
    def draining(self):
        """Whether the drain has started; ``/readyz`` is false from then on."""
        return self._draining

    def start(self):
        """Bind the listener and start the server thread."""
        self._watch.start()
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="callers", daemon=True)
        self._thread.start()

    def deliver_deferred(self):
        """Deliver progress events of runs, which wait for the next event; called on the event loop now and then."""
        while self._deferred_events:
            self._post(*self._deferred_events.popleft())

    def release_held(self):
        """Continue the requests held while the router was not ready."""
        self._start_hold.open()

    async def drain(self, *, grace_s: float, plain_grace_s: float = 0.0):
        """Serve new requests during the grace period, then refuse them; return once no request is active.

        The load balancer notices the drain with a delay. New requests are served for ``grace_s``,
        and calls of plain services for ``plain_grace_s``: a caller with a keep-alive connection
        learns only from its next response that the connection closes, and a short call finishes
        long before the router exits. After that, new requests are refused as not executed.
        """
        self._draining = True
        await asyncio.sleep(grace_s)
        self._refuse_streams = True
        await self._wait_until_idle(max(0.0, plain_grace_s - grace_s))
        self._refuse_all = True
        while self._active_requests:
            await asyncio.sleep(DRAIN_POLL_S)

    async def _wait_until_idle(self, seconds):
        until = self._loop.time() + seconds
        while self._active_requests and self._loop.time() < until:
            await asyncio.sleep(DRAIN_POLL_S)

    def close(self):
        """Stop listening and end active requests; one with a run is refused with ``executed`` unknown."""
        self._draining = True
        self._refuse_all = True
        for exchange in list(self._exchanges_by_id.values()):
            exchange.post(AnswerRefusal(refusal=_stopped_refusal(exchange)))
        # A thread reads that refusal only once its run has ended. Without closing the engine client,
        # the runs would keep the process alive until it is killed, and callers would see a connection reset.
        self._engine_client.close()
        self._server.stop()
        if self._thread is not None:
            self._thread.join()
            self._watch.close()
        self._cancel_pool.shutdown(wait=False)

    def dump(self) -> dict:
        """Return the server's part of the state dump."""
        return {
            "draining": self._draining,
            "in_work": self._active_requests,
            "connections": self._server.connections,
            "limits": self._limits.usage(),
        }

    # The WSGI application, run in a worker thread.

    def _serve(self, environ, start_response):
        at = time.monotonic()
        with self._lock:
            self._active_requests += 1
        try:
            response = self._serve_one(environ, start_response, at)
        finally:
            with self._lock:
                self._active_requests -= 1
        request = environ[REQUEST_ENVIRON]
        if response.disconnected or not response.started:
            request.close_connection = True
        if response.aborted:
            # Omits the last chunk, so that the caller can't mistake the response for a complete one.
            request.chunked_write = False
            request.close_connection = True
        if not response.started:
            request.sent_headers = True  # the caller disconnected before its response: write nothing
        return ()

    def _serve_one(self, environ, start_response, at):
        given = self._dialect.request_id(environ)
        response = CallerResponse(
            start_response=start_response,
            request_id=uuid.uuid4().hex if isinstance(given, Refusal) else given,
            closes_connection=lambda: self._draining,
            problem=self._dialect.problem,
        )
        incoming = IncomingRequest(
            environ=environ, response=response, request_id=f"{self._name}-{uuid.uuid4().hex}", at=at
        )
        prepared = given if isinstance(given, Refusal) else self._prepare(incoming)
        match prepared:
            case Refusal():
                self._refuse_early(incoming, prepared)
            case ModelList(body=body):
                response.send(status=200, content_type=JSON_TYPE, body=body)
            case PreparedRequest() if self._refuse_streams and prepared.call.is_streamed:
                if prepared.charge is not None:
                    prepared.charge.refund()
                self._refuse_early(incoming, not_accepting(Reason.DRAINING))
            case PreparedRequest():
                self._handle(incoming, prepared)
        return response

    def _prepare(self, incoming):
        reason = self._start_hold.reason(
            fd=incoming.environ[CONNECTION_ENVIRON].socket.fileno(),
            caller_timeout_s=self._dialect.caller_timeout_s(incoming.environ),
        )
        if self._refuse_all:
            return not_accepting(Reason.DRAINING)
        # A draining router still serves new requests during the grace period.
        if reason is not None and reason is not Reason.DRAINING:
            return not_accepting(reason)
        return self._dialect.prepare(incoming)

    def _refuse_early(self, incoming, refusal):
        self._metrics.count("refused_early", reason=refusal.reason.value)
        cause = {"cause": refusal.cause} if refusal.cause else {}
        logger.bind(
            caller_request_id=incoming.response.request_id,
            reason=refusal.reason.value,
            executed=refusal.executed.value,
            retry_after_s=refusal.retry_after_s,
            **cause,
        ).info("refused on arrival")
        request = incoming.environ[REQUEST_ENVIRON]
        unread = getattr(request.rfile, "remaining", SMALL_UNREAD_BYTES + 1)
        if unread > SMALL_UNREAD_BYTES or request.chunked_read or self._refuse_all:
            request.close_connection = True
            incoming.environ[CONNECTION_ENVIRON].has_unread_input = True
        incoming.response.send_refusal(refusal)

    # Handling of admitted requests.

    def _handle(self, incoming, prepared):
        request = prepared.request
        exchange = CallerExchange(
            request_id=request.request_id,
            post_event=lambda event: self._post_event(request.request_id, event),
            cancel=self._cancel,
        )
        with self._lock:
            self._exchanges_by_id[request.request_id] = exchange
        try:
            full = self._hold(prepared)
            if full is not None:
                self._refuse_early(incoming, full)
                return
            self._handle_admitted(incoming, prepared, exchange)
        finally:
            self._limits.release(request_id=request.request_id, held_s=time.monotonic() - incoming.at)
            with self._lock:
                del self._exchanges_by_id[request.request_id]

    def _post_event(self, request_id, event):
        if type(event) is RunAdvanced:
            # Waking the event loop for each of them cost about 0.2 ms, and nothing waits for them: they are
            # delivered with the next event of any request, or by the next call of ``deliver_deferred``.
            self._deferred_events.append((request_id, event))
        else:
            self._loop.call_soon_threadsafe(self._deliver, request_id, event)

    def _deliver(self, request_id, event):
        self.deliver_deferred()
        self._post(request_id, event)

    def _hold(self, prepared):
        request = prepared.request
        admitted = self._limits.admit(
            request_id=request.request_id,
            service=request.service,
            tier=request.tier,
            body_bytes=prepared.body_bytes,
            repeatable=request.repeatable,
        )
        if isinstance(admitted, Full):
            return _full_refusal(admitted.detail, retry_after_s=self._limits.retry_after_s())
        for request_id in admitted.displaced:
            victim = self._exchanges_by_id.get(request_id)
            if victim is not None:
                victim.displace()
        return None

    def _handle_admitted(self, incoming, prepared, exchange):
        incoming.response.on_disconnect = exchange.caller_gone
        handler = RequestHandler(
            incoming=incoming,
            prepared=prepared,
            exchange=exchange,
            engine_client=self._engine_client,
            limits=self._limits,
            metrics=self._metrics,
        )
        fd = incoming.environ[CONNECTION_ENVIRON].socket.fileno()
        self._loop.call_soon_threadsafe(self._submit_read, prepared.request, exchange, time.monotonic())
        self._watch.watch(fd=fd, on_disconnect=exchange.caller_gone)
        try:
            handler.handle(wait_s=max(0.0, prepared.request.deadline - self._loop.time()))
        finally:
            self._watch.unwatch(fd=fd)

    def _submit_read(self, request, exchange, read_at):
        self._record_delay(LOOP_STAGE, time.monotonic() - read_at)
        self._submit(request, exchange)

    def _record_delay(self, stage, seconds):
        self._metrics.observe("own_queue", seconds=seconds, stage=stage)

    def _record_closed_unread(self, count):
        self._metrics.count("connections_closed_unread", by=count)
        logger.bind(connections=count, active=self._active_requests).warning(
            "connections come faster than they can be accepted; closed the waiting ones unread"
        )

    def _cancel(self, *, run_id, engine, address):
        self._cancel_pool.submit(self._engine_client.cancel, address=address, run_id=run_id, engine=engine)


def _full_refusal(detail, *, retry_after_s):
    return Refusal(
        status=503, reason=Reason.ROUTER_FULL, executed=Executed.NO, detail=detail, retry_after_s=retry_after_s
    )


def _stopped_refusal(exchange):
    return Refusal(
        status=503,
        reason=Reason.DRAINING,
        executed=Executed.UNKNOWN if exchange.runs else Executed.NO,
        detail="This router stopped before the answer was complete.",
        retry_after_s=RETRY_AFTER_S,
    )
