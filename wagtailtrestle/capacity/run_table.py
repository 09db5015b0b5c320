"""All runs that hold a slot in one cell, and what is learned from them about the engines."""

import math

from loguru import logger

from wagtailtrestle.capacity.grants import EndedAttempts, Grant, HeldByTier
from wagtailtrestle.contracts.outcomes import RunDone, RunLost, RunNotSent
from wagtailtrestle.engines.health import EngineHealth
from wagtailtrestle.engines.output_lengths import OutputLengths
from wagtailtrestle.engines.state import EngineState

GRANT_GRACE_S = 5.0
"""Time after a run's deadline after which its slot is freed even if no end was reported."""


class RunTable:
    """The grants of a cell, counted against its engines.

    Parameters
    ----------
    clock : callable
    needs_version : callable
        Returns whether streams go on at engines of one version only, so that a run needs an engine of known version.

    Attributes
    ----------
    engines_by_name : dict of str to EngineState
    grants_by_request_id : dict of str to Grant
    held : HeldByTier
    ended : EndedAttempts
    lengths : OutputLengths
    """

    __slots__ = (
        "engines_by_name",
        "grants_by_request_id",
        "held",
        "ended",
        "lengths",
        "_declared_by_name",
        "_clock",
        "_health",
        "_needs_version",
    )

    def __init__(self, *, clock, needs_version=lambda: False):
        self._needs_version = needs_version
        self.engines_by_name = {}
        self._declared_by_name = {}
        self.grants_by_request_id = {}
        self.held = HeldByTier()
        self.ended = EndedAttempts()
        self.lengths = OutputLengths()
        self._clock = clock
        self._health = EngineHealth()

    @property
    def engines(self):
        """The cell's engines in the order of the last sort."""
        return self.engines_by_name.values()

    @property
    def usable_engines(self):
        """Engines that no rollout reserves."""
        return [engine for engine in self.engines if not engine.reserved]

    def set_reserved(self, names):
        """Reserve these engines, and no others, for a rollout."""
        for engine in self.engines:
            if engine.reserved != (engine.name in names):
                engine.set_reserved(engine.name in names)

    def sort_by_speed(self):
        """Sort engines by the speed at which the next run would get its tokens, fastest first."""
        ordered = sorted(self.engines, key=lambda engine: engine.model.token_interval_s(engine.running + 1))
        self.engines_by_name = {engine.name: engine for engine in ordered}

    def declare(self, by_name):
        """Apply the declared engines; the state of those already known is kept.

        The state of an engine that restarted under its name is discarded.
        """
        states = {}
        for name, declared in by_name.items():
            state = self.engines_by_name.get(name)
            if state is not None and self._shows_restart(declared, state):
                self._discard_state(state)
                state = None
            states[name] = state or self._new_state(declared)
            states[name].apply_declaration(declared)
        self._declared_by_name = dict(by_name)
        self.engines_by_name = states
        self._health.set_engines(states)

    def _shows_restart(self, declared, state):
        # An engine list may be older than the report that already announced a start.
        return declared.start_ms not in (state.start_ms, self._declared_by_name[state.name].start_ms)

    def _discard_state(self, state):
        # Runs from before the restart would hold slots that are free, until their entries notice the silent
        # connections. Runs started since the restart are ended here too; they show as load of unknown origin in the
        # engine's next report.
        logger.info("engine {} restarted; its previous state is discarded", state.name)
        for grant in list(state.grants_by_request_id.values()):
            self.end(grant)
        self._health.reset(state.name)

    def hold(self, request, *, asked_tokens, engine_name, deadline):
        """Grant a slot to a request and count its run as not yet started."""
        grant = self._new_grant(request, asked_tokens, engine_name, elapsed_s=0.0)
        grant.deadline = deadline
        engine = self.engines_by_name[engine_name]
        engine.add(grant)
        grant.filled = engine.is_full
        engine.cache.stored(request.prefix_blocks, request.block_tokens)
        return grant

    def hold_registered(self, record):
        """Count a run that an entry registered, or update it if it is known already."""
        grant = self.grants_by_request_id.get(record.request.request_id)
        if grant is None:
            expected = self.lengths.expect(record.request)
            grant = self._new_grant(expected, record.request.output_tokens, record.engine, elapsed_s=record.elapsed_s)
            grant.started = record.output_tokens > 0
            engine = self.engines_by_name.get(record.engine)
            if engine is not None:
                engine.add_registered(grant)
        grant.orphaned_at = None
        grant.output_tokens = max(grant.output_tokens, record.output_tokens)
        grant.progress_at = self._clock()
        return grant

    def end(self, grant):
        """Free a grant's slot."""
        if self.grants_by_request_id.pop(grant.request_id, None) is not None:
            self.held.remove(grant.request)
        self.ended.record(grant.request)
        engine = self.engines_by_name.get(grant.engine)
        if engine is not None:
            engine.end(grant)

    def grants_of_entry(self, entry):
        """Return the grants of one entry."""
        return [grant for grant in self.grants_by_request_id.values() if grant.request.entry == entry]

    def mark_orphaned(self, entry):
        """Keep the slots of a dead entry's runs until a load report shows that they ended.

        The engines may still execute these runs; freeing their slots immediately would overfill the engines.
        """
        for grant in self.grants_of_entry(entry):
            # If the entry dies twice, a report from between still includes the runs of its first process.
            if grant.orphaned_at is None:
                grant.orphaned_at = self._clock()

    def on_load_report(self, report):
        """Correct an engine's run counts by its own report; return whether it reveals a restart of the engine."""
        engine = self.engines_by_name.get(report.engine)
        if engine is None or 0 < report.start_ms < engine.start_ms:
            return False  # Unknown engine, or a delayed report from before its last start.
        restarted = report.start_ms > engine.start_ms
        if restarted:
            engine = self._replace_restarted(engine, report.start_ms)
        for grant in engine.apply_report(report):
            self.end(grant)
        return restarted

    def _replace_restarted(self, state, start_ms):
        """Replace the state of an engine whose report is the first to reveal its restart."""
        self._discard_state(state)
        fresh = self._new_state(self._declared_by_name[state.name])
        fresh.start_ms = start_ms
        if self._needs_version():
            # The entry is of the former start, and the engine may be back with another version.
            fresh.await_entry()
        self.engines_by_name[state.name] = fresh
        return fresh

    def _new_state(self, declared):
        """Build the state of an engine that has just been declared or has restarted."""
        state = EngineState(declared=declared, clock=self._clock)
        # Engines of a service state a limit on rejections together. One that is back after it fell over would fall
        # again before its first answer could state the limit.
        limits = [engine.rejection_limit.max_per_s for engine in self.engines]
        state.rejection_limit.observe(min(limits, default=math.inf))
        return state

    def on_notice(self, notice):
        """Apply what an engine announced about itself in an answer."""
        engine = self.engines_by_name.get(notice.engine)
        if engine is not None:
            engine.apply_notice(notice)

    def invalidate_reports(self):
        """Discard engines' reports from before now."""
        for engine in self.engines:
            engine.invalidate_reports()

    def tick(self):
        """Refresh the engines, and free slots of runs whose end was not reported in time."""
        now = self._clock()
        share_by_name = self._health.shares(now)
        for engine in self.engines:
            engine.tick(health_share=share_by_name.get(engine.name, 1.0))
        for grant in list(self.grants_by_request_id.values()):
            if now > grant.deadline + GRANT_GRACE_S:
                self.end(grant)

    def on_started(self, message):
        """Process a run's first token."""
        grant = self.grants_by_request_id.get(message.request_id)
        engine = self.engines_by_name.get(message.engine)
        if grant is None or engine is None or grant.engine != message.engine or grant.started:
            return
        engine.start(grant)
        grant.progress_at = self._clock()

    def on_progress(self, message):
        """Process a run's progress."""
        grant = self.grants_by_request_id.get(message.request_id)
        if grant is not None and message.output_tokens > grant.output_tokens:
            grant.output_tokens = message.output_tokens
            grant.progress_at = self._clock()

    def on_finished(self, message):
        """Free the run's slot; the end of an unknown run is ignored."""
        grant = self.grants_by_request_id.get(message.request_id)
        if grant is None or grant.engine != message.engine:
            return
        engine = self.engines_by_name.get(grant.engine)
        # A slot returned unused, which has a duration of 0, says nothing about the engine.
        if message.duration_s > 0.0 and engine is not None:
            self._health.on_outcome(message.engine, message.result, self._clock())
            self._update_models(message, grant, engine)
        self.end(grant)
        if engine is not None and message.result == RunNotSent.__name__ and not message.never_sent:
            engine.record_rejection()

    def _update_models(self, message, grant, engine):
        if message.result == RunLost.__name__:
            engine.cache.clear()
        if message.result != RunDone.__name__:
            return
        if message.first_token_s > 0.0:
            # Done at the end because an engine reports how much was cached only at the end of its answer.
            engine.model.observe_first_token(
                first_token_s=message.first_token_s,
                uncached_tokens=message.prompt_tokens - message.cached_tokens,
                concurrency=grant.mean_concurrency,
                pending_prefill_tokens=grant.ahead_tokens,
            )
        tokens = message.output_tokens or grant.request.output_tokens
        decode_s = message.duration_s - (message.first_token_s if message.output_tokens else 0.0)
        concurrency = grant.mean_concurrency
        expected_s = tokens * engine.model.token_interval_s(concurrency)
        self._health.on_slowdown(engine.name, decode_s / expected_s, self._clock())
        self.lengths.observe(
            request=grant.request, asked_tokens=grant.asked_tokens, output_tokens=message.output_tokens
        )
        engine.model.observe_finish(output_tokens=tokens, decode_s=decode_s, mean_concurrency=concurrency)

    def _new_grant(self, request, asked_tokens, engine_name, *, elapsed_s):
        now = self._clock()
        engine = self.engines_by_name.get(engine_name)
        cached = engine.cache.cached_tokens(request.prefix_blocks) if engine else 0
        grant = Grant(
            request=request,
            asked_tokens=asked_tokens,
            engine=engine_name,
            granted_at=now - elapsed_s,
            deadline=now + request.remaining_s,
            prefill_tokens=max(1, request.prompt_tokens + request.done_tokens - cached),
            ahead_tokens=engine.pending_prefill_tokens if engine else 0,
        )
        self.grants_by_request_id[request.request_id] = grant
        self.held.add(request)
        return grant
