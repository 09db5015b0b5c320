"""The set of routers one router believes to be alive."""

from hashlib import blake2b


class View:
    """Immutable by convention; a change makes a new one.

    Parameters
    ----------
    members : iterable of str
        Routers that may be scheduler or shard owner.
    draining : iterable of str
        Routers that are alive but may not be: they leave, or came back too lately.
    incarnations_by_name : dict of str to int, optional
        Of all these routers.

    Attributes
    ----------
    digest : int
        Equal for views of equal content, on whichever router.
    """

    __slots__ = ("digest", "draining", "all_members", "incarnations_by_name", "members")

    def __init__(self, *, members, draining=(), incarnations_by_name=None):
        self.members = tuple(sorted(members))
        self.draining = tuple(sorted(draining))
        self.all_members = tuple(sorted(self.members + self.draining))
        self.incarnations_by_name = dict(incarnations_by_name or {})
        self.digest = digest_of(self.members, self.draining, sorted(self.incarnations_by_name.items()))


def digest_of(*parts):
    """64-bit digest of nested tuples and lists of text and numbers."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")
