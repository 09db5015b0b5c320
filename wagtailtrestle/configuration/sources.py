"""Sources of declarations: the platform, by watch and by polling, and peers."""

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
# Exceeds the time after which any store client abandons a silent watch by itself.
WATCH_MARGIN_S = 5.0
# A generation that a peer announces usually arrives here by the watch as well.
PEER_DELAY_S = 0.2
PEER_DELAY_WITH_READERS_S = 0.03
"""The same delay where only a few routers watch: long enough for one fetch to serve several announcements."""
PEER_TIMEOUT_S = 2.0
READER_CHECK_INTERVAL_S = 0.5
"""Interval at which a router checks whether it has become a reader; readers change rarely, and the other
readers watch meanwhile."""
FETCH_TIMEOUT_S = 0.5
"""Time in which a declaration of a thousand routes crosses a slow link."""
FETCH_CHECK_INTERVAL_S = 0.05
READER_POLL_INTERVAL_S = 1.5
"""Interval between two reads by a reader: two reads in three seconds for each reader, and none by other routers.
A longer interval leaves no time to query a second reader before proofs of keys expire."""
MAX_CONFIRMATION_AGE_S = 2.2
"""Maximum age of a peer's confirmation: a reader's interval, and a read that had to be repeated on a new
connection. With the requester's own interval a proof is at most 3.5 s old while one reader answers; operators
allow a revoked key five."""
# No object is ever at this version, so an update conditional on it never takes effect.
NO_VERSION = 0


class Source(StrEnum):
    """Where a declaration came from."""

    WATCH = "watch"
    POLL = "poll"
    PEER = "peer"


@record
class PeersAnswer:
    """The highest declaration in force among the peers that answered.

    Parameters
    ----------
    answered : int
        Number of peers that answered and have a declaration in force.
    generation : int
        The highest generation among them, 0 if none.
    text : str
        Text of that declaration.
    """

    answered: int = 0
    generation: int = NO_GENERATION
    text: str = ""


class NativeDeclarations:
    """Location and reading of the declaration that ``wagtailtrestle apply`` writes."""

    kind = DECLARATION_KIND
    name = DECLARATION_NAME
    reads_are_linearizable = False
    """A read may come from a replica that lags, so it has to be proved to be the newest."""

    def parse_accepted(self, *, version, value):
        """Return the declaration that an object holds, or ``None`` if it holds none."""
        return accepted_from_value(version=version, value=value)


class PlatformSource:
    """Reads the declaration from the platform.

    Parameters
    ----------
    store : ObjectStore
    location : DeclarationLocation
        Location of the declaration in the store, and how its object is read.
    offer : callable
        ``offer(generation, text, source)``.
    poll_interval_s, watch_timeout_s : float
    jitter : random.Random
    readers : StoreReaders, optional
        Selects the routers that read the platform for all; without it every router reads it.
    request_confirmation : callable, optional
        ``await request_confirmation(reader)`` returns that router's ``Confirmation`` or ``None``.
    generation : callable, optional
        Returns the generation in force.
    observe_generation : callable, optional
        ``observe_generation(generation, peer)`` processes a generation that a peer reported.
    is_settled : callable, optional
        ``is_settled(generation)`` returns whether a generation that was read is in force, or can't be.
    epoch : StoreEpoch, optional
        Epoch of the store.

    Attributes
    ----------
    proof : Proof
    """

    __slots__ = (
        "known_version",
        "last_read_at",
        "proof",
        "_location",
        "_readers",
        "_request_confirmation",
        "_generation",
        "_observe_generation",
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
        location,
        readers=None,
        request_confirmation=None,
        generation=None,
        observe_generation=None,
        is_settled=lambda generation: True,
        epoch=None,
    ):
        self.proof = Proof(is_settled=is_settled, epoch=epoch or StoreEpoch())
        self._readers = readers
        self._request_confirmation = request_confirmation
        self._generation = generation
        self._observe_generation = observe_generation
        self.known_version = NO_VERSION
        self.last_read_at = None
        self._location = location
        self._watched_version = NO_VERSION
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
        """Watch for changes; a silent watch is abandoned, and polling covers the gap."""
        retry_s = WATCH_RETRY_S
        while True:
            if not self._reads_platform():
                # A watch of its own would cost each router a call for each change and each time it ends,
                # and deliver nothing that the readers' heartbeats don't.
                await asyncio.sleep(READER_CHECK_INTERVAL_S)
                continue
            outcome = await self._watch_once()
            if isinstance(outcome, StoreHistoryGone):
                # The changes since that version can't be had one by one: the declaration is read, and
                # the watch continues from the version read.
                version = await self._read(Source.POLL)
                self._watched_version = version if version is not None else self._watched_version
            if not isinstance(outcome, StoreDone):
                await asyncio.sleep(self._jitter.uniform(0.5, 1.0) * retry_s)
                retry_s = min(retry_s * 2, WATCH_RETRY_MAX_S)
                continue
            retry_s = WATCH_RETRY_S
            self._watched_version = max(self._watched_version, outcome.version)
            self.proof.record_answer(outcome.version)
            for name, version, value in outcome.value:
                if name == self._location.name and value is not None:
                    self._offer_declaration(version, value, Source.WATCH)

    async def _watch_once(self):
        try:
            async with asyncio.timeout(self._watch_timeout_s + WATCH_MARGIN_S):
                return await self._store.watch(
                    kind=self._location.kind,
                    from_version=max(self._watched_version, self.known_version),
                    timeout_s=self._watch_timeout_s,
                )
        except TimeoutError:
            return None

    async def poll(self):
        """Read at a bounded interval, which finds changes that a silent watch or a dropped event missed."""
        while True:
            await asyncio.sleep(self._poll_s() * self._jitter.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))
            if await self._is_confirmed_by_reader():
                continue
            if await self._read(Source.POLL) is None:
                # A fault that silences the watch usually silences the poll's idle connection
                # too, and this poll spent its full timeout on it. The store is on a new
                # connection now; a single immediate retry keeps outages cheap.
                await asyncio.sleep(POLL_RETRY_S * self._jitter.uniform(0.5, 1.0))
                if await self._read(Source.POLL) is None and self._readers is not None:
                    self._readers.pause_self()

    def _reads_platform(self):
        return self._readers is None or self._readers.reads_store

    def _poll_s(self):
        shares = self._readers is not None and self._readers.reads_store
        return max(READER_POLL_INTERVAL_S, self._poll_interval_s) if shares else self._poll_interval_s

    async def _is_confirmed_by_reader(self):
        """Whether a reader's confirmation makes a read of the platform unnecessary."""
        if self._readers is None:
            return False
        for reader in self._readers.readers_to_query() or self._other_readers_if_unproved():
            # The age counts from before the request: a delayed answer is not fresher for its delay.
            requested_at = boot_time_s()
            confirmation = await self._request_confirmation(reader)
            if confirmation is None or not 0.0 <= confirmation.age_s <= MAX_CONFIRMATION_AGE_S:
                self._readers.pause(reader)
                continue
            if confirmation.generation > self._generation():
                self._observe_generation(confirmation.generation, reader)
                await self._wait_until_in_force(confirmation.generation)
            if confirmation.generation == self._generation():
                self.proof.confirm(requested_at - confirmation.age_s)
                return True
        return False

    def _other_readers_if_unproved(self):
        """The other readers, for a reader that can't tell yet whether the store is complete; else none."""
        return () if self.proof.own_reads_are_proof else self._readers.other_readers()

    async def _wait_until_in_force(self, generation):
        """Wait until a generation that a peer reported is in force here, for at most the usual time of a fetch.

        Reading the platform immediately would cost a read by every router for each change.
        """
        until = boot_time_s() + FETCH_TIMEOUT_S
        while self._generation() < generation and boot_time_s() < until:
            await asyncio.sleep(FETCH_CHECK_INTERVAL_S)

    async def _read(self, source):
        """Read the declaration; return its version (``NO_VERSION`` if absent), or ``None`` if it can't be read."""
        known = self.known_version or None
        began_at = boot_time_s()
        outcome = await self._store.get(kind=self._location.kind, name=self._location.name, unless_version=known)
        if isinstance(outcome, StoreAbsent):
            return NO_VERSION
        if not isinstance(outcome, StoreDone):
            return None
        self.last_read_at = asyncio.get_running_loop().time()
        self.proof.record_answer(outcome.version)
        if outcome.value is not None:
            self._offer_declaration(outcome.version, outcome.value, source)
        self.proof.record_read(began_at)
        return outcome.version

    def _offer_declaration(self, version, value, source):
        accepted = self._location.parse_accepted(version=version, value=value)
        if accepted is None:
            logger.error("object {}/{} is not a valid declaration", self._location.kind, self._location.name)
            return
        self.proof.record_declaration(version, accepted.generation)
        # The version only increases: a stale read must not make the watch repeat events.
        self.known_version = max(self.known_version, version)
        self._offer(accepted.generation, accepted.text, source)

    async def wait_until_confirmed(self):
        """Return once a read is proved to be the newest."""
        retry_s = START_RETRY_S
        while not await self._read_confirmed():
            await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
            retry_s = min(retry_s * 2, START_RETRY_MAX_S)

    async def _read_confirmed(self):
        """Read the declaration; ``True`` if the read is proved not to be stale.

        The proof is an update conditional on a version that no object ever has: it is refused
        with the object's current version and changes nothing.
        """
        read_version = await self._read(Source.POLL)
        if read_version is None:
            return False
        if self._location.reads_are_linearizable:
            return True
        outcome = await self._store.update(
            kind=self._location.kind, name=self._location.name, value=None, if_version=NO_VERSION
        )
        if isinstance(outcome, StoreAbsent):
            return read_version == NO_VERSION
        return isinstance(outcome, StoreConflict) and outcome.version == read_version


class PeerSource:
    """Fetches declarations from peers: those that heartbeats announce, and one at the start.

    Parameters
    ----------
    query_peers : callable
        ``await query_peers(generation, preferred_peer)`` returns a :class:`PeersAnswer`; ``preferred_peer`` is a
        peer that has that generation, or ``None``.
    offer : callable
        ``offer(generation, text, source)``.
    is_known : callable
        ``is_known(generation)`` returns whether a declaration of that generation is not needed.
    jitter : random.Random
    delay_s : float
        Mean delay between the announcement of a declaration and its fetch.
    """

    __slots__ = (
        "highest_observed",
        "_query_peers",
        "_offer",
        "_is_known",
        "_jitter",
        "_delay_s",
        "_preferred_peer",
        "_has_observed",
    )

    def __init__(self, *, query_peers, offer, is_known, jitter, delay_s=PEER_DELAY_S):
        self._delay_s = delay_s
        self._preferred_peer = None
        self.highest_observed = NO_GENERATION
        self._query_peers = query_peers
        self._offer = offer
        self._is_known = is_known
        self._jitter = jitter
        self._has_observed = asyncio.Event()

    def observe_generation(self, generation, peer=None):
        """Process the generation that a peer's heartbeat carries."""
        if generation > self.highest_observed or not self._is_known(generation):
            if generation >= self.highest_observed:
                self._preferred_peer = peer
            self.highest_observed = max(generation, self.highest_observed)
            self._has_observed.set()

    async def fetch_first(self):
        """Return once at least one peer with a declaration in force has answered."""
        while not await self._fetch(NO_GENERATION + 1, None):
            await asyncio.sleep(START_RETRY_S)

    async def follow(self):
        """Fetch generations that heartbeats announce, unless another source brings them first."""
        while True:
            await self._has_observed.wait()
            self._has_observed.clear()
            await asyncio.sleep(self._delay_s * self._jitter.uniform(0.5, 1.5))
            if not self._is_known(self.highest_observed):
                # If no peer returns it, the next heartbeat triggers another fetch.
                await self._fetch(self.highest_observed, self._preferred_peer)

    async def _fetch(self, generation, preferred_peer):
        """Fetch a declaration of at least ``generation`` from peers; ``True`` if one answered."""
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                answer = await self._query_peers(generation, preferred_peer)
        except TimeoutError:
            return False
        if not answer.answered:
            return False
        self._offer(answer.generation, answer.text, Source.PEER)
        return True
