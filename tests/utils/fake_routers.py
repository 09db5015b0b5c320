"""Memberships connected by a fake of ``Peers``, on one event loop whose clock the tests advance."""

import asyncio
import random

from wagtailtrestle.contracts.peer_messages import Hello, PeerUnreachable, Ping, Pong
from wagtailtrestle.membership.membership import Membership

DELAY_S = 0.001
DIAL_TIMEOUT_S = 0.25


class FreezableLoop:
    """The event loop as seen by one process: its timers wait while the process is frozen."""

    def __init__(self, loop):
        self._loop, self.frozen, self.held = loop, False, []

    def time(self):
        return self._loop.time()

    def create_task(self, coroutine):
        return self._loop.create_task(coroutine)

    def call_later(self, delay_s, callback, *args):
        return self._loop.call_later(delay_s, self.run, callback, *args)

    def run(self, callback, *args):
        if self.frozen:
            self.held.append((callback, args))
        else:
            callback(*args)


class FakePeers:
    def __init__(self, net, name, loop):
        self.net, self.name, self.loop, self.address = net, name, loop, name
        self.alive, self.kept, self.received_at_by_peer = True, set(), {}
        self.handlers_by_type, self.connected_callbacks, self.unreachable_callbacks = {}, [], []
        self.sent = 0

    def on(self, message_type, handler):
        self.handlers_by_type[message_type] = handler

    def on_reconnect(self, callback):
        self.connected_callbacks.append(callback)

    def on_superseded(self, callback):
        self.superseded_callback = callback

    def set_incarnation(self, incarnation):
        self.incarnation = incarnation

    def on_unreachable(self, callback):
        self.unreachable_callbacks.append(callback)

    def set_addresses(self, addresses_by_name):
        pass

    def remove(self, name):
        pass

    def connected(self, peer):
        return peer in self.received_at_by_peer

    def silent_s(self, peer):
        return self.loop.time() - self.received_at_by_peer[peer] if self.connected(peer) else None

    def keep_open(self, names):
        self.kept = set(names)
        for name in names:
            self.dial(name)

    def reopen(self, peer):
        self.received_at_by_peer.pop(peer, None)
        self.dial(peer)

    def dial(self, peer):
        if self.connected(peer) or not self.alive:
            return
        other = self.net.peers_by_name.get(peer)
        if other is None or not other.alive:
            self.loop.call_later(DELAY_S, self.on_failed, peer, "refused")
        elif other.loop.frozen or self.net.is_cut(self.name, peer):
            self.loop.call_later(DIAL_TIMEOUT_S, self.on_failed, peer, "no answer")
        else:
            self.on_linked(other)
            other.on_linked(self)

    def on_linked(self, other):
        self.received_at_by_peer[other.name] = self.loop.time()
        membership = self.net.by_name[other.name]
        hello = Hello(
            name=other.name,
            incarnation=membership.view.incarnations_by_name[other.name],
            zone=membership.zone,
            address=other.name,
            cores=membership.view.cores_by_name.get(other.name, 0.0),
        )
        self.loop.run(self.handlers_by_type[Hello], other.name, hello, "")
        for callback in self.connected_callbacks:
            self.loop.run(callback, other.name)

    def on_failed(self, peer, detail):
        if self.connected(peer) or not self.alive:
            return
        for callback in self.unreachable_callbacks:
            callback(peer, detail)
        if peer in self.kept:
            self.loop.call_later(0.5, self.dial, peer)

    def send(self, peer, message, *, cell=""):
        self.sent += 1
        if not self.connected(peer):
            self.dial(peer)
        if self.connected(peer):
            self.loop.call_later(DELAY_S, self.net.deliver, self.name, peer, message, cell)
        return True

    def unreachable_s(self, peer):
        return None

    async def query(self, peer, message, timeout_s):
        other = self.net.peers_by_name.get(peer)
        self.send(peer, message)
        await asyncio.sleep(2 * DELAY_S)
        if other is None or not other.alive or other.loop.frozen or self.net.is_cut(self.name, peer):
            return PeerUnreachable(peer=peer, detail="no answer")
        answer = Pong() if type(message) is Ping else other.handlers_by_type[type(message)](self.name, message, "")
        return answer or PeerUnreachable(peer=peer, detail="the peer has no answer")


class FakeNet:
    """Routers by name, with links that tests can cut."""

    def __init__(self, loop):
        self.loop, self.by_name, self.peers_by_name = loop, {}, {}
        self.cut = lambda one, other: False
        self.changes = []

    def is_cut(self, one, other):
        return self.cut(one, other) or self.cut(other, one)

    async def add(self, name, zone="z1", incarnation=1, seeds=(), cores=0.0):
        loop = FreezableLoop(self.loop)
        peers = self.peers_by_name[name] = FakePeers(self, name, loop)
        membership = self.by_name[name] = Membership(
            name=name,
            zone=zone,
            incarnation=incarnation,
            peers=peers,
            loop=loop,
            seeds={seed: seed for seed in seeds},
            jitter=random.Random(name),
            cores=cores,
        )
        membership.on_view_change(lambda view: self.changes.append((self.loop.time(), name, view)))
        await membership.start()

    async def add_all(self, count, zones=3, cores=lambda number: 0.0):
        names = [f"r{number:03}" for number in range(count)]
        for number, name in enumerate(names):
            await self.add(name, zone=f"z{number % zones}", seeds=names[: min(count, 9)], cores=cores(number))
        await asyncio.sleep(4)
        return names

    def deliver(self, source, target, message, cell):
        peers = self.peers_by_name.get(target)
        if peers is None or not peers.alive or self.is_cut(source, target):
            return
        peers.loop.run(self.receive, peers, source, message, cell)

    def receive(self, peers, source, message, cell):
        if source not in peers.received_at_by_peer:
            return  # as on TCP, nothing is received after the connection has ended
        peers.received_at_by_peer[source] = self.loop.time()
        handler = peers.handlers_by_type.get(type(message))
        if handler is not None and type(message) is not Ping:
            handler(source, message, cell)

    def kill(self, name):
        self.peers_by_name[name].alive = False
        self.by_name[name]._timer.cancel()
        for peers in self.peers_by_name.values():
            if peers.received_at_by_peer.pop(name, None) is not None and name in peers.kept:
                peers.dial(name)

    def freeze(self, name):
        self.peers_by_name[name].loop.frozen = True

    def thaw(self, name):
        loop = self.peers_by_name[name].loop
        loop.frozen = False
        held, loop.held = loop.held, []
        # Timers that are due run first; messages that arrived meanwhile are still in the sockets and are read later.
        held.sort(key=lambda call: call[0] == self.receive)
        for callback, args in held:
            callback(*args)

    def views(self, exclude=()):
        return {name: self.by_name[name].view for name in self.by_name if name not in exclude}
