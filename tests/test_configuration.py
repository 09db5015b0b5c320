"""The declaration in force on a router: silent watches, stale reads, outages, restarts."""

import asyncio
import random
import unittest

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import now, on_paused_clock
from wagtailtrestle.configuration.applying import Applied, apply, read_accepted
from wagtailtrestle.configuration.configuration import Configuration, PeersAnswer
from wagtailtrestle.contracts.declaration import Declaration
from wagtailtrestle.contracts.outcomes import StoreUnavailable
from wagtailtrestle.declarations.check import DeclarationFaults

POLL_S = 2.0
CONVERGENCE_LIMIT_S = 5.0
SEEDS = 40
STEPS = 12


def parse(text):
    if text.startswith("bad"):
        return DeclarationFaults(faults=("line 1: bad",))
    return Declaration(
        organisation=text,
        zones_by_region={},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={},
        engines_by_name={},
    )


class LatestJitter:
    """Always returns the longest wait."""

    def uniform(self, low, high):
        return high


class Router:
    """One configuration with its own store client, and the history of the generations in force."""

    def __init__(self, *, table, peers=(), jitter=None):
        self.store = MemoryStore(table=table)
        self.peers = list(peers)
        self.generations = []
        self.times = []
        self.configuration = Configuration(
            store=self.store,
            parse=parse,
            on_change=self._record_change,
            query_peers=self._query_peers,
            poll_interval_s=POLL_S,
            jitter=jitter or random.Random(1),
        )

    def _record_change(self, in_force):
        self.generations.append(in_force.generation)
        self.times.append(now())

    async def _query_peers(self, generation, preferred_peer):
        await asyncio.sleep(0.005)
        held = [peer.configuration.in_force for peer in self.peers]
        held = [in_force for in_force in held if in_force is not None and in_force.generation >= generation]
        if not held:
            return PeersAnswer()
        best = max(held, key=lambda in_force: in_force.generation)
        return PeersAnswer(answered=len(held), generation=best.generation, text=best.text)


class ConfigurationTests(unittest.TestCase):
    def setUp(self):
        self.operator = MemoryStore()
        self.routers = []

    def router(self, *, start=True, **options):
        router = Router(table=self.operator.table, **options)
        self.routers.append(router)
        if start:
            router.configuration.start()
        return router

    async def apply(self, text):
        outcome = await apply(store=self.operator, text=text, apply_id=text, clock=lambda: 0.0)
        self.assertIsInstance(outcome, Applied)
        return outcome.generation

    @on_paused_clock
    async def test_watch_puts_in_force_immediately(self):
        router = self.router()
        await asyncio.sleep(1)
        self.assertIsNone(router.configuration.in_force)
        for text in ("a", "b"):
            await self.apply(text)
            await asyncio.sleep(0.1)
        self.assertEqual(router.generations, [1, 2])
        self.assertEqual(router.configuration.in_force.declaration.organisation, "b")

    @on_paused_clock
    async def test_silent_watch(self):
        # The watch's connection has gone silent: no event and no error ever arrives. The
        # next generation must still be in force within seconds, by polling.
        await self.apply("a")
        router = self.router(start=False)
        router.store.silent_watch = True
        router.configuration.start()
        await asyncio.sleep(1)
        await self.apply("b")
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [1, 2])
        self.assertLessEqual(router.times[1] - 1, 1.25 * POLL_S)

    @on_paused_clock
    async def test_silent_watch_and_next_poll_on_a_silent_connection(self):
        # The fault that silenced the watch also silenced the polls' idle connection: the next
        # poll fails at its timeout of 2 s. Waiting a full interval after that would miss the
        # 5 s that operators are promised.
        await self.apply("a")
        router = self.router(start=False, jitter=LatestJitter())
        router.store.silent_watch = True
        router.configuration.start()
        await asyncio.sleep(1)
        await self.apply("b")
        fresh_get = router.store.get

        async def silent_get(**options):
            router.store.get = fresh_get
            await asyncio.sleep(2)
            return StoreUnavailable(detail="timeout")

        router.store.get = silent_get
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [1, 2])

    @on_paused_clock
    async def test_dropped_watch_event(self):
        # The watch works but the platform sends no event for one write. The router must
        # not stay on the old generation until the next apply.
        await self.apply("a")
        router = self.router()
        await asyncio.sleep(1)
        self.operator.drop_events = True
        await self.apply("b")
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [1, 2])

    @on_paused_clock
    async def test_stale_read_after_restart(self):
        # Generation 2 was in force on a router that is replaced. The new process reads the
        # platform through a stale cache and gets generation 1; no peer answers. It must stay
        # unready until a read is proved to be the newest, and never serve generation 1.
        await self.apply("a")
        await self.apply("b")
        router = self.router(start=False)
        router.store.stale_versions = 1
        router.store.silent_watch = True
        router.configuration.start()
        await asyncio.sleep(2)
        self.assertEqual(router.generations, [])
        router.store.stale_versions = 0
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [2])
        self.assertTrue(router.configuration.dump()["is_confirmed"])

    @on_paused_clock
    async def test_stale_read_after_restart_while_the_platform_refuses_writes(self):
        # As above, but the platform refuses every write, so no read can be proved to be the
        # newest. A peer has generation 2: the router starts with the higher one.
        await self.apply("a")
        await self.apply("b")
        peer = self.router()
        await asyncio.sleep(1)
        router = self.router(start=False, peers=[peer])
        router.store.stale_versions = 1
        router.store.silent_watch = True
        router.store.refuse_writes = True
        router.configuration.start()
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [2])
        self.assertFalse(router.configuration.dump()["is_confirmed"])

    @on_paused_clock
    async def test_unproved_read_without_peers_is_used_after_the_wait_and_reported(self):
        # The platform refuses writes and no peer answers: the router uses the declaration that
        # it can read rather than never serve, but only after the wait, and the dump says so.
        await self.apply("a")
        router = self.router(start=False)
        router.store.refuse_writes = True
        router.configuration.start()
        await asyncio.sleep(4.9)
        self.assertEqual(router.generations, [])
        await asyncio.sleep(0.5)
        self.assertEqual(router.generations, [1])
        self.assertFalse(router.configuration.dump()["is_confirmed"])

    @on_paused_clock
    async def test_outage_at_start_with_peers(self):
        # The platform is unreachable when a router is replaced. Its peers hold generations 1
        # and 2; it must be ready within seconds, on 2, and stay there.
        await self.apply("a")
        behind = self.router()
        await asyncio.sleep(1)
        behind.store.down = True
        behind.store.silent_watch = True
        ahead = self.router()
        await self.apply("b")
        await asyncio.sleep(1)
        router = self.router(start=False, peers=[behind, ahead])
        router.store.down = True
        router.configuration.start()
        await asyncio.sleep(2)
        self.assertEqual(router.generations, [2])
        router.store.down = False
        await asyncio.sleep(10)
        self.assertEqual(router.generations, [2])
        self.assertTrue(router.configuration.dump()["is_confirmed"])

    @on_paused_clock
    async def test_outage_at_start_without_peers(self):
        # No source has a declaration: the router is not ready until the platform is reachable again.
        await self.apply("a")
        router = self.router(start=False)
        router.store.down = True
        router.configuration.start()
        await asyncio.sleep(30)
        self.assertIsNone(router.configuration.in_force)
        router.store.down = False
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [1])

    @on_paused_clock
    async def test_heartbeat_announces_a_higher_generation(self):
        # Only this router can't reach the platform. A peer's heartbeat carries the new
        # generation, and the text is fetched from the peer.
        await self.apply("a")
        peer = self.router()
        router = self.router(peers=[peer])
        await asyncio.sleep(1)
        router.store.down = True
        router.store.silent_watch = True
        await asyncio.sleep(31)
        await self.apply("b")
        await asyncio.sleep(0.1)
        router.configuration.observe_generation(peer.configuration.generation)
        await asyncio.sleep(1)
        self.assertEqual(router.generations, [1, 2])

    @on_paused_clock
    async def test_running_router_never_goes_back(self):
        # A running router polls a stale platform, gets lower generations from peers and
        # survives an outage: the generation in force does not change.
        for text in ("a", "b"):
            await self.apply(text)
        router = self.router()
        await asyncio.sleep(1)
        router.store.stale_versions = 1
        router.configuration.offer(1, "a", "peer")
        router.configuration.observe_generation(1)
        await asyncio.sleep(10)
        router.store.down = True
        await asyncio.sleep(600)
        self.assertEqual(router.generations, [2])

    @on_paused_clock
    async def test_faulty_declaration_is_not_put_in_force(self):
        # A declaration that this router's version can't read: the previous one stays in
        # force, the dump lists the faults, and the next valid one is put in force.
        await self.apply("a")
        router = self.router()
        await asyncio.sleep(1)
        await self.apply("bad")
        await asyncio.sleep(CONVERGENCE_LIMIT_S)
        self.assertEqual(router.generations, [1])
        self.assertEqual(router.configuration.dump()["faults_by_generation"], {2: ["line 1: bad"]})
        await self.apply("c")
        await asyncio.sleep(1)
        self.assertEqual(router.generations, [1, 3])

    @on_paused_clock
    async def test_restart_on_a_faulty_declaration_uses_the_peers_declaration(self):
        # The accepted generation 2 is faulty for this version, and all peers are still on 1.
        # A restarted router would never be ready if it only considered the highest.
        await self.apply("a")
        peer = self.router()
        await asyncio.sleep(1)
        await self.apply("bad")
        await asyncio.sleep(1)
        router = self.router(peers=[peer])
        await asyncio.sleep(1)
        router.configuration.observe_generation(1)
        await asyncio.sleep(1)
        self.assertEqual(router.generations, [1])

    @on_paused_clock
    async def test_polls_stay_within_the_platforms_budget(self):
        await self.apply("a")
        router = self.router()
        await asyncio.sleep(1000)
        calls = router.store.calls
        self.assertLessEqual(calls["reads"], 1.05 * 1000 / POLL_S)
        self.assertLessEqual(calls["watches"], 40)
        self.assertLessEqual(calls["writes"], 1)

    @on_paused_clock
    async def test_random_faults_and_restarts(self):
        # Three routers run through random outages, stale reads, silent watches, dropped
        # events, refused writes and restarts while operators apply. A process never goes
        # back to a lower generation; a restarted one that reports a confirmed start begins
        # no lower than its predecessor ended; and seconds after the faults end all have the
        # newest generation in force.
        restarts = 0
        for seed in range(SEEDS):
            jitter = random.Random(seed)
            self.operator = MemoryStore()
            members = [self.router(jitter=jitter) for _ in range(3)]
            for router in members:
                router.peers = members
            for step in range(STEPS):
                if jitter.random() < 0.4:
                    await self.apply(f"{seed}-{step}")
                self.operator.drop_events = jitter.random() < 0.3
                for router in members:
                    self._set_random_faults(router.store, jitter)
                    router.configuration.observe_generation(max(peer.configuration.generation for peer in members))
                if jitter.random() < 0.3:
                    restarts += await self._restart_one(members, jitter)
                await asyncio.sleep(jitter.uniform(0, 3))
            await self._assert_converged(members, seed)
        self.assertGreater(restarts, SEEDS // 2)

    def _set_random_faults(self, store, jitter):
        store.down = jitter.random() < 0.2
        store.silent_watch = jitter.random() < 0.3
        store.refuse_writes = jitter.random() < 0.2
        store.stale_versions = jitter.choice((0, 0, 1, 2))

    async def _restart_one(self, members, jitter):
        """Replace one router's process; return whether its start was confirmed."""
        index = jitter.randrange(len(members))
        before = members[index].configuration
        await before.close()
        router = self.router(jitter=jitter, start=False)
        members[index] = router
        router.peers = members
        self._set_random_faults(router.store, jitter)
        router.configuration.start()
        await asyncio.sleep(jitter.uniform(0, 3))
        if not router.generations or not router.configuration.dump()["is_confirmed"]:
            return False
        self.assertGreaterEqual(router.generations[0], before.generation)
        return True

    async def _assert_converged(self, members, seed):
        accepted = await read_accepted(store=self.operator)
        for router in members:
            for name in ("down", "silent_watch", "refuse_writes"):
                setattr(router.store, name, False)
            router.store.stale_versions = 0
        # A start whose proof was refused retries within 5 s.
        await asyncio.sleep(2 * CONVERGENCE_LIMIT_S)
        self.assertEqual([router.configuration.generation for router in members], [accepted.generation] * 3, seed)
        for router in members:
            await router.configuration.close()

    def tearDown(self):
        for router in self.routers:
            self.assertEqual(router.generations, sorted(set(router.generations)), "went back")


if __name__ == "__main__":
    unittest.main()
