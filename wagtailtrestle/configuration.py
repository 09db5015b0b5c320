"""Keeps the declaration in force on one router: only ever a higher generation.

Three sources bring declarations: a watch on the platform, bounded polling, and peers.
Any one of them is enough; see ``docs/design/configuration.md``.
"""

import asyncio
import random
from dataclasses import dataclass

from loguru import logger

from wagtailtrestle.applying import (
    DECLARATION_KIND,
    DECLARATION_NAME,
    NO_GENERATION,
    accepted_from_value,
)
from wagtailtrestle.declaration import Declaration
from wagtailtrestle.outcomes import StoreAbsent, StoreConflict, StoreDone

DEFAULT_POLL_INTERVAL_S = 2.0
DEFAULT_WATCH_TIMEOUT_S = 30.0
DEFAULT_START_WAIT_S = 5.0
POLL_JITTER = 0.25
START_RETRY_S = 0.2
START_RETRY_MAX_S = 5.0
# With a peer's answer in hand, how much longer the platform may take to confirm.
PLATFORM_GRACE_S = 1.0
KEPT_REJECTED = 16
WATCH_RETRY_S = 0.5
WATCH_RETRY_MAX_S = 5.0
# Longer than any store needs to give up on a silent watch by itself.
WATCH_MARGIN_S = 5.0
# A peer's generation is mostly on its way to us by the watch as well.
PEER_DELAY_S = 0.2
PEER_TIMEOUT_S = 2.0
# No object is ever at this version, so an update that asks for it never takes effect.
NEVER_A_VERSION = 0


class Source:
    """Names of where a declaration came from, for logs and the dump."""

    WATCH = "watch"
    POLL = "poll"
    PEER = "peer"


@dataclass(slots=True, frozen=True, kw_only=True)
class InForce:
    """The declaration that this router goes by."""

    generation: int
    declaration: Declaration
    text: str


@dataclass(slots=True, frozen=True, kw_only=True)
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


@dataclass(slots=True, frozen=True, kw_only=True)
class _Candidate:
    generation: int
    text: str
    source: str


class Configuration:
    """The declaration in force and the tasks that keep it up to date.

    Parameters
    ----------
    store : ObjectStore
    parse : callable
        ``parse(text)`` gives a ``Declaration`` or a ``DeclarationFaults``.
    on_change : callable
        ``on_change(in_force)``, called on the loop after each change.
    ask_peers : callable
        ``await ask_peers(generation)`` asks reachable peers for their declaration if it
        is at least ``generation`` and gives a ``PeersAnswer``.
    executor : concurrent.futures.Executor, optional
        Where ``parse`` runs; on the loop itself when ``None``.
    poll_interval_s, watch_timeout_s : float
    start_wait_s : float
        How long a starting router tries to have its first declaration confirmed.
    jitter : random.Random, optional
    """

    def __init__(
        self,
        *,
        store,
        parse,
        on_change,
        ask_peers,
        executor=None,
        poll_interval_s=DEFAULT_POLL_INTERVAL_S,
        watch_timeout_s=DEFAULT_WATCH_TIMEOUT_S,
        start_wait_s=DEFAULT_START_WAIT_S,
        jitter=None,
    ):
        self.in_force = None
        self._store = store
        self._parse = parse
        self._on_change = on_change
        self._ask_peers = ask_peers
        self._executor = executor
        self._poll_interval_s = poll_interval_s
        self._watch_timeout_s = watch_timeout_s
        self._start_wait_s = start_wait_s
        self._jitter = jitter or random.Random()
        self._candidate = None
        self._is_confirmed = False
        self._known_version = 0
        self._watched_version = 0
        self._highest_seen = NO_GENERATION
        self._faults_by_generation = {}
        self._since = None
        self._source = ""
        self._heard_generation = NO_GENERATION
        self._counts_by_source = {Source.WATCH: 0, Source.POLL: 0, Source.PEER: 0}
        self._last_platform_read = None
        self._is_decided = None
        self._has_candidate = None
        self._has_heard = None
        self._tasks = ()

    @property
    def generation(self):
        """The generation in force, 0 while there is none."""
        return self.in_force.generation if self.in_force else NO_GENERATION

    def start(self):
        """Start the tasks; must be called on the running event loop."""
        self._is_decided = asyncio.Event()
        self._has_candidate = asyncio.Event()
        self._has_heard = asyncio.Event()
        steps = (self._begin(), self._adopt(), self._watch(), self._poll(), self._fetch_from_peers())
        self._tasks = tuple(asyncio.get_running_loop().create_task(step) for step in steps)
        for task in self._tasks:
            task.add_done_callback(_report_broken)

    async def close(self):
        """End the tasks; what is in force stays readable."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def offer(self, generation, text, source):
        """Take a declaration from any source; put in force if it is the highest."""
        self._highest_seen = max(self._highest_seen, generation)
        if self._is_known(generation):
            return
        self._candidate = _Candidate(generation=generation, text=text, source=source)
        self._has_candidate.set()

    def heard(self, generation):
        """Note the generation that a peer's heartbeat carries."""
        if generation > max(self._heard_generation, self.generation):
            self._heard_generation = generation
            self._has_heard.set()

    def dump(self):
        """Return the state as a plain dict, without the text."""
        loop = asyncio.get_running_loop()
        return {
            "generation": self.generation,
            "is_confirmed": self._is_confirmed,
            "source": self._source,
            "age_s": _age(loop, self._since),
            "highest_seen": self._highest_seen,
            "heard_from_peers": self._heard_generation,
            "faults_by_generation": {
                generation: [str(fault) for fault in faults]
                for generation, faults in self._faults_by_generation.items()
            },
            "platform_version": self._known_version,
            "platform_read_age_s": _age(loop, self._last_platform_read),
            "put_in_force_by_source": dict(self._counts_by_source),
            "poll_interval_s": self._poll_interval_s,
            "watch_timeout_s": self._watch_timeout_s,
        }

    # Putting in force

    async def _adopt(self):
        """Put candidates in force one after the other, always the newest one there is."""
        # Before the start is decided, what was read first may be stale: putting it in
        # force would take this router back behind what it had before its restart.
        await self._is_decided.wait()
        while True:
            await self._has_candidate.wait()
            self._has_candidate.clear()
            candidate = self._candidate
            if candidate is not None:
                self._conclude(candidate, await self._run_parse(candidate.text))

    async def _run_parse(self, text):
        if self._executor is None:
            return self._parse(text)
        return await asyncio.get_running_loop().run_in_executor(self._executor, self._parse, text)

    def _conclude(self, candidate, parsed):
        if self._candidate is candidate:
            self._candidate = None
        log = logger.bind(generation=candidate.generation, source=candidate.source)
        if not isinstance(parsed, Declaration):
            self._reject(candidate, tuple(parsed.faults))
            log.error("declaration not put in force, it has {} faults", len(parsed.faults))
            return
        self.in_force = InForce(generation=candidate.generation, declaration=parsed, text=candidate.text)
        self._since = asyncio.get_running_loop().time()
        self._source = candidate.source
        self._counts_by_source[candidate.source] += 1
        log.info("declaration in force")
        self._on_change(self.in_force)

    def _reject(self, candidate, faults):
        """Remember a declaration that can't be put in force, so that it is parsed once."""
        self._faults_by_generation[candidate.generation] = faults
        for generation in sorted(self._faults_by_generation)[:-KEPT_REJECTED]:
            del self._faults_by_generation[generation]

    def _is_known(self, generation):
        """Whether there is nothing to gain from a declaration of this generation."""
        newest = self._candidate.generation if self._candidate else NO_GENERATION
        return generation <= max(newest, self.generation) or generation in self._faults_by_generation

    # Start

    async def _begin(self):
        """Decide what to begin with; nothing is in force before.

        A router that restarts remembers nothing, and its first read may be stale. So it
        begins with the first of: what the platform confirms as its newest; when that
        can't be had, the highest of what peers and the platform tell; after
        ``start_wait_s`` without either, whatever was read, reported as not confirmed.
        """
        loop = asyncio.get_running_loop()
        platform = loop.create_task(self._confirm())
        peers = loop.create_task(self._hear_peers())
        anything = loop.create_task(self._has_candidate.wait())
        try:
            await asyncio.wait((platform, peers), timeout=self._start_wait_s, return_when=asyncio.FIRST_COMPLETED)
            if not platform.done() and peers.done():
                await asyncio.wait((platform,), timeout=PLATFORM_GRACE_S)
            elif not platform.done():
                await asyncio.wait((platform, peers, anything), return_when=asyncio.FIRST_COMPLETED)
            if not platform.done():
                logger.warning("starting with a declaration that the platform has not confirmed as its newest")
            self._is_decided.set()
            await platform
        finally:
            for task in (platform, peers, anything):
                task.cancel()

    async def _confirm(self):
        """Read until one read is proved to be the newest."""
        retry_s = START_RETRY_S
        while not await self._read_confirmed():
            await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
            retry_s = min(retry_s * 2, START_RETRY_MAX_S)
        self._is_confirmed = True

    async def _read_confirmed(self):
        """Read the declaration; ``True`` if the read is proved not to be stale.

        The proof is an update that asks for a version no object ever has: it is refused
        with the object's true version and changes nothing.
        """
        read_version = await self._read(Source.POLL)
        if read_version is None:
            return False
        outcome = await self._store.update(
            kind=DECLARATION_KIND, name=DECLARATION_NAME, value=None, if_version=NEVER_A_VERSION
        )
        if isinstance(outcome, StoreAbsent):
            return read_version == NEVER_A_VERSION
        return isinstance(outcome, StoreConflict) and outcome.version == read_version

    async def _hear_peers(self):
        """Ask until at least one peer that has a declaration in force answers."""
        while True:
            answer = await self._ask(NO_GENERATION + 1)
            if answer.answered and answer.text:
                self.offer(answer.generation, answer.text, Source.PEER)
                return
            await asyncio.sleep(START_RETRY_S)

    # Sources

    async def _watch(self):
        """Wait for changes; a silent watch is given up, and polling covers the gap."""
        retry_s = WATCH_RETRY_S
        while True:
            outcome = await self._watch_once()
            if not isinstance(outcome, StoreDone):
                await asyncio.sleep(self._jitter.uniform(0.5, 1.0) * retry_s)
                retry_s = min(retry_s * 2, WATCH_RETRY_MAX_S)
                continue
            retry_s = WATCH_RETRY_S
            self._watched_version = max(self._watched_version, outcome.version)
            for name, version, value in outcome.value:
                if name == DECLARATION_NAME:
                    self._take(version, value, Source.WATCH)

    async def _watch_once(self):
        try:
            async with asyncio.timeout(self._watch_timeout_s + WATCH_MARGIN_S):
                return await self._store.watch(
                    kind=DECLARATION_KIND,
                    from_version=max(self._watched_version, self._known_version),
                    timeout_s=self._watch_timeout_s,
                )
        except TimeoutError:
            return None

    async def _poll(self):
        """Read at a bounded interval: finds what a silent watch or a dropped event hid."""
        while True:
            await asyncio.sleep(self._poll_interval_s * self._jitter.uniform(1 - POLL_JITTER, 1 + POLL_JITTER))
            await self._read(Source.POLL)

    async def _read(self, source):
        """Read the declaration; its version (``NEVER_A_VERSION`` if absent), or ``None`` if it can't be read."""
        known = self._known_version or None
        outcome = await self._store.get(kind=DECLARATION_KIND, name=DECLARATION_NAME, unless_version=known)
        if isinstance(outcome, StoreAbsent):
            return NEVER_A_VERSION
        if not isinstance(outcome, StoreDone):
            return None
        self._last_platform_read = asyncio.get_running_loop().time()
        if outcome.value is not None:
            self._take(outcome.version, outcome.value, source)
        return outcome.version

    def _take(self, version, value, source):
        accepted = accepted_from_value(version=version, value=value)
        if accepted is None:
            logger.error("the object {}/{} is not a declaration", DECLARATION_KIND, DECLARATION_NAME)
            return
        # Only upwards: a stale read must not make the watch tell everything again.
        self._known_version = max(self._known_version, version)
        self.offer(accepted.generation, accepted.text, source)

    async def _fetch_from_peers(self):
        """Fetch a generation that a heartbeat told of, unless it comes by itself."""
        while True:
            await self._has_heard.wait()
            self._has_heard.clear()
            await asyncio.sleep(PEER_DELAY_S * self._jitter.uniform(0.5, 1.5))
            wanted = self._heard_generation
            if self._is_known(wanted):
                continue
            answer = await self._ask(wanted)
            if answer.text:
                self.offer(answer.generation, answer.text, Source.PEER)
            if not self._is_known(wanted):
                await asyncio.sleep(PEER_DELAY_S)
                self._has_heard.set()

    async def _ask(self, generation):
        try:
            async with asyncio.timeout(PEER_TIMEOUT_S):
                return await self._ask_peers(generation)
        except TimeoutError:
            return PeersAnswer()


def _report_broken(task):
    """A task that ends by itself is a broken invariant: the process must not go on quietly."""
    if not task.cancelled() and task.exception() is not None:
        context = {"message": "a task of the configuration ended", "exception": task.exception(), "task": task}
        task.get_loop().call_exception_handler(context)


def _age(loop, since):
    return None if since is None else round(loop.time() - since, 3)
