"""Handling of one admitted request in its worker thread: runs on engines, the response, metrics and the log line."""

import dataclasses
import time

from loguru import logger

from wagtailtrestle.callers.caller_exchange import CallerExchange
from wagtailtrestle.callers.dialect import IncomingRequest, PreparedRequest
from wagtailtrestle.callers.limits import CallerLimits
from wagtailtrestle.contracts.exchange import AnswerRecorded, AnswerRefusal, AnswerWhole, RunEnded
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal, RunDone, RunNotSent, RunRejected
from wagtailtrestle.observe.metrics import Metrics

ANSWERED = "answered"
RECORDED = "recorded"


class RequestHandler:
    """Handles one request from its first run to its response.

    Parameters
    ----------
    incoming : IncomingRequest
    prepared : PreparedRequest
    exchange : CallerExchange
    engine_client : EngineClient
    limits : CallerLimits
    metrics : Metrics
    """

    __slots__ = (
        "_incoming",
        "_prepared",
        "_exchange",
        "_engine_client",
        "_limits",
        "_metrics",
        "_received",
        "_first_run_at",
        "_first_token_at",
    )

    def __init__(
        self,
        *,
        incoming: IncomingRequest,
        prepared: PreparedRequest,
        exchange: CallerExchange,
        engine_client,
        limits: CallerLimits,
        metrics: Metrics,
    ):
        self._incoming = incoming
        self._prepared = prepared
        self._exchange = exchange
        self._engine_client = engine_client
        self._limits = limits
        self._metrics = metrics
        self._received = prepared.received
        self._first_run_at = 0.0
        self._first_token_at = 0.0

    def handle(self, *, wait_s: float):
        """Execute the task's commands, then send the response and record the outcome."""
        try:
            command = self._exchange.run_commands(run=self._run, wait_s=wait_s)
            outcome = self._answer(command)
        finally:
            self._release_answer()
        self._record_outcome(outcome)

    def _release_answer(self):
        received = self._received
        if received is not None and received.hold is not None:
            received.body = b""
            received.hold.close()

    def _run(self, command):
        request = self._prepared.request
        if not self._limits.mark_running(request_id=request.request_id):
            return RunEnded(run_id=command.run_id, outcome=RunNotSent(detail="displaced"), duration_s=0.0)
        if not self._first_run_at:
            self._first_run_at = time.monotonic()
        try:
            ended = self._engine_client.run(
                command=command,
                request=self._prepared.call,
                received=self._received,
                on_event=self._exchange.post_event,
                on_token=self._on_token,
            )
        finally:
            self._limits.mark_waiting(request_id=request.request_id)
        return self._with_answer(ended)

    def _on_token(self, index, text):
        if not self._first_token_at:
            self._first_token_at = time.monotonic()
        self._prepared.answer.token(text)

    def _with_answer(self, ended):
        """Attach the complete answer to the run's end if the ledger has to record it."""
        request = self._prepared.request
        kept = request.at_most_once and request.idempotency_key
        if not kept or not isinstance(ended.outcome, RunDone | RunRejected):
            return ended
        answer = self._prepared.answer.recordable(self._received)
        return dataclasses.replace(ended, content_type=answer.content_type, body=answer.body)

    def _answer(self, command):
        answer = self._prepared.answer
        match command:
            case AnswerWhole():
                answer.complete(self._received)
                return ANSWERED
            case AnswerRecorded():
                answer.recorded(command)
                return RECORDED
            case AnswerRefusal(refusal=refusal):
                refusal = self._refusal_for_caller(refusal)
                if self._prepared.charge is not None and refusal.executed is Executed.NO:
                    self._prepared.charge.refund()
                if self._exchange.displaced or not self._exchange.disconnected:
                    answer.refuse(refusal)
                return refusal.reason.value

    def _refusal_for_caller(self, refusal):
        # A request is displaced by reporting to its task that the caller disconnected. The caller
        # is still connected, so it is sent the actual reason.
        if self._exchange.displaced and refusal.reason is Reason.CALLER_GONE:
            return Refusal(
                status=503,
                reason=Reason.ROUTER_FULL,
                executed=refusal.executed,
                detail="This router needed its room for a higher tier.",
                retry_after_s=self._limits.retry_after_s(),
            )
        return refusal

    def _record_outcome(self, outcome):
        prepared = self._prepared
        request = prepared.request
        began_at = self._incoming.at
        now = time.monotonic()
        labels = {"route": f"{request.service}/{request.route}", "tier": prepared.tier_name}
        self._metrics.count("requests", outcome=outcome, **labels)
        self._metrics.observe("total", seconds=now - began_at, **labels)
        if self._first_run_at:
            self._metrics.observe("queue_wait", seconds=self._first_run_at - began_at, **labels)
        if self._first_token_at:
            self._metrics.observe("first_token", seconds=self._first_token_at - began_at, **labels)
        bound = logger.bind(
            request_id=request.request_id,
            caller_request_id=self._incoming.response.request_id,
            team=request.team,
            tier=prepared.tier_name,
            generation=prepared.generation,
        )
        if request.resumes is not None:
            bound = bound.bind(resumed_stream=request.resumes)
        bound.info(
            "{}/{} {} after {:.3f} s, {} runs",
            request.service,
            request.route,
            outcome,
            now - began_at,
            self._exchange.runs,
        )
