"""The caller's side in a measured run: sends a request's runs to engines and receives its answer."""

from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, RunAdvanced, RunBegan, RunEnded, StartRun
from wagtailtrestle.contracts.outcomes import RunCancelled, RunDone, RunLost, RunSilent

NETWORK_S = 0.0015
PROGRESS_S = 1.0


class FakeCaller:
    """Implements :class:`wagtailtrestle.contracts.exchange.CallerLink` for one arrival.

    Parameters
    ----------
    arrival : Arrival
    request_id : str
    engines_by_name : dict of str to FakeEngine
    loop : asyncio.AbstractEventLoop
    post_event : callable
        Called with ``(request_id, event)`` to post an event to the entry.
    """

    __slots__ = (
        "arrival",
        "request_id",
        "answered_at",
        "refusal",
        "refused_at",
        "lost",
        "received_tokens",
        "_engines_by_name",
        "_loop",
        "_post_event",
        "_connection",
    )

    def __init__(self, *, arrival, request_id, engines_by_name, loop, post_event):
        self.arrival = arrival
        self.request_id = request_id
        self.answered_at = None
        self.refusal = None
        self.refused_at = None
        self.lost = False
        self.received_tokens = 0
        self._engines_by_name = engines_by_name
        self._loop = loop
        self._post_event = post_event
        self._connection = None

    @property
    def settled(self):
        """Whether the caller has an answer or a refusal, or lost its router."""
        return self.answered_at is not None or self.refusal is not None or self.lost

    def post(self, command):
        """Act on a command of the request's task."""
        match command:
            case StartRun():
                self._connection = RunConnection(
                    caller=self, command=command, engine=self._engines_by_name[command.engine]
                )
                self._loop.call_later(NETWORK_S, self._connection.send)
            case AnswerWhole():
                self.answered_at = self._loop.time()
            case AnswerRefusal(refusal=refusal):
                self.refusal = refusal
                self.refused_at = self._loop.time()

    def cancel_run(self, *, run_id, engine, address):
        """Cancel a run on its engine; ``RunEnded`` follows if it was active."""
        self._loop.call_later(NETWORK_S, self._cancel, run_id, engine)

    def disconnect(self):
        """Drop the connections of this request, as its router was killed."""
        self.lost = not self.settled
        if self._connection is not None:
            self._connection.drop()

    def send_event(self, event):
        """Post an event to the entry after the network delay."""
        self._loop.call_later(NETWORK_S, self._post_event, self.request_id, event)

    def now(self):
        """Return the loop time."""
        return self._loop.time()

    def call_later(self, delay_s, callback):
        """Set a timer on the loop."""
        return self._loop.call_later(delay_s, callback)

    def _cancel(self, run_id, engine):
        if self._engines_by_name[engine].cancel(run_id):
            self._connection.end(RunCancelled(output_tokens=self.received_tokens))


class RunConnection:
    """Connection of one run to its engine, with the run's limits on silence.

    Parameters
    ----------
    caller : FakeCaller
    command : StartRun
    engine : FakeEngine
    """

    __slots__ = ("_caller", "_command", "_engine", "_began_at", "_first_token_s", "_run", "_ended", "_token_at")

    def __init__(self, *, caller, command, engine):
        self._caller = caller
        self._command = command
        self._engine = engine
        self._began_at = caller.now()
        self._first_token_s = 0.0
        self._token_at = self._began_at
        self._run = None
        self._ended = False

    def send(self):
        """Submit the run, or attach to it if it runs already."""
        if self._ended:
            return
        command = self._command
        if command.attach:
            known = self._engine.run_by_id.get(command.run_id)
            if known is None or (not known.active and known.batch_run.last_index < known.batch_run.output_tokens):
                self.end(RunLost(output_tokens=self._caller.received_tokens))
                return
            self._run = known
            self._engine.attach(command.run_id, self)
        else:
            self._run = self._engine.submit(
                run_id=command.run_id,
                arrival=self._caller.arrival,
                request_id=self._caller.request_id,
                resume_tokens=self._caller.received_tokens,
                follower=self,
            )
        self._caller.call_later(PROGRESS_S, self._check_progress)

    def on_token(self, run):
        """Report the first token, or the first one after attaching."""
        if self._ended or self._first_token_s:
            return
        now = self._caller.now()
        self._first_token_s = now - self._began_at
        self._token_at = now
        self._caller.received_tokens = run.batch_run.last_index
        self._caller.send_event(RunBegan(run_id=self._command.run_id, first_token_s=self._first_token_s))

    def on_finished(self, run):
        """End the run as done, with a complete answer."""
        batch_run = run.batch_run
        self._caller.received_tokens = batch_run.last_index
        self.end(
            RunDone(
                prompt_tokens=batch_run.prompt_tokens,
                cached_tokens=batch_run.cached_tokens,
                output_tokens=batch_run.last_index,
            )
        )

    def end(self, outcome):
        """Report the end of the run, once."""
        if self._ended:
            return
        self._ended = True
        self._caller.send_event(
            RunEnded(
                run_id=self._command.run_id,
                outcome=outcome,
                duration_s=self._caller.now() - self._began_at,
                first_token_s=self._first_token_s,
            )
        )

    def drop(self):
        """Close the connection without reporting an end to the entry."""
        if not self._ended and self._run is not None:
            self._engine.detach(self._command.run_id)
        self._ended = True

    def _check_progress(self):
        if self._ended:
            return
        now = self._caller.now()
        if self._run.token_at > self._token_at:
            self._token_at = self._run.token_at
            self._caller.received_tokens = self._run.batch_run.last_index
            self._caller.send_event(
                RunAdvanced(run_id=self._command.run_id, output_tokens=self._run.batch_run.last_index)
            )
        command = self._command
        limit_s = command.progress_deadline_s if self._first_token_s else command.first_token_deadline_s
        if now - self._token_at > limit_s or now - self._began_at > command.overall_s + PROGRESS_S:
            self._engine.detach(command.run_id)
            self.end(RunSilent(output_tokens=self._caller.received_tokens, reached=self._first_token_s > 0.0))
            return
        self._caller.call_later(PROGRESS_S, self._check_progress)
