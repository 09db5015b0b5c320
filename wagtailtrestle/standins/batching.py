"""Continuous batching on one engine, as a pure model: no I/O, no clock.

The stand-in engine steps it in real time; measurements step it under a simulated clock.
Lengths are in tokens, times in seconds.
"""

from collections import OrderedDict

from wagtailtrestle.record import record

TOKENS_PER_BLOCK = 64


class BatchRun:
    """One run inside the engine.

    Parameters
    ----------
    run_id : str
    prompt_tokens : int
        Tokens of the prompt alone.
    output_tokens : int
        Index of the last token of the answer, counting the resumed tokens.
    prefix_blocks : tuple of int
        Chained hashes of the prompt's full blocks.
    resume_tokens : int
        Tokens that an earlier run already generated; they are prefilled after the prompt.

    Attributes
    ----------
    prefill_left : int
        Tokens still to prefill; set on admission.
    cached_tokens, prefill_tokens : int
        Prompt tokens found in the cache and computed so far.
    last_index : int
        Index of the last token generated.
    """

    __slots__ = (
        "run_id",
        "prompt_tokens",
        "output_tokens",
        "prefix_blocks",
        "resume_tokens",
        "prefill_left",
        "cached_tokens",
        "prefill_tokens",
        "last_index",
    )

    def __init__(self, *, run_id, prompt_tokens, output_tokens, prefix_blocks=(), resume_tokens=0):
        self.run_id = run_id
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.prefix_blocks = prefix_blocks
        self.resume_tokens = resume_tokens
        self.prefill_left = 0
        self.cached_tokens = 0
        self.prefill_tokens = 0
        self.last_index = resume_tokens

    @property
    def generated_tokens(self) -> int:
        """Tokens this run itself generated."""
        return self.last_index - self.resume_tokens


@record
class StepResult:
    """Result of one step.

    Parameters
    ----------
    duration_s : float
        Zero when the engine was idle.
    tokens : list of (str, int)
        Run and index of each token generated.
    finished : list of BatchRun
    batch : int
        Runs in the batch during the step.
    prefill_tokens : int
        Prompt tokens computed in the step.
    """

    duration_s: float
    tokens: list
    finished: list
    batch: int
    prefill_tokens: int


@record
class BatchLoad:
    """Current load: runs in the batch, waiting runs, duration of the last step."""

    running: int
    waiting: int
    step_s: float


class PrefixCache:
    """LRU cache of 64-token blocks that holds at most ``cache_tokens`` tokens."""

    __slots__ = ("_blocks", "_capacity", "added", "removed")

    def __init__(self, *, cache_tokens):
        self._blocks = OrderedDict()
        self._capacity = cache_tokens // TOKENS_PER_BLOCK
        self.added = []
        self.removed = []

    def __len__(self):
        return len(self._blocks)

    def match(self, prefix_blocks) -> int:
        """Count the leading blocks that are cached, and mark them as recently used."""
        held = 0
        for block in prefix_blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            held += 1
        return held

    def put(self, prefix_blocks):
        """Cache these blocks; the leading ones count as the most recently used."""
        for block in reversed(prefix_blocks[: self._capacity]):
            if block not in self._blocks:
                self._blocks[block] = True
                self.added.append(block)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            block, _ = self._blocks.popitem(last=False)
            self.removed.append(block)

    def take_changes(self):
        """Return the blocks added and removed since the last call."""
        added, removed = self.added, self.removed
        self.added, self.removed = [], []
        return added, removed

    def clear(self):
        """Evict every block, as a restart does."""
        self.removed.extend(self._blocks)
        self._blocks.clear()


class BatchingEngine:
    """Model of an engine with continuous batching: runs are admitted in order of arrival, without priorities.

    Parameters
    ----------
    slots : int
        Largest batch; more runs wait in order of arrival.
    base_step_s, per_run_step_s : float
        A step takes ``base_step_s + per_run_step_s * batch`` plus the time of its prefill.
    prefill_tokens_per_s : float
        Prefill speed for uncached tokens.
    cache_tokens : int
        Size of the prefix cache.
    prefill_chunk_tokens : int
        Maximum of prompt tokens computed in one step. A long prompt then slows the other
        runs in the batch, but does not block them.
    """

    __slots__ = (
        "cache",
        "_slots",
        "_base_step_s",
        "_per_run_step_s",
        "_prefill_tokens_per_s",
        "_prefill_chunk_tokens",
        "_straggle",
        "_active_by_id",
        "_waiting_by_id",
        "_last_step_s",
    )

    def __init__(
        self,
        *,
        slots,
        base_step_s,
        per_run_step_s,
        prefill_tokens_per_s,
        cache_tokens,
        prefill_chunk_tokens=512,
    ):
        self.cache = PrefixCache(cache_tokens=cache_tokens)
        self._slots = slots
        self._base_step_s = base_step_s
        self._per_run_step_s = per_run_step_s
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._prefill_chunk_tokens = prefill_chunk_tokens
        self._straggle = 1.0
        self._active_by_id = {}
        self._waiting_by_id = OrderedDict()
        self._last_step_s = base_step_s

    def submit(self, run):
        """Admit a run into the batch, or queue it until a slot is free."""
        if len(self._active_by_id) < self._slots:
            self._admit(run)
        else:
            self._waiting_by_id[run.run_id] = run

    def step(self) -> StepResult:
        """Run one step; its tokens exist once ``duration_s`` has passed."""
        if not self._active_by_id:
            return StepResult(duration_s=0.0, tokens=[], finished=[], batch=0, prefill_tokens=0)
        batch = len(self._active_by_id)
        prefilled = self._prefill()
        tokens, finished = self._decode()
        for run in finished:
            self._remove(run.run_id)
        duration = self._base_step_s + self._per_run_step_s * batch + prefilled / self._prefill_tokens_per_s
        self._last_step_s = duration * self._straggle
        return StepResult(
            duration_s=self._last_step_s, tokens=tokens, finished=finished, batch=batch, prefill_tokens=prefilled
        )

    def cancel(self, run_id):
        """Remove and return a run, or return ``None`` if the engine does not have it."""
        if run_id in self._waiting_by_id:
            return self._waiting_by_id.pop(run_id)
        return self._remove(run_id)

    def load(self) -> BatchLoad:
        """Return the current load."""
        return BatchLoad(running=len(self._active_by_id), waiting=len(self._waiting_by_id), step_s=self._last_step_s)

    def straggle(self, factor):
        """Multiply the duration of all later steps by ``factor``."""
        self._straggle = factor

    def clear(self):
        """Drop every run and clear the cache, as a crash does."""
        self._active_by_id.clear()
        self._waiting_by_id.clear()
        self.cache.clear()

    def _admit(self, run):
        total = run.prompt_tokens + run.resume_tokens
        held = self.cache.match(run.prefix_blocks) * TOKENS_PER_BLOCK
        # The last token to prefill is always computed: the first generated token depends on its output.
        run.cached_tokens = min(held, max(total - 1, 0))
        run.prefill_left = total - run.cached_tokens
        self._active_by_id[run.run_id] = run

    def _prefill(self) -> int:
        left = self._prefill_chunk_tokens
        for run in self._active_by_id.values():
            if left == 0:
                break
            if run.prefill_left == 0:
                continue
            chunk = min(left, run.prefill_left)
            run.prefill_left -= chunk
            run.prefill_tokens += chunk
            left -= chunk
            if run.prefill_left == 0:
                self.cache.put(run.prefix_blocks)
        return self._prefill_chunk_tokens - left

    def _decode(self):
        tokens = []
        finished = []
        for run in self._active_by_id.values():
            if run.prefill_left:
                continue
            if run.last_index < run.output_tokens:
                run.last_index += 1
                tokens.append((run.run_id, run.last_index))
            if run.last_index >= run.output_tokens:
                finished.append(run)
        return tokens, finished

    def _remove(self, run_id):
        run = self._active_by_id.pop(run_id, None)
        if run is not None and self._waiting_by_id:
            _, following = self._waiting_by_id.popitem(last=False)
            self._admit(following)
        return run
