"""Messages between a request's task and whatever carries its caller's bytes.

In a router the other side is a thread of the HTTP server; in tests and measurements
it is a fake. Neither side touches the other's state.
"""

from typing import Protocol

from wagtailtrestle.contracts.messages import EngineNotice
from wagtailtrestle.contracts.outcomes import Refusal, RunOutcome
from wagtailtrestle.record import record


class CallerRequest:
    """One authenticated, routed request as the decisions see it; no prompt, no key.

    Parameters
    ----------
    request_id : str
        Ours, unique for ever.
    service, team, route : str
    tier : int
        Rank after any lowering by the caller.
    repeatable, at_most_once : bool
        From the route.
    idempotency_key : str
        Empty when the caller gave none.
    body_digest : str
        SHA-256 of method, path and body, to recognise a key used for another body.
    prompt_tokens : int
        Estimated.
    output_tokens : int
        Upper limit asked for by the caller, or the service's default.
    prefix_blocks, block_tokens : tuple of int
        See :class:`wagtailtrestle.contracts.messages.GrantRequest`.
    deadline : float
        Loop time by which the whole answer must be given.
    max_runs : int or None
        Engines it may run on; ``None`` for no limit but its deadline.
    first_token_within_s : float or None
        Time from its arrival to the first token that its caller hopes for; ``None`` if only the deadline counts.
    pause_within_s : float
        Longest pause between two events that its caller hopes for; 0 if it does not matter.
    event_tokens : int
        Tokens in one event.
    hinted_tokens : int
        Its caller's own estimate of the output, often far off; 0 without one.
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


# From the request's task to the caller's side.


@record
class StartRun:
    """Send the request to an engine; exactly one ``RunEnded`` will answer.

    Parameters
    ----------
    run_id : str
        ``{request_id}.{n}``: unique for each dispatch, sent as ``X-Request-Id``.
    engine, address : str
    attach : bool
        Attach again to ``run_id`` on the same engine from the tokens already
        received, over a new connection; the engine starts no second run.
    first_token_deadline_s, progress_deadline_s, overall_s : float
        Limits on silence before the first token and between tokens, and on the run.
    start_ms : int
        Which start of the engine it is sent to; see ``DeclaredEngine``.
    was_limited : bool
        Whether the engine named a rate limit lately: then an answer that names none is told too.
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
    """Everything was received and checked: complete the caller's answer."""


@record
class AnswerRefusal:
    """Give the caller this final answer (an error event if a stream has begun)."""

    refusal: Refusal


@record
class AnswerRecorded:
    """Give the caller the recorded answer of the earlier request with the same key."""

    status: int
    content_type: str
    body: bytes


CallerCommand = StartRun | AnswerWhole | AnswerRefusal | AnswerRecorded


# From the caller's side to the request's task.


@record
class RunBegan:
    """The first token (or the answer's head, for a plain service) arrived."""

    run_id: str
    first_token_s: float
    prompt_tokens: int = 0
    cached_tokens: int = 0


@record
class RunAdvanced:
    """Tokens received so far in this run; at most a few times a second."""

    run_id: str
    output_tokens: int


@record
class RunEnded:
    """The run came to an end; ``body`` is a whole plain answer small enough to record."""

    run_id: str
    outcome: RunOutcome
    duration_s: float
    first_token_s: float = 0.0
    status: int = 200
    content_type: str = ""
    body: bytes = b""


@record
class CallerGone:
    """The caller closed its connection before its answer was complete."""


CallerEvent = RunBegan | RunAdvanced | RunEnded | CallerGone | EngineNotice


class CallerLink(Protocol):
    """The caller's side as the request's task sees it."""

    def post(self, command: CallerCommand) -> None:
        """Queue a command for the side that carries the caller's bytes."""

    def cancel_run(self, *, run_id: str, engine: str, address: str) -> None:
        """Ask the engine to cancel; the run's ``RunEnded`` still follows."""
