"""Engine of a measured run: the stand-in's batching core, stepped by timers of the loop."""

from wagtailtrestle.measure.fleet import CACHE_TOKENS, PREFILL_CHUNK_TOKENS
from wagtailtrestle.standins.batching import BatchingEngine, BatchRun

ORPHAN_GRACE_S = 5.0
"""A run without a follower for this long is cancelled, as in the stand-in."""


class EngineRun:
    """One run in an engine's record, with the follower that reads its tokens.

    Parameters
    ----------
    batch_run : BatchRun
    request_id : str
    follower : object or None
        Has ``on_token(run)`` and ``on_finished(run)``; ``None`` while nothing follows the run.
    """

    __slots__ = ("batch_run", "request_id", "follower", "active", "first_token_at", "token_at")

    def __init__(self, *, batch_run, request_id, follower):
        self.batch_run = batch_run
        self.request_id = request_id
        self.follower = follower
        self.active = True
        self.first_token_at = 0.0
        self.token_at = 0.0


class FakeEngine:
    """Steps the batch by the loop's clock and records every run, whatever the routers report.

    Parameters
    ----------
    name : str
    speed : TrueSpeed
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, *, name, speed, loop):
        self.name = name
        self.speed = speed
        self.run_by_id = {}
        self.busy_s = 0.0
        self._loop = loop
        self._stepping = False
        self._core = BatchingEngine(
            slots=speed.slots,
            base_step_s=speed.base_step_s,
            per_run_step_s=speed.per_run_step_s,
            prefill_tokens_per_s=speed.prefill_tokens_per_s,
            cache_tokens=CACHE_TOKENS,
            prefill_chunk_tokens=PREFILL_CHUNK_TOKENS,
        )

    def submit(self, *, run_id, arrival, request_id, resume_tokens, follower):
        """Admit a run."""
        batch_run = BatchRun(
            run_id=run_id,
            prompt_tokens=arrival.prompt_tokens,
            output_tokens=arrival.output_tokens,
            prefix_blocks=arrival.prefix_blocks,
            resume_tokens=resume_tokens,
        )
        run = EngineRun(batch_run=batch_run, request_id=request_id, follower=follower)
        self.run_by_id[run_id] = run
        self._core.submit(batch_run)
        self._step_soon()
        return run

    def attach(self, run_id, follower):
        """Follow a known run again; tokens it already has are reported immediately."""
        run = self.run_by_id[run_id]
        run.follower = follower
        if run.batch_run.generated_tokens:
            follower.on_token(run)
        if not run.active:
            follower.on_finished(run)

    def detach(self, run_id):
        """Stop following a run; it is cancelled if not followed again within ``ORPHAN_GRACE_S``."""
        run = self.run_by_id[run_id]
        run.follower = None
        if run.active:
            self._loop.call_later(ORPHAN_GRACE_S, self._cancel_orphan, run)

    def cancel(self, run_id):
        """Cancel a run; return ``False`` if it has ended or is unknown."""
        run = self.run_by_id.get(run_id)
        if run is None or not run.active:
            return False
        run.active = False
        self._core.cancel(run_id)
        return True

    def straggle(self, factor):
        """Make every further step ``factor`` times as long."""
        self._core.straggle(factor)

    def load(self):
        """Return the current load."""
        return self._core.load()

    def _cancel_orphan(self, run):
        if run.follower is None:
            self.cancel(run.batch_run.run_id)

    def _step_soon(self):
        if not self._stepping:
            self._stepping = True
            self._loop.call_soon(self._step)

    def _step(self):
        result = self._core.step()
        if not result.batch:
            self._stepping = False
            return
        self.busy_s += result.duration_s
        self._loop.call_later(result.duration_s, self._publish, result)

    def _publish(self, result):
        now = self._loop.time()
        for run_id, _ in result.tokens:
            run = self.run_by_id[run_id]
            if not run.active:
                continue
            run.token_at = now
            if not run.first_token_at:
                run.first_token_at = now
                if run.follower is not None:
                    run.follower.on_token(run)
        for batch_run in result.finished:
            run = self.run_by_id[batch_run.run_id]
            if run.active:
                run.active = False
                if run.follower is not None:
                    run.follower.on_finished(run)
        self._core.cache.take_changes()
        self._step()
