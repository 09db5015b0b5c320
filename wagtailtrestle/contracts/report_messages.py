"""What engines report of themselves, as messages to the decisions."""

from wagtailtrestle.record import record


@record
class LoadReport:
    """An engine's load as it was ``age_s`` seconds ago.

    Parameters
    ----------
    engine : str
    age_s : float
        The engine's own lag; the reading's time on the wire is added.
    running, waiting : int
        Runs in its batch, and runs it admitted that wait for a place there.
    step_s : float
        Length of its last step.
    leaving : bool
    start_ms : int
        When it started, Unix milliseconds; 0 where engines don't tell.
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
    """An engine gave no report when asked; says nothing about who is to blame."""

    engine: str
    detail: str


@record
class CacheEvents:
    """Changes of an engine's prefix cache, late.

    Parameters
    ----------
    engine : str
    stored, removed : tuple of int
        Block hashes, in the order in which they changed.
    gap : bool
        Events before these, or among them, were lost: what is believed may be stale.
    restarted : bool
        The engine numbers its events anew: it holds nothing it held before.
    """

    engine: str
    stored: tuple
    removed: tuple
    gap: bool = False
    restarted: bool = False


EngineReport = LoadReport | LoadUnreachable | CacheEvents
