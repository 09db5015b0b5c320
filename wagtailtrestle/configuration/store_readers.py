"""Selects the routers that read the store for all others, and those of them that a router queries."""

import math

from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.peers.rendezvous import Rendezvous

PAUSE_S = 2.0
"""How long a failed reader is not queried again; by the end, the view has changed if the reader is gone."""
MAX_READERS_QUERIED = 2
"""Readers queried before the store: if the store refuses a third of the routers, one of two usually has an answer."""
ROUTERS_PER_READER = 48
"""At some 3.5 requests a second from each router, a reader gets about 170 a second: five hundredths of a core. Each
reader costs two or three calls to the store a second, independent of the size of the fleet."""
MIN_READERS = 2
"""The second reader answers while the first is being replaced, so that not all routers read the store."""
READERS_KEY = "engine-readers"
"""Key of the rendezvous ranking by which all routers choose the same readers."""


class StoreReaders:
    """The readers, which read the store for all routers, as one router sees them.

    They are the first of a ranking of the view, so that all routers choose the same ones without
    a message. A reader that failed is skipped for a pause and replaced by the next of the ranking:
    otherwise, if the store refused both of two readers, all other routers would read it themselves.

    Parameters
    ----------
    name : str
        Name of this router.
    members : callable
        ``members()`` returns the names of the routers that are live and not leaving, as a sorted tuple.
    clock : callable
        Returns seconds, including pauses of the VM.
    """

    __slots__ = ("_name", "_members", "_clock", "_ranking", "_own_ranking", "_paused_until_by_name")

    def __init__(self, *, name, members, clock=boot_time_s):
        self._name = name
        self._members = members
        self._clock = clock
        self._ranking = Rendezvous()
        self._own_ranking = Rendezvous()
        self._paused_until_by_name = {}

    @property
    def reads_store(self):
        """Whether this router is a reader."""
        return self._name in self.names()

    def names(self):
        """Return the readers in the order of the ranking."""
        now = self._clock()
        members = self._members()
        count = max(MIN_READERS, math.ceil(len(members) / ROUTERS_PER_READER))
        ranked = self._ranking.ranked(key=READERS_KEY, members=members)
        if not self._paused_until_by_name:
            return ranked[:count]
        ready = (name for name in ranked if self._paused_until_by_name.get(name, now) <= now)
        return tuple(name for _, name in zip(range(count), ready, strict=False))

    def readers_to_query(self):
        """Return the readers to query, in order; none if this router reads the store itself."""
        names = self.names()
        if self._name in names:
            return ()
        ranked = self._own_ranking.ranked(key=self._name, members=tuple(sorted(names)))
        return ranked[:MAX_READERS_QUERIED]

    def other_readers(self):
        """Return the readers other than this router."""
        return tuple(name for name in self.names() if name != self._name)

    def pause(self, name):
        """Skip a failed reader for ``PAUSE_S``."""
        now = self._clock()
        paused = {other: until for other, until in self._paused_until_by_name.items() if until > now}
        self._paused_until_by_name = {**paused, name: now + PAUSE_S}

    def pause_self(self):
        """Stop being a reader for ``PAUSE_S``, since the store doesn't answer this router.

        If the store refuses only some routers, a reader among them would keep querying it without
        success and miss engines that drain, while the other readers get the changes.
        """
        self.pause(self._name)

    def dump(self):
        """Return the state as a plain dict."""
        return {"readers": list(self.names()), "reads_store": self.reads_store}
