"""Where declarations come from: the platform by watch and by polling, and peers."""

import asyncio
from enum import StrEnum

from loguru import logger

from wagtailtrestle.configuration.applying import DECLARATION_KIND, DECLARATION_NAME, NO_GENERATION, accepted_from_value
from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.proof import Proof
from wagtailtrestle.configuration.store_epoch import StoreEpoch
from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone, StoreHistoryGone
from wagtailtrestle.record import record

POLL_JITTER = 0.25
POLL_RETRY_S = 0.2
START_RETRY_S = 0.2
START_RETRY_MAX_S = 5.0
WATCH_RETRY_S = 0.5
WATCH_RETRY_MAX_S = 5.0
# Longer than any store needs to give up on a silent watch by itself.
WATCH_MARGIN_S = 5.0
# A peer's generation is mostly on its way to us by the watch as well.
PEER_DELAY_S = 0.2
TOLD_DELAY_S = 0.03
"""The same where only a few routers have a watch: long enough for one fetch to serve several tellings."""
PEER_TIMEOUT_S = 2.0
READER_CHECK_S = 0.5
"""How often a router looks whether it has become one that reads for others; their changes are rare, and the
other readers watch meanwhile."""
FETCH_WITHIN_S = 0.5
"""A declaration of a thousand routes passes a slow link within so long."""
FETCH_CHECK_S = 0.05
READER_POLL_S = 1.5
"""Time between two reads of a router that reads for others: two reads in three seconds for each such router, and
no others while they last. A longer one leaves no time to ask a second reader before proofs of keys run out."""
CONFIRMED_ENOUGH_S = 2.2
"""A peer's word counts if the platform confirmed its configuration so lately: a reader's interval, and a read
that had to be repeated on a new connection. With the asker's own interval a proof is at most 3.5 s old while one
reader answers; operators grant a revoked key five."""
# No object is ever at this version, so an update that asks for it never takes effect.
NEVER_A_VERSION = 0


class Source(StrEnum):
    """Where a declaration came from."""

    WATCH = "watch"
    POLL = "poll"
    PEER = "peer"


@record
class PeersAnswer:
    """What reachable peers have in force.

    Parameters
    ----------
    answered : int
        Peers that answered and have a declaration in force.
    generation : int
        The highest of theirs, 0 if none.
    text : str
        Its text.
    """

    answered: int = 0
    generation: int = NO_GENERATION
    text: str = ""


class OwnDeclarations:
    """Where a declaration that ``wagtailtrestle apply`` wrote lies, and how it is read."""

    kind = DECLARATION_KIND
    name = DECLARATION_NAME
    reads_are_linearizable = False
    """A read may come from a copy that lags, so that its being the newest needs a proof."""

    def parse_accepted(self, *, version, value):
        """The declaration that an object holds, or ``None`` if it holds none."""
        return accepted_from_value(version=version, value=value)


class PlatformSource:
    """Reads the declaration from the platform.

    Parameters
    ----------
    store : ObjectStore
    place : DeclarationLocation
        Where the declaration lies in the store and how its object is read.
    offer : callable
        ``offer(generation, text, source)``.
    poll_interval_s, watch_timeout_s : float
    jitter : random.Random
    readers : StoreReaders, optional
        Who reads the platform for others; without it every router does.
    ask_confirmation : callable, optional
        ``await ask_confirmation(reader)`` gives that router's ``Confirmation`` or ``None``.
    generation : callable, optional
        The generation in force.
    heard : callable, optional
        ``heard(generation, peer)`` notes a generation that a peer told.
    is_settled : callable, optional
        ``is_settled(generation)`` tells whether a generation that was read is in force, or can't be.
    epoch : StoreEpoch, optional
        Of the store.

    Attributes
    ----------
    proof : Proof
    """

    __slots__ = (
        "known_version",
        "last_read",
        "proof",
        "_place",
        "_readers",
        "_ask_confirmation",
        "_generation",
        "_heard",
        "_watched_version",
        "_store",
        "_offer",
        "_poll_interval_s",
        "_watch_timeout_s",
        "_jitter",
    )

    def __init__(
        self,
        *,
        store,
        offer,
        poll_interval_s,
        watch_timeout_s,
        jitter,
        place,
        readers=None,
        ask_confirmation=None,
        generation=None,
        heard=None,
        is_settled=lambda generation: True,
        epoch=None,
    ):
        self.proof = Proof(is_settled=is_settled, epoch=epoch or StoreEpoch())
        self._readers = readers
        self._ask_confirmation = ask_confirmation
        self._generation = generation
        self._heard = heard
        self.known_version = NEVER_A_VERSION
        self.last_read = None
        self._place = place
        self._watched_version = NEVER_A_VERSION
        self._store = store
        self._offer = offer
        self._poll_interval_s = poll_interval_s
        self._watch_timeout_s = watch_timeout_s
        self._jitter = jitter

    @property
    def confirmed_at(self):
        """See :attr:`Proof.confirmed_at`."""
        return self.proof.confirmed_at

    async def watch(self):
        """Wait for changes; a silent watch is given up, and polling covers the gap."""
        retry_s = WATCH_RETRY_S
        while True:
            if not self._reads_platform():
                # A watch of its own would cost each router a call for each change and each time it ends,
                # and tell nothing that the readers' heartbeats don't.
                await asyncio.sleep(READER_CHECK_S)
                continue
            outcome = await self._watch_once()
            if isinstance(outcome, StoreHistoryGone):
                # What changed since is nowhere to be had piece by piece: the whole is read, and the
                # watch goes on from there.
                version = await self._read(Source.POLL)
                self._watched_version = version if version is not None else self._watched_version
            if not isinstance(outcome, StoreDone):
                await asyncio.sleep(self._jitter.uniform(0.5, 1.0) * retry_s)
                retry_s = min(retry_s * 2, WATCH_RETRY_MAX_S)
                continue
            retry_s = WATCH_RETRY_S
            self._watched_version = max(self._watched_version, outcome.version)
            self.proof.note_answer(outcome.version)
            for name, version, value in outcome.value:
                if name == self._place.name and value is not None:
                    self._take(version, value, Source.WATCH)

    async def _watch_once(self):
        try:
            async with asyncio.timeout(self._watch_timeout_s + WATCH_MARGIN_S):
                return await self._store.watch(
                    kind=self._place.kind,
                    from_version=max(self._watched_version, self.known_version),
                    timeout_s=self._watch_timeout_s,
                )
        except TimeoutError:
            return None

    async def poll(self):
        """Read at a bounded interval: finds what a silent watch or a dropped event hid."""
        while True:
            await asyncio.sleep(self._poll_s() * self._jitter.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))
            if await self._is_confirmed_by_reader():
                continue
            if await self._read(Source.POLL) is None:
                # Whatever silenced the watch mostly silenced the poll's idle connection
                # too, and that cost this poll its whole timeout. The store is on a new
                # connection now; once more at once, and only once, keeps outages cheap.
                await asyncio.sleep(POLL_RETRY_S * self._jitter.uniform(0.5, 1.0))
                if await self._read(Source.POLL) is None and self._readers is not None:
                    self._readers.pause_own()

    def _reads_platform(self):
        return self._readers is None or self._readers.reads_store

    def _poll_s(self):
        shares = self._readers is not None and self._readers.reads_store
        return max(READER_POLL_S, self._poll_interval_s) if shares else self._poll_interval_s

    async def _is_confirmed_by_reader(self):
        """Whether the word of a router that reads the platform spares a read of one's own."""
        if self._readers is None:
            return False
        for reader in self._readers.to_ask() or self._readers_that_stayed():
            # Counted from before the question: an answer that was long on its way is no fresher for it.
            asked_at = boot_time_s()
            confirmation = await self._ask_confirmation(reader)
            if confirmation is None or not 0.0 <= confirmation.age_s <= CONFIRMED_ENOUGH_S:
                self._readers.pause(reader)
                continue
            if confirmation.generation > self._generation():
                self._heard(confirmation.generation, reader)
                await self._until_in_force(confirmation.generation)
            if confirmation.generation == self._generation():
                self.proof.confirm(asked_at - confirmation.age_s)
                return True
        return False

    def _readers_that_stayed(self):
        """Other readers, for one that reads the store itself and can't tell yet whether it is whole."""
        return () if self.proof.counts_own_reads else self._readers.others()

    async def _until_in_force(self, generation):
        """Wait until a generation that a peer told is in force here, or for as long as fetching it mostly takes.

        Were the platform read at once, each change would cost a read by every router.
        """
        until = boot_time_s() + FETCH_WITHIN_S
        while self._generation() < generation and boot_time_s() < until:
            await asyncio.sleep(FETCH_CHECK_S)

    async def _read(self, source):
        """Read the declaration; its version (``NEVER_A_VERSION`` if absent), or ``None`` if it can't be read."""
        known = self.known_version or None
        began_at = boot_time_s()
        outcome = await self._store.get(kind=self._place.kind, name=self._place.name, unless_version=known)
        if isinstance(outcome, StoreAbsent):
            return NEVER_A_VERSION
        if not isinstance(outcome, StoreDone):
            return None
        self.last_read = asyncio.get_running_loop().time()
        self.proof.note_answer(outcome.version)
        if outcome.value is not None:
            self._take(outcome.version, outcome.value, source)
        self.proof.note_read(began_at)
        return outcome.version

    def _take(self, version, value, source):
        accepted = self._place.parse_accepted(version=version, value=value)
        if accepted is None:
            logger.error("the object {}/{} is not a declaration", self._place.kind, self._place.name)
            return
        self.proof.note_declaration(version, accepted.generation)
        # Only upwards: a stale read must not make the watch tell everything again.
        self.known_version = max(self.known_version, version)
        self._offer(accepted.generation, accepted.text, source)

    async def confirm(self):
        """Return once one read is proved to be the newest."""
        retry_s = START_RETRY_S
        while not await self._read_confirmed():
            await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
            retry_s = min(retry_s * 2, START_RETRY_MAX_S)

    async def _read_confirmed(self):
        """Read the declaration; ``True`` if the read is proved not to be stale.

        The proof is an update that asks for a version no object ever has: it is refused
        with the object's true version and changes nothing.
        """
        read_version = await self._read(Source.POLL)
        if read_version is None:
            return False
        if self._place.reads_are_linearizable:
            return True
        outcome = await self._store.update(
            kind=self._place.kind, name=self._place.name, value=None, if_version=NEVER_A_VERSION
        )
        if isinstance(outcome, StoreAbsent):
            return read_version == NEVER_A_VERSION
        return isinstance(outcome, StoreConflict) and outcome.version == read_version


class PeerSource:
    """Fetches declarations from peers, told by their heartbeats or asked at the start.

    Parameters
    ----------
    ask_peers : callable
        ``await ask_peers(generation, teller)`` gives a :class:`PeersAnswer`; ``teller`` is a peer that
        has that generation, or ``None``.
    offer : callable
        ``offer(generation, text, source)``.
    is_known : callable
        ``is_known(generation)`` tells whether there is nothing to gain from it.
    jitter : random.Random
    delay_s : float
        Mean time between hearing of a declaration and fetching it.
    """

    __slots__ = ("highest_heard", "_ask_peers", "_offer", "_is_known", "_jitter", "_delay_s", "_teller", "_has_heard")

    def __init__(self, *, ask_peers, offer, is_known, jitter, delay_s=PEER_DELAY_S):
        self._delay_s = delay_s
        self._teller = None
        self.highest_heard = NO_GENERATION
        self._ask_peers = ask_peers
        self._offer = offer
        self._is_known = is_known
        self._jitter = jitter
        self._has_heard = asyncio.Event()

    def heard(self, generation, peer=None):
        """Note the generation that a peer's heartbeat carries."""
        if generation > self.highest_heard or not self._is_known(generation):
            if generation >= self.highest_heard:
                self._teller = peer
            self.highest_heard = max(generation, self.highest_heard)
            self._has_heard.set()

    async def ask_first(self):
        """Return once at least one peer that has a declaration in force has answered."""
        while not await self._ask(NO_GENERATION + 1, None):
            await asyncio.sleep(START_RETRY_S)

    async def follow(self):
        """Fetch what heartbeats tell of, unless it comes by itself."""
        while True:
            await self._has_heard.wait()
            self._has_heard.clear()
            await asyncio.sleep(self._delay_s * self._jitter.uniform(0.5, 1.5))
            if not self._is_known(self.highest_heard):
                # When no peer gives it, the next heartbeat asks again.
                await self._ask(self.highest_heard, self._teller)

    async def _ask(self, generation, teller):
        """Ask for a declaration of at least ``generation``; whether one came."""
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await self._ask_peers(generation, teller)
        except TimeoutError:
            return False
        if not answer.answered:
            return False
        self._offer(answer.generation, answer.text, Source.PEER)
        return True
