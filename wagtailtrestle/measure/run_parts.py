"""Setting of a measured run, and links between entries and scheduler that pass messages to a callback."""


class RunSetting:
    """Values that stay constant during one measured run.

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


class CallbackSchedulerLink:
    """``SchedulerLink`` of one entry, which passes messages to a callback.

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
        """Send a message to the scheduler."""
        self._send(self._router, message)
        return True


class CallbackEntryLink:
    """``EntryLink`` of the scheduler, which passes messages to a callback.

    Parameters
    ----------
    send : callable
        ``send(entry, message)``; returns whether that entry can be reached.
    """

    __slots__ = ("_send",)

    def __init__(self, *, send):
        self._send = send

    def send(self, *, entry, message):
        """Send a message to an entry."""
        return self._send(entry, message)
