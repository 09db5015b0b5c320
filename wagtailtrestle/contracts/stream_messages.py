"""Messages between routers about the software versions that began streams."""

from wagtailtrestle.record import record


@record
class StreamVersion:
    """The version that began these streams.

    Sent by the router that delivers a stream to the routers that remember it, and as the answer to
    :class:`StreamVersionAsk`.

    Parameters
    ----------
    version : str
        Empty, in an answer, if it is not known.
    streams : tuple of int
        Keys of the streams.
    is_unread : bool
        Whether the router could not read the store, in the answer to a query that asks for it.
    known_versions : tuple of str
        In an answer, the versions of the service that the router has seen recently.
    """

    version: str
    streams: tuple = ()
    is_unread: bool = False
    known_versions: tuple = ()


@record
class StreamVersionAsk:
    """Query for the version that began a stream; answered by :class:`StreamVersion`.

    Parameters
    ----------
    stream : int
        Key of the stream.
    reads_store : bool
        Whether the router is to read the store if it does not remember the stream.
    service : str
        Service of the stream; empty from a router that does not send it.
    """

    stream: int
    reads_store: bool = False
    service: str = ""
