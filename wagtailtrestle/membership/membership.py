"""Membership of the fleet: the platform's list says which routers exist, heartbeats which of them are alive.

Each router exchanges heartbeats with its partners (``partners``). If a partner goes silent,
a new connection to it is opened first; only if that fails too is it suspected, and the
suspicion sent to all routers. A suspect that is alive refutes with a higher version of itself;
one that doesn't within ``REFUTE_S`` is declared dead. See ``docs/design/membership.md``.
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
# In large fleets traffic matters more; a late heartbeat costs only a new connection, not a suspicion.
RING_HEARTBEAT_S = 0.4
TICK_S = 0.1
REFRESH_DELAY_S = 0.005
REFRESH_DELAY_PER_MEMBER_S = 0.0002
"""Events are batched for this much longer per member: a view of 195 members costs some two milliseconds to build and
apply, and when a whole fleet starts each router receives events about 194 others. The resulting 45 ms are little
compared to the 0.25 s (``REFUTE_S``) from the suspicion of a lost router until it is declared dead."""
RELAY_FINGERS = 2
"""With both neighbours this gives a fan-out of three, not counting the sender: four or five hops for some two hundred
routers."""
LATE_TICK_S = 0.25
PAUSED_AFTER_S = 0.8
TRUST_TIMEOUT_S = 0.25
"""Longest wait for a peer's view after a start or a pause: five times the roughly 50 ms that a live peer takes to
answer. If all routers start simultaneously none has a view to send, and none serves anything for this long."""
CONTACT_INTERVAL_S = 1.0
MAX_START_S = 30.0
"""Time from its start in which a process may take a higher incarnation."""


class Membership:
    """Maintains this router's view of the live routers.

    Parameters
    ----------
    name, zone : str
        This router.
    incarnation : int
    peers : Peers
    loop : asyncio event loop
    seeds : dict of str to str
        Addresses from the settings by router name, for a start during an outage of the platform.
    heartbeat_s : float
        Time between heartbeats to one partner; at least ``RING_HEARTBEAT_S`` unless ``Ring.is_small``.
    jitter : random.Random, optional
    epoch : StoreEpoch, optional
        Epoch of the platform's store, sent with each heartbeat.
    cores : float
        Processor capacity of this router, announced to the others; 0 if unknown.

    Attributes
    ----------
    view : View
    trusted : bool
        Whether the view may be acted on: false after a start or a pause of this process, until
        a peer has sent its view or ``TRUST_TIMEOUT_S`` has passed.
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
        cores=0.0,
    ):
        self.name = name
        self._epoch = epoch or StoreEpoch()
        self.zone = zone
        self.generation = 0
        self.trusted = False
        self._peers = peers
        self._loop = loop
        self._mesh_heartbeat_s = self._heartbeat_s = heartbeat_s
        self._max_silence_s = SILENT_HEARTBEATS * heartbeat_s
        self._jitter = jitter or random.Random()
        self._table = MemberTable(name=name, zone=zone, incarnation=incarnation, now=loop.time(), cores=cores)
        self._suspicions = Suspicions(
            table=self._table,
            loop=loop,
            gossip=self._gossip,
            on_change=self._refresh_soon,
            ran_continuously=self._ran_continuously,
        )
        self._sync = ViewSync(
            table=self._table,
            peers=peers,
            loop=loop,
            is_trusted=lambda: self.trusted,
            on_events=self._on_pulled,
            on_lost=lambda member: self._suspicions.suspect(member, "reported dead by a peer, and does not answer"),
        )
        self._contacts = Contacts(table=self._table, peers=peers, loop=loop, jitter=self._jitter, seeds=seeds or {})
        self._partners = set()
        self._fingers = set()
        self._ring_names = ()
        self._events_before_refresh = {}
        self._view_callbacks = []
        self._trusted_callbacks = []
        self._generation_callbacks = []
        self._timer = None
        self._refreshing = None
        self._started_at = loop.time()
        self._tick_at = loop.time()
        self._heartbeat_at = loop.time()
        self._contact_at = loop.time()
        self._silence_counted_from = loop.time()
        self._distrusted_since = loop.time()
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
        self._peers.on_superseded(self._on_superseded)

    # Public interface.

    @property
    def draining(self):
        """Whether this router is draining."""
        return self._table.own.draining

    async def start(self):
        """Contact the seeds and start to exchange heartbeats."""
        now = self._loop.time()
        self._table.own.address = self._peers.address
        self._tick_at = self._heartbeat_at = self._contact_at = now
        self._distrust_view(now)
        self._contacts.start()
        self._timer = self._loop.call_later(TICK_S, self._on_tick)

    async def close(self):
        """Notify the other routers that this one leaves, and stop."""
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
        """Register ``callback(view)``, called after each change of the view."""
        self._view_callbacks.append(callback)

    def on_trusted(self, callback):
        """Register ``callback()``, called when the view becomes trusted after a start or a pause."""
        self._trusted_callbacks.append(callback)

    def on_generation(self, callback):
        """Register ``callback(peer, generation)``, called when a peer reports another generation than before."""
        self._generation_callbacks.append(callback)

    def set_generation(self, generation):
        """Set the configuration generation that this router has in force, and send it to the peers.

        It is sent to the fingers immediately too: from neighbour to neighbour alone it would
        take half a minute to go around a ring of hundreds.
        """
        self.generation = generation
        self.send_heartbeats()

    def send_heartbeats(self):
        """Send a heartbeat to all broadcast targets immediately; for callers that have changed its content."""
        for peer in self.broadcast_targets():
            self._peers.send(peer, self._heartbeat())

    def set_draining(self):
        """Stop being eligible as scheduler, and notify all routers."""
        own = self._table.own
        own.draining = True
        own.version += 1
        self._gossip(own.event())
        self._refresh()

    def observe_vms(self, vms):
        """Apply the platform's list of VMs: which routers exist, their addresses and which of them leave.

        The list lags, so it never removes a router from the view that still sends heartbeats.
        """
        self._contacts.observe(vms)
        self._refresh()

    def share_member(self, *, peer, name):
        """Send a peer what is known here of a member that its view may lack."""
        member = self._table.by_name.get(name)
        if member is not None:
            self._peers.send(peer, member.event())

    def fleet_size(self):
        """Number of routers that may be running: all that are not known to have left.

        An unreachable router may be partitioned and still serving, so a partition doesn't reduce the number.
        """
        by_name = self._table.by_name
        left = {name for name, member in by_name.items() if member.state is MemberState.LEFT}
        return len((by_name.keys() | self._contacts.listed) - left)

    def broadcast_targets(self):
        """Routers to which broadcasts are forwarded."""
        return self._partners | self._fingers

    def dump(self):
        """State for the state dump; ages in seconds."""
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
            member.zone, member.address, member.cores = hello.zone, hello.address, hello.cores
            self._contacts.update_address(peer, hello.address)
            self._gossip(member.event(), exclude=peer)
            if was_present:
                # The next message comes from the new process. If the view still showed the former one, a
                # registration would be taken for the former process's report of its runs.
                self._refresh()
            else:
                self._refresh_soon()
        elif hello.incarnation == member.incarnation:
            if member.learn_cores(hello.cores):
                self._gossip(member.event(), exclude=peer)
                self._refresh_soon()
            self._on_sign_of_life(member)
        else:
            self._peers.send(peer, member.event())

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
                cores=member.cores,
            )
            self._on_view_event(peer, event, "")
        else:
            self._on_sign_of_life(member)
        self._update_generation(member, heartbeat.generation)
        self._epoch.observe_peer(heartbeat.store_epoch, heartbeat.store_epoch_known_s)
        self._sync.compare(peer, own=self._digest, other=heartbeat.view_digest)

    def _on_sign_of_life(self, member):
        if not member.present:
            # It is alive but doesn't know that it was declared dead; unless notified it would stay out forever.
            self._peers.send(member.name, member.event())
        elif member.state is MemberState.SUSPECT:
            self._suspicions.on_sign_of_life(member)

    def _update_generation(self, member, generation):
        if generation != member.generation:
            member.generation = generation
            for callback in self._generation_callbacks:
                callback(member.name, generation)

    def _on_unreachable(self, peer, detail):
        member = self._table.by_name.get(peer)
        if member is None or not self._ran_continuously() or not self.trusted:
            return
        self._suspicions.suspect(member, detail)

    # View events.

    def _on_view_event(self, peer, event, cell):
        if event.name == self.name:
            self._on_own_event(event)
        elif self._table.apply(event, self._loop.time()):
            self._contacts.update_address(event.name, event.address)
            self._suspicions.watch(self._table.by_name[event.name])
            self._gossip(event, exclude=peer)
            self._refresh_soon()

    def _on_own_event(self, event):
        own = self._table.own
        if event.incarnation > own.incarnation and self._on_superseded(event.incarnation):
            return
        if event.incarnation > own.incarnation and not own.draining:
            # A later process of the same name runs, so this one was paused or left running by mistake. If it
            # continued as scheduler, two processes would act under one name.
            logger.error("another process took the name {}; this one drains and releases its cells", self.name)
            own.draining = True
            self._refresh_soon()
        elif own.present and self._table.refute(event, self._loop.time()):
            self._gossip(own.event())
            self._refresh_soon()

    def _on_superseded(self, incarnation):
        """Take a higher incarnation if this process has just started; return whether it did.

        Incarnations are times of day. If the clock was set back since the former process started, a new one would be
        taken for an old one by all peers and reach none. A process that has run for longer was replaced by a later one
        while it was paused: if it outbid that, the two would go on outbidding each other.
        """
        own = self._table.own
        now = self._loop.time()
        if own.draining or incarnation <= own.incarnation or now - self._started_at > MAX_START_S:
            return False
        logger.bind(before=own.incarnation, known=incarnation).warning(
            "the clock was set back since the former process of this router started; using a higher incarnation"
        )
        own.incarnation = incarnation + 1
        self._peers.set_incarnation(own.incarnation)
        self._gossip(own.event())
        self._refresh_soon()
        return True

    def _on_pulled(self, peer, events, applied):
        """React to a merged view of a peer; ``applied`` are the events that were new to the table."""
        for event in events:
            if event.name == self.name:
                self._on_own_event(event)
        for event in applied:
            self._contacts.update_address(event.name, event.address)
            self._suspicions.watch(self._table.by_name[event.name])
            if self.trusted:
                self._gossip(event, exclude=peer)
        self._trust_view()
        self._refresh_soon()

    def _gossip(self, event, exclude=None):
        """Send an event of this router's own, or forward one received from ``exclude``.

        A forwarded event goes to both neighbours, so that it reaches all routers along the ring even if some drop it,
        and to a few fingers. When every router forwarded to all fingers, each event arrived nine times at each router
        in a start of 195.
        """
        self._events_before_refresh[event.name] = event
        fingers = sorted(self._fingers - self._partners)
        if exclude is not None and len(fingers) > RELAY_FINGERS:
            fingers = self._jitter.sample(fingers, RELAY_FINGERS)
        for name in (*self._partners, *fingers):
            if name != exclude:
                self._peers.send(name, event)

    # Trust in this router's view.

    def _ran_continuously(self):
        """Whether this process ran without a pause until now; after a pause its view is first marked as stale.

        A process that was stopped resumes with all timers due and all peers apparently silent.
        Without this check it would declare all others dead and make itself scheduler of every
        cell, although only it was stopped.
        """
        now = self._loop.time()
        if now - self._tick_at <= PAUSED_AFTER_S:
            return True
        logger.warning("this process was paused for {:.1f} s; requesting the peers' views", now - self._tick_at)
        self._tick_at = self._silence_counted_from = now
        self._distrust_view(now)
        self._suspicions.restart()
        for peer in sorted(self._partners):
            if self._peers.connected(peer):
                self._sync.pull(peer)
        return False

    def _distrust_view(self, now):
        self._distrusted_since = now
        self.trusted = False
        self._loop.call_later(TRUST_TIMEOUT_S, self._trust_without_peers, now)

    def _trust_without_peers(self, distrusted_at):
        """Trust the own view after the timeout: no peer sent one, so this router is alone or partitioned."""
        if distrusted_at == self._distrusted_since:
            self._trust_view()

    def _trust_view(self):
        if self.trusted:
            return
        self.trusted = True
        self._refresh()
        for callback in self._trusted_callbacks:
            callback()

    # Periodic work.

    def _on_tick(self):
        self._timer = self._loop.call_later(TICK_S, self._on_tick)
        if self._ran_continuously():
            self._tick(self._loop.time())

    def _tick(self, now):
        if now - self._tick_at > LATE_TICK_S:
            # The pause was too short to distrust the view, but messages that arrived meanwhile may still be unread.
            self._silence_counted_from = now
        self._tick_at = now
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + self._heartbeat_s * self._jitter.uniform(0.9, 1.0)
            for peer in self._partners:
                self._send_heartbeat(peer)
        if self.trusted:
            self._replace_silent_links()
        if now >= self._contact_at:
            self._contact_at = now + CONTACT_INTERVAL_S * self._jitter.uniform(0.5, 1.0)
            self._contacts.contact_absent(1)
            self._contacts.remove_expired()
            self._sync.check_disputed()
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

    def _replace_silent_links(self):
        for peer in self._partners:
            silent_s = self._peers.silent_s(peer)
            if silent_s is None:
                continue
            silent_s = min(silent_s, self._loop.time() - self._silence_counted_from)
            if silent_s > self._max_silence_s:
                # The connection may be dead while the router is alive: opening a new one shows which.
                self._peers.reopen(peer)

    # The view and the partners.

    def _refresh_soon(self):
        # When a zone fails or a fleet starts, events arrive by the dozen: one new view is built per batch.
        if self._refreshing is None:
            delay_s = REFRESH_DELAY_S + REFRESH_DELAY_PER_MEMBER_S * len(self._table.by_name)
            self._refreshing = self._loop.call_later(delay_s, self._refresh)

    def _refresh(self):
        if self._refreshing is not None:
            self._refreshing.cancel()
            self._refreshing = None
        now = self._loop.time()
        self._contacts.mark_leaving()
        self._recheck_at = self._table.next_hold_down_end(now)
        self._digest = self._table.digest()
        view = self._table.view(now)
        if view.all_members != self._ring_names:
            self._update_ring(view)
        self._events_before_refresh = {}
        if view.digest == self.view.digest:
            return
        self.view = view
        for callback in self._view_callbacks:
            callback(view)

    def _update_ring(self, view):
        self._ring_names = view.all_members
        ring = Ring(names=view.all_members)
        self._heartbeat_s = self._mesh_heartbeat_s if ring.is_small else max(self._mesh_heartbeat_s, RING_HEARTBEAT_S)
        before = self._partners
        if self.name in view.all_members:
            self._partners = ring.partners(self.name)
            self._fingers = ring.fingers(self.name)
        self._peers.keep_open(self._partners)
        # Routers that joined together were not partners yet when the events about the others were forwarded.
        for peer in self._partners - before:
            for event in self._events_before_refresh.values():
                if event.name not in (peer, self.name):
                    self._peers.send(peer, event)
