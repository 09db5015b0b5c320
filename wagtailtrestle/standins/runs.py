"""Runs in the stand-in engine: the thread that steps the batch, and the readers of its tokens."""

import queue
import threading
import time
from collections import deque

ACTIVE = "active"
FINISHED = "finished"
CANCELLED = "cancelled"
LOST = "lost"
UNKNOWN = "unknown"

RETAIN_ENDED_S = 30.0
MAX_LATE_S = 0.05
ORPHAN_CHECK_S = 0.25


class LiveRun:
    """A run known to the engine; an ended run is kept for ``RETAIN_ENDED_S``, so that routers can attach to it.

    Parameters
    ----------
    run_id : str
    answer_key : str
        See :func:`wagtailtrestle.standins.prompts.token_text`.
    chat : bool
        Whether the answer is a chat completion.
    max_output_tokens : int
        Output limit set by the caller.
    poisoned : bool
        Whether its first token crashes the engine.
    batch_run : BatchRun

    Attributes
    ----------
    last_index : int
        Index of the last token published to readers; the batching model is one step ahead.
    """

    __slots__ = (
        "run_id",
        "answer_key",
        "chat",
        "max_output_tokens",
        "poisoned",
        "batch_run",
        "state",
        "last_index",
        "readers",
        "changed_at",
    )

    def __init__(self, *, run_id, answer_key, chat, max_output_tokens, poisoned, batch_run):
        self.run_id = run_id
        self.answer_key = answer_key
        self.chat = chat
        self.max_output_tokens = max_output_tokens
        self.poisoned = poisoned
        self.batch_run = batch_run
        self.state = ACTIVE
        self.last_index = batch_run.resume_tokens
        self.readers = []
        self.changed_at = time.monotonic()

    def finish_reason(self) -> str:
        """Return ``finish_reason`` as chat clients expect it."""
        if self.state == CANCELLED:
            return CANCELLED
        return "length" if self.last_index >= self.max_output_tokens else "stop"


class Reader:
    """One connection that follows a run; after each step the newest token index is queued."""

    __slots__ = ("indices", "silent", "cut")

    def __init__(self):
        self.indices = queue.SimpleQueue()
        self.silent = threading.Event()
        self.cut = threading.Event()


class EngineRuns:
    """Owns the batching model and runs its steps in real time.

    Parameters
    ----------
    engine : BatchingEngine
    record : Record
    on_poison : callable
        Called from the stepping thread when a poisoned run generates its first token.
    on_cache_change : callable
        Called with the lists of blocks added and removed.
    orphan_grace_s : float
        A run without readers for this long is cancelled; 0 disables this.
    """

    def __init__(self, *, engine, record, on_poison, on_cache_change, orphan_grace_s):
        self._engine = engine
        self._record = record
        self._on_poison = on_poison
        self._on_cache_change = on_cache_change
        self._orphan_grace_s = orphan_grace_s
        self._run_by_id = {}
        self._ended = deque()
        self._lock = threading.Lock()
        self._work = threading.Condition(self._lock)
        self._idle = threading.Condition(self._lock)
        self._closing = False
        self._threads = ()

    def start(self):
        """Start the stepping thread and the thread that cancels orphaned runs."""
        self._threads = (
            threading.Thread(target=self._step_forever, name="steps", daemon=True),
            threading.Thread(target=self._cancel_orphans_forever, name="orphans", daemon=True),
        )
        for thread in self._threads:
            thread.start()

    def close(self):
        """Stop both threads; active runs are lost."""
        with self._lock:
            self._closing = True
            self._work.notify_all()
            self._idle.notify_all()
        for thread in self._threads:
            thread.join()
        self.drop_all()

    def submit(self, run, *, caller_request_id) -> Reader | None:
        """Submit a run and return its reader, or ``None`` if the run id is already known."""
        reader = Reader()
        with self._lock:
            if run.run_id in self._run_by_id:
                self._record.sent_again(run_id=run.run_id)
                return None
            self._record.started(run_id=run.run_id, caller_request_id=caller_request_id)
            self._run_by_id[run.run_id] = run
            run.readers.append(reader)
            self._engine.submit(run.batch_run)
            self._work.notify()
        return reader

    def attach(self, run_id):
        """Follow a known run from its first token: return ``(run, reader)``, or ``(None, None)`` if it is not known."""
        with self._lock:
            run = self._run_by_id.get(run_id)
            if run is None:
                return None, None
            reader = Reader()
            run.readers.append(reader)
            if run.last_index:
                reader.indices.put(run.last_index)
            if run.state != ACTIVE:
                reader.indices.put(None)
            return run, reader

    def detach(self, run, reader):
        """Stop following a run."""
        with self._lock:
            if reader in run.readers:
                run.readers.remove(reader)
            run.changed_at = time.monotonic()

    def cancel(self, run_id):
        """Cancel a run if it is active; return its state and the number of tokens it generated."""
        with self._lock:
            run = self._run_by_id.get(run_id)
            if run is None:
                return UNKNOWN, 0
            if run.state == ACTIVE:
                self._engine.cancel(run_id)
                self._record.cancelled(run_id=run_id)
                self._end(run, CANCELLED)
            return run.state, run.last_index - run.batch_run.resume_tokens

    def drop_all(self):
        """Drop every run and cut its readers off, as a crash does."""
        with self._lock:
            self._engine.clear()
            for run in self._run_by_id.values():
                if run.state == ACTIVE:
                    self._record_work(run)
                run.state = LOST
                self._cut_readers(run)
            self._run_by_id.clear()
            self._ended.clear()
            self._idle.notify_all()

    def silence_open(self):
        """Stop sending on every connection that follows a run now."""
        with self._lock:
            for run in self._run_by_id.values():
                for reader in run.readers:
                    reader.silent.set()

    def cut_open(self):
        """Break every connection that follows a run now; the runs continue."""
        with self._lock:
            for run in self._run_by_id.values():
                self._cut_readers(run)

    def wait_idle(self, timeout_s) -> bool:
        """Wait until no run is active."""
        with self._lock:
            return self._idle.wait_for(lambda: self._closing or not self._unended(), timeout_s)

    def load(self):
        """Return the current load."""
        with self._lock:
            return self._engine.load()

    def straggle(self, factor):
        """Multiply the duration of every step by ``factor``."""
        with self._lock:
            self._engine.straggle(factor)

    def batch_run(self, run_id):
        """Return the batch run of a known run, or ``None``."""
        with self._lock:
            run = self._run_by_id.get(run_id)
            return None if run is None else run.batch_run

    def import_blocks(self, blocks):
        """Add these blocks to the prefix cache."""
        with self._lock:
            self._engine.cache.put(blocks)

    def as_dict(self) -> dict:
        """Return the known runs, for the state dump."""
        with self._lock:
            return {
                run.run_id: {
                    "state": run.state,
                    "last_index": run.last_index,
                    "readers": len(run.readers),
                }
                for run in self._run_by_id.values()
            }

    def _unended(self) -> bool:
        # The model removes a run when its last step begins; the last token is published at the end of that step.
        return any(run.state == ACTIVE for run in self._run_by_id.values())

    def _cut_readers(self, run):
        for reader in run.readers:
            reader.cut.set()
            reader.indices.put(None)

    def _active(self) -> bool:
        load = self._engine.load()
        return load.running + load.waiting > 0

    def _step_forever(self):
        ends_at = time.monotonic()
        while True:
            with self._lock:
                while not self._active() and not self._closing:
                    self._work.wait()
                if self._closing:
                    return
                result = self._engine.step()
            # A step begins when the previous one ended by the model's time, so that a late wake-up
            # of this thread does not slow the modelled engine; after a pause it begins now.
            ends_at = max(ends_at, time.monotonic() - MAX_LATE_S) + result.duration_s
            time.sleep(max(ends_at - time.monotonic(), 0.0))
            if self._publish(result):
                self._on_poison()

    def _publish(self, result) -> bool:
        with self._lock:
            poisoned = False
            for run_id, index in result.tokens:
                run = self._run_by_id.get(run_id)
                if run is None or run.state != ACTIVE:
                    continue
                poisoned = poisoned or run.poisoned
                run.last_index = index
                self._record_work(run)
                for reader in run.readers:
                    reader.indices.put(index)
            if poisoned:
                return True
            for batch_run in result.finished:
                run = self._run_by_id.get(batch_run.run_id)
                if run is not None and run.state == ACTIVE:
                    self._record.finished(run_id=run.run_id)
                    self._end(run, FINISHED)
            self._report_cache_changes()
            return False

    def _record_work(self, run):
        self._record.computed(
            run_id=run.run_id,
            prefill_tokens=run.batch_run.prefill_tokens,
            cached_tokens=run.batch_run.cached_tokens,
            output_tokens=run.last_index - run.batch_run.resume_tokens,
        )

    def _report_cache_changes(self):
        added, removed = self._engine.cache.take_changes()
        if added or removed:
            self._on_cache_change(added, removed)

    def _end(self, run, state):
        run.state = state
        run.changed_at = time.monotonic()
        self._record_work(run)
        for reader in run.readers:
            reader.indices.put(None)
        self._ended.append(run)
        while self._ended and self._ended[0].changed_at < run.changed_at - RETAIN_ENDED_S:
            self._run_by_id.pop(self._ended.popleft().run_id, None)
        self._idle.notify_all()

    def _cancel_orphans_forever(self):
        # The runs of a router that died would occupy slots for answers that no caller waits for,
        # so they are cancelled unless another router attaches within the grace period.
        while not self._closing:
            time.sleep(ORPHAN_CHECK_S)
            if not self._orphan_grace_s:
                continue
            before = time.monotonic() - self._orphan_grace_s
            with self._lock:
                orphans = [
                    run.run_id
                    for run in self._run_by_id.values()
                    if run.state == ACTIVE and not run.readers and run.changed_at < before
                ]
            for run_id in orphans:
                self.cancel(run_id)
