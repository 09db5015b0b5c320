"""The epoch of the platform's store, which rises each time the store is restored from a backup.

A restored store has lost the writes it acknowledged since the backup, and assigns their revisions again. Revisions are
therefore ordered, and identify a content, only within one epoch. A version holds both: the epoch in its upper bits,
the revision below, so that a version of a later epoch is always greater and equal versions mean equal contents.
Code that keeps versions needs no rule of its own for restores.
"""

from loguru import logger

from wagtailtrestle.configuration.boot_clock import boot_time_s

REVISION_BITS = 40
"""Enough for a thousand changes a second over thirty years."""

RESTORE_SETTLE_S = 5.0
"""Time in which operators and engines write again what the backup lacks. Until then, an object that is missing from
the store may be lost instead of deleted, and an object in the store may be outdated."""


def make_version(epoch, revision):
    """Return the version of a revision in an epoch."""
    return epoch << REVISION_BITS | revision


def epoch_of(version):
    """Return the epoch that a version belongs to."""
    return version >> REVISION_BITS


def revision_of(version):
    """Return a version's revision within its epoch."""
    return version & ((1 << REVISION_BITS) - 1)


class StoreEpoch:
    """The epoch as one router knows it from the store's answers and from peers.

    Parameters
    ----------
    clock : callable
        Returns seconds, including pauses of the VM.

    Attributes
    ----------
    number : int
        0 while none is known; a store that sends no epoch is never restored from a backup.
    returns_total : int
        Number of restores that this process observed.
    """

    __slots__ = (
        "number",
        "returns_total",
        "_clock",
        "_started_at",
        "_known_since",
        "_begin_callbacks",
        "_restore_callbacks",
    )

    def __init__(self, *, clock=boot_time_s):
        self.number = 0
        self.returns_total = 0
        self._clock = clock
        self._started_at = clock()
        self._known_since = self._started_at
        self._begin_callbacks = []
        self._restore_callbacks = []

    @property
    def known_s(self):
        """Seconds for which the fleet has known this epoch, as reported to this router."""
        return self._clock() - self._known_since

    @property
    def settled_at(self):
        """Time on the clock from which the store's contents count as complete again."""
        return self._known_since + RESTORE_SETTLE_S if self.number else self._known_since

    @property
    def is_settled(self):
        """Whether the store's contents count as complete."""
        return self._clock() >= self.settled_at

    def on_begin(self, callback):
        """Register ``callback()`` for each epoch that is new here, including the first."""
        self._begin_callbacks.append(callback)

    def on_restore(self, callback):
        """Register ``callback()`` for each restore of the store that this process observes."""
        self._restore_callbacks.append(callback)

    def observe(self, number):
        """Process the epoch in an answer of the store.

        Returns
        -------
        bool
            Whether the answer is of the present epoch; a delayed one may be of a former epoch.
        """
        if number > self.number:
            self._begin(number, known_s=0.0)
        return number == self.number

    def observe_peer(self, number, known_s):
        """Process the epoch that a peer reports, and how long it has been known there.

        A process that starts can't know whether the epoch it sees has just begun; a peer that runs longer can.
        """
        if number > self.number:
            self._begin(number, known_s=known_s)
        elif number == self.number:
            self._known_since = min(self._known_since, self._clock() - known_s)

    def mark_settled(self):
        """Mark the epoch as settled: it was already old enough when this process started."""
        self._known_since = min(self._known_since, self._started_at - RESTORE_SETTLE_S)

    def dump(self):
        """Return the state as a plain dict."""
        return {
            "number": self.number,
            "known_s": round(self.known_s, 3),
            "is_settled": self.is_settled,
            "returns_total": self.returns_total,
        }

    def _begin(self, number, *, known_s):
        before, self.number = self.number, number
        self._known_since = self._clock() - known_s
        for callback in self._begin_callbacks:
            callback()
        if not before:
            return
        self.returns_total += 1
        logger.bind(epoch=number, before=before).warning(
            "the store was restored from a backup; reading it in full and rewriting the entries that it may lack"
        )
        for callback in self._restore_callbacks:
            callback()
