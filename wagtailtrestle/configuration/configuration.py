"""Maintains the declaration in force on one router; its generation only increases.

Declarations come from three sources: a watch on the platform, polling at a bounded interval, and peers.
Any one of them is sufficient; see ``docs/design/configuration.md``.
"""

import asyncio
import random

from loguru import logger

from wagtailtrestle.broken_invariant import report_failed_task
from wagtailtrestle.configuration.applying import NO_GENERATION
from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.sources import (
    PEER_DELAY_S,
    PEER_DELAY_WITH_READERS_S,
    NativeDeclarations,
    PeersAnswer,
    PeerSource,
    PlatformSource,
    Source,
)
from wagtailtrestle.contracts.declaration import Declaration
from wagtailtrestle.record import record

__all__ = ["Configuration", "InForce", "PeersAnswer"]

DEFAULT_POLL_INTERVAL_S = 2.0
DEFAULT_WATCH_TIMEOUT_S = 30.0
DEFAULT_START_WAIT_S = 5.0
# How long to wait for the platform's confirmation once a peer has answered.
PLATFORM_GRACE_S = 1.0
MAX_REJECTED_KEPT = 16


@record
class InForce:
    """The declaration in force on this router."""

    generation: int
    declaration: Declaration
    text: str


@record
class _Candidate:
    generation: int
    text: str
    source: Source


class Configuration:
    """The declaration in force, and the tasks that update it.

    Parameters
    ----------
    store : ObjectStore
    parse : callable
        ``parse(text)`` returns a ``Declaration`` or a ``DeclarationFaults``.
    on_change : callable
        ``on_change(in_force)``, called on the loop after each change.
    query_peers : callable
        ``await query_peers(generation, preferred_peer)`` requests a declaration of at least ``generation`` from
        reachable peers, ``preferred_peer`` first if not ``None``, and returns a ``PeersAnswer``.
    executor : concurrent.futures.Executor, optional
        Runs ``parse``; with ``None`` it runs on the event loop.
    poll_interval_s, watch_timeout_s : float
    start_wait_s : float
        How long a starting router waits for its first declaration to be confirmed.
    jitter : random.Random, optional
    location : DeclarationLocation, optional
        Where the store holds the declaration; by default the object that ``wagtailtrestle apply`` writes.
    readers : StoreReaders, optional
        Selects the routers that read the platform for all; without it every router watches and polls it.
    request_confirmation : callable, optional
        Requests from a reader the time since the platform confirmed its declaration.
    epoch : StoreEpoch, optional
        Epoch of the platform's store.
    """

    def __init__(
        self,
        *,
        store,
        parse,
        on_change,
        query_peers,
        executor=None,
        poll_interval_s=DEFAULT_POLL_INTERVAL_S,
        watch_timeout_s=DEFAULT_WATCH_TIMEOUT_S,
        start_wait_s=DEFAULT_START_WAIT_S,
        jitter=None,
        location=None,
        readers=None,
        request_confirmation=None,
        epoch=None,
    ):
        self.in_force = None
        self._parse = parse
        self._on_change = on_change
        self._executor = executor
        self._poll_interval_s = poll_interval_s
        self._watch_timeout_s = watch_timeout_s
        self._start_wait_s = start_wait_s
        jitter = jitter or random.Random()
        self._platform = PlatformSource(
            store=store,
            offer=self.offer,
            poll_interval_s=poll_interval_s,
            watch_timeout_s=watch_timeout_s,
            jitter=jitter,
            location=location or NativeDeclarations(),
            readers=readers,
            request_confirmation=request_confirmation,
            generation=lambda: self.generation,
            observe_generation=self.observe_generation,
            is_settled=self._is_settled,
            epoch=epoch,
        )
        self._peers = PeerSource(
            query_peers=query_peers,
            offer=self.offer,
            is_known=self._is_known,
            jitter=jitter,
            delay_s=PEER_DELAY_S if readers is None else PEER_DELAY_WITH_READERS_S,
        )
        self._candidate = None
        self._highest_seen = NO_GENERATION
        self._faults_by_generation = {}
        self._counts_by_source = dict.fromkeys(Source, 0)
        self._in_force_since = None
        self._source = ""
        self._is_confirmed = False
        self._is_start_decided = asyncio.Event()
        self._has_candidate = asyncio.Event()
        self._tasks = ()

    @property
    def generation(self):
        """The generation in force, 0 while there is none."""
        return self.in_force.generation if self.in_force else NO_GENERATION

    def confirmed_age_s(self):
        """Seconds since the declaration in force was last confirmed as the newest; ``None`` if it never was.

        May be called from any thread.
        """
        confirmed_at = self._platform.confirmed_at
        return None if confirmed_at is None else boot_time_s() - confirmed_at

    def start(self):
        """Start the tasks; must be called on the running event loop."""
        steps = (
            self._decide_start(),
            self._adopt(),
            self._platform.watch(),
            self._platform.poll(),
            self._peers.follow(),
        )
        self._tasks = tuple(asyncio.get_running_loop().create_task(step) for step in steps)
        for task in self._tasks:
            task.add_done_callback(lambda ended: report_failed_task(ended, "a task of the configuration ended"))

    async def close(self):
        """Cancel the tasks; the declaration in force stays readable."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def offer(self, generation, text, source):
        """Accept a declaration from any source; put it in force if its generation is the highest."""
        self._highest_seen = max(self._highest_seen, generation)
        if self._is_known(generation):
            return
        self._candidate = _Candidate(generation=generation, text=text, source=source)
        self._has_candidate.set()

    def observe_generation(self, generation, peer=None):
        """Process the generation that a peer's heartbeat carries."""
        self._peers.observe_generation(generation, peer)

    def dump(self):
        """Return the state as a plain dict, without the text."""
        loop = asyncio.get_running_loop()
        return {
            "generation": self.generation,
            "is_confirmed": self._is_confirmed,
            "source": str(self._source),
            "age_s": _age(loop, self._in_force_since),
            "highest_seen": self._highest_seen,
            "heard_from_peers": self._peers.highest_observed,
            "faults_by_generation": {
                generation: [str(fault) for fault in faults]
                for generation, faults in self._faults_by_generation.items()
            },
            "platform_version": self._platform.known_version,
            "platform_read_age_s": _age(loop, self._platform.last_read_at),
            "put_in_force_by_source": {source.value: count for source, count in self._counts_by_source.items()},
            "poll_interval_s": self._poll_interval_s,
            "watch_timeout_s": self._watch_timeout_s,
        }

    # Putting in force

    async def _adopt(self):
        """Put candidates in force one at a time, always the newest available."""
        # Until the start is decided, the first read may be stale: putting it in force could
        # take this router back to a generation below the one it had before its restart.
        await self._is_start_decided.wait()
        while True:
            await self._has_candidate.wait()
            self._has_candidate.clear()
            candidate = self._candidate
            if candidate is not None:
                self._finish_parse(candidate, await self._run_parse(candidate.text))

    async def _run_parse(self, text):
        if self._executor is None:
            return self._parse(text)
        return await asyncio.get_running_loop().run_in_executor(self._executor, self._parse, text)

    def _finish_parse(self, candidate, parsed):
        if self._candidate is candidate:
            self._candidate = None
        log = logger.bind(generation=candidate.generation, source=candidate.source)
        if not isinstance(parsed, Declaration):
            self._reject(candidate, tuple(parsed.faults))
            log.error("declaration not put in force: {} faults found", len(parsed.faults))
            return
        self.in_force = InForce(generation=candidate.generation, declaration=parsed, text=candidate.text)
        self._in_force_since = asyncio.get_running_loop().time()
        self._source = candidate.source
        self._counts_by_source[Source(candidate.source)] += 1
        log.info("declaration in force")
        self._on_change(self.in_force)

    def _reject(self, candidate, faults):
        """Record a declaration that can't be put in force, so that it is parsed only once."""
        self._faults_by_generation[candidate.generation] = faults
        for generation in sorted(self._faults_by_generation)[:-MAX_REJECTED_KEPT]:
            del self._faults_by_generation[generation]

    def _is_settled(self, generation):
        """Whether a generation is in force or superseded, or was rejected."""
        return generation <= self.generation or generation in self._faults_by_generation

    def _is_known(self, generation):
        """Whether a declaration of this generation is not needed: in force, superseded, pending or rejected."""
        newest = self._candidate.generation if self._candidate else NO_GENERATION
        return generation <= max(newest, self.generation) or generation in self._faults_by_generation

    # Start

    async def _decide_start(self):
        """Choose the first declaration; none is in force before.

        A restarted router keeps no state, and its first read may be stale. It starts with the first
        available of: the declaration that the platform confirms as its newest; if there is no
        confirmation, the highest generation from peers and the platform; after ``start_wait_s``
        without either, any declaration that was read, reported as not confirmed.
        """
        loop = asyncio.get_running_loop()
        platform = loop.create_task(self._platform.wait_until_confirmed())
        peers = loop.create_task(self._peers.fetch_first())
        any_candidate = loop.create_task(self._has_candidate.wait())
        try:
            await asyncio.wait((platform, peers), timeout=self._start_wait_s, return_when=asyncio.FIRST_COMPLETED)
            if not platform.done() and peers.done():
                await asyncio.wait((platform,), timeout=PLATFORM_GRACE_S)
            elif not platform.done():
                await asyncio.wait((platform, peers, any_candidate), return_when=asyncio.FIRST_COMPLETED)
            if not platform.done():
                logger.warning("starting with a declaration that the platform has not confirmed as its newest")
            self._is_start_decided.set()
            await platform
            self._is_confirmed = True
        finally:
            for task in (platform, peers, any_candidate):
                task.cancel()


def _age(loop, since):
    return None if since is None else round(loop.time() - since, 3)
