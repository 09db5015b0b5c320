"""Which registrations a scheduler awaits before it relies on its knowledge of the cell."""

import math

RECOVERY_TIMEOUT_S = 1.5
"""Maximum time a scheduler waits for every member to register."""

RECENT_REGISTRATION_S = 0.5
"""Members learn of a scheduler's death within this time of each other. The first to learn of it registers with the next
scheduler before that one knows that it is the scheduler."""

PAUSE_GAP_S = 1.0
"""Gap between two checks of the clock from which on the process counts as paused."""


class Registration:
    """The recovery of a scheduler that is new, or whose process was paused.

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
        """Whether grants are limited to the slots that engines' own reports show free."""
        now = self._clock()
        return now < self._orphans_until or (bool(self.awaited) and now < self._until)

    def expect_orphans(self):
        """Assume that engines still execute the runs of a router that died.

        No entry registers these runs. A scheduler that grants as soon as all live routers have registered would
        overfill the engines; a run that waits in an engine's queue for two seconds is abandoned as silent.
        """
        self._orphans_until = self._clock() + RECOVERY_TIMEOUT_S

    def set_members(self, members):
        """Apply the current view of routers; the first one begins recovery."""
        first = not self._members
        self._members = frozenset(members)
        self.awaited &= self._members
        for entry in self._registered_at_by_entry.keys() - self._members:
            del self._registered_at_by_entry[entry]
        if first and self._members:
            self.begin()

    def begin(self):
        """Begin to wait for every member's registration, for a bounded time."""
        self.awaited = self._members
        self._until = self._clock() + RECOVERY_TIMEOUT_S

    def resume(self):
        """Begin to wait for every member without a recent registration, as another router was scheduler meanwhile.

        Earlier registrations don't include what that router granted.
        """
        self.begin()
        since = self._clock() - RECENT_REGISTRATION_S
        self.awaited -= {entry for entry, at in self._registered_at_by_entry.items() if at >= since}

    def record_registration(self, entry):
        """Record that this member registered."""
        self.awaited -= {entry}
        self._registered_at_by_entry[entry] = self._clock()

    def detect_pause(self):
        """Whether the process was paused since the last call, shown by a gap in its clock.

        After a pause the scheduler still holds its old state. Another one may have served the cell meanwhile, so
        granting by that state would overfill the engines.
        """
        now = self._clock()
        paused = now - self._checked_at > PAUSE_GAP_S
        self._checked_at = now
        return paused
