"""Which software versions of each service have been listed recently, as far as this router knows."""

import math
from collections import defaultdict


class VersionHistory:
    """The versions that may have begun a stream which is still of interest to its caller.

    Parameters
    ----------
    clock : callable
        Returns the loop's time in seconds.
    retention_s : callable
        Returns the time for which a version counts after its last engine has gone.
    """

    __slots__ = ("_clock", "_retention_s", "_listed_by_service", "_gone_at_by_service", "_since")

    def __init__(self, *, clock, retention_s):
        self._clock = clock
        self._retention_s = retention_s
        self._listed_by_service = {}
        self._gone_at_by_service = defaultdict(dict)
        self._since = math.inf

    @property
    def covers_retention(self):
        """Whether the list of engines has been followed for long enough to know every version that counts."""
        return self._clock() - self._since >= self._retention_s()

    def update(self, engines):
        """Apply the list of engines as it is known now.

        Parameters
        ----------
        engines : iterable of DeclaredEngine
        """
        now = self._clock()
        self._since = min(self._since, now)
        listed = defaultdict(set)
        for engine in engines:
            listed[engine.service].add(engine.version)
        for service, versions in self._listed_by_service.items():
            for version in versions - listed[service]:
                self._gone_at_by_service[service][version] = now
        self._listed_by_service = {service: versions for service, versions in listed.items() if versions}
        self._drop_expired()

    def versions(self, service):
        """Return the versions listed now or within the retention, as a set."""
        self._drop_expired()
        return self._listed_by_service.get(service, set()) | self._gone_at_by_service.get(service, {}).keys()

    def _drop_expired(self):
        horizon = self._clock() - self._retention_s()
        for service in list(self._gone_at_by_service):
            gone_at = self._gone_at_by_service[service]
            kept = {version: at for version, at in gone_at.items() if at >= horizon}
            if kept:
                self._gone_at_by_service[service] = kept
            else:
                del self._gone_at_by_service[service]
