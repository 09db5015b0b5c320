"""Links to the other routers: one long-lived grpclib stream per pair, batched items.

``Peers`` owns the server, the connections and the outgoing queues. Whoever first has
something to say opens the connection; both directions use it.

What a broken connection may lose
---------------------------------
Items that were written but not read when a connection ends are lost, and a whole queue is
dropped when it overflows. Grants, finishes and everything else between entries and
stewards are covered by the re-registration that ``on_reconnect`` triggers at both ends: a
``Register`` replaces all that the steward knew of that entry. Questions in flight end in
``PeerUnreachable``. View events and generations are repeated by later heartbeats.
"""

import asyncio
import inspect
import random
import socket

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from grpclib.server import Server

from wagtailtrestle.generated import peers_pb2 as pb
from wagtailtrestle.generated.peers_grpc import PeersBase, PeersStub
from wagtailtrestle.peer_codec import decode, encode
from wagtailtrestle.peer_link import Link
from wagtailtrestle.peer_messages import Hello, NoAnswer, PeerUnreachable, Ping, Pong
from wagtailtrestle.peer_outbox import Outbox

HELLO_TIMEOUT_S = 0.25
BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 0.5
MAINTENANCE_INTERVAL_S = 0.1
PING_AFTER_S = 0.35
SILENT_AFTER_S = 0.7
SIMULTANEOUS_S = 1.0
PAUSED_AFTER_S = 0.5
IDLE_CLOSE_S = 60.0
USED_LATELY_S = 30.0
RECOVER_FOR_S = 3.0
QUEUE_HOLD_S = 1.0

CONNECTION_ERRORS = (OSError, GRPCError, StreamTerminatedError, TimeoutError)


class PeerState:
    """What this router holds about one peer: address, queue, current link, dialing."""

    __slots__ = (
        "address",
        "backoff_s",
        "dialing",
        "failures",
        "incarnation",
        "kept",
        "last_error",
        "link",
        "name",
        "outbox",
        "overflows",
        "reconnects",
        "recover_until",
        "stale_dropped",
        "unreachable_since",
        "used_at",
    )

    def __init__(self, *, name, used_at):
        self.name = name
        self.address = None
        self.incarnation = 0
        self.outbox = Outbox()
        self.link = None
        self.dialing = None
        self.kept = False
        self.backoff_s = BACKOFF_FIRST_S
        self.failures = 0
        self.overflows = 0
        self.reconnects = 0
        self.stale_dropped = 0
        self.last_error = ""
        self.unreachable_since = None
        self.recover_until = used_at
        self.used_at = used_at

    def wants_link(self, now):
        """Whether a connection is to be opened while there is none."""
        return self.kept or bool(len(self.outbox)) or now < self.recover_until


class _Service(PeersBase):
    """Adapter from the generated server base to :class:`Peers`."""

    def __init__(self, *, accept):
        self._accept = accept

    async def Link(self, stream):  # noqa: N802 - name fixed by peers.proto
        await self._accept(stream)


class Peers:
    """Connections to every router this one talks to.

    Parameters
    ----------
    name : str
        This router's name.
    incarnation : int
        Larger than that of any earlier process of this name.
    listen_address : str
        ``host:port`` to take connections on; port 0 picks one, see ``address``.
    loop : asyncio event loop
    zone : str
    advertised_address : str
        ``host:port`` told to peers, if it is not the one listened on.
    """

    def __init__(self, *, name, incarnation, listen_address, loop, zone="", advertised_address="", seed=None):
        self.name = name
        self.incarnation = incarnation
        self.zone = zone
        self.address = advertised_address or listen_address
        self._advertised = bool(advertised_address)
        self._listen_address = listen_address
        self._loop = loop
        self._random = random.Random(seed)
        self._server = None
        self._maintenance = None
        self._closed = False
        self._states_by_name = {}
        self._handlers_by_type = {}
        self._reconnect_callbacks = []
        self._unreachable_callbacks = []
        self._questions_by_id = {}
        self._next_question = 1
        self._tasks = set()
        self.unknown_items = 0

    async def start(self):
        """Listen and begin to watch the links."""
        host, _, port = self._listen_address.rpartition(":")
        listener = _listening_socket(host=host, port=int(port))
        self._server = Server([_Service(accept=self._accept)])
        await self._server.start(sock=listener)
        if not self._advertised:
            self.address = f"{host}:{listener.getsockname()[1]}"
        self._maintenance = self._loop.create_task(self._maintain())

    async def close(self):
        """Send what is queued on open links, then end every connection."""
        await self._flush(timeout_s=0.5)
        self._closed = True
        if self._maintenance is not None:
            self._maintenance.cancel()
        for state in self._states_by_name.values():
            if state.link is not None:
                state.link.reset()
        tasks = [state.dialing for state in self._states_by_name.values() if state.dialing is not None]
        tasks.extend(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    # What the rest of the router uses.

    def on(self, message_type, handler):
        """Have ``handler(peer, message, cell)`` called for each message of a type.

        What it returns, or what the awaitable it returns gives, answers a question.
        """
        self._handlers_by_type[message_type] = handler

    def on_reconnect(self, callback):
        """Have ``callback(peer)`` called after each new connection, whoever opened it."""
        self._reconnect_callbacks.append(callback)

    def on_unreachable(self, callback):
        """Have ``callback(peer, detail)`` called when a new connection to a peer failed too."""
        self._unreachable_callbacks.append(callback)

    def set_addresses(self, addresses_by_name):
        """Learn or correct where peers listen; links that are up stay."""
        for name, address in addresses_by_name.items():
            if name != self.name:
                self._state(name).address = address

    def keep(self, names):
        """Hold links to exactly these peers open also while nothing is sent."""
        for state in self._states_by_name.values():
            state.kept = state.name in names
        for name in names:
            state = self._state(name)
            state.kept = True
            self._dial_if_needed(state)

    def forget(self, name):
        """Drop all state of a peer that no longer exists."""
        state = self._states_by_name.pop(name, None)
        if state is None:
            return
        if state.link is not None:
            state.link.reset()
        if state.dialing is not None:
            state.dialing.cancel()

    def send(self, peer, message, *, cell=""):
        """Queue a message; ``False`` if there is no way to reach the peer now."""
        return self._enqueue(peer, encode(message, cell=cell))

    async def ask(self, peer, message, timeout_s, *, cell=""):
        """Ask a peer and wait for its answer, or ``PeerUnreachable``."""
        question = self._next_question
        self._next_question += 1
        answer = self._loop.create_future()
        self._questions_by_id[question] = (peer, answer)
        try:
            if not self._enqueue(peer, encode(message, cell=cell, question=question)):
                return PeerUnreachable(peer=peer, detail="no connection")
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return PeerUnreachable(peer=peer, detail=f"no answer in {timeout_s} s")
        finally:
            del self._questions_by_id[question]

    def connected(self, peer):
        """Whether a link to the peer is up."""
        state = self._states_by_name.get(peer)
        return state is not None and state.link is not None

    def silent_s(self, peer):
        """Seconds since the peer was last heard on its present link, or ``None`` without one."""
        state = self._states_by_name.get(peer)
        if state is None or state.link is None:
            return None
        return self._loop.time() - state.link.last_received

    def unreachable_s(self, peer):
        """Seconds since connections to the peer began to fail, or ``None`` if they don't."""
        state = self._states_by_name.get(peer)
        if state is None or state.link is not None or state.unreachable_since is None:
            return None
        return self._loop.time() - state.unreachable_since

    def deliver_relayed(self, source, data):
        """Take an encoded item that another router passed on for ``source``."""
        item = pb.Item.FromString(data)
        message = decode(item)
        if message is not None and not item.question and not item.answer_to:
            self._deliver_message(source, message, item)

    def replace(self, peer):
        """Give up the present link, which seems silent, and open a new one."""
        state = self._state(peer)
        if state.link is not None:
            self._drop_link(state, "silent")

    def dump(self):
        """State for the dump, by peer."""
        return {name: self._dump_one(state) for name, state in sorted(self._states_by_name.items())}

    # Sending.

    def _state(self, name):
        state = self._states_by_name.get(name)
        if state is None:
            state = self._states_by_name[name] = PeerState(name=name, used_at=self._loop.time())
        return state

    def _enqueue(self, peer, item):
        state = self._state(peer)
        if self._closed or (state.link is None and state.address is None):
            return False
        state.used_at = self._loop.time()
        if not state.outbox.put(item):
            self._overflow(state)
            return False
        self._dial_if_needed(state)
        return True

    def _overflow(self, state):
        # A peer that stops reading (frozen, or too slow) would make this router hold its messages without
        # bound. Dropping the whole queue and the link is safe because nothing in it is kept only there: after
        # the reconnect each entry re-registers all it holds, and a question's asker gets PeerUnreachable.
        # Dropping single items and keeping the link would not be: neither end would know to re-register.
        state.overflows += 1
        state.outbox.clear()
        if state.link is not None:
            self._drop_link(state, "queue overflow")
        for callback in self._unreachable_callbacks:
            callback(state.name, "queue overflow")

    async def _flush(self, *, timeout_s):
        deadline = self._loop.time() + timeout_s
        while self._loop.time() < deadline:
            states = self._states_by_name.values()
            is_empty = not any(state.link is not None and len(state.outbox) for state in states)
            # Once more, since the last batch taken may still be on its way into the socket.
            await asyncio.sleep(0.005)
            if is_empty:
                return

    # Opening connections.

    def _dial_if_needed(self, state):
        if self._closed or state.link is not None or state.dialing is not None or state.address is None:
            return
        state.dialing = self._loop.create_task(self._dial_until_linked(state))

    async def _dial_until_linked(self, state):
        try:
            while state.link is None and state.wants_link(self._loop.time()):
                if await self._dial(state):
                    return
                if state.link is None:
                    await self._back_off(state)
        finally:
            state.dialing = None

    async def _back_off(self, state):
        delay_s = state.backoff_s * self._random.uniform(0.5, 1.0)
        state.backoff_s = min(BACKOFF_MAX_S, state.backoff_s * 2)
        # Items for a peer that stays away are of no use later: everything is re-registered on reconnect.
        if state.unreachable_since is not None and self._loop.time() - state.unreachable_since > QUEUE_HOLD_S:
            state.outbox.clear()
        await asyncio.sleep(delay_s)

    async def _dial(self, state):
        """Try once; ``True`` when a link is up."""
        host, _, port = state.address.rpartition(":")
        channel = Channel(host, int(port))
        stream_context = PeersStub(channel).Link.open()
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                stream = await stream_context.__aenter__()
                await stream.send_message(self._hello_batch())
                hello = _hello_in(await stream.recv_message())
        except CONNECTION_ERRORS as error:
            channel.close()
            self._dial_failed(state, error)
            return False
        except asyncio.CancelledError:
            channel.close()
            raise
        if hello is None or hello.name != state.name:
            channel.close()
            self._dial_failed(state, f"another router answers there: {hello.name if hello else 'not a router'}")
            return False
        link = self._make_link(state, stream=stream, hello=hello, dialed_by=self.name)
        if not self._adopt(state, link):
            channel.close()
            return False
        self._spawn(self._run_dialed(state, link, channel, stream_context))
        return True

    async def _run_dialed(self, state, link, channel, stream_context):
        try:
            await link.run()
        finally:
            channel.close()
            self._link_ended(state, link)

    def _dial_failed(self, state, error):
        state.failures += 1
        state.last_error = str(error) or type(error).__name__
        if state.unreachable_since is None:
            state.unreachable_since = self._loop.time()
        if state.link is None:
            for callback in self._unreachable_callbacks:
                callback(state.name, state.last_error)

    # Taking connections.

    async def _accept(self, stream):
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                hello = _hello_in(await stream.recv_message())
        except CONNECTION_ERRORS:
            return
        if hello is None or hello.name == self.name or self._closed:
            return
        state = self._state(hello.name)
        await stream.send_message(self._hello_batch())
        link = self._make_link(state, stream=stream, hello=hello, dialed_by=hello.name)
        if not self._adopt(state, link):
            return
        try:
            await link.run()
        finally:
            self._link_ended(state, link)

    def _hello_batch(self):
        hello = Hello(name=self.name, incarnation=self.incarnation, zone=self.zone, address=self.address)
        return pb.Batch(items=[encode(hello)])

    def _make_link(self, state, *, stream, hello, dialed_by):
        return Link(
            stream=stream,
            hello=hello,
            dialed_by=dialed_by,
            outbox=state.outbox,
            deliver=self._deliver,
            loop=self._loop,
        )

    def _adopt(self, state, link):
        """Make a new link the peer's, or only read it if it lost a tie; ``False`` to refuse it."""
        if link.hello.incarnation < state.incarnation:
            # A connection of a process that was replaced (delayed in the network, or frozen and woken):
            # its messages would undo what its successor said.
            state.stale_dropped += 1
            return False
        old = state.link
        if old is not None and self._keeps_old(old, link):
            link.retire()
            return True
        state.incarnation = link.hello.incarnation
        state.address = link.hello.address or state.address
        state.backoff_s = BACKOFF_FIRST_S
        state.unreachable_since = None
        state.last_error = ""
        state.link = link
        if old is not None:
            self._retire(state, old)
        state.reconnects += 1
        self._call_hello_handler(link)
        for callback in self._reconnect_callbacks:
            callback(state.name)
        return True

    def _keeps_old(self, old, new):
        # Both ends dialed at the same moment: each would otherwise drop the connection that the other
        # kept, and go on dialing. Both keep the one that the router with the lower name opened.
        return (
            old.hello.incarnation == new.hello.incarnation
            and old.dialed_by != new.dialed_by
            and self._loop.time() - old.up_since < SIMULTANEOUS_S
            and old.dialed_by < new.dialed_by
        )

    def _retire(self, state, link):
        if link.hello.incarnation != state.incarnation:
            link.reset()
        else:
            link.retire()

    # Links that end.

    def _drop_link(self, state, detail):
        link, state.link = state.link, None
        state.last_error = detail
        link.reset()
        self._recover(state, detail)

    def _link_ended(self, state, link):
        if state.link is not link:
            return
        state.link = None
        self._recover(state, "connection lost")

    def _recover(self, state, detail):
        self._fail_questions(state.name, detail)
        now = self._loop.time()
        if now - state.used_at < USED_LATELY_S:
            # A message may have been lost, and there may be no other to send: a request would wait for its
            # grant until its deadline. A new connection makes both ends register; none at all is evidence.
            state.recover_until = now + RECOVER_FOR_S
        if state.wants_link(now):
            self._dial_if_needed(state)

    def _fail_questions(self, peer, detail):
        for asked, answer in self._questions_by_id.values():
            if asked == peer and not answer.done():
                answer.set_result(PeerUnreachable(peer=peer, detail=detail))

    # Receiving.

    def _deliver(self, link, item):
        peer = link.hello.name
        state = self._states_by_name.get(peer)
        if state is None or link.hello.incarnation < state.incarnation:
            if state is not None:
                state.stale_dropped += 1
            return
        message = decode(item)
        if item.answer_to:
            self._deliver_answer(peer, item.answer_to, message)
            return
        if type(message) is Ping:
            state.outbox.put(encode(Pong(), answer_to=item.question))
            return
        if type(message) is Pong:
            return
        state.used_at = self._loop.time()
        self._deliver_message(peer, message, item)

    def _deliver_answer(self, peer, question, message):
        asked, answer = self._questions_by_id.get(question, (None, None))
        if asked != peer or answer.done():
            return
        if message is None or type(message) is NoAnswer:
            message = PeerUnreachable(peer=peer, detail="the peer does not know this question")
        answer.set_result(message)

    def _deliver_message(self, peer, message, item):
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            # A newer peer's item, or one for a part this router doesn't run.
            self.unknown_items += 1
            result = NoAnswer()
        else:
            result = handler(peer, message, item.cell)
        if inspect.isawaitable(result):
            self._spawn(self._answer_later(peer, result, item.question))
        elif item.question:
            self._answer(peer, result, item.question)

    async def _answer_later(self, peer, result, question):
        message = await result
        if question:
            self._answer(peer, message, question)

    def _answer(self, peer, message, question):
        self._enqueue(peer, encode(message if message is not None else NoAnswer(), answer_to=question))

    def _call_hello_handler(self, link):
        handler = self._handlers_by_type.get(Hello)
        if handler is not None:
            handler(link.hello.name, link.hello, "")

    def _spawn(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Watching the links.

    async def _maintain(self):
        checked_at = self._loop.time()
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            now = self._loop.time()
            # After a pause of this process what peers sent still waits unread: it is this end that was silent.
            paused = now - checked_at > PAUSED_AFTER_S
            checked_at = now
            for state in list(self._states_by_name.values()):
                if state.link is not None and paused:
                    state.link.forgive(now)
                elif state.link is not None:
                    self._check_link(state, now)

    def _check_link(self, state, now):
        link = state.link
        if link.awaiting_since is not None:
            # A connection that something between the ends has lost track of stays open and carries nothing.
            # Without this the peer looks alive and every message to it vanishes; a new connection works.
            waited_s = now - link.awaiting_since
            if waited_s > SILENT_AFTER_S:
                self.replace(state.name)
            elif waited_s > PING_AFTER_S and not link.pinged:
                link.pinged = True
                state.outbox.put(encode(Ping()))
        elif not state.kept and now - state.used_at > IDLE_CLOSE_S and link.dialed_by == self.name:
            self._drop_link(state, "idle")

    def _dump_one(self, state):
        return {
            "address": state.address,
            "incarnation": state.incarnation,
            "kept": state.kept,
            "queued_items": len(state.outbox),
            "queued_bytes": state.outbox.queued_bytes,
            "connections": state.reconnects,
            "failures": state.failures,
            "overflows": state.overflows,
            "stale_dropped": state.stale_dropped,
            "last_error": state.last_error,
            "link": state.link.dump() if state.link is not None else None,
        }


def _hello_in(batch):
    if batch is None or not batch.items:
        return None
    message = decode(batch.items[0])
    return message if type(message) is Hello else None


def _listening_socket(*, host, port):
    listener = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted sockets inherit these. The router that opened a connection replaces it when it goes silent; the
    # other end would keep the dead socket for ever, as grpclib gives a server no way to close one.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 15)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 5)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3)
    listener.bind((host.strip("[]"), port))
    return listener
