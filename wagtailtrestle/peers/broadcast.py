"""Broadcast by flooding: messages that few routers send and all must receive."""

from collections import OrderedDict

MAX_SEEN_KEYS = 4096


class Broadcast:
    """Forwards each message once to the targets given by the membership.

    Sending directly to all of 370 routers would open a connection to each. Along the ring and
    its fingers a message reaches all routers in a few hops over existing connections.

    Parameters
    ----------
    peers : Peers
    targets : callable
        ``() -> iterable of str``, as ``Membership.broadcast_targets``.
    """

    __slots__ = ("_peers", "_rules_by_type", "_seen", "_targets")

    def __init__(self, *, peers, targets):
        self._peers = peers
        self._targets = targets
        self._rules_by_type = {}
        self._seen = OrderedDict()

    def on(self, message_type, *, key, handler):
        """Register ``handler(message)``, called once for each message from other routers.

        Parameters
        ----------
        message_type : type
        key : callable
            ``(message)``: equal for copies of the same message.
        handler : callable
        """
        self._rules_by_type[message_type] = (key, handler)
        self._peers.on(message_type, self._on_message)

    def send(self, message):
        """Send a message to all routers."""
        if self._mark_seen(message):
            self._forward(message)

    def _on_message(self, peer, message, cell):
        if self._mark_seen(message):
            self._forward(message, exclude=peer)
            _, handler = self._rules_by_type[type(message)]
            handler(message)

    def _mark_seen(self, message):
        """Record a message as seen; ``False`` if it was seen before."""
        key, _ = self._rules_by_type[type(message)]
        name = (type(message), key(message))
        if name in self._seen:
            return False
        self._seen[name] = None
        if len(self._seen) > MAX_SEEN_KEYS:
            self._seen.popitem(last=False)
        return True

    def _forward(self, message, exclude=None):
        for name in self._targets():
            if name != exclude:
                self._peers.send(name, message)
