"""Small parts of a measured run: its setting and the fakes that need no state of their own."""

from dataclasses import dataclass


class RunSetting:
    """What stays the same over one measured run.

    Parameters
    ----------
    declaration : Declaration
    service : Service
    routers : tuple of str
    prefill_weight : float
    """

    __slots__ = ("declaration", "service", "routers", "prefill_weight", "cell", "declared_engines")

    def __init__(self, *, declaration, service, routers, prefill_weight):
        self.declaration = declaration
        self.service = service
        self.routers = routers
        self.prefill_weight = prefill_weight
        self.declared_engines = tuple(
            engine for engine in declaration.engines_by_name.values() if engine.service == service.name
        )
        self.cell = self.declared_engines[0].cell


@dataclass(slots=True, frozen=True, kw_only=True)
class LoadReport:
    """An engine's report on itself, as it arrives: ``age_s`` late."""

    engine: str
    age_s: float
    running: int
    waiting: int
    step_s: float
    leaving: bool = False


class SentBy:
    """One entry's ``StewardLink``.

    Parameters
    ----------
    router : str
    send : callable
        ``send(router, message)``.
    """

    __slots__ = ("_router", "_send")

    def __init__(self, *, router, send):
        self._router = router
        self._send = send

    def send(self, *, cell, message):
        """Carry a message to the steward."""
        self._send(self._router, message)
        return True


class SentTo:
    """The steward's ``EntryLink``.

    Parameters
    ----------
    send : callable
        ``send(entry, message)``; tells whether that entry can be reached.
    """

    __slots__ = ("_send",)

    def __init__(self, *, send):
        self._send = send

    def send(self, *, entry, message):
        """Carry a message to an entry."""
        return self._send(entry, message)


class NeverBlocked:
    """Crash book of a run in which no request crashes an engine."""

    __slots__ = ()

    def blocked(self, body_digest):
        """Whether the request may not run any more."""
        return False


class RetryAllowance:
    """Retries as a share of successes, with a small reserve."""

    __slots__ = ("_left",)

    SHARE = 0.1
    MOST = 20.0

    def __init__(self):
        self._left = self.MOST

    def on_success(self):
        """Earn a part of a retry."""
        self._left = min(self.MOST, self._left + self.SHARE)

    def allow(self):
        """Take one retry if there is one left."""
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
