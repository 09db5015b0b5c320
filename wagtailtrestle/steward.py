"""Capacity of one cell: grants places on its engines in order of tier, refuses, preempts.

All state is soft: it is the sum of what entries hold. A grant is capacity, never identity,
so a steward that is wrong, late or doubled can fill an engine too far or too little but
can't make a request run twice.
"""

from wagtailtrestle.engine_health import EngineHealth
from wagtailtrestle.engine_state import EngineState
from wagtailtrestle.grants import Grant, WaitingRequest
from wagtailtrestle.messages import (
    Granted,
    GrantRequest,
    Refused,
    Register,
    RunFinished,
    RunProgress,
    RunStarted,
    Withdraw,
)
from wagtailtrestle.outcomes import Reason
from wagtailtrestle.tier_queue import TierQueue

PROGRESS_FLOOR_S = 1.0
"""Least silence tolerated between tokens."""

FIRST_TOKEN_FLOOR_S = 2.0
"""Least silence tolerated before the first token."""

SILENCE_FACTOR = 8.0
"""How many times the predicted time a run may stay silent before it is given up."""

MAX_SET_ASIDE = 64
"""Requests passed over in one round because no engine with room suits them."""


class Steward:
    """Admission of one cell.

    Parameters
    ----------
    cell : str
    policy : EnginePolicy
    clock : callable
        Returns the loop's time in seconds.
    entries : EntryLink
        Carries answers back.
    prefill_weight : float
        From 0 (goodput by tier) to 1 (no prefill thrown away).
    """

    __slots__ = (
        "cell",
        "_policy",
        "_clock",
        "_entries",
        "_prefill_weight",
        "_engines_by_name",
        "_health",
        "_queue",
        "_grants_by_request_id",
        "_members",
        "_granting",
        "_handlers_by_type",
    )

    def __init__(self, *, cell, policy, clock, entries, prefill_weight=0.5):
        self.cell = cell
        self._policy = policy
        self._clock = clock
        self._entries = entries
        self._prefill_weight = prefill_weight
        self._engines_by_name = {}
        self._health = EngineHealth()
        self._queue = TierQueue()
        self._grants_by_request_id = {}
        self._members = frozenset()
        self._granting = True
        self._handlers_by_type = {
            GrantRequest: self._on_grant_request,
            Withdraw: self._on_withdraw,
            RunStarted: self._on_run_started,
            RunProgress: self._on_run_progress,
            RunFinished: self._on_run_finished,
            Register: self._on_register,
        }

    def set_engines(self, by_name):
        """Put the declared engines of this cell in force; what is known of kept ones stays."""
        kept = {}
        for name, declared in by_name.items():
            state = self._engines_by_name.get(name) or EngineState(declared=declared, clock=self._clock)
            state.leaving = declared.leaving
            kept[name] = state
        self._engines_by_name = kept
        self._health.set_engines(kept)
        self._grant_ready()

    def set_teams(self, share_by_name):
        """Put the declared shares of teams in force."""
        self._queue.set_shares(share_by_name)

    def set_members(self, entries):
        """Take in the live view of routers."""
        self._members = frozenset(entries)

    def receive(self, message):
        """Act on one message of an entry."""
        self._handlers_by_type[type(message)](message)
        self._grant_ready()

    def on_load_report(self, report):
        """Correct an engine's account by its own report."""
        engine = self._engines_by_name.get(report.engine)
        if engine is not None:
            engine.report(report)
            self._grant_ready()

    def on_unreachable(self, engine):
        """Grant nothing on an engine that does not answer, until it reports again."""
        state = self._engines_by_name.get(engine)
        if state is not None:
            state.unreachable = True

    def mark_leaving(self, engine):
        """Grant nothing more on this engine."""
        state = self._engines_by_name.get(engine)
        if state is not None:
            state.leaving = True

    def tick(self):
        """Sweep deadlines and grant what has become possible; about every 50 ms."""
        now = self._clock()
        for engine in self._engines_by_name.values():
            engine.health_share = self._health.share(engine.name, now)
            engine.tick()
        for waiting in self._queue.pop_expired(now):
            self._refuse(waiting.request, Reason.DEADLINE_UNREACHABLE)
        self._grant_ready()

    def stop_granting(self):
        """Grant nothing more: the router is draining and another will be steward."""
        self._granting = False

    def digest(self):
        """Summary by which entries choose between cells."""
        waiting_by_tier = self._queue.waiting_by_tier()
        tiers = [grant.request.tier for grant in self._grants_by_request_id.values()] + list(waiting_by_tier)
        return {
            "free": sum(engine.room for engine in self._engines_by_name.values()),
            "waiting_by_tier": waiting_by_tier,
            "lowest_tier_held": max(tiers, default=None),
        }

    def dump(self):
        """Return a plain view of everything held, for the state dump."""
        return {
            "cell": self.cell,
            "granting": self._granting,
            "members": sorted(self._members),
            "waiting_by_tier": self._queue.waiting_by_tier(),
            "running": {request_id: grant.engine for request_id, grant in self._grants_by_request_id.items()},
            "engines": {name: engine.dump() for name, engine in self._engines_by_name.items()},
        }

    def _on_grant_request(self, request):
        request_id = request.request_id
        grant = self._grants_by_request_id.get(request_id)
        if grant is not None:
            if request.attempt <= grant.request.attempt:
                return
            self._end(grant)
        waiting = self._queue.waiting_by_request_id.get(request_id)
        if waiting is not None:
            if request.attempt <= waiting.request.attempt:
                return
            self._queue.remove(request_id)
        self._enqueue(request)

    def _on_withdraw(self, message):
        self._queue.remove(message.request_id)
        grant = self._grants_by_request_id.get(message.request_id)
        if grant is not None:
            self._end(grant)

    def _on_run_started(self, message):
        grant = self._grants_by_request_id.get(message.request_id)
        if grant is None or grant.engine != message.engine:
            return
        grant.started = True
        grant.progress_at = self._clock()
        engine = self._engines_by_name.get(grant.engine)
        if engine is not None:
            engine.model.observe_first_token(
                first_token_s=message.first_token_s,
                uncached_tokens=message.prompt_tokens - message.cached_tokens,
                concurrency=engine.running,
            )

    def _on_run_progress(self, message):
        grant = self._grants_by_request_id.get(message.request_id)
        if grant is not None and message.output_tokens > grant.output_tokens:
            grant.output_tokens = message.output_tokens
            grant.progress_at = self._clock()

    def _on_run_finished(self, message):
        grant = self._grants_by_request_id.get(message.request_id)
        if grant is None or grant.engine != message.engine:
            return
        self._health.on_outcome(message.engine, message.result, self._clock())
        engine = self._engines_by_name.get(grant.engine)
        if engine is not None and message.result == "RunDone" and message.output_tokens:
            engine.model.observe_finish(
                output_tokens=message.output_tokens,
                decode_s=message.duration_s - message.first_token_s,
                mean_concurrency=grant.mean_concurrency,
            )
        self._end(grant)

    def _on_register(self, message):
        for waiting in list(self._queue.waiting_by_request_id.values()):
            if waiting.request.entry == message.entry:
                self._queue.remove(waiting.request.request_id)
        for grant in list(self._grants_by_request_id.values()):
            if grant.request.entry == message.entry:
                self._end(grant)
        for record in message.running:
            self._add_grant(
                record.request, record.engine, elapsed_s=record.elapsed_s
            ).output_tokens = record.output_tokens
        for request in message.waiting:
            self._enqueue(request)

    def _enqueue(self, request):
        now = self._clock()
        self._queue.push(
            WaitingRequest(
                request=request,
                arrived_at=now,
                deadline=now + request.remaining_s,
                work_s=self._work_s(request),
                shortest_run_s=self._shortest_run_s(request),
            )
        )

    def _work_s(self, request):
        """Engine-seconds: the share of a full engine's time that the run uses."""
        costs = [
            engine.model.prefill_s(request.prompt_tokens + request.done_tokens)
            + request.output_tokens * engine.model.step_s(engine.slots) / engine.slots
            for engine in self._engines_by_name.values()
        ]
        return sum(costs) / len(costs) if costs else 1.0

    def _shortest_run_s(self, request):
        runs = [
            engine.model.predict_finish_s(
                uncached_tokens=request.prompt_tokens + request.done_tokens,
                output_tokens=request.output_tokens,
                concurrency=1,
                pending_prefill_tokens=0,
            )
            for engine in self._engines_by_name.values()
        ]
        return min(runs, default=0.0)

    def _grant_ready(self):
        if not self._granting:
            return
        engines = [engine for engine in self._engines_by_name.values() if engine.available]
        set_aside = []
        while engines and len(self._queue) and len(set_aside) < MAX_SET_ASIDE:
            waiting = self._queue.pop()
            engine = self._policy.choose(request=waiting.request, engines=engines, now=self._clock())
            if engine is None:
                set_aside.append(waiting)
                continue
            self._grant(waiting, engine)
            engines = [engine for engine in engines if engine.available]
        for waiting in reversed(set_aside):
            self._queue.put_back(waiting)

    def _grant(self, waiting, engine):
        request = waiting.request
        grant = self._add_grant(request, engine.name)
        grant.deadline = waiting.deadline
        first_token_s = engine.model.predict_first_token_s(
            uncached_tokens=request.prompt_tokens + request.done_tokens,
            concurrency=engine.running,
            pending_prefill_tokens=engine.pending_prefill_tokens,
        )
        granted = Granted(
            request_id=request.request_id,
            attempt=request.attempt,
            engine=engine.name,
            progress_deadline_s=max(PROGRESS_FLOOR_S, SILENCE_FACTOR * engine.model.step_s(engine.slots)),
            first_token_deadline_s=max(FIRST_TOKEN_FLOOR_S, SILENCE_FACTOR * first_token_s),
        )
        if not self._entries.send(entry=request.entry, message=granted):
            self._end(grant)

    def _add_grant(self, request, engine_name, elapsed_s=0.0):
        now = self._clock()
        engine = self._engines_by_name.get(engine_name)
        prompt_tokens = request.prompt_tokens + request.done_tokens
        cached = engine.cache.cached_tokens(request.prefix_blocks) if engine else 0
        grant = Grant(
            request=request,
            engine=engine_name,
            granted_at=now - elapsed_s,
            deadline=now + request.remaining_s,
            prefill_tokens=max(1, prompt_tokens - cached),
        )
        self._grants_by_request_id[request.request_id] = grant
        if engine is not None:
            engine.add(grant)
            engine.cache.stored(request.prefix_blocks)
        return grant

    def _end(self, grant):
        self._grants_by_request_id.pop(grant.request_id, None)
        engine = self._engines_by_name.get(grant.engine)
        if engine is not None:
            engine.end(grant)

    def _refuse(self, request, reason):
        self._entries.send(
            entry=request.entry,
            message=Refused(
                request_id=request.request_id,
                attempt=request.attempt,
                reason=reason,
                retry_after_s=self._retry_after_s(request.tier),
            ),
        )

    def _retry_after_s(self, tier):
        open_engines = sum(1 for engine in self._engines_by_name.values() if engine.limit)
        return 1.0 + self._queue.work_up_to(tier) / max(1, open_engines)
