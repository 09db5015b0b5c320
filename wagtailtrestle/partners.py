"""Who exchanges heartbeats with whom, and who passes view events to whom.

Up to ``MESH_LIMIT`` routers everybody is everybody's partner. Beyond that, heartbeats to
all would cost more than a router may spend on control, so each router has a few partners:
two successors on a hash ring, in other availability zones where possible, and those whose
successor it is. Events also travel along "fingers" that halve the ring, so that they reach
everybody in a few hops.
"""

from hashlib import blake2b

MESH_LIMIT = 9
SUCCESSORS = 2
REACH = 8
FIRST_FINGER = 4


class Ring:
    """Routers on a hash ring.

    Parameters
    ----------
    zones_by_name : dict of str to str
    """

    __slots__ = ("_order", "_place_by_name", "_zones_by_name")

    def __init__(self, *, zones_by_name):
        self._zones_by_name = zones_by_name
        self._order = sorted(zones_by_name, key=_position)
        self._place_by_name = {name: place for place, name in enumerate(self._order)}

    def partners(self, name):
        """Set of the routers that ``name`` exchanges heartbeats with; the relation is symmetric."""
        if len(self._order) <= MESH_LIMIT:
            return set(self._order) - {name}
        followed_by = {other for other in self._near(name, -1) if name in self._successors(other)}
        return self._successors(name) | followed_by

    def fingers(self, name):
        """Set of the routers half, a quarter, … of the ring away."""
        size = len(self._order)
        place = self._place_by_name[name]
        steps = []
        step = FIRST_FINGER
        while size > MESH_LIMIT and step <= size // 2:
            steps.append(step)
            step *= 2
        return {self._order[(place + step) % size] for step in steps}

    def _successors(self, name):
        """The next routers on the ring, each in a zone not yet met if one is near."""
        following = self._near(name, 1)
        chosen = []
        zones = {self._zones_by_name[name]}
        for other in following:
            if len(chosen) < SUCCESSORS and self._zones_by_name[other] not in zones:
                chosen.append(other)
                zones.add(self._zones_by_name[other])
        for other in following:
            if len(chosen) < SUCCESSORS and other not in chosen:
                chosen.append(other)
        return set(chosen)

    def _near(self, name, direction):
        """The routers among which successors (1) or predecessors (-1) are found, nearest first."""
        size = len(self._order)
        place = self._place_by_name[name]
        return [self._order[(place + direction * step) % size] for step in range(1, min(size, REACH + 1))]


def _position(name):
    return blake2b(name.encode(), digest_size=8).digest()
