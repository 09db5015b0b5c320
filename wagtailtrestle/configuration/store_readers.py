"""Which routers read the store for all others, and which of them a router asks."""

import math

from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.peers.rendezvous import Rendezvous

PAUSE_S = 2.0
"""How long a reader that failed is not asked again; the view has changed by then if it is gone."""
MAX_READERS_QUERIED = 2
"""Readers asked before the store is: where the store refuses a third of the routers, one of two mostly knows."""
ROUTERS_PER_READER = 48
"""At some 3.5 questions a second each, about 170 a second for one reader: five hundredths of a core. Each
reader costs two or three calls to the store a second, whatever the size of the fleet."""
MIN_READERS = 2
"""The second one answers while the first is being replaced, so that the store is not read by all."""
READERS_KEY = "engine-readers"
"""Key of the ranking by which all routers choose the same readers."""


class StoreReaders:
    """The routers that read the store for all, as one router sees them.

    They are the first of a ranking of the view, so that all routers choose the same without a
    message. One that failed this router is passed over for a while, and the next of the ranking
    takes its place: where the store refuses both of two readers, all others would turn to it.

    Parameters
    ----------
    name : str
        This router.
    members : callable
        ``members()`` gives the names of the routers that live and stay, as a sorted tuple.
    clock : callable
        Seconds, pauses of the VM included.
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
        """Whether this router is one of them."""
        return self._name in self.names()

    def names(self):
        """The readers, the first of the ranking first."""
        now = self._clock()
        members = self._members()
        count = max(MIN_READERS, math.ceil(len(members) / ROUTERS_PER_READER))
        ranked = self._ranking.ranked(key=READERS_KEY, members=members)
        if not self._paused_until_by_name:
            return ranked[:count]
        ready = (name for name in ranked if self._paused_until_by_name.get(name, now) <= now)
        return tuple(name for _, name in zip(range(count), ready, strict=False))

    def readers_to_query(self):
        """The readers to ask, in order; none if this router reads the store itself."""
        names = self.names()
        if self._name in names:
            return ()
        ranked = self._own_ranking.ranked(key=self._name, members=tuple(sorted(names)))
        return ranked[:MAX_READERS_QUERIED]

    def other_readers(self):
        """The readers but for this router."""
        return tuple(name for name in self.names() if name != self._name)

    def pause(self, name):
        """Pass over a reader that failed."""
        now = self._clock()
        paused = {other: until for other, until in self._paused_until_by_name.items() if until > now}
        self._paused_until_by_name = {**paused, name: now + PAUSE_S}

    def pause_self(self):
        """Let others read for a while, since the store doesn't answer this router.

        Where the store refuses some routers, a reader among them would go on asking it in vain
        and hear nothing of engines that leave, though the other readers do.
        """
        self.pause(self._name)

    def dump(self):
        """Return the state as a plain dict."""
        return {"readers": list(self.names()), "reads_store": self.reads_store}
