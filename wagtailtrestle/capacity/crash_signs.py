"""Engines that cut runs and then answer nobody, as only a scheduler sees it.

A router with one run on an engine can't tell a crash from a broken connection, and on a quiet service it sends the
engine nothing more that would tell.
"""

DOWN_WINDOW_S = 5.0
"""An engine that answers nobody this soon after it cut a run went down then."""

CUT_RESULTS = frozenset({"RunCut", "RunLost"})


class CrashSigns:
    """Entries whose runs each engine cut lately.

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
        """Take in how a run ended."""
        if result in CUT_RESULTS:
            self._cut_at_by_entry_by_engine.setdefault(engine, {})[entry] = self._clock()

    def entries_cut_by(self, engine):
        """Entries that are to be told that this engine answers nobody; each once."""
        since = self._clock() - DOWN_WINDOW_S
        cut_at_by_entry = self._cut_at_by_entry_by_engine.pop(engine, {})
        return sorted(entry for entry, at in cut_at_by_entry.items() if at > since)

    def retain_engines(self, engines):
        """Forget engines that are declared no more."""
        for engine in self._cut_at_by_entry_by_engine.keys() - set(engines):
            del self._cut_at_by_entry_by_engine[engine]
