"""Heartbeat topology: which routers exchange heartbeats, and along which links view events spread.

Up to ``MESH_LIMIT`` routers form a full mesh. In larger fleets heartbeats to all routers would
exceed a router's budget for control traffic, so a router's partners are its neighbours on a
hash ring, which mixes the availability zones: two on either side up to ``SMALL_LIMIT`` routers,
where a zone is a third of the fleet, and one on either side beyond. If a router fails together
with all its partners, the routers that become its new neighbours detect the failure. Events also
travel along fingers that halve the ring, as in Chord, so that they reach every router in a few hops.
"""

from hashlib import blake2b

MESH_LIMIT = 5
SMALL_LIMIT = 9
SMALL_NEIGHBOURS = 2
NEIGHBOURS = 1
FIRST_FINGER = 2


class Ring:
    """Routers on a hash ring.

    Parameters
    ----------
    names : iterable of str
    """

    __slots__ = ("_order", "_index_by_name")

    def __init__(self, *, names):
        self._order = sorted(names, key=position_of)
        self._index_by_name = {name: index for index, name in enumerate(self._order)}

    @property
    def is_mesh(self):
        """Whether the fleet is small enough for a full mesh."""
        return len(self._order) <= MESH_LIMIT

    @property
    def is_small(self):
        """Whether the fleet is small enough for frequent heartbeats to all partners."""
        return len(self._order) <= SMALL_LIMIT

    def partners(self, name):
        """Set of the routers that ``name`` exchanges heartbeats with. The relation is symmetric."""
        if self.is_mesh:
            return set(self._order) - {name}
        steps = range(1, (SMALL_NEIGHBOURS if self.is_small else NEIGHBOURS) + 1)
        return {self._at(name, sign * step) for step in steps for sign in (1, -1)}

    def fingers(self, name):
        """Set of the routers 2, 4, 8, … positions further, up to half of the ring."""
        if self.is_mesh:
            return set()
        fingers = set()
        step = FIRST_FINGER
        while step <= len(self._order) // 2:
            fingers.add(self._at(name, step))
            step *= 2
        return fingers

    def _at(self, name, step):
        index = self._index_by_name[name] + step
        return self._order[index % len(self._order)]


def position_of(name):
    """Position of a router on the ring."""
    return blake2b(name.encode(), digest_size=8).digest()
