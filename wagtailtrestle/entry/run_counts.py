"""Counters of the runs sent to engines, by their cause."""

import math
from enum import StrEnum

from loguru import logger

DIRECT_PAUSE_S = 10.0
"""Time without direct runs after which the next one is logged again."""


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

    __slots__ = ("_count", "_direct_run_at")

    def __init__(self, *, count):
        self._count = count
        self._direct_run_at = -math.inf

    def count_run(self, *, service, kind):
        """Count a run or attach that is sent to an engine."""
        self._count("runs", service=service, kind=kind.value)

    def count_run_end(self, *, service, outcome):
        """Count the end of a run by the class of its outcome."""
        self._count("run_ends", service=service, outcome=type(outcome).__name__)

    def count_direct_run(self, *, service, now):
        """Count a run dispatched without a silent scheduler; log the first one after a period without any."""
        self._count("direct_runs", service=service)
        if now - self._direct_run_at > DIRECT_PAUSE_S:
            logger.bind(service=service).warning("the scheduler does not answer; plain calls are dispatched without it")
        self._direct_run_at = now

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

    def count_blocked_prompt(self, *, service):
        """Count a prompt that is refused for parts that crashed engines."""
        self._count("prompts_refused_for_parts", service=service)

    def count_version_gone(self, *, service):
        """Count a stream that can't go on since no engine of the version that began it is left."""
        self._count("streams_of_gone_versions", service=service)

    def count_refused_retry(self, *, service):
        """Count a retry that the cell's retry budget did not allow."""
        self._count("retries_refused", service=service)
