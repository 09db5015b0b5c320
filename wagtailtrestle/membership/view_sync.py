"""Anti-entropy between views: routers compare digests and pull a peer's view while they differ."""

import asyncio

from wagtailtrestle.contracts.peer_messages import PeerUnreachable, Ping, ViewAsk, ViewText

TIMEOUT_S = 0.5
MIN_MISMATCHES = 2
PULL_INTERVAL_S = 0.25
"""First interval between two pulls from a peer: one that has just started can't answer for about as long."""
MAX_PULL_INTERVAL_S = 60.0


class _DigestMismatch:
    """How often a peer's digest has differed, and when to pull from it next."""

    __slots__ = ("count", "next_pull_at", "pull_interval_s")

    def __init__(self, *, now):
        self.count = 0
        self.next_pull_at = now
        self.pull_interval_s = PULL_INTERVAL_S


class ViewSync:
    """Pulls complete views from peers and answers their pulls.

    Parameters
    ----------
    table : MemberTable
    peers : Peers
    loop : asyncio event loop
    is_trusted : callable
        ``() -> bool``: whether this router's own view may be acted on and sent to peers.
    on_events : callable
        ``(peer, events, applied)``: called after a peer's view was merged into the table.
    on_lost : callable
        ``(Member)``: a peer reports it dead, and it does not answer a ping.
    """

    __slots__ = (
        "_mismatch_by_peer",
        "_disputed",
        "_is_trusted",
        "_loop",
        "_on_events",
        "_on_lost",
        "_peers",
        "_table",
        "_tasks",
    )

    def __init__(self, *, table, peers, loop, is_trusted, on_events, on_lost):
        self._table = table
        self._peers = peers
        self._loop = loop
        self._is_trusted = is_trusted
        self._on_events = on_events
        self._on_lost = on_lost
        self._mismatch_by_peer = {}
        self._disputed = set()
        self._tasks = set()
        peers.on(ViewAsk, self._answer)

    async def close(self):
        """Cancel pulls and checks in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def compare(self, peer, *, own, other):
        """Compare this router's digest with that of a peer's heartbeat; pull the peer's view if they keep differing."""
        if own == other:
            self._mismatch_by_peer.pop(peer, None)
            return
        now = self._loop.time()
        mismatch = self._mismatch_by_peer.setdefault(peer, _DigestMismatch(now=now))
        mismatch.count += 1
        if mismatch.count >= MIN_MISMATCHES and now >= mismatch.next_pull_at:
            # Pulls that do not resolve the difference must not saturate the link: their interval doubles.
            mismatch.next_pull_at = now + mismatch.pull_interval_s
            mismatch.pull_interval_s = min(MAX_PULL_INTERVAL_S, 2 * mismatch.pull_interval_s)
            self.pull(peer)

    def pull(self, peer):
        """Request a peer's complete view."""
        self._spawn(self._pull(peer))

    def check_disputed(self):
        """Ping one of the routers that a peer reports dead and this router considers alive."""
        if self._disputed:
            self._spawn(self._check(self._disputed.pop()))

    async def _pull(self, peer):
        answer = await self._peers.query(peer, ViewAsk(), TIMEOUT_S)
        if type(answer) is not ViewText:
            return
        trust_peer = not self._is_trusted()
        applied, disputed = self._table.merge(answer.events, self._loop.time(), trust_peer=trust_peer)
        self._disputed.update(disputed)
        self._on_events(peer, answer.events, applied)

    def _answer(self, peer, message, cell):
        if not self._is_trusted():
            return None
        members = self._table.by_name.values()
        return ViewText(events=tuple(member.event() for member in members if member.incarnation))

    async def _check(self, name):
        member = self._table.by_name.get(name)
        if member is None or not member.present:
            return
        answer = await self._peers.query(name, Ping(), TIMEOUT_S)
        if isinstance(answer, PeerUnreachable):
            self._on_lost(member)

    def _spawn(self, coroutine):
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
