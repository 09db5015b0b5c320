"""Which routers are alive: the platform's list says who exists, heartbeats who is suspected.

Thin version: everybody listed is in the view.
"""

from wagtailtrestle.peer_messages import Hello
from wagtailtrestle.view import View

ROUTER_ROLE = "router"
LEAVING = "leaving"


class Membership:
    """The live view of routers.

    Parameters
    ----------
    name, zone : str
        This router.
    incarnation : int
    peers : Peers
    loop : asyncio event loop
    seeds : dict of str to str
        Names and addresses from settings, for when the platform is out at start.
    """

    def __init__(self, *, name, zone, incarnation, peers, loop, seeds=None):
        self.name = name
        self.zone = zone
        self.incarnation = incarnation
        self.generation = 0
        self.draining = False
        self._peers = peers
        self._loop = loop
        self._seeds = dict(seeds or {})
        self._known = {}
        self._view_callbacks = []
        self._generation_callbacks = []
        self.view = View(members=(name,))
        peers.on(Hello, self._on_hello)

    async def start(self):
        """Begin to talk to the seeds."""
        self._learn(self._seeds)

    async def close(self):
        """Stop."""

    def on_view_change(self, callback):
        """Have ``callback(view)`` called after each change of the view."""
        self._view_callbacks.append(callback)

    def on_generation(self, callback):
        """Have ``callback(peer, generation)`` called when a peer tells the generation it has in force."""
        self._generation_callbacks.append(callback)

    def set_generation(self, generation):
        """Tell peers which configuration generation this router has in force."""
        self.generation = generation

    def set_draining(self):
        """Leave the set of routers that may be steward; tell peers."""
        self.draining = True
        self._refresh()

    def observe_vms(self, vms):
        """Take the platform's list: who exists, and where it listens."""
        self._learn({vm.id: vm.address for vm in vms if vm.role == ROUTER_ROLE and vm.id != self.name})

    def dump(self):
        """State for the dump."""
        return {"members": list(self.view.members), "draining": list(self.view.draining)}

    def _on_hello(self, peer, hello, cell):
        self._learn({peer: hello.address})

    def _learn(self, addresses):
        self._known.update(addresses)
        self._peers.set_addresses(addresses)
        self._peers.keep(set(self._known))
        self._refresh()

    def _refresh(self):
        own = () if self.draining else (self.name,)
        view = View(members=(*self._known, *own), draining=(self.name,) if self.draining else ())
        if view.digest != self.view.digest:
            self.view = view
            for callback in self._view_callbacks:
                callback(view)
