"""Messages between routers about membership, configuration and the engine list."""

from enum import StrEnum

from wagtailtrestle.record import record


class MemberState(StrEnum):
    """State of a router; among states of the same version, the one listed later takes precedence."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@record
class Hello:
    """Introduces the sender: the first item on each connection, in both directions.

    Parameters
    ----------
    incarnation : int
        Increases with each start of the router of that name.
    address : str
        ``host:port`` on which the sender accepts connections.
    cores : float
        Processor capacity in usual cores; 0 if unknown.
    known_incarnation : int
        Highest incarnation that the sender knows of the receiver; 0 if it knows none.
    """

    name: str
    incarnation: int
    zone: str
    address: str
    cores: float = 0.0
    known_incarnation: int = 0


@record
class Ping:
    """Checks that the peer answers on this connection; answered by :class:`Pong`."""


@record
class Pong:
    """Answers :class:`Ping`."""


@record
class NoAnswer:
    """Answer to a query for which the peer has no handler or whose type it does not know."""


@record
class Heartbeat:
    """Sent periodically by a router to its partners, to show that it is alive.

    Parameters
    ----------
    version : int
        Version of the router's own state within its incarnation.
    generation : int
        Generation of the configuration in force at the router; 0 for none.
    view_digest : int
        Digest of the router's view, equal for equal views.
    store_epoch : int
        Latest epoch of the platform's store that the router knows of; 0 for none.
    store_epoch_known_s : float
        Time since this router, or any that reported it, learned of this epoch.
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
    """One router's state, forwarded from peer to peer; events are ordered by (incarnation, version, state)."""

    name: str
    zone: str
    address: str
    incarnation: int
    version: int
    state: MemberState
    draining: bool = False
    cores: float = 0.0


@record
class ViewAsk:
    """Requests all that a peer knows of the members."""


@record
class ViewText:
    """Answer to :class:`ViewAsk`: one event for each known member."""

    events: tuple = ()


@record
class RegisterAsk:
    """Sent by a scheduler that has started or was paused, to request that an entry register for the item's cell."""


@record
class Relayed:
    """An item for ``target``, sent through a third router because the direct connection is down.

    Parameters
    ----------
    item : bytes
        The item, encoded as for the direct connection.
    """

    source: str
    target: str
    item: bytes


@record
class ConfigurationAsk:
    """Requests the configuration in force at a peer, if its generation is at least ``generation``."""

    generation: int = 0


@record
class ConfigurationText:
    """Answer to :class:`ConfigurationAsk`: a complete declaration; generation 0 means that none is in force.

    Parameters
    ----------
    packed : bytes
        The declaration's text in UTF-8, compressed by zlib.
    """

    generation: int
    packed: bytes


@record
class ConfirmationAsk:
    """Requests the time since the platform last confirmed the configuration in force at a peer."""


@record
class EnginesAsk:
    """Requests the changes of engines' entries in the store after ``version``, from the peer that reads it.

    Parameters
    ----------
    version : int
        The store's version that the requester has; 0 for the complete list.
    wait_s : float
        Longest time that the peer may wait for a change before it answers.
    """

    version: int
    wait_s: float


@record
class EngineEntry:
    """One engine's entry in the platform's store.

    Parameters
    ----------
    name : str
    value : str
        The stored value as JSON; empty if the entry was removed.
    version : int
        The store's version of this state of the entry; 0 from a router that does not send it.
    """

    name: str
    value: str
    version: int = 0


@record
class EnginesAnswer:
    """Answer to :class:`EnginesAsk`.

    Parameters
    ----------
    version : int
        The store's version up to which ``entries`` is complete.
    age_s : float
        Time since the store itself confirmed this version; negative if it never did.
    waited_s : float
        Time that the query waited at the peer; the rest of its round trip was spent on the network.
    is_whole : bool
        Whether ``entries`` is the complete list rather than the changes.
    entries : tuple of EngineEntry
    digest : int
        Digest of the engines that the peer knows at ``version``; 0 if it knows others, or does not send it.
    """

    version: int
    age_s: float
    waited_s: float
    is_whole: bool
    entries: tuple
    digest: int = 0


@record
class Confirmation:
    """Answer to :class:`ConfirmationAsk`.

    Parameters
    ----------
    generation : int
        Generation in force at the peer; 0 for none.
    age_s : float
        Time since the platform confirmed that this generation is the newest; negative if it never did.
    """

    generation: int
    age_s: float


@record
class PeerUnreachable:
    """Outcome of a query that got no answer; the peer may or may not have acted on it. Never sent."""

    peer: str
    detail: str
