"""What a router knew of engines before the store was restored from a backup.

The backup holds entries as they were some seconds earlier: engines that have left since are listed, draining ones are
ready again, and those that have started are missing, until each writes its entry again. Applied immediately, such
entries would send requests to engines that are gone. For an engine whose entry has not been written since the restore,
the newer information, known here, therefore takes precedence.
"""

DEPARTED_RETENTION_S = 60.0
"""How long an engine that left is remembered: several times the age of a backup."""

PRE_RESTORE_VALIDITY_S = 12.0
"""Time after a restore for which the information from before it counts. Entries of engines that left expire within
three of their heartbeats, some four seconds, and live engines have written theirs again by the end of it."""


class PreRestoreEngines:
    """Engines as they were known before the store's restore, and those that had left.

    Parameters
    ----------
    clock : callable
        Returns seconds.
    """

    __slots__ = ("_clock", "_known_by_name", "_departed_at_by_name", "_valid_until")

    def __init__(self, *, clock):
        self._clock = clock
        self._known_by_name = {}
        self._departed_at_by_name = {}
        self._valid_until = None

    @property
    def counts(self):
        """Whether a restore is recent enough that the store's list is corrected."""
        return self._valid_until is not None and self._clock() < self._valid_until

    @property
    def departed_names(self):
        """Names of the engines that left within ``DEPARTED_RETENTION_S``."""
        self._evict_expired()
        return self._departed_at_by_name.keys()

    def begin(self, by_name):
        """Handle a restore of the store; ``by_name`` are the engines as they were known before it."""
        self._known_by_name = {**self._known_by_name, **by_name} if self.counts else dict(by_name)
        self._valid_until = self._clock() + PRE_RESTORE_VALIDITY_S

    def record_departed(self, names):
        """Record engines that left."""
        now = self._clock()
        for name in names:
            self._known_by_name.pop(name, None)
            self._departed_at_by_name[name] = now

    def record_written(self, names):
        """Record engines that wrote their entries since the restore: the earlier information no longer counts."""
        for name in names:
            self._known_by_name.pop(name, None)
            self._departed_at_by_name.pop(name, None)

    def corrected(self, listed):
        """Return the store's list, corrected by newer information on each engine.

        Parameters
        ----------
        listed : dict of str to DeclaredEngine

        Returns
        -------
        dict of str to DeclaredEngine
        """
        if not self.counts:
            return listed
        gone = self.departed_names
        return {name: self._newer_of(engine) for name, engine in listed.items() if name not in gone}

    def _newer_of(self, engine):
        known = self._known_by_name.get(engine.name)
        if known is None:
            return engine
        # A draining engine never becomes ready again, and of two starts the later one counts. Other differences are
        # taken from the list: an engine that began to drain during the store's outage says so in its first new entry.
        is_outdated = known.start_ms > engine.start_ms or (known.leaving and not engine.leaving)
        return known if is_outdated else engine

    def _evict_expired(self):
        horizon = self._clock() - DEPARTED_RETENTION_S
        for name in [name for name, at in self._departed_at_by_name.items() if at < horizon]:
            del self._departed_at_by_name[name]
