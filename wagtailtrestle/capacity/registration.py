"""Whom a steward still has to hear from before it trusts its account of the cell."""

import math

CAUTION_S = 1.5
"""Longest time a steward waits for the registration of every member."""

FREEZE_GAP_S = 1.0
"""A pause between two looks at the clock after which the process counts as frozen."""


class Registration:
    """The cautious time of a steward that is new, or that woke from a pause.

    Parameters
    ----------
    clock : callable
    """

    __slots__ = ("awaited", "_clock", "_until", "_looked_at", "_members")

    def __init__(self, *, clock):
        self.awaited = frozenset()
        self._clock = clock
        self._until = -math.inf
        self._looked_at = clock()
        self._members = frozenset()

    @property
    def cautious(self):
        """Whether grants must stay within what engines' own reports show free."""
        return bool(self.awaited) and self._clock() < self._until

    def set_members(self, members):
        """Take in the live view; the first one begins the cautious time."""
        first = not self._members
        self._members = frozenset(members)
        self.awaited &= self._members
        if first and self._members:
            self.begin()

    def begin(self):
        """Wait for every member's registration, for a bounded time."""
        self.awaited = self._members
        self._until = self._clock() + CAUTION_S

    def registered(self, entry):
        """Note that this member registered."""
        self.awaited -= {entry}

    def woke(self):
        """Whether the process was paused since the last look, as the gap in its clock shows.

        A paused steward still believes what it held before. Others may have served the
        cell meanwhile, so granting by that account would overfill the engines.
        """
        now = self._clock()
        paused = now - self._looked_at > FREEZE_GAP_S
        self._looked_at = now
        return paused
