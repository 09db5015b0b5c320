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
    """

    version: str
    streams: tuple = ()


@record
class StreamVersionAsk:
    """Query for the version that began a stream; answered by :class:`StreamVersion`.

    Parameters
    ----------
    stream : int
        Key of the stream.
    """

    stream: int
