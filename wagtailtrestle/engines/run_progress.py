"""Progress of one run, and the timeouts for reading its answer."""

import time

from wagtailtrestle.contracts.exchange import RunAdvanced, RunBegan

FIRST_ADVANCE_DELAY_S = 0.25
"""Time from the first token to the first progress event, which gives an early estimate of the token rate."""

ADVANCE_INTERVAL_S = 1.0
"""Interval of later progress events: each costs the loop about as much as a message between routers."""


class RunProgress:
    """Deadlines of one run and its progress events.

    Only new tokens count as progress, not bytes: an engine that repeats tokens, or sends
    comments to keep the connection open, gives the caller no more than a dead one.

    Parameters
    ----------
    command : StartRun
    received : ReceivedAnswer
    on_event : callable
        Receives ``RunBegan`` and ``RunAdvanced``.

    Attributes
    ----------
    first_token_s : float
        Time from the start to the first token, or to the head of a plain answer; 0 before.
    """

    __slots__ = (
        "first_token_s",
        "_command",
        "_received",
        "_on_event",
        "_began_at",
        "_ends_at",
        "_last_progress_at",
        "_last_advance_at",
        "_next_advance_s",
        "_tokens_seen",
    )

    def __init__(self, *, command, received, on_event):
        self.first_token_s = 0.0
        self._command = command
        self._received = received
        self._on_event = on_event
        self._began_at = time.monotonic()
        self._ends_at = self._began_at + command.overall_s
        self._last_progress_at = self._began_at
        self._last_advance_at = 0.0
        self._next_advance_s = FIRST_ADVANCE_DELAY_S
        self._tokens_seen = received.output_tokens

    @property
    def duration_s(self) -> float:
        """Time since the start."""
        return time.monotonic() - self._began_at

    def time_left_for_token_s(self) -> float:
        """Time left for the next token; zero or negative once it is overdue."""
        command = self._command
        limit_s = command.progress_deadline_s if self.first_token_s else command.first_token_deadline_s
        now = time.monotonic()
        return min(self._last_progress_at + limit_s, self._ends_at) - now

    def time_left_s(self, limit_s) -> float:
        """Time left for one step that may take ``limit_s``, within the run's overall limit."""
        return min(limit_s, self._ends_at - time.monotonic())

    def update(self):
        """Check for newly received tokens, and emit a progress event when one is due."""
        count = self._received.output_tokens
        if count == self._tokens_seen:
            return
        self._tokens_seen = count
        now = self._last_progress_at = time.monotonic()
        if not self.first_token_s:
            self.begin()
        elif now - self._last_advance_at >= self._next_advance_s:
            self._last_advance_at = now
            self._next_advance_s = ADVANCE_INTERVAL_S
            self._on_event(RunAdvanced(run_id=self._command.run_id, output_tokens=count))

    def begin(self):
        """Record the start of the answer, and emit ``RunBegan``."""
        self._last_advance_at = time.monotonic()
        self.first_token_s = self._last_advance_at - self._began_at
        self._on_event(
            RunBegan(
                run_id=self._command.run_id,
                first_token_s=self.first_token_s,
                prompt_tokens=self._received.prompt_tokens,
                cached_tokens=self._received.cached_tokens,
            )
        )
