"""Placement of roles: which routers may be scheduler of a cell or owner of a team's quota, and which one is.

By hash of names alone most roles fall to the routers with the least processor capacity where
these are the majority, and each request then waits for a slow scheduler. While placement by
capacity is in force, only routers with much capacity are candidates.
"""

from wagtailtrestle.peers.rendezvous import Rendezvous

MIN_CAPACITY_SHARE = 0.5
"""Least capacity of an eligible member, as a share of the largest. Weights in proportion to capacity would still choose
small routers more often than not where dozens of them face a few large ones."""


def eligible_members(members, cores_by_name):
    """Return the members that may hold roles, given their capacities.

    Parameters
    ----------
    members : tuple of str
        Members of the view that are neither draining nor held down.
    cores_by_name : dict of str to float
        Announced capacities; a missing one counts as 0.

    Returns
    -------
    tuple of str
        In the order of ``members``: those with at least half of the largest capacity among them. All members if no
        capacity is known.
    """
    least_cores = MIN_CAPACITY_SHARE * max((cores_by_name.get(name, 0.0) for name in members), default=0.0)
    return tuple(name for name in members if cores_by_name.get(name, 0.0) >= least_cores)


class Placement:
    """Chooses the routers responsible for keys, by rendezvous hashing among the eligible members of the view.

    Parameters
    ----------
    membership : Membership
    features : callable
        Returns the ``Features`` in force.
    """

    __slots__ = ("_eligible", "_features", "_membership", "_rendezvous", "_view")

    def __init__(self, *, membership, features):
        self._membership = membership
        self._features = features
        self._rendezvous = Rendezvous()
        self._view = None
        self._eligible = ()

    @property
    def by_capacity(self):
        """Whether placement by capacity is in force."""
        return self._features().placement_by_capacity

    def choose(self, key):
        """Name of the router responsible for a key in the current view, or ``None`` if there is none."""
        return self._rendezvous.choose(key=key, members=self.eligible())

    def eligible(self):
        """Members of the current view that may hold roles."""
        view = self._membership.view
        if not self.by_capacity:
            return view.members
        if view is not self._view:
            # Asked for with each message, while a view lasts for minutes.
            self._view = view
            self._eligible = eligible_members(view.members, view.cores_by_name)
        return self._eligible

    def cores_of(self, name):
        """Capacity of a router as announced; 0 if unknown."""
        return self._membership.view.cores_by_name.get(name, 0.0)

    def dump(self):
        """State for the state dump."""
        return {
            "by_capacity": self.by_capacity,
            "cores_by_name": dict(sorted(self._membership.view.cores_by_name.items())),
            "eligible": list(self.eligible()),
        }
