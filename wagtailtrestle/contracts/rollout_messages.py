"""What an operator orders: that a service move to another version within a time."""

from enum import StrEnum

from wagtailtrestle.record import record


class RolloutState(StrEnum):
    """Where a roll-out stands; the last two are final."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self):
        """Whether it never changes again."""
        return self is not RolloutState.RUNNING


@record
class RolloutOrder:
    """One order as the store holds it.

    Parameters
    ----------
    service : str
    target : str
        Version of the engines that are to serve it.
    duration_s : float
        Time from the order within which the roll-out has to end.
    store_version : int
        Of the object that holds the order; a write of its state asks for it.
    state : RolloutState or None
        ``None`` if nobody has told one for this target yet.
    """

    service: str
    target: str
    duration_s: float
    store_version: int
    state: RolloutState | None = None


@record
class RolloutWord:
    """How a roll-out stands, told among routers: by its coordinator while it runs, and by all once it has ended.

    Parameters
    ----------
    service, target : str
    state : RolloutState
    elapsed_s : float
        Time since the order was seen first.
    duration_s : float
    granted, exposed : int
        Runs granted in the service since then, and those of them on the target.
    target_runs, target_bad : int
        Runs on the target that were judged, and those of them that were bad.
    suspicion : float
        How much speaks against the target; see ``CanaryAnalysis``.
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
