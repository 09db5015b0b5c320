"""Messages between a request's task and the caller's side, which transfers the caller's bytes.

In a router, the caller's side is a thread of the HTTP server; in tests and measurements
it is a fake. Neither side accesses the other's state.
"""

from typing import Protocol

from wagtailtrestle.contracts.messages import EngineNotice
from wagtailtrestle.contracts.outcomes import Refusal, RunOutcome
from wagtailtrestle.record import record


class CallerRequest:
    """One authenticated, routed request, with what scheduling needs; contains neither the prompt nor the key.

    Parameters
    ----------
    request_id : str
        Assigned by the router; never reused.
    service, team, route : str
    tier : int
        Rank of the tier, after the caller has lowered it, if it has.
    repeatable, at_most_once : bool
        From the route.
    idempotency_key : str
        Empty when the caller gave none.
    body_digest : str
        SHA-256 of method, path and body, to detect an idempotency key reused for another request.
    prompt_tokens : int
        Estimated size of the prompt.
    output_tokens : int
        Output limit requested by the caller, or the service's default.
    prefix_blocks, block_tokens : tuple of int
        See :class:`wagtailtrestle.contracts.messages.GrantRequest`.
    deadline : float
        Event-loop time by which the answer must be complete.
    max_runs : int or None
        Number of engines that it may run on; ``None`` if only the deadline limits it.
    first_token_within_s : float or None
        Target time to first token, from the request's arrival; ``None`` if only the deadline counts.
    pause_within_s : float
        Target for the longest pause between two events; 0 for no target.
    event_tokens : int
        Tokens per event of the stream.
    hinted_tokens : int
        The caller's estimate of the output's length, often inaccurate; 0 if it gave none.
    patience_s : float
        Time from the request's arrival for which the caller waits for the first event; 0 if unknown.
    stream_id : str
        Name under which the caller may resume the stream at any router; empty if it can't.
    resumes : str or None
        ``stream_id`` of the stream that this request resumes, empty if the caller doesn't name it; ``None`` for a
        request that begins.
    prompt_parts : tuple of str
        Names of the parts that its prompt may share with others, ``SERVICE/ID``.
    is_streamed : bool
        Whether a run begins with the first event of a stream, rather than with the head of an answer.
    """

    __slots__ = (
        "request_id",
        "service",
        "team",
        "route",
        "tier",
        "repeatable",
        "at_most_once",
        "idempotency_key",
        "body_digest",
        "prompt_tokens",
        "output_tokens",
        "prefix_blocks",
        "block_tokens",
        "deadline",
        "max_runs",
        "first_token_within_s",
        "pause_within_s",
        "event_tokens",
        "hinted_tokens",
        "patience_s",
        "stream_id",
        "resumes",
        "prompt_parts",
        "is_streamed",
    )

    def __init__(
        self,
        *,
        request_id,
        service,
        team,
        route,
        tier,
        repeatable,
        at_most_once,
        idempotency_key,
        body_digest,
        prompt_tokens,
        output_tokens,
        prefix_blocks,
        deadline,
        block_tokens=(),
        max_runs=None,
        first_token_within_s=None,
        pause_within_s=0.0,
        event_tokens=1,
        hinted_tokens=0,
        patience_s=0.0,
        stream_id="",
        resumes=None,
        prompt_parts=(),
        is_streamed=False,
    ):
        self.request_id = request_id
        self.service = service
        self.team = team
        self.route = route
        self.tier = tier
        self.repeatable = repeatable
        self.at_most_once = at_most_once
        self.idempotency_key = idempotency_key
        self.body_digest = body_digest
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix_blocks = prefix_blocks
        self.block_tokens = block_tokens
        self.deadline = deadline
        self.max_runs = max_runs
        self.first_token_within_s = first_token_within_s
        self.pause_within_s = pause_within_s
        self.event_tokens = event_tokens
        self.hinted_tokens = hinted_tokens
        self.patience_s = patience_s
        self.stream_id = stream_id
        self.resumes = resumes
        self.prompt_parts = prompt_parts
        self.is_streamed = is_streamed

    @property
    def identity(self) -> str:
        """What the request and its repetitions have in common: their caller, and method, path and body."""
        return f"{self.team}\n{self.body_digest}"


# Commands from the request's task to the caller's side.


@record
class StartRun:
    """Command to send the request to an engine; answered by exactly one ``RunEnded``.

    Parameters
    ----------
    run_id : str
        ``{request_id}.{n}``: unique to each dispatch, sent as ``X-Request-Id``.
    engine, address : str
    attach : bool
        Whether to reattach to ``run_id`` on the same engine over a new connection, after
        the tokens already received; the engine starts no second run.
    first_token_deadline_s, progress_deadline_s, overall_s : float
        Timeouts for the first token, for each following token and for the whole run.
    start_ms : int
        Start time of the engine process that it is meant for; see ``DeclaredEngine``.
    was_limited : bool
        Whether the engine recently announced a limit: if so, an answer that announces none is reported too.
    """

    run_id: str
    engine: str
    address: str
    first_token_deadline_s: float
    progress_deadline_s: float
    overall_s: float
    attach: bool = False
    start_ms: int = 0
    was_limited: bool = False


@record
class AnswerWhole:
    """Command to complete the caller's answer: all of it was received and checked."""


@record
class AnswerRefusal:
    """Command to end the caller's request with this refusal (sent as an error event if a stream has begun)."""

    refusal: Refusal


@record
class AnswerRecorded:
    """Command to answer with the recorded answer of an earlier request with the same idempotency key."""

    status: int
    content_type: str
    body: bytes


CallerCommand = StartRun | AnswerWhole | AnswerRefusal | AnswerRecorded


# Events from the caller's side to the request's task.


@record
class RunBegan:
    """Sent when the first token arrives (for a plain service: the answer's head)."""

    run_id: str
    first_token_s: float
    prompt_tokens: int = 0
    cached_tokens: int = 0


@record
class RunAdvanced:
    """Reports the tokens received so far in this run; sent at most a few times a second."""

    run_id: str
    output_tokens: int


@record
class RunEnded:
    """Sent once when a run ends; ``body`` is a complete plain answer if it is small enough to record."""

    run_id: str
    outcome: RunOutcome
    duration_s: float
    first_token_s: float = 0.0
    status: int = 200
    content_type: str = ""
    body: bytes = b""


@record
class CallerGone:
    """Sent when the caller closes its connection before its answer is complete."""


CallerEvent = RunBegan | RunAdvanced | RunEnded | CallerGone | EngineNotice


class CallerLink(Protocol):
    """Interface of the caller's side, used by the request's task."""

    def post(self, command: CallerCommand) -> None:
        """Queue a command for the caller's side."""

    def cancel_run(self, *, run_id: str, engine: str, address: str) -> None:
        """Request that the engine cancel the run; the run's ``RunEnded`` still follows."""
