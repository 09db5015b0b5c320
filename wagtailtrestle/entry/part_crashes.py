"""Detection of prompt parts that crash the engines that begin an answer on them.

Prompts share parts, and prompts with a bad part need not be alike in anything else, so they can't be recognised as
requests. Each crash is an incident; the parts of the prompts that were on the engine without having begun are its
suspects. A stream that begins clears the parts of its prompt. What is left is the cause: the parts that were in the
most incidents. A cause of several parts, none of which is known to be the bad one, blocks only prompts that hold them
all.
"""

from collections import OrderedDict

from wagtailtrestle.entry.poison import CRASH_LIMIT, CrashTable

SOUND_PART_LIMIT = 6
"""Crashes at which a part is blocked although prompts with it began shortly before: rather, all engines are failing."""

SOUND_FOR_S = 60.0
"""Time for which a part counts as sound after a stream began on it."""

MIN_SPACING_S = 0.5
"""Crashes closer together count once. Engines that fail together for another reason would otherwise blame a part that
most prompts have."""

HOLD_S = 120.0
SOUND_PART_HOLD_S = 10.0
MAX_HOLD_S = 600.0
"""Time without a crash after which a blocked part is tried again, by prompts that run alone: for parts that were and
were not sound before, and at most. It doubles with each further crash."""

MAX_SOUND_PARTS = 8192


class PartTable(CrashTable):
    """Crashes of engines, and the parts of prompts that may have caused them.

    A part is a text, ``SERVICE/ID``, that takes the place of a request's fingerprint.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = ("_began_at_by_part",)

    def __init__(self, *, clock):
        super().__init__(clock=clock)
        self._began_at_by_part = OrderedDict()

    def record_began(self, parts):
        """Record that a stream began on a prompt with these parts, so that none of them crashes engines.

        Returns
        -------
        list of CrashClearance
            Messages for the other routers, for the parts that were suspects.
        """
        for part in parts:
            self._began_at_by_part[part] = self._clock()
            self._began_at_by_part.move_to_end(part)
        while len(self._began_at_by_part) > MAX_SOUND_PARTS:
            self._began_at_by_part.popitem(last=False)
        if not self._incidents:
            return []
        return [clearance for part in parts if (clearance := self.record_success(part)) is not None]

    def merge(self, report):
        """Apply a report whose suspects are parts; those on which a stream has begun since the crash are cleared."""
        super().merge(report)
        crashed_at = self._clock() - report.age_s
        for part in report.suspects:
            if self._began_at_by_part.get(part, crashed_at) > crashed_at:
                self.record_success(part)

    def blocked(self, parts):
        """Return the parts for which a prompt is refused, as a sorted tuple; empty if it may run."""
        causes, excess_crashes, age_s = self._causes_within(parts)
        return tuple(sorted(causes)) if causes and age_s < self._hold_s(causes, excess_crashes) else ()

    def on_probation(self, parts):
        """Whether a prompt must run alone, since its parts were blocked until some time without a crash had passed."""
        causes, excess_crashes, age_s = self._causes_within(parts)
        return bool(causes) and age_s >= self._hold_s(causes, excess_crashes)

    def _causes_within(self, parts):
        """Return the causes of crashes among the parts, the crashes beyond the limit, and the last one's age.

        The causes are empty if the limit is not reached.
        """
        if not self._incidents:
            return frozenset(), 0, 0.0
        self._drop_expired()
        held = frozenset(parts)
        incidents = [(at, cause) for at, cause in self._causes if cause and cause <= held]
        if not incidents:
            return frozenset(), 0, 0.0
        causes = frozenset().union(*(cause for _, cause in incidents))
        limit = SOUND_PART_LIMIT if self._were_sound(causes) else CRASH_LIMIT
        crashes = _count_spaced([at for at, _ in incidents])
        if crashes < limit:
            return frozenset(), 0, 0.0
        return causes, crashes - limit, self._clock() - max(at for at, _ in incidents)

    def _were_sound(self, parts):
        horizon = self._clock() - SOUND_FOR_S
        return all(self._began_at_by_part.get(part, horizon) > horizon for part in parts)

    def _hold_s(self, causes, excess_crashes):
        first_s = SOUND_PART_HOLD_S if self._were_sound(causes) else HOLD_S
        return min(MAX_HOLD_S, first_s * 2**excess_crashes)


def _count_spaced(times):
    """Count the times, those within ``MIN_SPACING_S`` of an earlier counted one left out."""
    count, counted_at = 0, -float("inf")
    for at in sorted(times):
        if at - counted_at >= MIN_SPACING_S:
            count += 1
            counted_at = at
    return count
