"""The set of routers one router believes to be alive."""

from hashlib import blake2b


class View:
    """Immutable by convention; a change makes a new one.

    Parameters
    ----------
    members : tuple of str
        Routers that may be steward or shard owner, sorted.
    draining : tuple of str
        Routers that are alive and only finish what they have, sorted.
    digest : int
        Equal for views of equal content, on whichever router.
    """

    __slots__ = ("digest", "draining", "members")

    def __init__(self, *, members, draining=(), digest=None):
        self.members = tuple(sorted(members))
        self.draining = tuple(sorted(draining))
        self.digest = view_digest(self.members, self.draining) if digest is None else digest

    @property
    def everyone(self):
        """All routers alive, draining or not, sorted."""
        return tuple(sorted(self.members + self.draining))


def view_digest(*parts):
    """64-bit digest of nested tuples of text and numbers."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")
