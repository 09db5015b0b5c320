"""Which engines this router can't reach itself although another router can.

A failed connection says something of a path, not of the engine at its end. The path counts as lost once another
router has connected to the engine instead; if others can't reach it either, the engine is at fault.
"""

import math

from loguru import logger

from wagtailtrestle.record import record

FIRST_PROBE_DELAY_S = 1.0
MAX_PROBE_DELAY_S = 8.0
FLAP_WINDOW_S = 10.0
"""A path lost again within this time of its return is probed half as often as before."""
UNREACHABLE_TTL_S = 0.5
"""Time for which other routers are not asked again about an engine that they could not reach."""


@record
class NoTunnel:
    """No router that was asked opened a tunnel to an engine.

    ``is_unreachable`` tells whether some router reported that it can't connect to the engine either, rather than
    answering late or not at all.
    """

    is_unreachable: bool = False


class EnginePaths:
    """Paths of this router to engines.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds.
    """

    __slots__ = ("_clock", "_lost_by_engine", "_restored_by_engine", "_unreachable_until_by_engine")

    def __init__(self, *, clock):
        self._clock = clock
        self._lost_by_engine = {}
        self._restored_by_engine = {}
        self._unreachable_until_by_engine = {}

    @property
    def any_lost(self):
        """Whether the path to some engine is lost."""
        return bool(self._lost_by_engine)

    def is_lost(self, engine):
        """Whether only other routers reach the engine, as far as known."""
        return engine in self._lost_by_engine

    def is_unreachable(self, engine):
        """Whether other routers could not reach the engine a moment ago either."""
        return self._clock() < self._unreachable_until_by_engine.get(engine, -math.inf)

    def record_direct(self, engine):
        """Record that this router connected to the engine."""
        self._unreachable_until_by_engine.pop(engine, None)
        lost = self._lost_by_engine.pop(engine, None)
        if lost is None:
            return
        self._restored_by_engine[engine] = (self._clock(), lost.probe_delay_s)
        logger.bind(engine=engine, lost_s=round(self._clock() - lost.since, 3), tunnels=lost.tunnels).info(
            "the path to an engine is back; runs connect to it directly again"
        )

    def record_tunnel(self, engine, *, via, direct_failed):
        """Record that another router connected to the engine.

        Parameters
        ----------
        engine, via : str
        direct_failed : bool
            Whether this router has just failed to connect itself. Otherwise the path was lost when the tunnel was
            requested, and may have come back meanwhile.
        """
        self._unreachable_until_by_engine.pop(engine, None)
        lost = self._lost_by_engine.get(engine)
        if lost is None and not direct_failed:
            return
        if lost is None:
            lost = LostPath(since=self._clock(), probe_delay_s=self._first_probe_delay_s(engine))
            self._lost_by_engine[engine] = lost
            logger.bind(engine=engine, via=via, lost_paths=len(self._lost_by_engine)).warning(
                "lost the path to an engine that another router reaches; runs connect to it through other routers"
            )
        lost.tunnels += 1

    def record_unreachable(self, engine):
        """Record that neither this router nor the others that were asked could connect to the engine."""
        self._unreachable_until_by_engine[engine] = self._clock() + UNREACHABLE_TTL_S

    def claim_probe(self, engine):
        """Whether the lost path is to be probed now; ``True`` only once in each probe delay."""
        lost = self._lost_by_engine.get(engine)
        if lost is None or self._clock() < lost.probe_at:
            return False
        lost.probe_at = self._clock() + lost.probe_delay_s
        return True

    def retain_engines(self, engines):
        """Forget engines that are no longer declared."""
        for by_engine in (self._lost_by_engine, self._restored_by_engine, self._unreachable_until_by_engine):
            for engine in by_engine.keys() - engines:
                del by_engine[engine]

    def dump(self):
        """Plain data for the state dump: the lost paths."""
        return {
            engine: {"lost_s": round(self._clock() - lost.since, 3), "tunnels": lost.tunnels}
            for engine, lost in self._lost_by_engine.items()
        }

    def _first_probe_delay_s(self, engine):
        restored_at, probe_delay_s = self._restored_by_engine.pop(engine, (-math.inf, 0.0))
        if self._clock() - restored_at > FLAP_WINDOW_S:
            return FIRST_PROBE_DELAY_S
        return min(MAX_PROBE_DELAY_S, 2.0 * probe_delay_s)


class LostPath:
    """A path that this router lost.

    Parameters
    ----------
    since : float
    probe_delay_s : float
        Time between two probes.

    Attributes
    ----------
    probe_at : float
        Earliest time of the next probe.
    tunnels : int
        Connections made through other routers since.
    """

    __slots__ = ("since", "probe_delay_s", "probe_at", "tunnels")

    def __init__(self, *, since, probe_delay_s):
        self.since = since
        self.probe_delay_s = probe_delay_s
        self.probe_at = since + probe_delay_s
        self.tunnels = 0
