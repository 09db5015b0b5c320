"""The epoch of the platform's store: how often it came back from a copy, so that its revisions began anew.

A store that comes back from a copy has lost what it acknowledged since, and gives its revisions out again. So a
revision is ordered, and names a content, only within one epoch. Versions hold both: the epoch in their upper bits,
the revision below, so that a version of a later epoch is always the greater one and equal versions are equal contents.
Whoever keeps versions needs no rule of its own for this.
"""

from loguru import logger

from wagtailtrestle.configuration.boot_clock import boot_time_s

REVISION_BITS = 40
"""Revisions of a thousand changes a second for thirty years."""

RESTORE_SETTLE_S = 5.0
"""Time in which operators and engines write again what the copy lacks. Until it has passed, what the store doesn't
hold may be lost instead of gone, and what it holds may have been replaced."""


def make_version(epoch, revision):
    """The version of a revision in an epoch."""
    return epoch << REVISION_BITS | revision


def epoch_of(version):
    """The epoch that a version belongs to."""
    return version >> REVISION_BITS


def revision_of(version):
    """A version's revision within its epoch."""
    return version & ((1 << REVISION_BITS) - 1)


class StoreEpoch:
    """The epoch as one router knows it, by the store's answers and by what peers tell.

    Parameters
    ----------
    clock : callable
        Seconds, pauses of the VM included.

    Attributes
    ----------
    number : int
        0 while none was told; a store that tells none never comes back from a copy.
    returns_total : int
        How often it rose while this process watched.
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
        """Seconds since the fleet, as far as this router was told, has known this epoch."""
        return self._clock() - self._known_since

    @property
    def settled_at(self):
        """Time on the clock from which what the store holds counts as whole again."""
        return self._known_since + RESTORE_SETTLE_S if self.number else self._known_since

    @property
    def is_settled(self):
        """Whether what the store holds is whole."""
        return self._clock() >= self.settled_at

    def on_begin(self, callback):
        """Have ``callback()`` called with each epoch that is new here, the first one included."""
        self._begin_callbacks.append(callback)

    def on_restore(self, callback):
        """Have ``callback()`` called when the store came back from a copy while this process watched."""
        self._restore_callbacks.append(callback)

    def observe(self, number):
        """Take in the epoch that an answer of the store bears.

        Returns
        -------
        bool
            Whether the answer is of the present epoch; one that was long on its way may be of a former one.
        """
        if number > self.number:
            self._begin(number, known_s=0.0)
        return number == self.number

    def observe_peer(self, number, known_s):
        """Take in the epoch that a peer goes by, and how long it has been known there.

        A process that starts sees an epoch for the first time and can't tell whether it has just begun; a peer can.
        """
        if number > self.number:
            self._begin(number, known_s=known_s)
        elif number == self.number:
            self._known_since = min(self._known_since, self._clock() - known_s)

    def mark_settled(self):
        """Note that this epoch had lasted for long enough when this process began to read."""
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
            "the store came back from a copy; what was written to it since is read and written again"
        )
        for callback in self._restore_callbacks:
            callback()
