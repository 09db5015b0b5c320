"""Sends to a peer directly, or relayed by a third router while only the direct path is broken.

The failure: one router can't reach another that all others reach (a lost route, a firewall's
state). The unreachable router stays in every view and therefore scheduler of its cells, and
this router's requests for them would wait until their deadlines. Choosing another scheduler
for this router alone would give the cell two schedulers while the failure lasts, so the
messages are relayed over one hop instead. Relayed delivery is not reliable, so its users
repeat their messages (``Directory`` registers again each second).
"""

from wagtailtrestle.contracts.peer_messages import Relayed
from wagtailtrestle.peers.codec import encode

RELAY_AFTER_S = 0.5
RELAY_ROTATION_S = 1.0


class PeerRoutes:
    """Direct and relayed paths to the peers.

    Parameters
    ----------
    name : str
        This router.
    peers : Peers
    members : callable
        ``() -> tuple of str``: routers in the view.
    loop : asyncio event loop
    """

    def __init__(self, *, name, peers, members, loop):
        self._name = name
        self._peers = peers
        self._members = members
        self._loop = loop
        self.relayed = 0
        peers.on(Relayed, self._on_relayed)

    def needs_relay(self, peer):
        """Whether the direct path to a live router has been broken for a while."""
        unreachable_s = self._peers.unreachable_s(peer)
        return unreachable_s is not None and unreachable_s > RELAY_AFTER_S and peer in self._members()

    def send(self, peer, message, *, cell=""):
        """Queue a message; ``False`` if there is no path to the peer now."""
        if not self.needs_relay(peer):
            return self._peers.send(peer, message, cell=cell)
        relay = self._choose_relay(peer)
        if relay is None:
            return False
        item = encode(message, cell=cell).SerializeToString()
        return self._peers.send(relay, Relayed(source=self._name, target=peer, item=item))

    def _choose_relay(self, target):
        """Choose a connected router, rotating each second, as any one may be unable to reach the target too."""
        others = (name for name in self._members() if name not in (self._name, target))
        connected = [name for name in others if self._peers.connected(name)]
        if not connected:
            return None
        return connected[int(self._loop.time() / RELAY_ROTATION_S) % len(connected)]

    def _on_relayed(self, peer, message, cell):
        if message.target == self._name:
            self._peers.deliver_relayed(message.source, message.item)
        elif peer == message.source and self._peers.connected(message.target):
            # One hop only: routers that can't reach the target must not forward the item in circles.
            self.relayed += 1
            self._peers.send(message.target, message)
