"""Ports: the interfaces through which the scheduling logic uses the outside, as ``Protocol`` types."""

from typing import Protocol

from wagtailtrestle.contracts.messages import EntryMessage, SchedulerMessage
from wagtailtrestle.contracts.outcomes import ClaimOutcome, StoreOutcome
from wagtailtrestle.contracts.report_messages import LoadReport


class ObjectStore(Protocol):
    """The platform's object API; objects have JSON values, and outcomes are returned, not raised."""

    async def get(self, *, kind: str, name: str, unless_version: int | None = None) -> StoreOutcome:
        """Read one object; the outcome's ``value`` is ``None`` if it is still at ``unless_version``."""

    async def list(self, *, kind: str) -> StoreOutcome:
        """Read all objects of a kind; the outcome's ``value`` maps name to ``(version, value)``."""

    async def create(self, *, kind: str, name: str, value) -> StoreOutcome:
        """Create an object unless one of that name exists."""

    async def update(self, *, kind: str, name: str, value, if_version: int) -> StoreOutcome:
        """Replace an object if it is at ``if_version``."""

    async def delete(self, *, kind: str, name: str, if_version: int) -> StoreOutcome:
        """Delete an object if it is at ``if_version``."""

    async def watch(self, *, kind: str, from_version: int, timeout_s: float) -> StoreOutcome:
        """Wait for changes after ``from_version``.

        The outcome's ``value`` is a tuple of ``(name, version, value)``, empty if nothing changed within ``timeout_s``.
        """

    async def vms(self, *, unless_version: int | None = None) -> StoreOutcome:
        """Read the list of VMs, which may lag: a tuple of ``VM``, or ``None`` if it is still at ``unless_version``."""


class StatusStore(ObjectStore, Protocol):
    """An object API whose objects have a status, set by the system, beside the specification set by their writer."""

    async def update_status(self, *, kind: str, name: str, value, if_version: int) -> StoreOutcome:
        """Replace an object's status if the object is at ``if_version``."""


class DeclarationLocation(Protocol):
    """Where a store holds the declaration, and how to parse its object.

    Attributes
    ----------
    kind, name : str
    reads_are_linearizable : bool
        Whether a plain read is certain to return the newest version.
    """

    kind: str
    name: str
    reads_are_linearizable: bool

    def parse_accepted(self, *, version: int, value):
        """Return the ``Accepted`` declaration in an object's value, or ``None`` if it is not acceptable."""


class SchedulerLink(Protocol):
    """Sends an entry's messages to the router that is the scheduler of a cell."""

    def send(self, *, cell: str, message: EntryMessage) -> bool:
        """Queue a message; return ``False`` if no scheduler can be reached."""


class EntryLink(Protocol):
    """Sends a scheduler's messages to the entry that owns a request."""

    def send(self, *, entry: str, message: SchedulerMessage) -> bool:
        """Queue a message; return ``False`` if the entry can't be reached."""


class Claims(Protocol):
    """The ledger of idempotency keys, as used by an entry."""

    async def claim(self, *, team: str, key: str, body_digest: str, nonce: str, wait_s: float = 10.0) -> ClaimOutcome:
        """Claim a key for the request that created ``nonce``; return within ``wait_s``.

        A repeated request waits that long for the outcome of the first request with its key.
        """

    def release(self, *, team: str, key: str, nonce: str) -> None:
        """Release a claim whose request was never dispatched."""

    def finish(self, *, team: str, key: str, nonce: str, status: int, content_type: str, body: bytes) -> None:
        """Record the answer of the request that holds the claim."""

    def finish_unknown(self, *, team: str, key: str, nonce: str) -> None:
        """Record that the request was dispatched and its outcome can't be determined."""


class ReportDialect(Protocol):
    """Paths of the engines' load and cache reports, and how to parse a load report.

    Attributes
    ----------
    load_path : str
    cache_path : str or None
        ``None`` if no cache events are requested.
    """

    load_path: str
    cache_path: str | None

    def load(self, engine: str, values: dict, *, took_s: float) -> LoadReport:
        """Build a report from an engine's JSON.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the JSON does not have the expected structure.
        """
