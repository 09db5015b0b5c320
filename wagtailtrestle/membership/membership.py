"""Which routers are alive: the platform's list says who exists, heartbeats who is suspected.

Each router exchanges heartbeats with its partners (``partners``). A partner that goes
silent gets a new connection first; only when that fails too is it suspected, and the
suspicion told to all. A suspect that lives refutes with a higher version of itself; one
that doesn't within ``REFUTE_S`` is dead. See ``docs/design/membership.md``.
"""

import random

from loguru import logger

from wagtailtrestle.configuration.store_epoch import StoreEpoch
from wagtailtrestle.contracts.peer_messages import (
    Heartbeat,
    Hello,
    MemberState,
    ViewEvent,
)
from wagtailtrestle.membership.contacts import Contacts
from wagtailtrestle.membership.member_table import MemberTable
from wagtailtrestle.membership.partners import Ring
from wagtailtrestle.membership.suspicion import Suspicions
from wagtailtrestle.membership.view_sync import ViewSync

HEARTBEAT_S = 0.3
SILENT_HEARTBEATS = 2.2
# Where there are many routers bytes count more; a late heartbeat costs a new connection, not a suspicion.
RING_HEARTBEAT_S = 0.4
TICK_S = 0.1
REFRESH_DELAY_S = 0.005
REFRESH_DELAY_A_MEMBER_S = 0.0002
"""News is gathered for so much longer for each member: a view of 195 costs some two milliseconds to make and act on,
and where they all start together each hears of 194 others. 45 ms there are little beside a lost router's 0.25 s."""
RELAY_FINGERS = 2
"""With both neighbours a fan-out of three beside who told: four or five hops for some two hundred routers."""
LATE_TICK_S = 0.25
FROZEN_GAP_S = 0.8
TRUST_WITHIN_S = 0.25
"""Longest wait of a router that starts or woke for a peer's view: five times what a peer that lives needs
(some 50 ms). Where all routers start at once nobody has a view to tell, and each of them serves nothing
for so long."""
CONTACT_INTERVAL_S = 1.0


class Membership:
    """The live view of routers.

    Parameters
    ----------
    name, zone : str
        This router.
    incarnation : int
    peers : Peers
    loop : asyncio event loop
    seeds : dict of str to str
        Names and addresses from settings, for when the platform is out at start.
    heartbeat_s : float
        Time between heartbeats to one partner; at least ``RING_HEARTBEAT_S`` beyond a full mesh.
    jitter : random.Random, optional
    epoch : StoreEpoch, optional
        Of the platform's store; heartbeats carry it.

    Attributes
    ----------
    view : View
    trusted : bool
        Whether the view may be acted on: false for a moment at start and after a pause of
        this process, until a peer told what happened meanwhile.
    """

    def __init__(
        self,
        *,
        name,
        zone,
        incarnation,
        peers,
        loop,
        seeds=None,
        heartbeat_s=HEARTBEAT_S,
        jitter=None,
        epoch=None,
    ):
        self.name = name
        self._epoch = epoch or StoreEpoch()
        self.zone = zone
        self.generation = 0
        self.trusted = False
        self._peers = peers
        self._loop = loop
        self._mesh_heartbeat_s = self._heartbeat_s = heartbeat_s
        self._silent_after_s = SILENT_HEARTBEATS * heartbeat_s
        self._jitter = jitter or random.Random()
        self._table = MemberTable(name=name, zone=zone, incarnation=incarnation, now=loop.time())
        self._suspicions = Suspicions(
            table=self._table, loop=loop, gossip=self._gossip, on_change=self._refresh_soon, is_awake=self._is_awake
        )
        self._sync = ViewSync(
            table=self._table,
            peers=peers,
            loop=loop,
            is_trusted=lambda: self.trusted,
            on_events=self._take_pulled,
            on_lost=lambda member: self._suspicions.suspect(member, "called dead by a peer, and does not answer"),
        )
        self._contacts = Contacts(table=self._table, peers=peers, loop=loop, jitter=self._jitter, seeds=seeds or {})
        self._partners = set()
        self._fingers = set()
        self._ring_names = ()
        self._view_callbacks = []
        self._trusted_callbacks = []
        self._generation_callbacks = []
        self._timer = None
        self._refreshing = None
        self._tick_at = loop.time()
        self._heartbeat_at = loop.time()
        self._contact_at = loop.time()
        self._silence_from = loop.time()
        self._doubt_since = loop.time()
        self._recheck_at = None
        self._digest = self._table.digest()
        self.view = self._table.view(loop.time())
        self._listen()

    def _listen(self):
        self._peers.on(Hello, self._on_hello)
        self._peers.on(Heartbeat, self._on_heartbeat)
        self._peers.on(ViewEvent, self._on_view_event)
        self._peers.on_reconnect(self._on_connected)
        self._peers.on_unreachable(self._on_unreachable)

    # What the rest of the router uses.

    @property
    def draining(self):
        """Whether this router leaves."""
        return self._table.own.draining

    async def start(self):
        """Contact the seeds and begin to exchange heartbeats."""
        now = self._loop.time()
        self._table.own.address = self._peers.address
        self._tick_at = self._heartbeat_at = self._contact_at = now
        self._doubt(now)
        self._contacts.start()
        self._timer = self._loop.call_later(TICK_S, self._on_tick)

    async def close(self):
        """Tell the partners that this router ends, and stop."""
        own = self._table.own
        own.version += 1
        own.set_state(MemberState.LEFT, self._loop.time())
        self._gossip(own.event())
        self._suspicions.close()
        for timer in (self._timer, self._refreshing):
            if timer is not None:
                timer.cancel()
        await self._sync.close()

    def on_view_change(self, callback):
        """Have ``callback(view)`` called after each change of the view."""
        self._view_callbacks.append(callback)

    def on_trusted(self, callback):
        """Have ``callback()`` called when the view may be acted on again, after start or a pause."""
        self._trusted_callbacks.append(callback)

    def on_generation(self, callback):
        """Have ``callback(peer, generation)`` called when a peer tells a generation new for it."""
        self._generation_callbacks.append(callback)

    def set_generation(self, generation):
        """Tell peers which configuration generation this router has in force.

        It goes to the fingers at once too: from neighbour to neighbour alone it would take
        half a minute around a ring of hundreds.
        """
        self.generation = generation
        self.tell_at_once()

    def tell_at_once(self):
        """Send a heartbeat out of turn, for what it carries is news."""
        for peer in self.broadcast_targets():
            self._peers.send(peer, self._heartbeat())

    def set_draining(self):
        """Leave the set of routers that may be scheduler, and tell everybody."""
        own = self._table.own
        own.draining = True
        own.version += 1
        self._gossip(own.event())
        self._refresh()

    def observe_vms(self, vms):
        """Take the platform's list of VMs: who exists, where it listens, who leaves.

        The list lags, so it takes nobody out of the view who still sends heartbeats.
        """
        self._contacts.observe(vms)
        self._refresh()

    def fleet_size(self):
        """Routers that may be running: all that are not known to have left.

        Whoever can't be reached may be cut off and go on serving, so a cut makes no fleet smaller.
        """
        by_name = self._table.by_name
        left = {name for name, member in by_name.items() if member.state is MemberState.LEFT}
        return len((by_name.keys() | self._contacts.listed) - left)

    def broadcast_targets(self):
        """Routers to which news for everybody is passed on."""
        return self._partners | self._fingers

    def dump(self):
        """State for the dump; ages in seconds."""
        now = self._loop.time()
        return {
            "members": list(self.view.members),
            "draining": list(self.view.draining),
            "digest": f"{self._digest:016x}",
            "trusted": self.trusted,
            "partners": sorted(self._partners),
            "fingers": sorted(self._fingers),
            "contacts": self._contacts.dump(),
            "by_name": {name: member.dump(now) for name, member in sorted(self._table.by_name.items())},
        }

    # Signs of life.

    def _on_hello(self, peer, hello, cell):
        now = self._loop.time()
        member = self._table.get_or_add(peer, now)
        if hello.incarnation > member.incarnation:
            was_present = member.present
            member.restart(hello.incarnation, now)
            member.zone, member.address = hello.zone, hello.address
            self._contacts.learn(peer, hello.address)
            self._gossip(member.event(), but=peer)
            if was_present:
                # Its next message speaks for a new process. Read by the view of the former one, a registration
                # would count as that one's word on its runs.
                self._refresh()
            else:
                self._refresh_soon()
        elif hello.incarnation == member.incarnation:
            self._heard_directly(member)

    def _on_connected(self, peer):
        self._peers.send(peer, self._table.own.event())
        self._send_heartbeat(peer)
        if not self.trusted:
            self._sync.pull(peer)

    def _on_heartbeat(self, peer, heartbeat, cell):
        member = self._table.by_name.get(peer)
        if member is None or heartbeat.incarnation != member.incarnation:
            return
        if heartbeat.version > member.version:
            event = ViewEvent(
                name=peer,
                zone=member.zone,
                address=member.address,
                incarnation=heartbeat.incarnation,
                version=heartbeat.version,
                state=MemberState.ALIVE,
                draining=heartbeat.draining,
            )
            self._on_view_event(peer, event, "")
        else:
            self._heard_directly(member)
        self._note_generation(member, heartbeat.generation)
        self._epoch.observe_peer(heartbeat.store_epoch, heartbeat.store_epoch_known_s)
        self._sync.compare(peer, own=self._digest, other=heartbeat.view_digest)

    def _heard_directly(self, member):
        if not member.present:
            # It lives but can't know that it is held for dead: without being told it would stay out for ever.
            self._peers.send(member.name, member.event())
        elif member.state is MemberState.SUSPECT:
            self._suspicions.heard(member)

    def _note_generation(self, member, generation):
        if generation != member.generation:
            member.generation = generation
            for callback in self._generation_callbacks:
                callback(member.name, generation)

    def _on_unreachable(self, peer, detail):
        member = self._table.by_name.get(peer)
        if member is None or not self._is_awake() or not self.trusted:
            return
        self._suspicions.suspect(member, detail)

    # Statements about members.

    def _on_view_event(self, peer, event, cell):
        if event.name == self.name:
            self._about_self(event)
        elif self._table.apply(event, self._loop.time()):
            self._contacts.learn(event.name, event.address)
            self._suspicions.watch(self._table.by_name[event.name])
            self._gossip(event, but=peer)
            self._refresh_soon()

    def _about_self(self, event):
        own = self._table.own
        if event.incarnation > own.incarnation and not own.draining:
            # A later process of the same name runs. This one was paused or forgotten; were it to go on as
            # scheduler, two processes would answer to one name.
            logger.error("another process took the name {}; this one gives up its cells", self.name)
            own.draining = True
            self._refresh_soon()
        elif own.present and self._table.refute(event, self._loop.time()):
            self._gossip(own.event())
            self._refresh_soon()

    def _take_pulled(self, peer, events, news):
        """Go on from what a peer told of all members; ``news`` is what was not known here."""
        for event in events:
            if event.name == self.name:
                self._about_self(event)
        for event in news:
            self._contacts.learn(event.name, event.address)
            self._suspicions.watch(self._table.by_name[event.name])
            if self.trusted:
                self._gossip(event, but=peer)
        self._trust()
        self._refresh_soon()

    def _gossip(self, event, but=None):
        """Tell an event of this router's own, or pass on what ``but`` told first.

        What is passed on goes to both neighbours, so that it reaches all along the ring whoever drops it, and to a
        few fingers. Passed to all fingers by each router, one event of a start of 195 came nine times to each.
        """
        fingers = sorted(self._fingers - self._partners)
        if but is not None and len(fingers) > RELAY_FINGERS:
            fingers = self._jitter.sample(fingers, RELAY_FINGERS)
        for name in (*self._partners, *fingers):
            if name != but:
                self._peers.send(name, event)

    # Trust in the own view.

    def _is_awake(self):
        """Whether this process ran lately; if not, its view is taken as stale first.

        A process that was stopped wakes with timers that all seem due and with everybody
        silent. Without this it would declare all others dead and make itself scheduler of
        every cell, although it is the one that was away.
        """
        now = self._loop.time()
        if now - self._tick_at <= FROZEN_GAP_S:
            return True
        logger.warning("this process was paused for {:.1f} s; asking peers what happened", now - self._tick_at)
        self._tick_at = self._silence_from = now
        self._doubt(now)
        self._suspicions.restart()
        for peer in sorted(self._partners):
            if self._peers.connected(peer):
                self._sync.pull(peer)
        return False

    def _doubt(self, now):
        self._doubt_since = now
        self.trusted = False
        self._loop.call_later(TRUST_WITHIN_S, self._trust_alone, now)

    def _trust_alone(self, doubted_at):
        """Go on with what is known: nobody told more, so this router is alone or cut off."""
        if doubted_at == self._doubt_since:
            self._trust()

    def _trust(self):
        if self.trusted:
            return
        self.trusted = True
        self._refresh()
        for callback in self._trusted_callbacks:
            callback()

    # Time.

    def _on_tick(self):
        self._timer = self._loop.call_later(TICK_S, self._on_tick)
        if self._is_awake():
            self._tick(self._loop.time())

    def _tick(self, now):
        if now - self._tick_at > LATE_TICK_S:
            # A pause too short to doubt the view: what arrived meanwhile may not be read yet.
            self._silence_from = now
        self._tick_at = now
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._heartbeat_s * self._jitter.uniform(0.9, 1.0)
            for peer in self._partners:
                self._send_heartbeat(peer)
        if self.trusted:
            self._replace_silent()
        if now >= self._contact_at:
            self._contact_at = now + CONTACT_INTERVAL_S * self._jitter.uniform(0.5, 1.0)
            self._contacts.greet_absent(1)
            self._contacts.forget_old()
            self._sync.check_doubted()
        if self._recheck_at is not None and now >= self._recheck_at:
            self._refresh()

    def _send_heartbeat(self, peer):
        if self._peers.connected(peer):
            self._peers.send(peer, self._heartbeat())

    def _heartbeat(self):
        own = self._table.own
        return Heartbeat(
            incarnation=own.incarnation,
            version=own.version,
            generation=self.generation,
            draining=own.draining,
            view_digest=self._digest,
            store_epoch=self._epoch.number,
            store_epoch_known_s=self._epoch.known_s,
        )

    def _replace_silent(self):
        for peer in self._partners:
            silent_s = self._peers.silent_s(peer)
            if silent_s is None:
                continue
            silent_s = min(silent_s, self._loop.time() - self._silence_from)
            if silent_s > self._silent_after_s:
                # The connection may be dead while the router lives: a new one tells them apart.
                self._peers.replace(peer)

    # The view and the partners.

    def _refresh_soon(self):
        # When a zone fails, or a fleet starts, news comes by the dozen: one new view for all of a batch.
        if self._refreshing is None:
            delay_s = REFRESH_DELAY_S + REFRESH_DELAY_A_MEMBER_S * len(self._table.by_name)
            self._refreshing = self._loop.call_later(delay_s, self._refresh)

    def _refresh(self):
        if self._refreshing is not None:
            self._refreshing.cancel()
            self._refreshing = None
        now = self._loop.time()
        self._contacts.mark_leaving()
        self._recheck_at = self._table.next_hold_end(now)
        self._digest = self._table.digest()
        view = self._table.view(now)
        if view.everyone != self._ring_names:
            self._rewire(view)
        if view.digest == self.view.digest:
            return
        self.view = view
        for callback in self._view_callbacks:
            callback(view)

    def _rewire(self, view):
        self._ring_names = view.everyone
        ring = Ring(names=view.everyone)
        self._heartbeat_s = self._mesh_heartbeat_s if ring.is_small else max(self._mesh_heartbeat_s, RING_HEARTBEAT_S)
        if self.name in view.everyone:
            self._partners = ring.partners(self.name)
            self._fingers = ring.fingers(self.name)
        self._peers.keep(self._partners)
