"""Detects engines that cut runs and then stop answering, which only a scheduler can see.

A router with a single run on an engine can't distinguish a crash from a broken connection, and on a quiet service it
sends the engine no further request that would show which it was.
"""

DOWN_WINDOW_S = 5.0
"""An engine that stops answering within this time of cutting a run is taken to have crashed then."""

CUT_RESULTS = frozenset({"RunCut", "RunLost"})


class CrashSigns:
    """Records the entries whose runs each engine cut recently.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    """

    __slots__ = ("_clock", "_cut_at_by_entry_by_engine")

    def __init__(self, *, clock):
        self._clock = clock
        self._cut_at_by_entry_by_engine = {}

    def record_end(self, *, engine, entry, result):
        """Record how a run ended."""
        if result in CUT_RESULTS:
            self._cut_at_by_entry_by_engine.setdefault(engine, {})[entry] = self._clock()

    def pop_entries_cut_by(self, engine):
        """Return, once each, the entries to notify that this engine does not answer."""
        since = self._clock() - DOWN_WINDOW_S
        cut_at_by_entry = self._cut_at_by_entry_by_engine.pop(engine, {})
        return sorted(entry for entry, at in cut_at_by_entry.items() if at > since)

    def retain_engines(self, engines):
        """Forget engines that are no longer declared."""
        for engine in self._cut_at_by_entry_by_engine.keys() - set(engines):
            del self._cut_at_by_entry_by_engine[engine]
