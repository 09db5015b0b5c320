"""Engines' load and cache reports, as messages to the schedulers."""

from wagtailtrestle.record import record


@record
class LoadReport:
    """An engine's load as it was ``age_s`` seconds ago.

    Parameters
    ----------
    engine : str
    age_s : float
        The engine's own reporting lag plus the time that the read took.
    running, waiting : int
        Runs in the engine's batch, and runs that it accepted that wait for a slot in the batch.
    step_s : float
        Duration of its last step.
    leaving : bool
        Whether the engine is draining.
    start_ms : int
        When the engine started, in Unix milliseconds; 0 where engines don't report it.
    """

    engine: str
    age_s: float
    running: int
    waiting: int
    step_s: float
    leaving: bool
    start_ms: int = 0


@record
class LoadUnreachable:
    """An engine did not answer a request for its report, because of the engine or of the network."""

    engine: str
    detail: str


@record
class CacheEvents:
    """Changes of an engine's prefix cache, reported with a delay.

    Parameters
    ----------
    engine : str
    stored, removed : tuple of int
        Block hashes, in the order in which they changed.
    gap : bool
        Whether events before or among these were lost, so that the recorded cache contents may be stale.
    restarted : bool
        Whether the engine's event numbers started again, so that its earlier cache contents are gone.
    """

    engine: str
    stored: tuple
    removed: tuple
    gap: bool = False
    restarted: bool = False


EngineReport = LoadReport | LoadUnreachable | CacheEvents
