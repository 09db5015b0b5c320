"""Admin HTTP server: ``/healthz``, ``/readyz``, ``/state`` and ``/metrics``."""

import asyncio
import json
import threading
from collections.abc import Callable

from cheroot import wsgi
from loguru import logger

from wagtailtrestle.callers.problem import status_line
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.observe.metrics import Metrics
from wagtailtrestle.observe.state_dump import plain

THREADS = 2
SOCKET_TIMEOUT_S = 10
STATE_TIMEOUT_S = 5.0
JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class AdminServer:
    """Serves a process's health, readiness, state and metrics.

    Parameters
    ----------
    address : tuple of (str, int)
        Listen address; port 0 picks a free port, see ``port``.
    ready : callable
        Returns ``None`` if the balancer may send requests, else the ``Reason`` why not.
    state : callable
        Returns the state to dump; called on ``loop`` if one is given, because the
        state may only be read from the tasks there.
    metrics : Metrics
    loop : asyncio.AbstractEventLoop, optional
    """

    __slots__ = ("_server", "_thread", "_ready", "_state", "_metrics", "_loop")

    def __init__(
        self,
        *,
        address,
        ready: Callable[[], Reason | None],
        state: Callable[[], object],
        metrics: Metrics,
        loop=None,
    ):
        self._ready = ready
        self._state = state
        self._metrics = metrics
        self._loop = loop
        self._thread = None
        self._server = wsgi.Server(address, self._serve, numthreads=THREADS, timeout=SOCKET_TIMEOUT_S)
        self._server.shutdown_timeout = 1
        self._server.error_log = _log_server_error

    @property
    def port(self):
        """Port on which the server listens."""
        return self._server.bind_addr[1]

    def start(self):
        """Bind the address and serve in separate threads."""
        self._server.prepare()
        self._thread = threading.Thread(target=self._server.serve, name="admin", daemon=True)
        self._thread.start()

    def close(self):
        """Stop listening and stop the threads."""
        self._server.stop()
        if self._thread is not None:
            self._thread.join()

    def _serve(self, environ, start_response):
        status, content_type, body = self._answer(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        start_response(status_line(status), headers)
        return [] if environ["REQUEST_METHOD"] == "HEAD" else [body]

    def _answer(self, method, path):
        if method not in ("GET", "HEAD"):
            return 405, JSON_TYPE, _json({"error": "only GET and HEAD are served here"})
        if path == "/healthz":
            return 200, JSON_TYPE, _json({"alive": True})
        if path == "/readyz":
            return self._readiness()
        if path == "/state":
            return self._dump()
        if path == "/metrics":
            return 200, TEXT_TYPE, self._metrics.exposition().encode()
        return 404, JSON_TYPE, _json({"error": "known paths: /healthz /readyz /state /metrics"})

    def _readiness(self):
        reason = self._ready()
        if reason is None:
            return 200, JSON_TYPE, _json({"ready": True})
        return 503, JSON_TYPE, _json({"ready": False, "reason": reason.value})

    def _dump(self):
        try:
            state = self._state_on_loop() if self._loop is not None else plain(self._state())
        except TimeoutError:
            return 503, JSON_TYPE, _json({"error": f"the event loop gave no state within {STATE_TIMEOUT_S:g} s"})
        return 200, JSON_TYPE, _json(state)

    def _state_on_loop(self):
        async def read():
            return plain(self._state())

        future = asyncio.run_coroutine_threadsafe(read(), self._loop)
        return future.result(timeout=STATE_TIMEOUT_S)


def _json(value):
    return json.dumps(value).encode() + b"\n"


def _log_server_error(msg="", level=20, traceback=False):
    logger.opt(exception=traceback).log(level if level in (10, 20, 30, 40, 50) else 20, "admin server: {}", msg)
