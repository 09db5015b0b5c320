"""Whom a scheduler still has to hear from before it trusts its account of the cell."""

import math

RECOVERY_TIMEOUT_S = 1.5
"""Longest time a scheduler waits for the registration of every member."""

RECENT_REGISTRATION_S = 0.5
"""Members hear of a scheduler's death within so long of each other; who hears first registers with the next one before
that one knows that it is."""

PAUSE_GAP_S = 1.0
"""A pause between two looks at the clock after which the process counts as frozen."""


class Registration:
    """The cautious time of a scheduler that is new, or that woke from a pause.

    Parameters
    ----------
    clock : callable
    """

    __slots__ = ("awaited", "_clock", "_until", "_checked_at", "_members", "_orphans_until", "_registered_at_by_entry")

    def __init__(self, *, clock):
        self.awaited = frozenset()
        self._clock = clock
        self._until = -math.inf
        self._checked_at = clock()
        self._members = frozenset()
        self._orphans_until = -math.inf
        self._registered_at_by_entry = {}

    @property
    def recovering(self):
        """Whether grants must stay within what engines' own reports show free."""
        now = self._clock()
        return now < self._orphans_until or (bool(self.awaited) and now < self._until)

    def expect_orphans(self):
        """Take it that engines still run what a router that died had sent them.

        Nobody registers these runs. A scheduler that grants as soon as all who live have registered puts its
        grants on top of them; what waits in an engine's queue for two seconds is given up as silent.
        """
        self._orphans_until = self._clock() + RECOVERY_TIMEOUT_S

    def set_members(self, members):
        """Take in the live view; the first one begins the cautious time."""
        first = not self._members
        self._members = frozenset(members)
        self.awaited &= self._members
        for entry in self._registered_at_by_entry.keys() - self._members:
            del self._registered_at_by_entry[entry]
        if first and self._members:
            self.begin()

    def begin(self):
        """Wait for every member's registration, for a bounded time."""
        self.awaited = self._members
        self._until = self._clock() + RECOVERY_TIMEOUT_S

    def resume(self):
        """Wait for every member that has not registered just now: another router was scheduler meanwhile.

        What was registered before says nothing of what that router granted.
        """
        self.begin()
        since = self._clock() - RECENT_REGISTRATION_S
        self.awaited -= {entry for entry, at in self._registered_at_by_entry.items() if at >= since}

    def record_registration(self, entry):
        """Note that this member registered."""
        self.awaited -= {entry}
        self._registered_at_by_entry[entry] = self._clock()

    def detect_pause(self):
        """Whether the process was paused since the last look, as the gap in its clock shows.

        A paused scheduler still believes what it held before. Others may have served the
        cell meanwhile, so granting by that account would overfill the engines.
        """
        now = self._clock()
        paused = now - self._checked_at > PAUSE_GAP_S
        self._checked_at = now
        return paused
