"""Ports: what the decisions need from the outside, as ``Protocol`` types."""

from typing import Protocol

from wagtailtrestle.contracts.messages import EntryMessage, SchedulerMessage
from wagtailtrestle.contracts.outcomes import ClaimOutcome, StoreOutcome
from wagtailtrestle.contracts.report_messages import LoadReport


class ObjectStore(Protocol):
    """The platform's object API. Values are what JSON holds; outcomes are values."""

    async def get(self, *, kind: str, name: str, unless_version: int | None = None) -> StoreOutcome:
        """Read one object; ``value`` is ``None`` if it is still at ``unless_version``."""

    async def list(self, *, kind: str) -> StoreOutcome:
        """Read all objects of a kind: ``value`` maps name to ``(version, value)``."""

    async def create(self, *, kind: str, name: str, value) -> StoreOutcome:
        """Create an object that must not exist yet."""

    async def update(self, *, kind: str, name: str, value, if_version: int) -> StoreOutcome:
        """Replace an object that must be at ``if_version``."""

    async def delete(self, *, kind: str, name: str, if_version: int) -> StoreOutcome:
        """Delete an object that must be at ``if_version``."""

    async def watch(self, *, kind: str, from_version: int, timeout_s: float) -> StoreOutcome:
        """Wait for changes after ``from_version``.

        ``value`` is a tuple of ``(name, version, value)``, empty when none came in time.
        """

    async def vms(self, *, unless_version: int | None = None) -> StoreOutcome:
        """Read the lagging list of VMs: a tuple of ``VM``, ``None`` if it is still at ``unless_version``."""


class StatusStore(ObjectStore, Protocol):
    """An object API whose objects hold, beside what their writer says, what the system tells of them."""

    async def update_status(self, *, kind: str, name: str, value, if_version: int) -> StoreOutcome:
        """Replace what the system tells of an object that must be at ``if_version``."""


class DeclarationPlace(Protocol):
    """Where a store holds the declaration, and how its object is read.

    Attributes
    ----------
    kind, name : str
    reads_are_newest : bool
        Whether a plain read proves itself the newest.
    """

    kind: str
    name: str
    reads_are_newest: bool

    def accepted(self, *, version: int, value):
        """The ``Accepted`` declaration that an object's value holds, or ``None``."""


class SchedulerLink(Protocol):
    """Carries an entry's messages to whichever router is scheduler of a cell."""

    def send(self, *, cell: str, message: EntryMessage) -> bool:
        """Queue a message; ``False`` if no scheduler can be reached now."""


class EntryLink(Protocol):
    """Carries a scheduler's messages to the entry that owns a request."""

    def send(self, *, entry: str, message: SchedulerMessage) -> bool:
        """Queue a message; ``False`` if that entry can't be reached now."""


class Claims(Protocol):
    """The ledger of idempotency keys, as the entry sees it."""

    async def claim(self, *, team: str, key: str, body_digest: str, nonce: str, wait_s: float = 10.0) -> ClaimOutcome:
        """Claim a key for the request that made ``nonce``; answers within ``wait_s``.

        A re-send waits that long for the outcome of the first request with its key.
        """

    def release(self, *, team: str, key: str, nonce: str) -> None:
        """Give back a claim whose request was never dispatched."""

    def finish(self, *, team: str, key: str, nonce: str, status: int, content_type: str, body: bytes) -> None:
        """Record the answer of the request that holds the claim."""

    def finish_unknown(self, *, team: str, key: str, nonce: str) -> None:
        """Record that the request was dispatched and its outcome can't be told."""


class ReportDialect(Protocol):
    """Where engines tell their load, and how that reads.

    Attributes
    ----------
    load_path : str
    cache_path : str or None
        ``None`` where no cache events are asked for.
    """

    load_path: str
    cache_path: str | None

    def load(self, engine: str, values: dict, *, took_s: float) -> LoadReport:
        """Build a report from an engine's JSON.

        Raises
        ------
        KeyError, TypeError, ValueError
            If it has another shape.
        """
