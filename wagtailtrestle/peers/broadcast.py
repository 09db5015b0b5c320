"""Brings a message to every router by passing it on, for what all must learn and few say."""

from collections import OrderedDict

MAX_SEEN_KEYS = 4096


class Broadcast:
    """Passes each message on once, along the targets that the membership names.

    Sending to all of 370 routers oneself would open a connection to each; along the ring
    and its fingers a message reaches all in a few hops, over connections that are there.

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
        """Have ``handler(message)`` called once for each message from elsewhere.

        Parameters
        ----------
        message_type : type
        key : callable
            ``(message)``: equal for messages that are the same.
        handler : callable
        """
        self._rules_by_type[message_type] = (key, handler)
        self._peers.on(message_type, self._on_message)

    def send(self, message):
        """Tell everybody."""
        if self._mark_seen(message):
            self._forward(message)

    def _on_message(self, peer, message, cell):
        if self._mark_seen(message):
            self._forward(message, exclude=peer)
            _, handler = self._rules_by_type[type(message)]
            handler(message)

    def _mark_seen(self, message):
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
