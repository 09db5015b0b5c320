"""The proof of when the declaration in force was last known to be the platform's newest."""

import math

from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.store_epoch import RESTORE_SETTLE_S, StoreEpoch, epoch_of

MAX_CARRIED_AGE_S = 5.0
"""Maximum age of a proof that stays valid over a restore of the store from a backup."""


class Proof:
    """Tracks what reads of the platform prove about the declaration in force.

    Parameters
    ----------
    is_settled : callable
        ``is_settled(generation)`` returns whether a generation that was read is in force, or can't be.
    epoch : StoreEpoch
        While it is not settled, a read of the store proves nothing.
    clock : callable
        Returns seconds since boot, including pauses of the VM.
    """

    __slots__ = (
        "_is_settled",
        "_epoch",
        "_clock",
        "_confirmed_at",
        "_pending",
        "_newest_generation",
        "_first_version",
        "_declared_version",
        "_rewrites_until",
        "_proved_epoch",
    )

    def __init__(self, *, is_settled, epoch: StoreEpoch, clock=boot_time_s):
        self._is_settled = is_settled
        self._epoch = epoch
        self._clock = clock
        self._confirmed_at = None
        self._pending = None
        self._newest_generation = 0
        self._first_version = 0
        self._declared_version = 0
        self._rewrites_until = -math.inf
        self._proved_epoch = 0
        epoch.on_restore(self._carry_over_restore)

    @property
    def confirmed_at(self):
        """Start of the newest read whose declaration is in force here, or ``None``.

        A declaration that was read and is still being checked may revoke keys that the one in force holds. If its read
        already counted as proof, this router would accept such a key and confirm it to its peers.
        """
        pending = self._pending
        if pending is not None and self._proves(*pending):
            self.confirm(pending[1])
            self._pending = None
        return self._confirmed_at

    @property
    def own_reads_are_proof(self):
        """Whether the store's contents are known to be complete, so that a read of them is a proof."""
        return self._clock() >= self._settled_at() or self._is_epoch_proved()

    def confirm(self, at):
        """Record a proof as of ``at``, from this router's own read or from a peer."""
        self._confirmed_at = at if self._confirmed_at is None else max(self._confirmed_at, at)

    def record_answer(self, version):
        """Record the version of an answer; a version above the first one of its epoch was written in that epoch."""
        if epoch_of(version) != epoch_of(self._first_version):
            self._first_version = version

    def record_declaration(self, version, generation):
        """Record a declaration that was read from the store."""
        if version > max(self._first_version, self._declared_version) and self._clock() < self._settled_at():
            # Written in this epoch. The backup may lack several declarations, which the operator writes again in their
            # order: a key that the last of them revokes is still in this one.
            self._rewrites_until = self._clock() + RESTORE_SETTLE_S
        self._declared_version = max(self._declared_version, version)
        self._newest_generation = max(self._newest_generation, generation)

    def record_read(self, began_at):
        """Record a completed read, which is a proof as of its start once its declaration is in force."""
        if self._proves(self._newest_generation, began_at):
            self.confirm(began_at)
        else:
            self._pending = (self._newest_generation, began_at)

    def _proves(self, generation, read_at):
        # A store restored from a backup may lack the newest configuration, which the operator writes again some
        # seconds later. A router that starts in between can't detect this: if the backup's configuration counted as
        # the newest, it would prove a key that was revoked.
        is_whole = read_at >= self._settled_at() or self._is_epoch_proved()
        return is_whole and self._is_settled(generation)

    def _settled_at(self):
        """Time from which no declaration counts as missing; later while the operator writes, within a limit."""
        settled_at = self._epoch.settled_at
        return max(settled_at, min(self._rewrites_until, settled_at + RESTORE_SETTLE_S))

    def _is_epoch_proved(self):
        return self._proved_epoch == self._epoch.number

    def _carry_over_restore(self):
        """Handle a restore: a router proved up to date shortly before it knows at least what the backup lacks."""
        confirmed_at = self.confirmed_at
        if confirmed_at is not None and self._clock() - confirmed_at <= MAX_CARRIED_AGE_S:
            self._proved_epoch = self._epoch.number
