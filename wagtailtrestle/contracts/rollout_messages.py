"""Rollouts: an operator's order to move a service to another version within a time, and its progress."""

from enum import StrEnum

from wagtailtrestle.record import record


class RolloutState(StrEnum):
    """State of a rollout; all but ``running`` are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self):
        """Whether the state is final."""
        return self is not RolloutState.RUNNING


@record
class RolloutOrder:
    """A rollout order as stored.

    Parameters
    ----------
    service : str
    target : str
        Version of the engines that are to serve the service.
    duration_s : float
        Time from the order within which the rollout must end.
    store_version : int
        Version of the object that holds the order; required to write its state.
    state : RolloutState or None
        ``None`` if no state has been reported for this target yet.
    """

    service: str
    target: str
    duration_s: float
    store_version: int
    state: RolloutState | None = None


@record
class RolloutWord:
    """Progress of a rollout, sent among routers: by its coordinator while it runs, and by all once it has ended.

    Parameters
    ----------
    service, target : str
    state : RolloutState
    elapsed_s : float
        Time since the order was first seen.
    duration_s : float
    granted, exposed : int
        Runs granted in the service since then, and how many of them on the target.
    target_runs, target_bad : int
        Judged runs on the target, and how many of them were bad.
    suspicion : float
        Strength of the evidence against the target; see ``CanaryAnalysis``.
    """

    service: str
    target: str
    state: RolloutState
    elapsed_s: float = 0.0
    duration_s: float = 0.0
    granted: int = 0
    exposed: int = 0
    target_runs: int = 0
    target_bad: int = 0
    suspicion: float = 0.0
