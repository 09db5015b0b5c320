"""Record of the runs that a stand-in really executed, kept across emulated crashes."""

import threading
import time


class RunRecord:
    """Executions and results of one run on this stand-in.

    Attributes
    ----------
    starts, finished, cancelled : int
        A run that is neither finished nor cancelled is active, or was lost in a crash.
    resends : int
        Times the run's id was sent again and refused as already known.
    prefill_tokens, cached_tokens, output_tokens : int
    """

    __slots__ = (
        "caller_request_id",
        "starts",
        "finished",
        "cancelled",
        "prefill_tokens",
        "cached_tokens",
        "output_tokens",
        "resends",
    )

    def __init__(self, *, caller_request_id):
        self.caller_request_id = caller_request_id
        self.starts = 0
        self.finished = 0
        self.cancelled = 0
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.output_tokens = 0
        self.resends = 0

    def as_dict(self) -> dict:
        """Return the record as a JSON-serializable dict."""
        return {name: getattr(self, name) for name in self.__slots__}


COUNTED = tuple(name for name in RunRecord.__slots__ if name != "caller_request_id")


class Record:
    """Run records by run id, shared by the threads of a stand-in."""

    __slots__ = ("_by_run_id", "_leaving_at", "_starts_after_leaving", "_last_start_after_s", "_lock")

    def __init__(self):
        self._by_run_id = {}
        self._leaving_at = None
        self._starts_after_leaving = 0
        self._last_start_after_s = 0.0
        self._lock = threading.Lock()

    def started(self, *, run_id, caller_request_id):
        """Count a start; a second start under the same id is a repeated dispatch."""
        with self._lock:
            record = self._by_run_id.get(run_id)
            if record is None:
                record = self._by_run_id[run_id] = RunRecord(caller_request_id=caller_request_id)
            record.starts += 1
            if self._leaving_at is not None:
                self._starts_after_leaving += 1
                self._last_start_after_s = time.monotonic() - self._leaving_at

    def mark_leaving(self):
        """Mark the engine as draining; later starts count as ``starts_after_leaving``."""
        with self._lock:
            if self._leaving_at is None:
                self._leaving_at = time.monotonic()

    def sent_again(self, *, run_id):
        """Count a dispatch that was refused because the run is already known."""
        with self._lock:
            self._by_run_id[run_id].resends += 1

    def finished(self, *, run_id):
        """Count a run that ended with a complete answer."""
        with self._lock:
            self._by_run_id[run_id].finished += 1

    def cancelled(self, *, run_id):
        """Count a run that was cancelled."""
        with self._lock:
            self._by_run_id[run_id].cancelled += 1

    def computed(self, *, run_id, prefill_tokens, cached_tokens, output_tokens):
        """Set the tokens processed so far for a run."""
        with self._lock:
            record = self._by_run_id[run_id]
            record.prefill_tokens = prefill_tokens
            record.cached_tokens = cached_tokens
            record.output_tokens = output_tokens

    def as_dict(self) -> dict:
        """Return every run, the totals, and the counts by the caller's request id."""
        with self._lock:
            runs = {run_id: record.as_dict() for run_id, record in self._by_run_id.items()}
        totals = {name: sum(run[name] for run in runs.values()) for name in COUNTED}
        starts_by_caller_request_id = {}
        for run in runs.values():
            key = run["caller_request_id"]
            if key:
                starts_by_caller_request_id[key] = starts_by_caller_request_id.get(key, 0) + run["starts"]
        return {
            "runs": runs,
            "totals": totals,
            "starts_by_caller_request_id": starts_by_caller_request_id,
            "starts_after_leaving": self._starts_after_leaving,
            "last_start_after_leaving_s": self._last_start_after_s,
        }
