"""Links to the other routers: one long-lived grpclib stream per pair, with batched items.

``Peers`` owns the server, the connections and the outgoing queues. The router that first has
a message to send opens the connection; both directions use it.

What a broken connection may lose
---------------------------------
Items that were written but not read when a connection ends are lost, and a queue that
overflows is dropped completely. Grants, finished runs and all other messages between entries
and schedulers are covered by the re-registration that ``on_reconnect`` triggers at both ends:
a ``Register`` replaces all that the scheduler knew of that entry. Queries in flight end in
``PeerUnreachable``. View events and generations are repeated by later heartbeats.
"""

import asyncio
import inspect

from wagtailtrestle.contracts.peer_messages import Hello, NoAnswer, PeerUnreachable, Ping, Pong
from wagtailtrestle.generated import peers_pb2 as pb
from wagtailtrestle.peers.codec import decode, encode
from wagtailtrestle.peers.delays import IMMEDIATE, delay_of
from wagtailtrestle.peers.links import PeerLinks
from wagtailtrestle.peers.pending_queries import PendingQueries
from wagtailtrestle.peers.state import PeerState
from wagtailtrestle.peers.watch import LinkWatch

FLUSH_TIMEOUT_S = 0.5
FLUSH_POLL_INTERVAL_S = 0.005


class Peers:
    """Connections to the other routers.

    Parameters
    ----------
    name : str
        This router's name.
    incarnation : int
        Greater than that of any earlier process of this name.
    listen_address : str
        ``host:port`` to accept connections on; port 0 selects a free one, see ``address``.
    loop : asyncio event loop
    zone : str
    advertised_address : str
        ``host:port`` sent to peers, if it differs from ``listen_address``.
    cores : float
        Processor capacity of this router, sent to peers; 0 if unknown.
    """

    def __init__(
        self, *, name, incarnation, listen_address, loop, zone="", advertised_address="", seed=None, cores=0.0
    ):
        self.name = name
        self._loop = loop
        self._states_by_name = {}
        self._handlers_by_type = {}
        self._reconnect_callbacks = []
        self._superseded_callbacks = []
        self._unreachable_callbacks = []
        self._pending_queries = PendingQueries(loop=loop)
        self._tasks = set()
        self._closed = False
        self._watching = None
        self.unknown_items = 0
        self._links = PeerLinks(
            name=name,
            zone=zone,
            incarnation=incarnation,
            listen_address=listen_address,
            advertised_address=advertised_address,
            cores=cores,
            loop=loop,
            state_of=self._state,
            deliver=self._deliver,
            on_linked=self._on_linked,
            on_lost=lambda state, detail: self._pending_queries.fail(state.name, detail),
            on_failed=self._on_failed,
            on_superseded=self._on_superseded,
            seed=seed,
        )
        self._watch = LinkWatch(
            states=lambda: list(self._states_by_name.values()),
            on_silent=lambda state: self._links.drop(state, "silent"),
            on_idle=lambda state: self._links.drop(state, "idle"),
            name=name,
            loop=loop,
        )

    @property
    def address(self):
        """``host:port`` sent to peers."""
        return self._links.address

    @address.setter
    def address(self, address):
        self._links.address = address

    async def start(self):
        """Listen and start to watch the links."""
        await self._links.start()
        self._watching = self._loop.create_task(self._watch.run())

    async def close(self):
        """Send the items queued on open links, then close every connection."""
        await self._flush(timeout_s=FLUSH_TIMEOUT_S)
        self._closed = True
        tasks = list(self._tasks)
        if self._watching is not None:
            tasks.append(self._watching)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._links.close(list(self._states_by_name.values()))

    # Public interface.

    def on(self, message_type, handler):
        """Register ``handler(peer, message, cell)`` for a message type.

        Its result, awaited if it is awaitable, is the answer if the message is a query.
        """
        self._handlers_by_type[message_type] = handler

    def serve_tunnels(self, serve):
        """Set the coroutine function that serves the stream of each tunnel; before :meth:`start`."""
        self._links.serve_tunnels(serve)

    def address_of(self, peer):
        """``host:port`` of a peer as last set, or ``None``."""
        state = self._states_by_name.get(peer)
        return None if state is None else state.address

    def on_reconnect(self, callback):
        """Register ``callback(peer)``, called after each new connection, whichever end opened it."""
        self._reconnect_callbacks.append(callback)

    def on_unreachable(self, callback):
        """Register ``callback(peer, detail)``, called when a new connection to a peer failed too."""
        self._unreachable_callbacks.append(callback)

    def on_superseded(self, callback):
        """Register ``callback(incarnation)``, called when a peer knows this router by a higher incarnation."""
        self._superseded_callbacks.append(callback)

    def set_incarnation(self, incarnation):
        """Set the incarnation that new connections carry."""
        self._links.incarnation = incarnation

    def set_addresses(self, addresses_by_name):
        """Set or correct the addresses of peers. Open links are not affected."""
        for name, address in addresses_by_name.items():
            if name != self.name:
                self._state(name).address = address

    def keep_open(self, names):
        """Keep links to exactly these peers open while idle."""
        for state in self._states_by_name.values():
            state.kept = state.name in names
        for name in names:
            state = self._state(name)
            state.kept = True
            self._links.dial_if_needed(state)

    def remove(self, name):
        """Drop all state of a peer that no longer exists."""
        state = self._states_by_name.pop(name, None)
        if state is None:
            return
        if state.link is not None:
            state.link.reset()
        if state.dialing is not None:
            state.dialing.cancel()

    def send(self, peer, message, *, cell=""):
        """Queue a message; ``False`` if the peer can't be reached now."""
        item = encode(message, cell=cell)
        return self._enqueue(peer, item, related_request=getattr(message, "request_id", ""), delay=delay_of(message))

    async def query(self, peer, message, timeout_s, *, cell=""):
        """Send a query to a peer; return its answer, or ``PeerUnreachable``."""
        number, answer = self._pending_queries.begin(peer)
        try:
            if not self._enqueue(peer, encode(message, cell=cell, question=number)):
                return PeerUnreachable(peer=peer, detail="no connection")
            async with asyncio.timeout(timeout_s):
                return await answer
        except TimeoutError:
            return PeerUnreachable(peer=peer, detail=f"no answer in {timeout_s} s")
        finally:
            self._pending_queries.end(number)

    def connected(self, peer):
        """Whether a link to the peer is up."""
        state = self._states_by_name.get(peer)
        return state is not None and state.link is not None

    def silent_s(self, peer):
        """Seconds since the last item was received on the peer's current link, or ``None`` without one."""
        state = self._states_by_name.get(peer)
        if state is None or state.link is None:
            return None
        return self._loop.time() - state.link.last_received

    def unreachable_s(self, peer):
        """Seconds since connections to the peer began to fail, or ``None`` if they don't fail."""
        state = self._states_by_name.get(peer)
        if state is None or state.link is not None or state.unreachable_since is None:
            return None
        return self._loop.time() - state.unreachable_since

    def fail_queries(self, peer):
        """Complete every open query to a peer that left the view with ``PeerUnreachable``."""
        self._pending_queries.fail(peer, "no longer in the view")

    def deliver_relayed(self, source, data):
        """Deliver an encoded item that another router relayed for ``source``."""
        item = pb.Item.FromString(data)
        message = decode(item)
        if message is not None and not item.question and not item.answer_to:
            self._dispatch(source, message, item)

    def reopen(self, peer):
        """Close the current link, which seems silent, and open a new one."""
        state = self._state(peer)
        if state.link is not None:
            self._links.drop(state, "silent")

    def dump(self):
        """State for the state dump, by peer."""
        return {name: state.dump() for name, state in sorted(self._states_by_name.items())}

    # Links and sending.

    def _state(self, name):
        state = self._states_by_name.get(name)
        if state is None:
            state = self._states_by_name[name] = PeerState(name=name, loop=self._loop)
        return state

    def _enqueue(self, peer, item, *, related_request="", delay=IMMEDIATE):
        state = self._state(peer)
        if self._closed or (state.link is None and state.address is None):
            return False
        state.used_at = self._loop.time()
        if not state.outbox.put(item, related_request=related_request, delay=delay):
            self._overflow(state)
            return False
        self._links.dial_if_needed(state)
        return True

    def _overflow(self, state):
        # A peer that stops reading (frozen, or too slow) would make this router buffer messages without bound.
        # Dropping the complete queue and the link is safe because the queue is never the only copy: after the
        # reconnect each entry re-registers all that it holds, and the sender of a query gets PeerUnreachable.
        # Dropping single items and keeping the link would not be safe: neither end would know to re-register.
        state.overflows += 1
        state.outbox.clear()
        if state.link is not None:
            self._links.drop(state, "queue overflow")
        self._on_failed(state, "queue overflow")

    def _on_linked(self, state):
        handler = self._handlers_by_type.get(Hello)
        if handler is not None:
            handler(state.name, state.link.hello, "")
        for callback in self._reconnect_callbacks:
            callback(state.name)

    def _on_superseded(self, incarnation):
        for callback in self._superseded_callbacks:
            callback(incarnation)

    def _on_failed(self, state, detail):
        for callback in self._unreachable_callbacks:
            callback(state.name, detail)

    async def _flush(self, *, timeout_s):
        for state in self._states_by_name.values():
            state.outbox.release()
        deadline = self._loop.time() + timeout_s
        while self._loop.time() < deadline:
            states = self._states_by_name.values()
            is_empty = not any(state.link is not None and len(state.outbox) for state in states)
            # Wait once more, since the last batch taken may not have been written to the socket yet.
            await asyncio.sleep(FLUSH_POLL_INTERVAL_S)
            if is_empty:
                return

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
            self._pending_queries.answered(peer, item.answer_to, message)
            return
        if type(message) is Ping:
            state.outbox.put(encode(Pong(), answer_to=item.question), delay=delay_of(Pong()))
            return
        if type(message) is Pong:
            return
        state.used_at = self._loop.time()
        self._dispatch(peer, message, item)

    def _dispatch(self, peer, message, item):
        handler = self._handlers_by_type.get(type(message))
        if handler is None:
            # An item of a newer peer, or one for a part that this router doesn't run.
            self.unknown_items += 1
            result = NoAnswer()
        else:
            result = self._handle(handler, peer, message, item.cell)
        if inspect.isawaitable(result):
            self._spawn(self._answer_when_done(peer, result, item.question))
        elif item.question:
            self._answer(peer, result, item.question)

    def _handle(self, handler, peer, message, cell):
        # An exception in a handler must not end the link: the same message would arrive again after each
        # reconnect. The loop's exception handler decides whether the process continues.
        try:
            return handler(peer, message, cell)
        except Exception as error:
            self._report(error, message)
            return NoAnswer()

    async def _answer_when_done(self, peer, result, question):
        try:
            message = await result
        except Exception as error:
            self._report(error, result)
            message = NoAnswer()
        if question:
            self._answer(peer, message, question)

    def _report(self, error, subject):
        what = f"handling {type(subject).__name__} from a peer failed"
        self._loop.call_exception_handler({"message": what, "exception": error})

    def _answer(self, peer, message, question):
        self._enqueue(peer, encode(message if message is not None else NoAnswer(), answer_to=question))

    def _spawn(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
