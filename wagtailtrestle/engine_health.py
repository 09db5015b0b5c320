"""One router's evidence on engines: silence, stragglers, and bounded ejection."""

SOFT_FAILURES = 3
"""Failures in a row before an engine is ejected."""

EJECT_S = 2.0
"""First time out of service; doubled at each failed probe."""

MAX_EJECT_S = 30.0

FAILED_RESULTS = frozenset({"RunNotSent", "RunSilent", "RunCut", "RunLost"})


class EngineHealth:
    """Which engines one router may use, and at what share.

    Parameters
    ----------
    engines : iterable of str
        Names of the engines judged together.
    max_ejected_share : float
        Largest share of them that this router may eject on its own evidence.
    """

    __slots__ = ("_state_by_name", "_max_ejected_share")

    def __init__(self, *, engines=(), max_ejected_share=0.34):
        self._state_by_name = {}
        self._max_ejected_share = max_ejected_share
        self.set_engines(engines)

    def set_engines(self, engines):
        """Judge these engines from now on; what is known of those kept stays."""
        self._state_by_name = {name: self._state_by_name.get(name) or EngineState() for name in engines}

    def on_outcome(self, engine, result, now):
        """Take in how a run ended; ``result`` is the outcome's class name."""
        state = self._state_by_name.get(engine)
        if state is None:
            return
        if result not in FAILED_RESULTS:
            state.failures = 0
            state.ejected_until = 0.0
            return
        state.failures += 1
        if state.failures >= SOFT_FAILURES and now >= state.ejected_until:
            state.ejected_until = now + min(MAX_EJECT_S, EJECT_S * 2 ** (state.failures - SOFT_FAILURES))

    def on_progress_rate(self, engine, observed_over_expected, now):
        """Take in how long a step (or a prefill) took against what was expected."""

    def available(self, engine, now):
        """Whether the engine may take work now."""
        state = self._state_by_name.get(engine)
        if state is None or now >= state.ejected_until:
            return True
        return engine not in self._ejected(now)

    def share(self, engine, now):
        """Share, from 0 to 1, of its concurrency that the engine may use."""
        return 1.0 if self.available(engine, now) else 0.0

    def _ejected(self, now):
        """Names held out now, longest first, never more than the allowed share."""
        held = [name for name, state in self._state_by_name.items() if now < state.ejected_until]
        held.sort(key=lambda name: -self._state_by_name[name].failures)
        return set(held[: int(self._max_ejected_share * len(self._state_by_name))])


class EngineState:
    """What is known of one engine's health."""

    __slots__ = ("failures", "ejected_until")

    def __init__(self):
        self.failures = 0
        self.ejected_until = 0.0
