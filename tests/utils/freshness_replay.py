"""Replays traces of relayed freshness against the real configuration source and key proofs."""

import asyncio
import random
from types import SimpleNamespace
from unittest import mock

from wagtailtrestle.callers.authentication import KeyProof
from wagtailtrestle.configuration import sources
from wagtailtrestle.configuration.peer_configuration import PeerConfiguration
from wagtailtrestle.configuration.sources import PlatformSource, Source
from wagtailtrestle.contracts.outcomes import StoreDone
from wagtailtrestle.contracts.peer_messages import ConfirmationAsk
from wagtailtrestle.spec.freshness import LIMIT, ROUTERS

TICK_S = 0.5
LIMIT_S = LIMIT * TICK_S
WITH_KEY, WITHOUT_KEY = 1, 2
"""Generations of the configuration before and after the key was revoked."""
LOOP_ITERATIONS = 5
"""Iterations of the event loop that complete the effects of a step; nothing here waits for time."""


class GenerationObject:
    """A stored object that consists only of its generation."""

    kind = "config"
    name = "main"
    reads_are_linearizable = True

    def parse_accepted(self, *, version, value):
        """Parse the generation."""
        return SimpleNamespace(generation=value, text="")


class ManualStore:
    """Store whose reads are answered, and their answers delivered, by explicit calls."""

    def __init__(self):
        self._reading = None
        self._answer = None

    async def get(self, *, kind, name, unless_version=None):
        self._reading = asyncio.get_running_loop().create_future()
        return await self._reading

    def answer(self, generation):
        """Set the answer to the pending read."""
        self._answer = StoreDone(version=generation, value=generation)

    def deliver(self):
        """Deliver the answer to the reader."""
        if self._reading is not None and not self._reading.done() and self._answer is not None:
            self._reading.set_result(self._answer)
        self._answer = None


class OneReader:
    """Selects the other router as the reader to query, always."""

    reads_store = False

    def readers_to_query(self):
        """Return the readers to query."""
        return ("peer",)

    def pause(self, name):
        """Do nothing: the trace decides what the reader answers, so it stays available."""


class Router:
    """One router's source of the configuration and its answers to peers."""

    def __init__(self, *, clock):
        # Every router starts with a generation reported by a peer, without a proof.
        self.generation = WITH_KEY
        self.store = ManualStore()
        self.report = None
        self._clock = clock
        self._pending_query = None
        self._tasks = {}
        self.source = PlatformSource(
            store=self.store,
            offer=self._offer,
            poll_interval_s=TICK_S,
            watch_timeout_s=TICK_S,
            jitter=random.Random(1),
            location=GenerationObject(),
            readers=OneReader(),
            request_confirmation=self._query,
            generation=lambda: self.generation,
            observe_generation=lambda generation, peer: None,
        )
        self._answers = PeerConfiguration(
            peers=SimpleNamespace(on=lambda message_type, handler: None),
            members=lambda: (),
            in_force=lambda: SimpleNamespace(generation=self.generation),
            confirmed_age_s=self.age_s,
        )

    def age_s(self):
        """Return the age of this router's proof in seconds, or ``None`` without a proof."""
        return None if self.source.confirmed_at is None else self._clock() - self.source.confirmed_at

    def uses_key(self):
        """Whether a request with the key would be admitted now."""
        return self.generation == WITH_KEY and KeyProof(age_s=self.age_s(), limit_s=LIMIT_S).is_fresh

    def begin(self, name, coroutine):
        """Start a read or a query, unless one is in progress."""
        task = self._tasks.get(name)
        if task is None or task.done():
            self._tasks[name] = asyncio.get_running_loop().create_task(coroutine)
        else:
            coroutine.close()

    def answer_query(self):
        """Return this router's answer to a peer's query."""
        return self._answers._answer_confirmation("peer", ConfirmationAsk(), "")

    def deliver_report(self):
        """Deliver a peer's answer."""
        if self._pending_query is not None and not self._pending_query.done() and self.report is not None:
            self._pending_query.set_result(self.report)
        self.report = None

    async def close(self):
        """Cancel reads and queries in progress."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _offer(self, generation, text, source):
        self.generation = max(self.generation, generation)

    async def _query(self, reader):
        self._pending_query = asyncio.get_running_loop().create_future()
        return await self._pending_query


class FreshnessReplay:
    """Replays one trace against two routers.

    Attributes
    ----------
    late : list of str
        Steps after which a router would still have used the key although the limit had passed.
    proved_by_report : int
        Number of times that a report of the other router renewed a router's proof.
    """

    def __init__(self, *, trace):
        self.late = []
        self.proved_by_report = 0
        self._trace = trace
        self._now = 100.0
        self._revoked_at = None
        self._routers = [self._new_router() for _ in ROUTERS]

    def _new_router(self):
        return Router(clock=lambda: self._now)

    async def run(self):
        """Follow the trace."""
        # A fetch is a step of its own in the trace, so a query must not wait for one.
        with (
            mock.patch.object(sources, "boot_time_s", lambda: self._now),
            mock.patch.object(sources, "FETCH_TIMEOUT_S", 0.0),
        ):
            for step in self._trace.steps[1:]:
                before = [router.source.confirmed_at for router in self._routers]
                await self._follow(step)
                for _ in range(LOOP_ITERATIONS):
                    await asyncio.sleep(0)
                after = [router.source.confirmed_at for router in self._routers]
                self.proved_by_report += step.verb == "accept" and after != before
                self._check_key_use(step)
        for router in self._routers:
            await router.close()

    async def _follow(self, step):
        number = step.parameters.get("router", 0)
        router, peer = self._routers[number], self._routers[1 - number]
        match step.verb:
            case "tick" | "tick_suspended":
                self._now += TICK_S
            case "revoke":
                self._revoked_at = self._now
            case "begin_read":
                router.begin("read", router.source._read(Source.POLL))
            case "answer_read":
                router.store.answer(WITH_KEY if self._revoked_at is None else WITHOUT_KEY)
            case "end_read":
                router.store.deliver()
            case "query":
                router.begin("query", router.source._is_confirmed_by_reader())
            case "answer":
                router.report = peer.answer_query()
            case "accept":
                router.deliver_report()
            case "restart":
                await router.close()
                self._routers[number] = self._new_router()

    def _check_key_use(self, step):
        since_s = None if self._revoked_at is None else self._now - self._revoked_at
        for router in self._routers:
            if not router.uses_key():
                continue
            if since_s is not None and since_s >= LIMIT_S:
                self.late.append(step.action)
