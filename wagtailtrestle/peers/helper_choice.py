"""Order in which other routers are asked for a tunnel to an engine."""

import math
import random

SUCCESS_TTL_S = 10.0
"""Time after a success for which a router is taken to reach engines."""
ENOUGH_HELPERS = 3
"""Number of routers known to help from which on no others are tried first. The tunnels of one router are spread over
these, those of several routers over all that can help."""
FIRST_AVOIDANCE_S = 1.0
MAX_AVOIDANCE_S = 8.0


class HelperChoice:
    """What this router knows of the others' ability to help.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    seed : int, optional
    """

    __slots__ = ("_clock", "_random", "_succeeded_at_by_name", "_avoided_by_name")

    def __init__(self, *, clock, seed=None):
        self._clock = clock
        self._random = random.Random(seed)
        self._succeeded_at_by_name = {}
        self._avoided_by_name = {}

    def order(self, names):
        """Return the routers in the order in which to ask them, at random among those of equal prospects."""
        now = self._clock()
        names = list(names)
        self._retain(names)
        self._random.shuffle(names)
        helping = {name for name, at in self._succeeded_at_by_name.items() if now - at < SUCCESS_TTL_S}
        prefer_helping = len(helping) >= ENOUGH_HELPERS

        def rank(name):
            avoided_until, _ = self._avoided_by_name.get(name, (-math.inf, 0.0))
            is_avoided = avoided_until > now
            return is_avoided, avoided_until if is_avoided else 0.0, prefer_helping and name not in helping

        return sorted(names, key=rank)

    def record_success(self, name):
        """Record that a router opened a tunnel."""
        self._succeeded_at_by_name[name] = self._clock()
        self._avoided_by_name.pop(name, None)

    def record_failure(self, name):
        """Record that a router opened none; it is asked last for a time that doubles with each failure in a row."""
        self._succeeded_at_by_name.pop(name, None)
        _, last_s = self._avoided_by_name.get(name, (-math.inf, 0.0))
        avoidance_s = min(MAX_AVOIDANCE_S, 2.0 * last_s) if last_s else FIRST_AVOIDANCE_S
        self._avoided_by_name[name] = (self._clock() + avoidance_s, avoidance_s)

    def _retain(self, names):
        for by_name in (self._succeeded_at_by_name, self._avoided_by_name):
            for name in by_name.keys() - set(names):
                del by_name[name]
