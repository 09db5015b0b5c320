"""Counters of the runs sent to engines, by their cause."""

from enum import StrEnum

from loguru import logger


class RunKind(StrEnum):
    """Cause of a run."""

    FIRST = "first"
    AFTER_LOSS = "after_loss"
    AFTER_REFUSAL = "after_refusal"
    AFTER_PREEMPTION = "after_preemption"
    ATTACH = "attach"


class RunCounts:
    """Counters of the runs that one router sends.

    Parameters
    ----------
    count : callable
        ``count(name, **labels)`` adds one to a counter.
    """

    __slots__ = ("_count",)

    def __init__(self, *, count):
        self._count = count

    def count_run(self, *, service, kind):
        """Count a run or attach that is sent to an engine."""
        self._count("runs", service=service, kind=kind.value)

    def count_run_beyond_limit(self, *, request_id, service, runs):
        """Count a run beyond the maximum of its route."""
        self._count("runs_beyond_limit", service=service)
        logger.bind(request_id=request_id, service=service, runs=runs).error(
            "a request has more runs than its route allows"
        )

    def count_crashing_run(self, *, request_id, service, crashes):
        """Count a run of a request that is a suspect of several crashes."""
        self._count("runs_of_crashing_requests", service=service)
        logger.bind(request_id=request_id, service=service, crashes=crashes).warning(
            "a request runs again that was running when several engines crashed"
        )

    def count_broken_back_off(self, *, engine, rested_s):
        """Count a request that reached an engine during a back-off that the engine had asked for."""
        self._count("requests_within_rest", engine=engine)
        logger.bind(engine=engine, rested_s=round(rested_s, 3)).warning(
            "a request reached an engine during its back-off"
        )

    def count_refused_retry(self, *, service):
        """Count a retry that the cell's retry budget did not allow."""
        self._count("retries_refused", service=service)
