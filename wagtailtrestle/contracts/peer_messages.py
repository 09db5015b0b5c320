"""Messages between routers that concern neither entries nor schedulers."""

from enum import StrEnum

from wagtailtrestle.record import record


class MemberState(StrEnum):
    """What is said of a router; a later one outweighs an earlier one of the same version."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@record
class Hello:
    """First item on each connection, in both directions.

    Parameters
    ----------
    incarnation : int
        Grows with each start of the router of that name.
    address : str
        ``host:port`` on which the sender takes connections.
    """

    name: str
    incarnation: int
    zone: str
    address: str


@record
class Ping:
    """Asks for a sign of life on this very connection."""


@record
class Pong:
    """Answers :class:`Ping`."""


@record
class NoAnswer:
    """The peer has nothing to say to a question: no handler, or an unknown question."""


@record
class Heartbeat:
    """A router's sign of life to its partners.

    Parameters
    ----------
    version : int
        Counts what the router said about itself within its incarnation.
    generation : int
        Generation of the configuration it has in force, 0 for none.
    view_digest : int
        Equal for equal views.
    store_epoch : int
        Epoch of the platform's store as the router knows it, 0 for none.
    store_epoch_known_s : float
        How long the router, or any that told it, has known this epoch.
    """

    incarnation: int
    version: int
    generation: int
    draining: bool
    view_digest: int
    store_epoch: int = 0
    store_epoch_known_s: float = 0.0


@record
class ViewEvent:
    """One router's state, passed from peer to peer; (incarnation, version, state) orders events."""

    name: str
    zone: str
    address: str
    incarnation: int
    version: int
    state: MemberState
    draining: bool = False


@record
class ViewAsk:
    """Asks a peer for all it knows of the members."""


@record
class ViewText:
    """Answers :class:`ViewAsk`."""

    events: tuple = ()


@record
class RegisterAsk:
    """A scheduler that starts or woke from a pause asks an entry to register for the cell of the item."""


@record
class Relayed:
    """An item for ``target``, passed through a third router because the direct way is cut.

    Parameters
    ----------
    item : bytes
        Encoded item, as it would have gone directly.
    """

    source: str
    target: str
    item: bytes


@record
class ConfigurationAsk:
    """Asks a peer for the configuration it has in force, if it is at least ``generation``."""

    generation: int = 0


@record
class ConfigurationText:
    """A whole declaration; generation 0 means none is in force.

    Parameters
    ----------
    packed : bytes
        Its text as UTF-8, compressed by zlib.
    """

    generation: int
    packed: bytes


@record
class ConfirmationAsk:
    """Asks a peer how lately the platform confirmed the configuration that it has in force."""


@record
class EnginesAsk:
    """Asks a peer how engines' entries changed after ``version``.

    Parameters
    ----------
    version : int
        The store's version that the asker knows; 0 for the whole list.
    wait_s : float
        How long the peer may wait for a change.
    """

    version: int
    wait_s: float


@record
class EngineEntry:
    """One engine's entry.

    Parameters
    ----------
    name : str
    value : str
        What the store holds, as JSON; empty for an entry that is gone.
    """

    name: str
    value: str


@record
class EnginesAnswer:
    """Answers :class:`EnginesAsk`.

    Parameters
    ----------
    version : int
        The store's version up to which ``entries`` tells everything.
    age_s : float
        Time since the store itself showed that this is so; negative if it never did.
    waited_s : float
        How long the question waited at the peer; what else its answer took is the way.
    is_whole : bool
        Whether ``entries`` is the whole list instead of what changed.
    entries : tuple of EngineEntry
    """

    version: int
    age_s: float
    waited_s: float
    is_whole: bool
    entries: tuple


@record
class Confirmation:
    """Answers :class:`ConfirmationAsk`.

    Parameters
    ----------
    generation : int
        0 for none.
    age_s : float
        Time since the platform showed that this generation is its newest; negative if it never did.
    """

    generation: int
    age_s: float


@record
class PeerUnreachable:
    """Outcome of a question that got no answer: the peer may or may not have acted on it."""

    peer: str
    detail: str
