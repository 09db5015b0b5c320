"""Opens, accepts, selects and closes the links to peers."""

import asyncio
import random

from wagtailtrestle.contracts.peer_messages import Hello
from wagtailtrestle.peers.connection import Listener, connect, receive_hello
from wagtailtrestle.peers.link import Link

SIMULTANEOUS_DIAL_S = 1.0
RECENT_USE_S = 30.0
RECOVER_FOR_S = 3.0
QUEUE_RETENTION_S = 1.0


class PeerLinks:
    """Maintains the link of each peer as its ``PeerState`` requires.

    Parameters
    ----------
    name, zone : str
    incarnation : int
    listen_address : str
    advertised_address : str
        Address sent to peers; empty for ``listen_address``.
    cores : float
        Processor capacity sent to peers; 0 if unknown.
    loop : asyncio event loop
    state_of : callable
        ``(name) -> PeerState``, created if missing.
    deliver : callable
        ``(Link, pb.Item)``.
    on_linked : callable
        ``(PeerState)``: it has a new link.
    on_lost : callable
        ``(PeerState, detail)``: its link was lost, with all messages in flight.
    on_failed : callable
        ``(PeerState, detail)``: no connection could be opened.
    on_superseded : callable
        ``(incarnation)``: a peer knows this router by a higher incarnation than this process has.
    seed : int, optional

    Attributes
    ----------
    incarnation : int
    """

    def __init__(
        self,
        *,
        name,
        zone,
        incarnation,
        listen_address,
        advertised_address,
        cores,
        loop,
        state_of,
        deliver,
        on_linked,
        on_lost,
        on_failed,
        on_superseded,
        seed=None,
    ):
        self._name = name
        self._zone = zone
        self.incarnation = incarnation
        self._advertised_address = advertised_address
        self._cores = cores
        self._listener = Listener(address=listen_address, accept=self._accept)
        self._loop = loop
        self._state_of = state_of
        self._deliver = deliver
        self._on_linked = on_linked
        self._on_lost = on_lost
        self._on_failed = on_failed
        self._on_superseded = on_superseded
        self._random = random.Random(seed)
        self._tasks = set()
        self._closed = False

    @property
    def address(self):
        """Address at which peers reach this router."""
        return self._advertised_address or self._listener.address

    @address.setter
    def address(self, address):
        self._advertised_address = address

    def serve_tunnels(self, serve):
        """Set the coroutine function that serves the stream of each tunnel; before :meth:`start`."""
        self._listener.serve_tunnel = serve

    async def start(self):
        """Listen."""
        await self._listener.start()

    async def close(self, states):
        """Close every link, and every connection being opened."""
        self._closed = True
        for state in states:
            if state.link is not None:
                state.link.reset()
        tasks = [state.dialing for state in states if state.dialing is not None] + list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._listener.close()

    def dial_if_needed(self, state):
        """Start to open a connection, unless there is one or one is being opened."""
        if self._closed or state.link is not None or state.dialing is not None or state.address is None:
            return
        state.dialing = self._loop.create_task(self._dial_until_linked(state))

    def drop(self, state, detail):
        """Close a peer's link immediately, and open another if one is needed."""
        link, state.link = state.link, None
        state.last_error = detail
        link.reset()
        self._recover(state, detail)

    # Opening connections.

    async def _dial_until_linked(self, state):
        try:
            while state.link is None and state.needs_link(self._loop.time()):
                if await self._dial(state):
                    return
                if state.link is None:
                    await self._back_off(state)
        finally:
            state.dialing = None

    async def _back_off(self, state):
        delay_s = state.next_backoff_s() * self._random.uniform(0.5, 1.0)
        # Items queued for a peer that stays unreachable are useless later: everything is re-registered on reconnect.
        if state.unreachable_since is not None and self._loop.time() - state.unreachable_since > QUEUE_RETENTION_S:
            state.outbox.clear()
        await asyncio.sleep(delay_s)

    async def _dial(self, state):
        """Make one attempt; ``True`` if a link is up."""
        connection = await connect(address=state.address, name=state.name, own_hello=self._hello(state))
        if isinstance(connection, str):
            self._dial_failed(state, connection)
            return False
        if connection.hello.known_incarnation > self.incarnation:
            # The peer closes this connection. With a higher incarnation the next one is kept.
            connection.close()
            self._on_superseded(connection.hello.known_incarnation)
            return False
        link = self._make_link(state, stream=connection.stream, hello=connection.hello, dialed_by=self._name)
        if not self._adopt(state, link):
            connection.close()
            return False
        task = self._loop.create_task(self._run_dialed(state, link, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _run_dialed(self, state, link, connection):
        try:
            await link.run()
        finally:
            connection.close()
            self._link_ended(state, link)

    def _dial_failed(self, state, error):
        state.record_failure(error, self._loop.time())
        if state.link is None:
            self._on_failed(state, error)

    # Accepting connections.

    async def _accept(self, stream):
        hello = await receive_hello(stream, own_name=self._name, make_answer=self._answer_hello)
        if hello is None or self._closed:
            return
        state = self._state_of(hello.name)
        link = self._make_link(state, stream=stream, hello=hello, dialed_by=hello.name)
        if not self._adopt(state, link):
            return
        try:
            await link.run()
        finally:
            self._link_ended(state, link)

    def _answer_hello(self, hello):
        if hello.known_incarnation > self.incarnation:
            self._on_superseded(hello.known_incarnation)
        return self._hello(self._state_of(hello.name))

    def _hello(self, state):
        return Hello(
            name=self._name,
            incarnation=self.incarnation,
            zone=self._zone,
            address=self.address,
            cores=self._cores,
            known_incarnation=state.incarnation,
        )

    def _make_link(self, state, *, stream, hello, dialed_by):
        return Link(
            stream=stream,
            hello=hello,
            dialed_by=dialed_by,
            outbox=state.outbox,
            deliver=self._deliver,
            loop=self._loop,
        )

    # Selecting one of several connections.

    def _adopt(self, state, link):
        """Make a new link the peer's current one, or only read from it if it lost a tie; ``False`` to reject it."""
        if link.hello.incarnation < state.incarnation:
            # The connection is from a process that was since replaced (delayed in the network, or resumed after a
            # freeze): its messages would overwrite those of its successor.
            state.stale_dropped += 1
            return False
        old = state.link
        if old is not None and self._keeps_old(old, link):
            link.retire()
            return True
        state.set_link(link)
        if old is not None:
            self._retire(state, old)
        self._on_linked(state)
        return True

    def _keeps_old(self, old, new):
        # Both ends may dial at the same moment. Without a rule each would drop the connection that the other keeps,
        # and dial again. Both keep the one opened by the router with the lower name.
        return (
            old.hello.incarnation == new.hello.incarnation
            and old.dialed_by != new.dialed_by
            and self._loop.time() - old.up_since < SIMULTANEOUS_DIAL_S
            and old.dialed_by < new.dialed_by
        )

    def _retire(self, state, link):
        if link.hello.incarnation != state.incarnation:
            link.reset()
        else:
            link.retire()

    # Lost links.

    def _link_ended(self, state, link):
        if state.link is link:
            state.link = None
            self._recover(state, "connection lost")

    def _recover(self, state, detail):
        self._on_lost(state, detail)
        now = self._loop.time()
        if now - state.used_at < RECENT_USE_S:
            # A message may have been lost, and no other may follow: a request would wait for its grant until its
            # deadline. A new connection makes both ends register; a failed one is evidence for a suspicion.
            state.recover_until = now + RECOVER_FOR_S
        if state.needs_link(now):
            self.dial_if_needed(state)
