"""How lately the platform is known to have shown its newest declaration, and that this one is in force here."""

from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.store_epoch import StoreEpoch, epoch_of

MAX_CARRIED_AGE_S = 5.0
"""Age up to which a proof holds over a return of the store from a copy."""


class Proof:
    """What reads of the platform prove about the declaration in force.

    Parameters
    ----------
    is_settled : callable
        ``is_settled(generation)`` tells whether a generation that was read is in force, or can't be.
    epoch : StoreEpoch
        While it is not settled, a read of the store proves nothing.
    clock : callable
        Seconds since boot, pauses of the VM included.
    """

    __slots__ = (
        "_is_settled",
        "_epoch",
        "_clock",
        "_confirmed_at",
        "_pending",
        "_newest_generation",
        "_first_version",
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
        self._proved_epoch = 0
        epoch.on_restore(self._carry_over_restore)

    @property
    def confirmed_at(self):
        """Time at which the newest read began of which all is in force here, or ``None``.

        A declaration that was read and is still being checked takes keys away that the one in force holds. Were its
        read a proof already, this router would vouch for such a key, to itself and to all that ask it.
        """
        pending = self._pending
        if pending is not None and self._proves(*pending):
            self.confirm(pending[1])
            self._pending = None
        return self._confirmed_at

    @property
    def counts_own_reads(self):
        """Whether what the store holds is known to be whole, so that a read of it proves something."""
        return self._epoch.is_settled or self._is_epoch_proved()

    def confirm(self, at):
        """Note a proof of that time, one's own or a peer's."""
        self._confirmed_at = at if self._confirmed_at is None else max(self._confirmed_at, at)

    def record_answer(self, version):
        """Note the version that an answer of the store bears; what is later than an epoch's first was written in it."""
        if epoch_of(version) != epoch_of(self._first_version):
            self._first_version = version

    def record_declaration(self, version, generation):
        """Note a declaration that the store held."""
        if version > self._first_version and self._proved_epoch != epoch_of(version):
            # Written in this epoch, so that nothing that the copy lacks is newer. Reads before it are no proof of it.
            self._proved_epoch = epoch_of(version)
            self._pending = None
        self._newest_generation = max(self._newest_generation, generation)

    def record_read(self, began_at):
        """Note a whole read, which proves the moment at which it began once all of it is in force."""
        if self._proves(self._newest_generation, began_at):
            self.confirm(began_at)
        else:
            self._pending = (self._newest_generation, began_at)

    def _proves(self, generation, read_at):
        # A store that came back from a copy may have lost the newest configuration, which the operator writes again
        # some seconds later. A router that starts meanwhile can't tell: taken for the newest, what the copy holds
        # would prove a key that was taken away.
        is_whole = read_at >= self._epoch.settled_at or self._is_epoch_proved()
        return is_whole and self._is_settled(generation)

    def _is_epoch_proved(self):
        return self._proved_epoch == self._epoch.number

    def _carry_over_restore(self):
        """The store came back: who was proved up to date just before knows at least what the copy lacks."""
        confirmed_at = self.confirmed_at
        if confirmed_at is not None and self._clock() - confirmed_at <= MAX_CARRIED_AGE_S:
            self._proved_epoch = self._epoch.number
