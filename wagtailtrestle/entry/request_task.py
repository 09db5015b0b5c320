"""The state machine of one request, owned by the router that took the call.

``queued -> granted -> dispatched -> finished | refused | unknown``. Only this task
may dispatch its request, so messages that cross on the network can't make it run twice.
"""

import asyncio
import math
from enum import StrEnum

from loguru import logger

from wagtailtrestle.contracts.exchange import (
    AnswerRecorded,
    AnswerRefusal,
    AnswerWhole,
    CallerGone,
    RunAdvanced,
    RunBegan,
    RunEnded,
    StartRun,
)
from wagtailtrestle.contracts.messages import (
    Granted,
    GrantRequest,
    Preempt,
    Refused,
    RunningRecord,
    Withdraw,
)
from wagtailtrestle.contracts.outcomes import (
    ClaimFinished,
    ClaimMismatch,
    ClaimTaken,
    ClaimUnavailable,
    ClaimWon,
    Executed,
    Reason,
    RunCancelled,
    RunDone,
    RunFailed,
    RunNotSent,
    RunRejected,
)
from wagtailtrestle.entry.attaches import UNREAD_RETRY_DELAY_S, AttachAttempts
from wagtailtrestle.entry.execution_evidence import ExecutionEvidence
from wagtailtrestle.entry.final_answers import DEFAULT_RETRY_AFTER_S, refusal_of, rejected_status
from wagtailtrestle.entry.inbox import Inbox
from wagtailtrestle.entry.poison import CRASH_LIMIT
from wagtailtrestle.entry.request_claim import RequestClaim
from wagtailtrestle.entry.run_counts import RunKind
from wagtailtrestle.entry.run_reports import RunReports
from wagtailtrestle.record import record

MAX_NOT_SENT = 4
MIN_ATTACH_TIME_S = 0.05
CANCEL_GRACE_S = 2.0
COUNTED_RUN_SILENCE_S = 3.0
"""Minimum silence limit for runs of a request whose number of runs is limited. Engines that prefill several
long prompts pause for a second or two; with a shorter limit their runs would be repeated on other engines,
which prefill the prompts again just when load is highest."""
MIN_FIRST_TOKEN_S = 0.001
"""Stands for a target time to first token that has passed, since 0 means that there is no target."""


RETRIES = frozenset({RunKind.AFTER_LOSS, RunKind.AFTER_REFUSAL})
"""Runs that count against the retry budget; a run after a preemption does not, since the scheduler caused it."""


class RequestState(StrEnum):
    """State of a request; the last three are final."""

    QUEUED = "queued"
    GRANTED = "granted"
    DISPATCHED = "dispatched"
    FINISHED = "finished"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@record
class Displaced:
    """The router drops this waiting request to admit one of a higher tier."""

    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@record
class DirectRunEnded:
    """A direct run of this entry has ended, so this waiting request may have the next one.

    ``attempt`` is that of the grant request whose answer was overdue. A later grant request has its own wait.
    """

    attempt: int


class RequestTask:
    """Serves one request from its claim to its single final answer.

    Parameters
    ----------
    request : CallerRequest
    caller : CallerLink
    context : RequestContext
        Services of the owning entry: schedulers, claims, budgets, addresses.
    """

    __slots__ = (
        "request",
        "caller",
        "context",
        "state",
        "cell",
        "attempt",
        "runs",
        "runs_started",
        "engine",
        "dispatched_at",
        "done_tokens",
        "run_tokens",
        "_inbox",
        "_reports",
        "_excluded_engines",
        "_next_kind",
        "_losses",
        "_retries_used_up",
        "_declined_engines",
        "_evidence",
        "_not_sent_count",
        "_attach_attempts",
        "_preempted",
        "_cancelling",
        "_request_claim",
        "_caller_gone",
        "_address",
        "_alone",
        "_direct_runs",
        "_received_at",
        "_version",
        "_run_version",
        "_suspect_parts",
    )

    def __init__(self, *, request, caller, context, cell):
        self.request = request
        self.caller = caller
        self.context = context
        self.cell = cell
        self.state = RequestState.QUEUED
        self.attempt = 0
        self.runs = 0
        self.runs_started = 0
        self.engine = ""
        self.dispatched_at = 0.0
        self.done_tokens = 0
        self.run_tokens = 0
        self._inbox = Inbox()
        self._reports = RunReports(request_id=request.request_id, send=lambda message: context.send(self.cell, message))
        self._excluded_engines = set()
        self._next_kind = RunKind.FIRST
        self._losses = 0
        self._retries_used_up = False
        self._declined_engines = set()
        self._evidence = ExecutionEvidence()
        self._not_sent_count = 0
        self._attach_attempts = AttachAttempts()
        self._preempted = False
        self._cancelling = False
        self._request_claim = RequestClaim(request=request, claims=context.claims, remaining=self._remaining)
        self._caller_gone = False
        self._address = ""
        self._alone = False
        self._direct_runs = 0
        self._received_at = context.now()
        self._version = ""
        self._run_version = ""
        self._suspect_parts = ()

    @property
    def is_dispatched(self):
        """Whether the request is running on ``engine``."""
        return self.state is RequestState.DISPATCHED

    @property
    def runs_alone(self):
        """Whether no other run may be on the engine."""
        return self._alone

    def post(self, message):
        """Queue a message to this task."""
        self._inbox.put(message)

    async def serve(self):
        """Run the request to its final answer."""
        if not await self._claim() or not await self._find_version():
            return
        while self._passes_poison_check():
            granted = await self._acquire_slot()
            if granted is None:
                return
            if not self._passes_poison_check():
                self._return_slot(granted)
                return
            try:
                ended = await self._run_on_engine(granted)
            finally:
                self.context.direct.end_run(self.cell, self.request.request_id)
            if self._handle_run_end(ended):
                return

    # Messages that describe this request.

    def grant_request(self):
        """Build the request for a slot from the present state."""
        request = self.request
        return GrantRequest(
            request_id=request.request_id,
            attempt=self.attempt,
            entry=self.context.name,
            service=request.service,
            cell=self.cell,
            team=request.team,
            tier=request.tier,
            repeatable=request.repeatable and self._service_supports("preemptable"),
            prompt_tokens=request.prompt_tokens,
            output_tokens=max(request.output_tokens - self.done_tokens, 1),
            remaining_s=max(self._remaining(), 0.0),
            done_tokens=self.done_tokens,
            prefix_blocks=request.prefix_blocks,
            block_tokens=request.block_tokens,
            excluded_engines=tuple(sorted(self._excluded_engines)),
            alone=self._alone,
            first_token_within_s=self._first_token_within_s(),
            hinted_tokens=request.hinted_tokens,
            pause_within_s=request.pause_within_s,
            event_tokens=request.event_tokens,
            route=request.route,
            is_retry=self._next_kind in RETRIES,
            zone=self.context.zone,
            patience_s=self._patience_s(),
            version=self._version,
        )

    def running_record(self):
        """Build the record of the present run for a new scheduler."""
        return RunningRecord(
            request=self.grant_request(),
            engine=self.engine,
            elapsed_s=self.context.now() - self.dispatched_at,
            output_tokens=self.run_tokens,
        )

    # Claim.

    async def _claim(self):
        if not self._request_claim.is_needed:
            return True
        # A caller that resends through another router must not cause a second run. The
        # claim is confirmed in the platform's store before the first dispatch; without that
        # confirmation nothing is dispatched, so the refusal can state that the request was not executed.
        match await self._request_claim.win():
            case ClaimWon():
                return True
            case ClaimFinished(status=status, content_type=content_type, body=body):
                self._finish(AnswerRecorded(status=status, content_type=content_type, body=body))
            case ClaimMismatch():
                self._refuse(Reason.KEY_MISMATCH, executed=Executed.NO)
            case ClaimTaken():
                self._refuse(Reason.KEY_IN_USE, executed=Executed.UNKNOWN)
            case ClaimUnavailable():
                self._refuse(Reason.LEDGER_UNAVAILABLE, executed=Executed.NO)
        return False

    # Version of a stream.

    async def _find_version(self):
        """Find the version that began the resumed stream, if it is one; refuse the request if it is not known."""
        request, streams = self.request, self.context.streams
        if request.resumes is None or streams is None:
            return True
        version = await streams.find(service=request.service, stream_id=request.resumes)
        if version is None:
            self._refuse(Reason.VERSION_UNKNOWN)
            return False
        self._version = version
        return True

    def _record_version(self):
        request, streams = self.request, self.context.streams
        if request.stream_id and streams is not None:
            stream_id = request.resumes or request.stream_id
            streams.record(service=request.service, stream_id=stream_id, version=self._run_version)

    # Slot.

    def _passes_poison_check(self):
        """Refuse a request that is blocked as poison; return whether it may run."""
        if self.context.crashes.is_blocked(self.request.identity):
            self._refuse(Reason.POISONED)
            return False
        if self.request.prompt_parts:
            blocked_parts = self.context.crashes.blocked_parts(self.request.prompt_parts)
            if blocked_parts:
                self._log_blocked_parts(blocked_parts)
                self._refuse(Reason.POISONED)
                return False
        return True

    def _log_blocked_parts(self, parts):
        self.context.run_counts.count_blocked_prompt(service=self.request.service)
        logger.bind(request_id=self.request.request_id, service=self.request.service, parts=parts).warning(
            "a prompt is refused: its parts were on engines that crashed"
        )

    def _return_slot(self, granted):
        self._reports.returned_slot(granted.engine)
        self.context.direct.end_run(self.cell, self.request.request_id)

    async def _acquire_slot(self):
        self.state = RequestState.QUEUED
        request = self.request
        self._alone = self.context.crashes.must_run_alone(request.identity, request.prompt_parts)
        try:
            return await self._wait_for_slot()
        finally:
            self.context.direct.end_wait(self.request.request_id)

    async def _wait_for_slot(self):
        wait = self._request_slot()
        while True:
            direct_at = math.inf if wait is None else wait.check_at
            message = await self._inbox.get(until=min(self.request.deadline, direct_at))
            match message:
                case DirectRunEnded(attempt=self.attempt) | None if (
                    direct_at < self.request.deadline and self._remaining() > 0
                ):
                    granted = self._start_direct_run(wait)
                    if granted is not None:
                        return granted
                case DirectRunEnded():
                    continue
                case None:
                    return self._withdraw_and_refuse(Reason.DEADLINE_EXCEEDED)
                case CallerGone():
                    return self._withdraw_and_refuse(Reason.CALLER_GONE)
                case Displaced(retry_after_s=retry_after_s):
                    return self._withdraw_and_refuse(Reason.ROUTER_FULL, retry_after_s)
                case Refused(attempt=self.attempt, reason=reason, retry_after_s=retry_after_s):
                    return self._handle_refusal(reason, retry_after_s)
                case Granted(attempt=self.attempt):
                    is_available = self._is_available(message)
                    if is_available and self.context.scheduler_is_informed(message):
                        self.state = RequestState.GRANTED
                        self._retries_used_up = message.retries_used_up
                        return message
                    # A scheduler that is partitioned from the platform may grant an engine that is
                    # draining, or one that this router doesn't know. Sent there, the request would be
                    # lost with the engine: the slot is returned, and the next grant request excludes
                    # the engine.
                    self.context.resend_notices(message.engine)
                    self._reports.returned_slot(message.engine)
                    # A scheduler that grants the engine again although the notices were resent may know of a later
                    # start of it; the engine is then excluded as well.
                    if not is_available or message.engine in self._declined_engines:
                        self._excluded_engines.add(message.engine)
                    self._declined_engines.add(message.engine)
                    wait = self._request_slot()

    def _request_slot(self):
        """Send a grant request; return the wait after which the request may run directly, or ``None``."""
        self.attempt += 1
        grant_request = self.grant_request()
        self.context.send(self.cell, grant_request)
        return self.context.direct.begin_wait(
            grant_request,
            direct_runs=self._direct_runs,
            wake=lambda: self.post(DirectRunEnded(attempt=grant_request.attempt)),
        )

    def _is_available(self, granted):
        """Whether this router knows the engine as one that may serve the request now."""
        if not self.context.is_available(granted.engine):
            return False
        version = self.context.version_of(granted.engine)
        if self.request.stream_id and granted.version not in ("", version):
            # It restarted with another version, and the scheduler's list or the one here is of its former start.
            return False
        return self._version in ("", version)

    def _start_direct_run(self, wait):
        """Take an engine without the silent scheduler, or return ``None`` to wait on."""
        if not self._inbox.is_empty:
            # A grant or the end of the request arrived together with the timer and takes precedence.
            return None
        engine = self.context.direct.start_run(wait)
        if engine is None:
            return None
        # No message is awaited between the decision and the dispatch, so a grant that arrives from here on finds
        # the request running and is returned.
        self.context.send(self.cell, Withdraw(request_id=self.request.request_id))
        self.state = RequestState.GRANTED
        self._direct_runs += 1
        self.context.run_counts.count_direct_run(service=self.request.service, now=self.context.now())
        # The scheduler that would admit a retry is silent, so the run is not cut short in favour of one.
        self._retries_used_up = True
        remaining_s = self._remaining()
        return Granted(
            request_id=self.request.request_id,
            attempt=self.attempt,
            engine=engine,
            progress_deadline_s=remaining_s,
            first_token_deadline_s=remaining_s,
        )

    def _withdraw_and_refuse(self, reason, retry_after_s=None):
        self.context.send(self.cell, Withdraw(request_id=self.request.request_id))
        self._refuse(reason, retry_after_s=retry_after_s)

    def _handle_refusal(self, reason, retry_after_s):
        if self._preempted and reason in (Reason.OVERLOADED, Reason.DEADLINE_UNREACHABLE):
            reason = Reason.PREEMPTED
        if reason is Reason.RETRY_BUDGET:
            self.context.run_counts.count_refused_retry(service=self.request.service)
        if reason is Reason.VERSION_GONE:
            self._log_version_gone()
        self._refuse(reason, retry_after_s=retry_after_s)

    def _log_version_gone(self):
        self.context.run_counts.count_version_gone(service=self.request.service)
        logger.bind(
            request_id=self.request.request_id, service=self.request.service, version=self._version, runs=self.runs
        ).warning("a stream can't go on: no engine of the software version that began it is left")

    # Run.

    async def _run_on_engine(self, granted):
        self.engine = granted.engine
        self.runs += 1
        self.runs_started += 1
        self._start_run(granted, attach=False)
        attached = False
        while True:
            ended = await self._wait_for_run_end(granted)
            if attached and self._attach_attempts.retry_unread(ended.outcome, is_last=not self._may_retry_now()):
                await asyncio.sleep(UNREAD_RETRY_DELAY_S)
                self._start_run(granted, attach=True)
                continue
            self._update_crash_watch(ended.outcome, was_sent=attached)
            if not self._can_attach(ended):
                return ended
            attached = True
            # The stream broke but the engine may still hold the run. Attaching returns the
            # rest of the same run and is not a second dispatch.
            self._attach_attempts.record_attempt(ended.outcome, is_last=not self._may_retry_now())
            self._start_run(granted, attach=True)

    def _start_run(self, granted, *, attach):
        if not attach:
            self._address = self.context.address_of(granted.engine)
            self._run_version = self.context.version_of(granted.engine)
            self._suspect_parts = self.request.prompt_parts
            self.dispatched_at = self.context.now()
            self.run_tokens = 0
            self._cancelling = False
            self._preempted = False
            if self._next_kind in RETRIES:
                self.context.retries.record_retry(self.cell)
        self.state = RequestState.DISPATCHED
        self._count_run(attach=attach)
        overall_s = max(self._remaining(), MIN_ATTACH_TIME_S)
        # The last run that this request may have gets no silence limit: cancelling it gains nothing, and an
        # engine that paused or a service that became slow would have finished it. With a limit of 2 s, bookings
        # that took 3 s were answered as lost although they were made. Where the service supports attaching, the
        # limit stays, and reaching it leads to an attach. A dead VM is detected by the connection's probes.
        is_last = not self._service_supports("attachable") and not self._may_retry_now()
        min_silence_s = 0.0 if self.request.max_runs is None else COUNTED_RUN_SILENCE_S
        self.caller.post(
            StartRun(
                run_id=self._run_id(),
                engine=granted.engine,
                address=self._address,
                first_token_deadline_s=overall_s if is_last else max(min_silence_s, granted.first_token_deadline_s),
                progress_deadline_s=overall_s if is_last else max(min_silence_s, granted.progress_deadline_s),
                overall_s=overall_s,
                attach=attach,
                start_ms=self.context.start_ms_of(granted.engine),
                was_limited=self.context.was_limited(granted),
            )
        )

    def _count_run(self, *, attach):
        request, counts = self.request, self.context.run_counts
        counts.count_run(service=request.service, kind=RunKind.ATTACH if attach else self._next_kind)
        if request.max_runs is not None and self._losses >= request.max_runs:
            counts.count_run_beyond_limit(request_id=request.request_id, service=request.service, runs=self._losses + 1)
        crashes = self.context.crashes.crash_count(request.identity)
        if crashes >= CRASH_LIMIT and not attach:
            counts.count_crashing_run(request_id=request.request_id, service=request.service, crashes=crashes)

    async def _wait_for_run_end(self, granted):
        until = self.request.deadline
        while True:
            message = await self._inbox.get(until=until)
            match message:
                case None:
                    if self._cancelling:
                        # The engine did not confirm the cancellation. The caller's side stops
                        # reading at the overall limit, so this wait is bounded.
                        until = None
                        continue
                    until = self.context.now() + CANCEL_GRACE_S
                    self._cancel()
                case CallerGone():
                    self._caller_gone = True
                    self._cancel()
                case Preempt(engine=self.engine) if self.request.repeatable and not self._cancelling:
                    self._preempted = True
                    self._cancel()
                case RunBegan():
                    self._attach_attempts.confirm()
                    self._evidence.possibly_executed = self._evidence.known_executed = True
                    self._record_version()
                    self._clear_parts()
                    self._reports.began(self.engine, message)
                case RunAdvanced(output_tokens=output_tokens):
                    self.run_tokens = output_tokens
                    self._reports.advanced(output_tokens)
                case Granted(engine=engine) if engine != self.engine:
                    # A second scheduler granted the same request; its slot is not needed.
                    self._reports.returned_slot(engine)
                case RunEnded():
                    self._evidence.update(message.outcome)
                    return message

    def _clear_parts(self):
        # The head of an answer is no evidence: an engine may send it before it reads the prompt.
        if self._suspect_parts and self.request.is_streamed:
            self.context.crashes.record_began(self._suspect_parts)
            self._suspect_parts = ()

    def _cancel(self):
        if self._cancelling:
            return
        self._cancelling = True
        if self._service_supports("cancellable"):
            self.caller.cancel_run(run_id=self._run_id(), engine=self.engine, address=self._address)

    def _update_crash_watch(self, outcome, *, was_sent):
        self.context.crashes.record_run_end(
            engine=self.engine,
            identity=self.request.identity,
            outcome=outcome,
            was_sent=was_sent,
            parts=self._suspect_parts,
        )

    def _can_attach(self, ended):
        if self._cancelling:
            return False
        if self._remaining() < MIN_ATTACH_TIME_S or not self._service_supports("attachable"):
            return False
        return self._attach_attempts.may_attach(ended.outcome)

    # After a run.

    def _handle_run_end(self, ended):
        """Report to the scheduler, then answer the caller or return ``False`` to request another slot."""
        self._reports.finished(self.engine, ended)
        outcome = ended.outcome
        self.context.run_counts.count_run_end(service=self.request.service, outcome=outcome)
        if not isinstance(outcome, RunDone):
            self._log_early_end(ended)
        if isinstance(outcome, RunDone):
            return self._answer_complete(ended)
        if self._caller_gone:
            return self._refuse(Reason.CALLER_GONE)
        if self._remaining() <= 0:
            return self._refuse(Reason.DEADLINE_EXCEEDED)
        match outcome:
            case RunNotSent():
                return self._after_not_sent(outcome)
            case RunFailed() if self._may_run_again():
                return self._after_loss(outcome)
            case RunRejected() | RunFailed() if self._passes_errors():
                # An error of a plain service, such as a booking that is taken, is the complete answer.
                return self._answer_complete(ended)
            case RunRejected(status=status) | RunFailed(status=status):
                return self._refuse(Reason.ENGINE_ERROR, status=rejected_status(status))
            case RunCancelled() if self._preempted:
                self._update_done_tokens(outcome)
                self._next_kind = RunKind.AFTER_PREEMPTION
                return False
            case _:
                return self._after_loss(outcome)

    def _log_early_end(self, ended):
        outcome = ended.outcome
        logger.bind(
            request_id=self.request.request_id,
            engine=self.engine,
            version=self._run_version,
            run=self.runs,
            outcome=type(outcome).__name__,
            detail=getattr(outcome, "detail", "") or str(getattr(outcome, "status", "")),
            duration_s=round(ended.duration_s, 3),
            output_tokens=self.run_tokens,
            remaining_s=round(self._remaining(), 3),
            cancelled=self._cancelling,
            caller_gone=self._caller_gone,
        ).info("a run ended early")

    def _after_not_sent(self, outcome):
        self._not_sent_count += 1
        self._excluded_engines.add(self.engine)
        if not outcome.arrived:
            self.runs_started -= 1
            if self._next_kind in RETRIES:
                self.context.retries.revert_retry(self.cell)
        if self._evidence.possibly_executed and not self.request.repeatable:
            return self._refuse_as_lost()
        if self._not_sent_count >= MAX_NOT_SENT:
            return self._refuse(Reason.NO_ENGINE, retry_after_s=self.context.retry_after_s(self.request.service))
        # A refusal costs the engine a connection and the parsing of the request. The next run therefore counts against
        # the retry budget; otherwise the refusals of repeated runs alone could keep full engines busy.
        if outcome.arrived:
            self._next_kind = RunKind.AFTER_REFUSAL
        return False

    def _may_retry_now(self):
        """Whether another engine could answer the request now if this run were cancelled."""
        return self._may_run_again() and not self._retries_used_up

    def _may_run_again(self):
        """Whether the request may be run on another engine after it ran on one."""
        run_limit = self.request.max_runs
        return self.request.repeatable and (run_limit is None or self.runs_started < run_limit)

    def _passes_errors(self):
        # An error can't replace an answer of which a part has been sent.
        return self._service_supports("passes_errors") and not self.done_tokens and not self.run_tokens

    def _after_loss(self, outcome):
        self._update_done_tokens(outcome)
        # A single byte sent may have started the run. A second dispatch of a request that
        # may not be repeated could charge a caller twice, so it ends here as unknown.
        if not self._may_run_again():
            return self._refuse_as_lost()
        self._next_kind = RunKind.AFTER_LOSS
        self._losses += 1
        self._excluded_engines.add(self.engine)
        self._attach_attempts.reset()
        self._preempted = False
        return False

    def _refuse_as_lost(self):
        return self._refuse(Reason.ENGINE_LOST)

    def _update_done_tokens(self, outcome):
        tokens = getattr(outcome, "output_tokens", 0)
        self.done_tokens = max(self.done_tokens, tokens)
        if self.done_tokens and not self._version:
            # What the caller holds can only be continued by the version that wrote it.
            self._version = self._run_version

    def _answer_complete(self, ended):
        if isinstance(ended.outcome, RunDone):
            self.context.retries.record_success(self.cell)
        self._finish(AnswerWhole())
        self._request_claim.finish(ended)
        return True

    # Final answers.

    def _finish(self, command):
        self.state = RequestState.FINISHED
        self.caller.post(command)

    def _refuse(self, reason, *, executed=None, retry_after_s=None, status=None):
        """Send the refusal as the final answer; always returns ``True``, since the request is then finished."""
        executed = executed or self._evidence.executed()
        self._request_claim.give_up(executed)
        self.state = RequestState.UNKNOWN if executed is Executed.UNKNOWN else RequestState.REFUSED
        refusal = refusal_of(reason, executed=executed, retry_after_s=retry_after_s, status=status)
        self.caller.post(AnswerRefusal(refusal=refusal))
        return True

    # Helpers.

    def _service_supports(self, ability):
        service = self.context.service(self.request.service)
        return service is not None and getattr(service, ability)

    def _first_token_within_s(self):
        """Time left until the caller's target for the first token; 0 without a target."""
        within_s = self.request.first_token_within_s
        if within_s is None or self.runs_started:
            return 0.0
        return max(MIN_FIRST_TOKEN_S, self._received_at + within_s - self.context.now())

    def _patience_s(self):
        """Time left for which the caller waits for the first event; 0 if unknown or if a run was started."""
        patience_s = self.request.patience_s
        if not patience_s or self.runs_started:
            return 0.0
        return max(MIN_FIRST_TOKEN_S, self._received_at + patience_s - self.context.now())

    def _remaining(self):
        return self.request.deadline - self.context.now()

    def _run_id(self):
        return f"{self.request.request_id}.{self.runs}"
