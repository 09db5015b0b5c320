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

from wagtailtrestle.generated import peers_pb2 as pb
from wagtailtrestle.peer_codec import decode, encode
from wagtailtrestle.peer_connection import Listener, connect, receive_hello
from wagtailtrestle.peer_link import Link
from wagtailtrestle.peer_messages import Hello, NoAnswer, PeerUnreachable, Ping, Pong
from wagtailtrestle.peer_questions import Questions
from wagtailtrestle.peer_state import PeerState
from wagtailtrestle.peer_watch import LinkWatch

SIMULTANEOUS_S = 1.0
USED_LATELY_S = 30.0
RECOVER_FOR_S = 3.0
QUEUE_HOLD_S = 1.0


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
        self._listener = Listener(address=listen_address, accept=self._accept)
        self._loop = loop
        self._random = random.Random(seed)
        self._watching = None
        self._watch = LinkWatch(
            states=lambda: list(self._states_by_name.values()),
            on_silent=lambda state: self._drop_link(state, "silent"),
            on_idle=lambda state: self._drop_link(state, "idle"),
            name=name,
            loop=loop,
        )
        self._closed = False
        self._states_by_name = {}
        self._handlers_by_type = {}
        self._reconnect_callbacks = []
        self._unreachable_callbacks = []
        self._questions = Questions(loop=loop)
        self._tasks = set()
        self.unknown_items = 0

    async def start(self):
        """Listen and begin to watch the links."""
        await self._listener.start()
        if not self._advertised:
            self.address = self._listener.address
        self._watching = self._loop.create_task(self._watch.run())

    async def close(self):
        """Send what is queued on open links, then end every connection."""
        await self._flush(timeout_s=0.5)
        self._closed = True
        if self._watching is not None:
            self._watching.cancel()
        for state in self._states_by_name.values():
            if state.link is not None:
                state.link.reset()
        tasks = [state.dialing for state in self._states_by_name.values() if state.dialing is not None]
        tasks.extend(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._listener.close()

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
        number, answer = self._questions.begin(peer)
        try:
            if not self._enqueue(peer, encode(message, cell=cell, question=number)):
                return PeerUnreachable(peer=peer, detail="no connection")
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return PeerUnreachable(peer=peer, detail=f"no answer in {timeout_s} s")
        finally:
            self._questions.end(number)

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
        return {name: state.dump() for name, state in sorted(self._states_by_name.items())}

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
        delay_s = state.next_backoff_s() * self._random.uniform(0.5, 1.0)
        # Items for a peer that stays away are of no use later: everything is re-registered on reconnect.
        if state.unreachable_since is not None and self._loop.time() - state.unreachable_since > QUEUE_HOLD_S:
            state.outbox.clear()
        await asyncio.sleep(delay_s)

    async def _dial(self, state):
        """Try once; ``True`` when a link is up."""
        connection = await connect(address=state.address, name=state.name, own_hello=self._hello())
        if isinstance(connection, str):
            self._dial_failed(state, connection)
            return False
        link = self._make_link(state, stream=connection.stream, hello=connection.hello, dialed_by=self.name)
        if not self._adopt(state, link):
            connection.close()
            return False
        self._spawn(self._run_dialed(state, link, connection))
        return True

    async def _run_dialed(self, state, link, connection):
        try:
            await link.run()
        finally:
            connection.close()
            self._link_ended(state, link)

    def _dial_failed(self, state, error):
        state.failed(error, self._loop.time())
        if state.link is None:
            for callback in self._unreachable_callbacks:
                callback(state.name, state.last_error)

    # Taking connections.

    async def _accept(self, stream):
        hello = await receive_hello(stream, own_hello=self._hello())
        if hello is None or self._closed:
            return
        state = self._state(hello.name)
        link = self._make_link(state, stream=stream, hello=hello, dialed_by=hello.name)
        if not self._adopt(state, link):
            return
        try:
            await link.run()
        finally:
            self._link_ended(state, link)

    def _hello(self):
        return Hello(name=self.name, incarnation=self.incarnation, zone=self.zone, address=self.address)

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
        state.linked(link)
        if old is not None:
            self._retire(state, old)
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
        self._questions.fail(state.name, detail)
        now = self._loop.time()
        if now - state.used_at < USED_LATELY_S:
            # A message may have been lost, and there may be no other to send: a request would wait for its
            # grant until its deadline. A new connection makes both ends register; none at all is evidence.
            state.recover_until = now + RECOVER_FOR_S
        if state.wants_link(now):
            self._dial_if_needed(state)

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
            self._questions.answered(peer, item.answer_to, message)
            return
        if type(message) is Ping:
            state.outbox.put(encode(Pong(), answer_to=item.question))
            return
        if type(message) is Pong:
            return
        state.used_at = self._loop.time()
        self._deliver_message(peer, message, item)

    def _deliver_message(self, peer, message, item):
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            # A newer peer's item, or one for a part this router doesn't run.
            self.unknown_items += 1
            result = NoAnswer()
        else:
            result = self._handle(handler, peer, message, item.cell)
        if inspect.isawaitable(result):
            self._spawn(self._answer_later(peer, result, item.question))
        elif item.question:
            self._answer(peer, result, item.question)

    def _handle(self, handler, peer, message, cell):
        # A defect in one handler must not end the link: the same message would come again after each
        # reconnect. The loop's exception handler decides whether the process goes on.
        try:
            return handler(peer, message, cell)
        except Exception as error:
            self._report(error, message)
            return NoAnswer()

    async def _answer_later(self, peer, result, question):
        try:
            message = await result
        except Exception as error:
            self._report(error, result)
            message = NoAnswer()
        if question:
            self._answer(peer, message, question)

    def _report(self, error, about):
        what = f"handling {type(about).__name__} from a peer failed"
        self._loop.call_exception_handler({"message": what, "exception": error})

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
