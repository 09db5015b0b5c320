"""Adapts a store whose revisions restart at each restore from a backup to the ``ObjectStore`` interface."""

from typing import Protocol

from wagtailtrestle.configuration.store_epoch import StoreEpoch, epoch_of, make_version, revision_of
from wagtailtrestle.contracts.outcomes import (
    StoreConflict,
    StoreDone,
    StoreHistoryGone,
    StoreOutcome,
    StoreUnavailable,
    StoreUnknown,
)
from wagtailtrestle.record import record

STALE_ANSWER = "answer from before the store was restored from a backup"


@record
class RevisionAnswer:
    """A store's answer, with the store's own revisions instead of versions.

    Parameters
    ----------
    outcome : StoreOutcome
    epoch : int or None
        ``None`` if the answer carries none, or there is no answer.
    """

    outcome: StoreOutcome
    epoch: int | None = None


class RevisionStore(Protocol):
    """A store that sends its epoch with each answer; the calls are those of ``ObjectStore``, with revisions."""

    def start(self):
        """Start to accept calls."""

    def close(self):
        """Cancel every call in flight."""

    async def get(self, *, kind: str, name: str) -> RevisionAnswer:
        """Read one object."""

    async def list(self, *, kind: str) -> RevisionAnswer:
        """Read all objects of a kind; all pages are of one epoch."""

    async def create(self, *, kind: str, name: str, value) -> RevisionAnswer:
        """Create an object that must not exist yet."""

    async def update(self, *, kind: str, name: str, value, if_revision: int) -> RevisionAnswer:
        """Replace an object that must be at ``if_revision``."""

    async def update_status(self, *, kind: str, name: str, value, if_revision: int) -> RevisionAnswer:
        """Replace the status of an object that must be at ``if_revision``."""

    async def delete(self, *, kind: str, name: str, if_revision: int) -> RevisionAnswer:
        """Delete an object that must be at ``if_revision``."""

    async def watch(self, *, kind: str, from_revision: int, timeout_s: float) -> RevisionAnswer:
        """Wait for changes after ``from_revision``."""

    async def vms(self) -> RevisionAnswer:
        """Read the list of VMs."""


class EpochStore:
    """``ObjectStore`` and ``StatusStore`` whose versions include the store's epoch.

    Parameters
    ----------
    store : RevisionStore
    epoch : StoreEpoch
        Updated by each answer that carries an epoch.
    """

    def __init__(self, *, store: RevisionStore, epoch: StoreEpoch):
        self._store = store
        self._epoch = epoch

    def start(self):
        """Start to accept calls."""
        self._store.start()

    def close(self):
        """Cancel every call in flight."""
        self._store.close()

    async def get(self, *, kind, name, unless_version=None):
        """Read one object; ``value`` is ``None`` if it is still at ``unless_version``."""
        outcome = self._read_outcome(await self._store.get(kind=kind, name=name))
        if isinstance(outcome, StoreDone) and outcome.version == unless_version:
            return StoreDone(version=unless_version)
        return outcome

    async def list(self, *, kind):
        """Read all objects of a kind: ``value`` maps name to ``(version, value)``."""
        outcome = self._read_outcome(await self._store.list(kind=kind))
        if not isinstance(outcome, StoreDone):
            return outcome
        by_name = {name: (self._version(revision), value) for name, (revision, value) in outcome.value.items()}
        return StoreDone(version=outcome.version, value=by_name)

    async def create(self, *, kind, name, value):
        """Create an object that must not exist yet."""
        return self._write_outcome(await self._store.create(kind=kind, name=name, value=value))

    async def update(self, *, kind, name, value, if_version):
        """Replace an object that must be at ``if_version``."""
        if self._is_other_epoch(if_version):
            return StoreConflict()
        revision = revision_of(if_version)
        return self._write_outcome(await self._store.update(kind=kind, name=name, value=value, if_revision=revision))

    async def update_status(self, *, kind, name, value, if_version):
        """Replace the status of an object that must be at ``if_version``."""
        if self._is_other_epoch(if_version):
            return StoreConflict()
        revision = revision_of(if_version)
        return self._write_outcome(
            await self._store.update_status(kind=kind, name=name, value=value, if_revision=revision)
        )

    async def delete(self, *, kind, name, if_version):
        """Delete an object that must be at ``if_version``."""
        if self._is_other_epoch(if_version):
            return StoreConflict()
        return self._write_outcome(await self._store.delete(kind=kind, name=name, if_revision=revision_of(if_version)))

    async def watch(self, *, kind, from_version, timeout_s):
        """Wait for changes after ``from_version``; a deleted object's value is ``None``."""
        if self._is_other_epoch(from_version):
            return StoreHistoryGone()
        from_revision = revision_of(from_version)
        answer = await self._store.watch(kind=kind, from_revision=from_revision, timeout_s=timeout_s)
        outcome = self._read_outcome(answer)
        # The revision may have been assigned again while the watch waited; the changes before it are unknown then.
        if self._is_other_epoch(from_version):
            return StoreHistoryGone()
        if not isinstance(outcome, StoreDone):
            return outcome
        events = tuple((name, self._version(revision), value) for name, revision, value in outcome.value)
        return StoreDone(version=outcome.version, value=events)

    async def vms(self, *, unless_version=None):
        """Read the lagging list of VMs: a tuple of ``VM``, ``None`` if it is still at ``unless_version``."""
        return self._read_outcome(await self._store.vms())

    def _read_outcome(self, answer):
        """Outcome of a call without effect; an answer of a former epoch is discarded."""
        if self._is_stale(answer):
            return StoreUnavailable(detail=STALE_ANSWER)
        return self._versioned(answer.outcome)

    def _write_outcome(self, answer):
        """Outcome of a write; one acknowledged in a former epoch may be lost."""
        if self._is_stale(answer):
            return StoreUnknown(detail=STALE_ANSWER)
        return self._versioned(answer.outcome)

    def _is_stale(self, answer):
        return answer.epoch is not None and not self._epoch.observe(answer.epoch)

    def _versioned(self, outcome):
        match outcome:
            case StoreDone(version=revision, value=value):
                return StoreDone(version=self._version(revision), value=value)
            case StoreConflict(version=int(revision), value=value):
                return StoreConflict(version=self._version(revision), value=value)
        return outcome

    def _version(self, revision):
        return make_version(self._epoch.number, revision)

    def _is_other_epoch(self, version):
        """Whether a version is of another epoch, so that its revision identifies another content in the store."""
        return version != 0 and epoch_of(version) != self._epoch.number
