"""Reads the engines' records of what ran, and checks the routers' guarantees against them."""

import json

import urllib3

READ_TIMEOUT_S = 5.0


class RunRecord:
    """One run as recorded by its engine."""

    __slots__ = ("engine", "caller_request_id", "starts", "finished", "prefill_tokens")

    def __init__(self, *, engine, caller_request_id, starts, finished, prefill_tokens):
        self.engine = engine
        self.caller_request_id = caller_request_id
        self.starts = starts
        self.finished = finished
        self.prefill_tokens = prefill_tokens


class RecordCheck:
    """Result of checking responses against the engines' records; lists each violation.

    Parameters
    ----------
    prefill_tokens, wasted_prefill_tokens : int
    false_refusals : tuple of str
        Requests that an engine ran although the caller received ``executed: no``.
    doubled : tuple of str
        Non-repeatable requests that started more than once.
    unreadable : tuple of str
        Engines whose record could not be read; their runs are unknown.
    """

    __slots__ = ("prefill_tokens", "wasted_prefill_tokens", "false_refusals", "doubled", "unreadable")

    def __init__(self, *, prefill_tokens, wasted_prefill_tokens, false_refusals, doubled, unreadable):
        self.prefill_tokens = prefill_tokens
        self.wasted_prefill_tokens = wasted_prefill_tokens
        self.false_refusals = false_refusals
        self.doubled = doubled
        self.unreadable = unreadable

    def wasted_share(self):
        """Return wasted prefill as a share of all prefill."""
        return self.wasted_prefill_tokens / self.prefill_tokens if self.prefill_tokens else 0.0


def read_records(urls):
    """Read each engine's record; return the runs by caller request id, and the engines that could not be read."""
    pool = urllib3.PoolManager(retries=False, timeout=READ_TIMEOUT_S)
    runs_by_caller_id = {}
    unreadable = []
    for url in urls:
        try:
            document = json.loads(pool.request("GET", f"{url}/record").data)
        except (urllib3.exceptions.HTTPError, ValueError):
            unreadable.append(url)
            continue
        for run in document["runs"].values():
            record = _run(url, run)
            runs_by_caller_id.setdefault(record.caller_request_id, []).append(record)
    return runs_by_caller_id, tuple(unreadable)


def check_against_records(results, runs_by_caller_id, unreadable):
    """Compare the responses that callers received with the runs that engines recorded."""
    prefill = wasted = 0
    false_refusals, doubled = [], []
    for result in results:
        planned = result.planned
        runs = runs_by_caller_id.get(planned.caller_request_id, [])
        run_prefill = sum(run.prefill_tokens for run in runs)
        prefill += run_prefill
        wasted += run_prefill - (_useful_prefill(runs) if result.complete else 0)
        starts = sum(run.starts for run in runs)
        if result.executed == "no" and starts:
            false_refusals.append(planned.caller_request_id)
        if not planned.kind.repeatable and starts > 1:
            doubled.append(planned.caller_request_id)
    return RecordCheck(
        prefill_tokens=prefill,
        wasted_prefill_tokens=wasted,
        false_refusals=tuple(false_refusals),
        doubled=tuple(doubled),
        unreadable=unreadable,
    )


def _useful_prefill(runs):
    """Prefill of the run that produced the answer; the prefill of the request's other runs is wasted."""
    finished = [run.prefill_tokens for run in runs if run.finished]
    return max(finished, default=0)


def _run(url, run):
    return RunRecord(
        engine=url,
        caller_request_id=run.get("caller_request_id", ""),
        starts=int(run.get("starts", 0)),
        finished=bool(run.get("finished")),
        prefill_tokens=int(run.get("prefill_tokens", 0)),
    )
