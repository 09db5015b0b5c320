"""Locates the scheduler of a cell and the entry of a request, and delivers messages to them.

Implements ``ports.SchedulerLink`` and ``ports.EntryLink`` over membership and peers; messages
within this router are delivered directly. No single message has to arrive: all that an entry
holds for a cell is registered again when the cell's scheduler changes, after each reconnect,
after a pause of this process, and each second while messages are relayed.

A message for a cell that has another scheduler in this router's view
---------------------------------------------------------------------
Views may differ for a short time. Alternatives: (1) reject it: the sender, whose view still
names this router, would send it here again, and the request would hang until the views agree;
(2) forward it: two routers that each consider the other the scheduler would forward it in
circles; (3) act as scheduler anyway. We do (3): a grant is capacity, not identity, so two
schedulers may overfill an engine while views differ, but only the entry dispatches, once per
request. The sender is also sent what is known here of the scheduler in this router's view, so
that the difference ends within a round trip where the sender lacks that router. When the sender's
view changes, it registers with the new scheduler and sends the old one an empty registration,
which releases what was held here. Only a draining router does (2), since it grants nothing more:
it forwards the message to the scheduler in its own view, which is never itself.
"""

import math

from loguru import logger

from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.contracts.messages import (
    EngineDown,
    EngineNotice,
    Granted,
    GrantRequest,
    Preempt,
    Queued,
    Refused,
    Register,
    RunFinished,
    RunProgress,
    RunStarted,
    Withdraw,
)
from wagtailtrestle.contracts.peer_messages import RegisterAsk
from wagtailtrestle.peers.placement import Placement
from wagtailtrestle.peers.routes import PeerRoutes

ENTRY_MESSAGES = (GrantRequest, Withdraw, RunStarted, RunProgress, RunFinished, Register, EngineNotice)
SCHEDULER_MESSAGES = (Granted, Refused, Preempt, EngineDown, Queued)

# Up to this number of routers each entry also registers for cells for which it holds nothing, so that a new scheduler
# soon knows that all entries have registered. In larger fleets this would need a connection from every router to every
# scheduler; there a new scheduler waits until its bounded recovery time is over.
EMPTY_REGISTRATION_LIMIT = 32
RELAYED_REGISTER_INTERVAL_S = 1.0
REGISTRATION_REQUEST_INTERVAL_S = 0.3
VIEW_SHARE_INTERVAL_S = 0.2
"""Minimum time between two corrections of one peer's view."""


class Directory:
    """Routes messages between entries and schedulers.

    Parameters
    ----------
    name : str
        This router.
    membership : Membership
    peers : Peers
    loop : asyncio event loop
    deliver_to_scheduler : callable
        ``(cell, EntryMessage)``: to the scheduler part of this router.
    deliver_to_entry : callable
        ``(SchedulerMessage)``: to the entry part of this router.
    register : callable
        ``(cell) -> Register``: all that this router's entry holds for a cell.
    cells : callable
        ``() -> iterable of str``: the cells of the configuration in force.
    set_members : callable, optional
        ``(tuple of str)``: sets the names of all live entries at the local schedulers.
    begin_cell : callable, optional
        ``(cell)``: this router has become scheduler of the cell.
    features : callable, optional
        Returns the ``Features`` in force.
    """

    def __init__(
        self,
        *,
        name,
        membership,
        peers,
        loop,
        deliver_to_scheduler,
        deliver_to_entry,
        register,
        cells,
        set_members=None,
        begin_cell=None,
        features=all_off,
    ):
        self.name = name
        self._membership = membership
        self._peers = peers
        self._routes = PeerRoutes(name=name, peers=peers, members=lambda: membership.view.all_members, loop=loop)
        self._loop = loop
        self._deliver_to_scheduler = deliver_to_scheduler
        self._deliver_to_entry = deliver_to_entry
        self._register = register
        self._cells = cells
        self._set_members = set_members or (lambda members: None)
        self._begin_cell = begin_cell or (lambda cell: None)
        self._placement = Placement(membership=membership, features=features)
        self._scheduler_by_cell = {}
        self._cores_by_cell = {}
        self._incarnations_by_name = dict(membership.view.incarnations_by_name)
        self._relayed_cells = set()
        self._registration_requested_at = {}
        self._view_shared_at_by_peer = {}
        self.scheduler_link = _SchedulerLink(directory=self)
        self.entry_link = _EntryLink(directory=self)
        for message_type in ENTRY_MESSAGES:
            peers.on(message_type, self._on_entry_message)
        for message_type in SCHEDULER_MESSAGES:
            peers.on(message_type, self._on_scheduler_message)
        peers.on(RegisterAsk, self._on_register_ask)
        peers.on_reconnect(self._on_reconnect)
        peers.on_unreachable(self._on_unreachable)
        membership.on_view_change(self._on_view_change)
        membership.on_trusted(self._on_trusted)

    def scheduler_of(self, cell):
        """Name of the router that is scheduler of a cell in the current view, or ``None``."""
        return self._placement.choose(cell)

    def routers_sharing(self, cell):
        """Number of live routers that share a cell's slots while its scheduler does not answer.

        0 if this router must not dispatch without the scheduler: it is the scheduler itself, or its view and with it
        its lists of engines may be out of date after a start or a pause.
        """
        if not self._membership.trusted or self.scheduler_of(cell) == self.name:
            return 0
        return len(self._membership.view.all_members)

    def refresh(self):
        """Register the cells whose scheduler changed.

        Must also be called after a change of the configuration or of the features in force.
        """
        if not self._membership.trusted:
            return
        cells = set(self._cells())
        for cell in set(self._scheduler_by_cell) - cells:
            del self._scheduler_by_cell[cell]
            del self._cores_by_cell[cell]
        for cell in cells:
            self._check_scheduler(cell)

    def request_registrations(self, *, cell, entries):
        """Request registrations, at a bounded rate, from entries that a local scheduler waits for."""
        now = self._loop.time()
        for entry in entries:
            if now < self._registration_requested_at.get((cell, entry), 0.0):
                continue
            self._registration_requested_at[cell, entry] = now + REGISTRATION_REQUEST_INTERVAL_S
            if entry == self.name:
                self._loop.call_soon(self._deliver_to_scheduler, cell, self._registration(cell, self.name))
            else:
                self._routes.send(entry, RegisterAsk(), cell=cell)

    def dump(self):
        """State for the state dump: the scheduler of each cell."""
        return {cell: self.scheduler_of(cell) for cell in sorted(self._cells())}

    def dump_placement(self):
        """State for the state dump: the routers' capacities, and which routers may be scheduler."""
        return self._placement.dump()

    def send_to_scheduler(self, *, cell, message):
        """Send an entry's message; ``False`` if there is no scheduler now."""
        if not self._membership.trusted:
            # This process has just started or was paused, so its view may name a former scheduler. What is not
            # sent now is part of the registration that follows as soon as a peer has sent the current view.
            return True
        scheduler = self._check_scheduler(cell)
        if scheduler is None:
            return False
        return self._send(scheduler, cell, message)

    def send_to_entry(self, *, entry, message):
        """Send a scheduler's message; ``False`` if the entry can't be reached now."""
        if entry == self.name:
            self._loop.call_soon(self._deliver_to_entry, message)
            return True
        return self._routes.send(entry, message)

    # Registration.

    def _check_scheduler(self, cell):
        scheduler = self.scheduler_of(cell)
        before = self._scheduler_by_cell.get(cell)
        if scheduler != before:
            self._change_scheduler(cell, before, scheduler)
        return scheduler

    def _change_scheduler(self, cell, before, scheduler):
        self._scheduler_by_cell[cell] = scheduler
        self._log_change(cell, before, scheduler)
        if scheduler == self.name:
            # If this router was scheduler of the cell before, its old state still says that all entries have
            # registered. It would grant immediately on top of what was granted since, and fill engines twice.
            self._begin_cell(cell)
        if before in self._membership.view.all_members:
            # Otherwise a former scheduler that is alive would keep this entry's slots occupied.
            self._send(before, cell, Register(entry=self.name, cell=cell, elsewhere=True))
        if scheduler is not None:
            self._send_registration(scheduler, cell)

    def _log_change(self, cell, before, scheduler):
        # The former scheduler's capacity is kept here, as it may have left the view.
        cores_before = self._cores_by_cell.get(cell, 0.0)
        cores = self._cores_by_cell[cell] = self._placement.cores_of(scheduler)
        if self._placement.by_capacity:
            logger.bind(cores=cores, before=before, cores_before=cores_before).info(
                "scheduler of {} is {}", cell, scheduler
            )

    def _send_registration(self, scheduler, cell):
        registration = self._register(cell)
        holds_nothing = not registration.waiting and not registration.running and not registration.notices
        is_empty = holds_nothing and registration.retries.is_empty
        is_unconnected = scheduler != self.name and not self._peers.connected(scheduler)
        if is_empty and is_unconnected and len(self._membership.view.all_members) > EMPTY_REGISTRATION_LIMIT:
            return
        self._send(scheduler, cell, registration)

    def _registration(self, cell, requester):
        """Registration of this entry for ``requester``; empty if this router's view names another scheduler."""
        if self.scheduler_of(cell) == requester:
            return self._register(cell)
        return Register(entry=self.name, cell=cell, elsewhere=True)

    def _send(self, scheduler, cell, message):
        if scheduler == self.name:
            self._loop.call_soon(self._deliver_to_scheduler, cell, message)
            return True
        if self._routes.needs_relay(scheduler):
            self._register_while_relayed(cell)
        return self._routes.send(scheduler, message, cell=cell)

    def _register_while_relayed(self, cell):
        if cell not in self._relayed_cells:
            self._relayed_cells.add(cell)
            self._loop.call_later(RELAYED_REGISTER_INTERVAL_S, self._repeat_registration, cell)

    def _repeat_registration(self, cell):
        self._relayed_cells.discard(cell)
        scheduler = self._scheduler_by_cell.get(cell)
        if scheduler not in (None, self.name) and self._routes.needs_relay(scheduler):
            self._send(scheduler, cell, self._register(cell))

    # Changes.

    def _on_view_change(self, view):
        if not self._membership.trusted:
            return
        for peer in self._view_shared_at_by_peer.keys() - set(view.all_members):
            del self._view_shared_at_by_peer[peer]
        restarted = self._update_incarnations(view)
        if restarted:
            # A new process doesn't know what its predecessor of the same name held, so that is released first.
            self._set_members(tuple(name for name in view.all_members if name not in restarted))
        self._set_members(view.all_members)
        self.refresh()

    def _update_incarnations(self, view):
        before, self._incarnations_by_name = self._incarnations_by_name, view.incarnations_by_name
        return {name for name, number in view.incarnations_by_name.items() if before.get(name, number) != number}

    def _on_trusted(self):
        self._on_view_change(self._membership.view)
        for cell, scheduler in self._scheduler_by_cell.items():
            if scheduler is not None:
                self._send_registration(scheduler, cell)

    def _on_reconnect(self, peer):
        # What was written to the old connection may be lost, in both directions.
        if not self._membership.trusted:
            return
        for cell, scheduler in self._scheduler_by_cell.items():
            if scheduler == peer:
                self._send_registration(peer, cell)

    def _on_unreachable(self, peer, detail):
        # If the peer stays in the view nevertheless, only the path to it is broken: relay what it didn't receive.
        for cell, scheduler in self._scheduler_by_cell.items():
            if scheduler == peer:
                self._register_while_relayed(cell)

    # Receiving.

    def _on_entry_message(self, peer, message, cell):
        if self._membership.draining:
            scheduler = self.scheduler_of(cell)
            if scheduler not in (None, self.name):
                self._routes.send(scheduler, message, cell=cell)
                return
        self._deliver_to_scheduler(cell, message)
        if isinstance(message, GrantRequest) or (isinstance(message, Register) and not message.elsewhere):
            self._correct_view(peer, cell)

    def _correct_view(self, peer, cell):
        """Send a peer that takes this router for the scheduler of a cell the one in this router's view."""
        scheduler = self.scheduler_of(cell)
        if scheduler in (None, self.name, peer) or not self._membership.trusted:
            return
        now = self._loop.time()
        if now - self._view_shared_at_by_peer.get(peer, -math.inf) < VIEW_SHARE_INTERVAL_S:
            return
        self._view_shared_at_by_peer[peer] = now
        self._membership.share_member(peer=peer, name=scheduler)

    def _on_scheduler_message(self, peer, message, cell):
        self._deliver_to_entry(message)

    def _on_register_ask(self, peer, message, cell):
        if self._membership.trusted:
            self._routes.send(peer, self._registration(cell, peer), cell=cell)


class _SchedulerLink:
    """``ports.SchedulerLink``."""

    __slots__ = ("_directory",)

    def __init__(self, *, directory):
        self._directory = directory

    def send(self, *, cell, message):
        """Queue a message for the scheduler of a cell."""
        return self._directory.send_to_scheduler(cell=cell, message=message)


class _EntryLink:
    """``ports.EntryLink``."""

    __slots__ = ("_directory",)

    def __init__(self, *, directory):
        self._directory = directory

    def send(self, *, entry, message):
        """Queue a message for an entry."""
        return self._directory.send_to_entry(entry=entry, message=message)
