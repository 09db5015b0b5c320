"""The view: the set of routers that one router believes to be alive."""

from hashlib import blake2b


class View:
    """Routers believed alive. Immutable by convention: a change creates a new view.

    Parameters
    ----------
    members : iterable of str
        Routers eligible as scheduler or shard owner.
    draining : iterable of str
        Routers that are alive but not eligible: they are draining or leaving, or in hold-down after a return.
    incarnations_by_name : dict of str to int, optional
        Incarnation of each router in the view.
    cores_by_name : dict of str to float, optional
        Processor capacity of the routers in the view that announced it.

    Attributes
    ----------
    all_members : tuple of str
        ``members`` and ``draining`` together.
    digest : int
        Equal for views of equal content, whichever router computed it.
    """

    __slots__ = ("cores_by_name", "digest", "draining", "all_members", "incarnations_by_name", "members")

    def __init__(self, *, members, draining=(), incarnations_by_name=None, cores_by_name=None):
        self.members = tuple(sorted(members))
        self.draining = tuple(sorted(draining))
        self.all_members = tuple(sorted(self.members + self.draining))
        self.incarnations_by_name = dict(incarnations_by_name or {})
        self.cores_by_name = dict(cores_by_name or {})
        parts = (self.members, self.draining, sorted(self.incarnations_by_name.items()))
        if self.cores_by_name:
            parts += (sorted(self.cores_by_name.items()),)
        self.digest = digest_of(*parts)


def digest_of(*parts):
    """64-bit digest of nested tuples and lists of text and numbers."""
    return int.from_bytes(blake2b(repr(parts).encode(), digest_size=8).digest(), "big")
