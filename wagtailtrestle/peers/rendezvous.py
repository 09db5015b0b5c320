"""Rendezvous (highest random weight) hashing: which router is responsible for a key.

Every router computes the same choice from the same members, without coordination. When a
member leaves, only its keys move, and they are spread evenly over the remaining members.
"""

from hashlib import blake2b

CACHED_KEYS = 4096


def _weight(key, member):
    digest = blake2b(f"{key}\0{member}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class Rendezvous:
    """Chooses members for keys, hashing each pair of key and member once.

    The ranking of all members for a key is cached until the members change.
    """

    __slots__ = ("_members", "_ranked_by_key", "_weights_by_key")

    def __init__(self):
        self._members = ()
        self._ranked_by_key = {}
        self._weights_by_key = {}

    def ranked(self, *, key, members):
        """Rank all members for a key, the responsible one first.

        Parameters
        ----------
        key : str
        members : tuple of str

        Returns
        -------
        tuple of str
            The second takes over if the first leaves, and so on.
        """
        if members != self._members:
            self._set_members(members)
        ranked = self._ranked_by_key.get(key)
        if ranked is None:
            ranked = self._ranked_by_key[key] = self._rank(key)
        return ranked

    def choose(self, *, key, members):
        """Responsible member, or ``None`` if there are no members."""
        ranked = self.ranked(key=key, members=members)
        return ranked[0] if ranked else None

    def _set_members(self, members):
        self._members = members
        self._ranked_by_key.clear()
        if len(self._weights_by_key) > CACHED_KEYS:
            self._weights_by_key.clear()

    def _rank(self, key):
        weights = self._weights_by_key.setdefault(key, {})
        for member in self._members:
            if member not in weights:
                weights[member] = _weight(key, member)
        if len(weights) > 2 * len(self._members):
            weights = self._weights_by_key[key] = {member: weights[member] for member in self._members}
        return tuple(sorted(self._members, key=lambda member: (weights[member], member), reverse=True))
