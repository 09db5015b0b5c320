"""Reads request bodies within the receive limits, for every ``CallerDialect``."""

from wagtailtrestle.callers.body import BodyLength, body_length, read_body
from wagtailtrestle.callers.connection_watcher import ConnectionWatcher
from wagtailtrestle.callers.limits import ReceiveLimit
from wagtailtrestle.callers.wsgi import CONNECTION_ENVIRON
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal

RETRY_AFTER_S = 1.0


class BodyReader:
    """Reads bodies; called from worker threads, holds no per-request state.

    Parameters
    ----------
    watch : ConnectionWatcher
    limit : ReceiveLimit
    """

    __slots__ = ("_watch", "_limit")

    def __init__(self, *, watch: ConnectionWatcher, limit: ReceiveLimit):
        self._watch = watch
        self._limit = limit

    def read(self, environ, *, highest) -> bytes | Refusal:
        """Read the complete body; ``highest`` states whether the request may be of the highest tier."""
        length = body_length(environ)
        if isinstance(length, Refusal):
            return length
        size = self._limit.max_bytes if length.chunked else length.size
        if not self._limit.try_reserve(size=size, highest=highest):
            return _receive_limit_refusal()
        try:
            return self._read_within(environ, length)
        finally:
            self._limit.release(size=size)

    def _read_within(self, environ, length: BodyLength):
        connection = environ[CONNECTION_ENVIRON]
        body = read_body(stream=environ["wsgi.input"], length=length)
        self._watch.received(connection=connection)
        return receive_timeout_refusal() if connection.too_slow else body


def receive_timeout_refusal() -> Refusal:
    """Return a 408 for a request that was not received in time."""
    return Refusal(
        status=408, reason=Reason.BAD_REQUEST, executed=Executed.NO, detail="The request took too long to arrive."
    )


def _receive_limit_refusal():
    return Refusal(
        status=503,
        reason=Reason.ROUTER_FULL,
        executed=Executed.NO,
        detail="This router is receiving as many bytes of large requests as it can.",
        retry_after_s=RETRY_AFTER_S,
    )
