"""Blocking HTTP client that runs requests on engines, in the threads of the callers.

It sends each run exactly once and returns how it ended as an outcome. Whether and where
to retry is decided elsewhere.
"""

import http.client
import json
import threading

from urllib3.exceptions import HTTPError

from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.engines.answer_memory import AnswerMemory
from wagtailtrestle.engines.connector import CONNECT_ERRORS, DirectConnector
from wagtailtrestle.engines.run_exchange import OK, RunExchange
from wagtailtrestle.short_response import limit_responses, read_body

CANCEL_TIMEOUT_S = 1.0
"""Timeout of an engine's answer to a cancel; a healthy engine answers within a decode step or two, under 0.1 s."""
CANCEL_GRACE_S = 0.5
"""Time that a cancelled run has to end before its connection is cut; about ten decode steps of 40 ms."""
FINISHED_STATE = "finished"
MAX_CANCEL_ANSWER_BYTES = 65_536


class EngineClient:
    """Sends runs to engines and cancels them.

    Parameters
    ----------
    connect_timeout_s : float
    ended_call : EngineDialect, optional
        Used to cancel a run whose connection has ended on this side while the engine may go on;
        ``None`` where engines stop a run when its connection closes.
    connector : Connector, optional
        Opens the connections; direct ones by default.
    memory : AnswerMemory, optional
        Limits the memory for large answers of all runs.
    may_send : callable, optional
        ``may_send(engine)``: whether an engine may get a run now; called in the callers' threads.
    """

    def __init__(
        self, *, connect_timeout_s, ended_call=None, connector=None, memory=None, may_send=lambda engine: True
    ):
        self._may_send = may_send
        self._connect_timeout_s = connect_timeout_s
        self._ended_call = ended_call
        self._connector = connector or DirectConnector()
        self._memory = memory or AnswerMemory()
        self._exchange_by_run_id = {}
        self._lock = threading.Lock()

    def start(self):
        """Do nothing: each run opens its own connection."""

    def close(self):
        """Abort the runs that are still in progress; a router drains before it calls this."""
        with self._lock:
            exchanges = list(self._exchange_by_run_id.values())
        for exchange in exchanges:
            exchange.abort()

    def run(self, *, command, request, received, on_event, on_token) -> RunEnded:
        """Send one run and follow it to its end.

        Parameters
        ----------
        command : StartRun
        request : EngineDialect
        received : ReceivedAnswer
            The answer received by earlier runs of the request; this run appends to it.
        on_event : callable
            Receives ``RunBegan``, ``RunAdvanced`` and ``EngineNotice``.
        on_token : callable
            ``on_token(index, text)`` for each checked token.
        """
        exchange = RunExchange(
            command=command,
            call=request,
            received=received,
            on_event=on_event,
            on_token=on_token,
            connect_timeout_s=self._connect_timeout_s,
            connector=self._connector,
            memory=self._memory,
            may_send=self._may_send,
        )
        with self._lock:
            self._exchange_by_run_id[command.run_id] = exchange
        try:
            return exchange.run()
        finally:
            with self._lock:
                self._exchange_by_run_id.pop(command.run_id, None)

    def cancel(self, *, address, run_id, engine="") -> bool:
        """Cancel a run: send a cancel to its engine, and stop reading its answer.

        The run's ``RunEnded`` follows within ``CANCEL_GRACE_S``, whether or not the engine answered: its
        slot must not wait for a connection that has gone silent. If the run has already finished, its
        answer is read as long as more of it arrives, and cut after at most twice that time without.

        Returns
        -------
        bool
            Whether the engine answered the cancel.
        """
        with self._lock:
            exchange = self._exchange_by_run_id.get(run_id)
        call = exchange.call if exchange is not None else self._ended_call
        path = call.cancel_path(run_id) if call is not None else None
        if path is None:
            if exchange is not None:
                exchange.abort()
            return False
        state = self._request_cancel(engine, address, path)
        if exchange is not None:
            _await_end(exchange, is_finished=state == FINISHED_STATE)
        return state is not None

    def _request_cancel(self, engine, address, path):
        # A new connection, since a pooled one may have gone silent without being detected.
        try:
            connection = self._connector.connect(engine=engine, address=address, timeout_s=self._connect_timeout_s).http
        except CONNECT_ERRORS:
            return None
        try:
            connection.timeout = CANCEL_TIMEOUT_S
            connection.sock.settimeout(CANCEL_TIMEOUT_S)
            limit_responses(connection, max_bytes=MAX_CANCEL_ANSWER_BYTES)
            connection.request("POST", path, preload_content=False)
            response = connection.getresponse()
            body = read_body(response, max_bytes=MAX_CANCEL_ANSWER_BYTES)
            return json.loads(body).get("state") if response.status == OK else None
        except (HTTPError, http.client.HTTPException, OSError, ValueError):
            return None
        finally:
            connection.close()


def _await_end(exchange, *, is_finished):
    """Wait for an exchange to end, and abort it if it doesn't."""
    tokens_before = None
    while not exchange.ended.wait(CANCEL_GRACE_S):
        # The answer of a finished run is complete and mostly in transit. If no more of it arrived during
        # the wait, the connection is silent and would occupy the slot until the run's deadline.
        if not is_finished or exchange.output_tokens == tokens_before:
            exchange.abort()
            return
        tokens_before = exchange.output_tokens
