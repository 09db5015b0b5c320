"""Finds the steward of a cell and the entry of a request, and carries messages to them.

Implements ``ports.StewardLink`` and ``ports.EntryLink`` over membership and peers, with a
local short cut. On a change of steward, and after each reconnect, the entry's side of each
cell is registered anew, so nothing depends on a single message getting through.

A message for a cell whose steward is, in this router's own view, someone else
-------------------------------------------------------------------------------
Views may differ for a moment. Ways weighed: (1) bounce it: the sender, whose view still
names this router, would send it here again, and the request hangs until views agree;
(2) pass it on: two routers that each believe the other to be steward would pass it in
circles, so it needs a hop limit and then again a way out; (3) act as steward anyway. We
do (3): a grant is capacity, not identity, so two stewards may overfill an engine for the
second or so that views differ, but only the entry dispatches, once per request. When the
sender's view changes, it registers with the new steward and sends the old one an empty
registration, which frees what was held here.
"""

from wagtailtrestle.messages import (
    Granted,
    GrantRequest,
    Preempt,
    Refused,
    Register,
    RunFinished,
    RunProgress,
    RunStarted,
    Withdraw,
)
from wagtailtrestle.rendezvous import Rendezvous

ENTRY_MESSAGES = (GrantRequest, Withdraw, RunStarted, RunProgress, RunFinished, Register)
STEWARD_MESSAGES = (Granted, Refused, Preempt)


class Directory:
    """Routes messages between entries and stewards.

    Parameters
    ----------
    name : str
        This router.
    membership : Membership
    peers : Peers
    loop : asyncio event loop
    deliver_to_steward : callable
        ``(cell, EntryMessage)``: to the steward part of this router.
    deliver_to_entry : callable
        ``(StewardMessage)``: to the entry part of this router.
    register : callable
        ``(cell) -> Register``: all that this router's entry holds for a cell.
    cells : callable
        ``() -> iterable of str``: the cells of the configuration in force.
    set_members : callable, optional
        ``(tuple of str)``: names of all entries alive, told to the local stewards.
    """

    def __init__(
        self,
        *,
        name,
        membership,
        peers,
        loop,
        deliver_to_steward,
        deliver_to_entry,
        register,
        cells,
        set_members=None,
    ):
        self.name = name
        self._membership = membership
        self._peers = peers
        self._loop = loop
        self._deliver_to_steward = deliver_to_steward
        self._deliver_to_entry = deliver_to_entry
        self._register = register
        self._cells = cells
        self._set_members = set_members
        self._rendezvous = Rendezvous()
        self._steward_by_cell = {}
        self.steward_link = _StewardSide(directory=self)
        self.entry_link = _EntrySide(directory=self)
        for message_type in ENTRY_MESSAGES:
            peers.on(message_type, self._from_entry)
        for message_type in STEWARD_MESSAGES:
            peers.on(message_type, self._from_steward)
        peers.on_reconnect(self._reconnected)
        membership.on_view_change(self._view_changed)

    def steward_of(self, cell):
        """Name of the router that is steward of a cell in the present view, or ``None``."""
        return self._rendezvous.choose(key=cell, members=self._membership.view.members)

    def refresh(self):
        """Register the cells whose steward changed; also call it when the configuration changed."""
        for cell in self._cells():
            self._check_steward(cell)

    def dump(self):
        """State for the dump: the steward of each cell."""
        return {cell: self.steward_of(cell) for cell in sorted(self._cells())}

    def send_to_steward(self, *, cell, message):
        """Carry an entry's message; ``False`` if there is no steward now."""
        steward = self._check_steward(cell)
        if steward is None:
            return False
        return self._send(steward, cell, message)

    def send_to_entry(self, *, entry, message):
        """Carry a steward's message; ``False`` if the entry can't be reached now."""
        if entry == self.name:
            self._loop.call_soon(self._deliver_to_entry, message)
            return True
        return self._peers.send(entry, message)

    def _send(self, steward, cell, message):
        if steward == self.name:
            self._loop.call_soon(self._deliver_to_steward, cell, message)
            return True
        return self._peers.send(steward, message, cell=cell)

    def _check_steward(self, cell):
        steward = self.steward_of(cell)
        before = self._steward_by_cell.get(cell)
        if steward != before:
            self._change_steward(cell, before, steward)
        return steward

    def _change_steward(self, cell, before, steward):
        self._steward_by_cell[cell] = steward
        if before is not None:
            # Without this a former steward that lives would hold this entry's places until told otherwise.
            self._send(before, cell, Register(entry=self.name, cell=cell))
        if steward is not None:
            self._send(steward, cell, self._register(cell))

    def _view_changed(self, view):
        if self._set_members is not None:
            self._set_members(view.everyone)
        self.refresh()

    def _reconnected(self, peer):
        # What was written to the old connection may be lost, in both directions.
        for cell, steward in self._steward_by_cell.items():
            if steward == peer:
                self._send(peer, cell, self._register(cell))

    def _from_entry(self, peer, message, cell):
        self._deliver_to_steward(cell, message)

    def _from_steward(self, peer, message, cell):
        self._deliver_to_entry(message)


class _StewardSide:
    """``ports.StewardLink``."""

    __slots__ = ("_directory",)

    def __init__(self, *, directory):
        self._directory = directory

    def send(self, *, cell, message):
        """Queue a message for the steward of a cell."""
        return self._directory.send_to_steward(cell=cell, message=message)


class _EntrySide:
    """``ports.EntryLink``."""

    __slots__ = ("_directory",)

    def __init__(self, *, directory):
        self._directory = directory

    def send(self, *, entry, message):
        """Queue a message for an entry."""
        return self._directory.send_to_entry(entry=entry, message=message)
