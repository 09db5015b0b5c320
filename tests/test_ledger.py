"""Claims on idempotency keys under lost answers, two owners, paused and dead routers."""

import asyncio
import unittest

import looptime

from tests.utils.memory_store import MemoryStore
from wagtailtrestle.contracts.ledger_messages import ClaimAsk, NonceState, SettleAsk
from wagtailtrestle.contracts.outcomes import (
    ClaimFinished,
    ClaimMismatch,
    ClaimTaken,
    ClaimUnavailable,
    ClaimWon,
    StoreDone,
)
from wagtailtrestle.ledger.ledger import Ledger
from wagtailtrestle.ledger.record import (
    BODIES_LIMIT_BYTES,
    CLOCK_SKEW_MARGIN_S,
    LEDGER_KIND,
    MAX_BODY_BYTES,
    SHARD_LIMIT_BYTES,
    ShardContents,
    key_hash,
)

SHARD = "shard-000"
RETENTION_S = 3600.0


class Routers:
    """Ledgers of several routers over one store; ``cut`` names unreachable routers."""

    def __init__(self, *names):
        self.store = MemoryStore()
        self.cut = set()
        self.owner = names[0]
        self.requests = []
        self.wall_s = 1_000_000.0
        self.ledger_by_name = {}
        self.store_by_name = {}
        for name in names:
            self.restart(name, incarnation="1")

    def restart(self, name, *, incarnation):
        self.store_by_name[name] = MemoryStore(table=self.store.table)
        self.ledger_by_name[name] = Ledger(
            name=name,
            incarnation=incarnation,
            store=self.store_by_name[name],
            owner_of=lambda shard: self.owner,
            query_peer=self.query_peer,
            shards=lambda: 1,
            retention_s=lambda: RETENTION_S,
            wall_clock=lambda: self.wall_s,
        )

    async def query_peer(self, peer, message, timeout_s):
        self.requests.append(message)
        if peer in self.cut:
            await asyncio.sleep(timeout_s)
            return None
        try:
            return await asyncio.wait_for(self.ledger_by_name[peer].handle(message), timeout_s)
        except TimeoutError:
            return None

    async def claim(self, name, nonce, *, key="k", digest="d", wait_s=10.0):
        return await self.ledger_by_name[name].claim(team="t", key=key, body_digest=digest, nonce=nonce, wait_s=wait_s)

    def finish(self, name, nonce, *, key="k", body=b"ok"):
        self.ledger_by_name[name].finish(
            team="t", key=key, nonce=nonce, status=200, content_type="text/plain", body=body
        )

    def holders(self):
        outcome = self.store.table.get(kind=LEDGER_KIND, name=SHARD)
        if not isinstance(outcome, StoreDone):
            return []
        return [record.nonce for record in ShardContents.from_value(outcome.value).records_by_key.values()]

    def writes(self):
        return sum(store.calls["writes"] for store in self.store_by_name.values())


def on_paused_clock(scenario):
    def run(self):
        loop = looptime.new_event_loop()
        try:
            loop.run_until_complete(scenario(self, Routers("a", "b", "c")))
        finally:
            left = asyncio.all_tasks(loop)
            for task in left:
                task.cancel()
            if left:
                loop.run_until_complete(asyncio.wait(left))
            loop.close()

    run.__name__ = scenario.__name__
    run.__doc__ = scenario.__doc__
    return run


class ClaimTest(unittest.TestCase):
    @on_paused_clock
    async def test_first_wins_and_resend_gets_the_recorded_answer(self, routers):
        self.assertEqual(await routers.claim("b", "n1"), ClaimWon(nonce="n1"))
        routers.finish("b", "n1")
        await asyncio.sleep(1)
        routers.cut.add("b")
        outcome = await routers.claim("c", "n2")
        self.assertEqual(outcome, ClaimFinished(status=200, content_type="text/plain", body=b"ok"))

    @on_paused_clock
    async def test_simultaneous_sends_run_once(self, routers):
        # The caller's client sends the same booking to two routers at the same moment.
        # One claim wins; the other send waits for the winner's router and gets its answer.
        first, second = (
            asyncio.ensure_future(routers.claim("b", "n1")),
            asyncio.ensure_future(routers.claim("c", "n2")),
        )
        done, _ = await asyncio.wait([first, second], return_when=asyncio.FIRST_COMPLETED)
        (won,) = done
        self.assertIsInstance(won.result(), ClaimWon)
        await asyncio.sleep(3)
        name = "b" if won is first else "c"
        routers.finish(name, won.result().nonce)
        waited = second if won is first else first
        self.assertIsInstance(await waited, ClaimFinished)

    @on_paused_clock
    async def test_resend_waits_at_most_its_timeout(self, routers):
        await routers.claim("b", "n1")
        started = asyncio.get_running_loop().time()
        self.assertIsInstance(await routers.claim("c", "n2", wait_s=7.0), ClaimTaken)
        self.assertLessEqual(asyncio.get_running_loop().time() - started, 7.0)

    @on_paused_clock
    async def test_other_body_under_the_same_key_is_rejected(self, routers):
        await routers.claim("b", "n1")
        self.assertIsInstance(await routers.claim("c", "n2", digest="other"), ClaimMismatch)

    @on_paused_clock
    async def test_unknown_outcome_is_returned_immediately(self, routers):
        await routers.claim("b", "n1")
        routers.ledger_by_name["b"].finish_unknown(team="t", key="k", nonce="n1")
        started = asyncio.get_running_loop().time()
        self.assertIsInstance(await routers.claim("c", "n2"), ClaimTaken)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.0)

    @on_paused_clock
    async def test_large_answer_is_not_kept(self, routers):
        await routers.claim("b", "n1")
        routers.finish("b", "n1", body=b"x" * (MAX_BODY_BYTES + 1))
        self.assertIsInstance(await routers.claim("c", "n2"), ClaimTaken)


class FailureTest(unittest.TestCase):
    @on_paused_clock
    async def test_lost_write_answer_is_read_back(self, routers):
        # The owner's write takes effect but its answer is lost. The owner reads the shard
        # back, finds the nonce and answers "won": the caller's booking runs, once.
        routers.store_by_name["a"].lose_answers = 1
        await routers.ledger_by_name["a"].start()
        routers.store_by_name["a"].lose_answers = 1
        self.assertEqual(await routers.claim("b", "n1"), ClaimWon(nonce="n1"))
        self.assertEqual(routers.holders(), ["n1"])

    @on_paused_clock
    async def test_lost_write_request_is_written_again(self, routers):
        # The owner's write request is lost and gets no answer. If the write counted as applied,
        # the key would stay free and a re-send would run again; reading back shows it missing.
        await routers.claim("a", "seed", key="other")
        routers.store_by_name["a"].lose_requests = 1
        self.assertEqual(await routers.claim("b", "n1"), ClaimWon(nonce="n1"))
        self.assertIn("n1", routers.holders())

    @on_paused_clock
    async def test_dropped_nonce_is_not_reported_as_refused(self, routers):
        # Router b holds a claim whose nonce it has dropped, so it does not know whether the request
        # ran. If it answered "refused", a re-send would take the key over and run again.
        await routers.claim("b", "n1")
        routers.ledger_by_name["b"]._nonces.drop("n1")
        self.assertIsInstance(await routers.claim("c", "n2"), ClaimTaken)

    @on_paused_clock
    async def test_owner_dies_after_its_write(self, routers):
        # The owner writes the claim and dies before it answers. The entry reads the shard
        # itself and finds its nonce there, so the request runs without a second claim.
        await routers.ledger_by_name["a"].start()
        original = routers.query_peer

        async def lose_answer(peer, message, timeout_s):
            await original(peer, message, timeout_s)
            await asyncio.sleep(timeout_s)

        routers.ledger_by_name["b"]._query_peer = lose_answer
        self.assertEqual(await routers.claim("b", "n1"), ClaimWon(nonce="n1"))
        self.assertEqual(routers.store_by_name["b"].calls["writes"], 0)

    @on_paused_clock
    async def test_two_owners_never_both_win(self, routers):
        # Routers b and c both consider themselves owner of the shard and write the same key at
        # the same time. The second conditional update conflicts and reads the first one's nonce.
        await routers.claim("a", "seed", key="other")
        for name in "bc":
            routers.ledger_by_name[name]._owner_of = lambda shard, name=name: name
            await routers.claim(name, f"warm-{name}", key=f"warm-{name}")
        outcomes = await asyncio.gather(routers.claim("b", "n1", wait_s=3), routers.claim("c", "n2", wait_s=3))
        self.assertEqual(sorted(type(outcome).__name__ for outcome in outcomes), ["ClaimTaken", "ClaimWon"])

    @on_paused_clock
    async def test_paused_owner_that_wakes_does_not_overwrite(self, routers):
        # The owner is frozen between reading the shard and writing it. Meanwhile another
        # router claims the key. The owner wakes, its write conflicts, and it answers "held".
        await routers.claim("a", "seed", key="other")

        def claim_concurrently():
            contents = routers.store.table.get(kind=LEDGER_KIND, name=SHARD)
            other_contents = ShardContents.from_value(contents.value)
            other_contents.apply(_claim_ask("n-other", _key()), now=routers.wall_s)
            routers.store.table.update(
                kind=LEDGER_KIND, name=SHARD, value=other_contents.to_value(), if_version=contents.version
            )

        routers.store_by_name["a"].before_write = claim_concurrently
        routers.cut.add("z")
        self.assertIsInstance(await routers.claim("b", "n1", wait_s=4), ClaimTaken)
        self.assertIn("n-other", routers.holders())
        self.assertNotIn("n1", routers.holders())

    @on_paused_clock
    async def test_store_outage_refuses_immediately(self, routers):
        for store in routers.store_by_name.values():
            store.down = True
        started = asyncio.get_running_loop().time()
        self.assertIsInstance(await routers.claim("b", "n1"), ClaimUnavailable)
        self.assertLess(asyncio.get_running_loop().time() - started, 0.5)

    @on_paused_clock
    async def test_unresponsive_store_refuses_in_bounded_time_and_its_late_write_is_harmless(self, routers):
        # The store accepts a write and does not answer for a long time. The caller gets "not run";
        # the write lands later, and the key is held by a nonce that will never run. A re-send on
        # another router queries the holder, which reports that, and takes the key over.
        for ledger in routers.ledger_by_name.values():
            await ledger.start()
        routers.owner = "b"
        ledger, store = routers.ledger_by_name["b"], routers.store_by_name["b"]
        store.slow_s = 1e5
        started = asyncio.get_running_loop().time()
        self.assertIsInstance(await routers.claim("b", "n1"), ClaimUnavailable)
        self.assertLess(asyncio.get_running_loop().time() - started, 10.0)
        await ledger.close()
        routers.store.table.create(kind=LEDGER_KIND, name=SHARD, value=_claimed_shard(routers, "n1"))
        store.slow_s = 0.0
        self.assertEqual(await routers.claim("c", "n2"), ClaimWon(nonce="n2"))

    @on_paused_clock
    async def test_refused_nonce_stays_refused(self, routers):
        # A re-send was answered that this nonce will never be dispatched. A late answer of the
        # ledger that names it as the winner must not let it run.
        nonces = routers.ledger_by_name["b"]._nonces
        nonces.begin("n1")
        nonces.refuse("n1")
        self.assertFalse(nonces.win("n1"))
        self.assertEqual(nonces.entries_by_nonce["n1"].state, NonceState.REFUSED)

    @on_paused_clock
    async def test_cancelled_claim_is_taken_over(self, routers):
        # The caller disconnects while its claim is being written. The claim lands; the caller's
        # re-send through another router must not get "unknown" until the claim expires.
        routers.store_by_name["a"].slow_s = 0.5
        claiming = asyncio.ensure_future(routers.claim("b", "n1"))
        await asyncio.sleep(0.7)
        claiming.cancel()
        await asyncio.gather(claiming, return_exceptions=True)
        self.assertIsInstance(await routers.claim("c", "n2"), ClaimWon)

    @on_paused_clock
    async def test_dead_or_restarted_holder_means_unknown(self, routers):
        # Router b wins the claim and dies, so it is unknown whether its request ran. A re-send
        # gets "unknown" while b is down and also from b's next incarnation.
        await routers.claim("b", "n1")
        routers.cut.add("b")
        self.assertIsInstance(await routers.claim("c", "n2", wait_s=30), ClaimTaken)
        routers.cut.clear()
        routers.restart("b", incarnation="2")
        self.assertIsInstance(await routers.claim("c", "n3"), ClaimTaken)
        self.assertIsInstance(await routers.claim("b", "n4"), ClaimTaken)

    @on_paused_clock
    async def test_unresponsive_holder_is_reported_as_unknown_in_time(self, routers):
        # The holder is paused and does not answer. A re-send must get "unknown" within its own
        # deadline; after that it would get "not run".
        routers.owner = "c"
        await routers.claim("a", "n1")
        routers.cut.add("a")
        began = asyncio.get_running_loop().time()
        self.assertIsInstance(await routers.claim("b", "n2", wait_s=4.5), ClaimTaken)
        self.assertLessEqual(asyncio.get_running_loop().time() - began, 4.5)

    @on_paused_clock
    async def test_holder_still_claiming_is_not_taken_over(self, routers):
        # Router b's claim is in the store but b has not got the answer yet. A re-send on c must
        # wait: if it took the key over now, b would win as well.
        await routers.claim("a", "seed", key="other")
        routers.ledger_by_name["b"]._nonces.begin("n1")
        await routers.ledger_by_name["a"].handle(_claim_ask("n1", _key(), entry="b"))
        self.assertIsInstance(await routers.claim("c", "n2", wait_s=3), ClaimTaken)
        self.assertTrue(routers.ledger_by_name["b"]._nonces.win("n1"))

    @on_paused_clock
    async def test_takeover_names_the_nonce_it_replaces(self, routers):
        # Two re-sends learn at the same time that the first was never dispatched. Both try to
        # replace its nonce; only one still finds it there, and the other waits for that one.
        await routers.claim("b", "n1")
        routers.ledger_by_name["b"]._nonces.refuse("n1")
        outcomes = await asyncio.gather(routers.claim("a", "n2", wait_s=3), routers.claim("c", "n3", wait_s=3))
        self.assertEqual(sorted(type(outcome).__name__ for outcome in outcomes), ["ClaimTaken", "ClaimWon"])

    @on_paused_clock
    async def test_released_key_is_free_again(self, routers):
        await routers.claim("b", "n1")
        routers.ledger_by_name["b"].release(team="t", key="k", nonce="n1")
        await asyncio.sleep(1)
        self.assertEqual(routers.holders(), [])

    @on_paused_clock
    async def test_end_is_recorded_after_an_outage(self, routers):
        await routers.claim("b", "n1")
        for store in routers.store_by_name.values():
            store.down = True
        routers.finish("b", "n1")
        await asyncio.sleep(120)
        for store in routers.store_by_name.values():
            store.down = False
        await asyncio.sleep(60)
        routers.cut.add("b")
        self.assertIsInstance(await routers.claim("c", "n2"), ClaimFinished)

    @on_paused_clock
    async def test_number_of_shards_is_agreed_in_the_store(self, routers):
        # Two routers briefly have declarations with different numbers of shards in force. If each
        # used its own, one key would be in two shards and run twice.
        routers.ledger_by_name["b"]._shards = lambda: 16
        await routers.ledger_by_name["a"].start()
        self.assertIsInstance(await routers.claim("b", "n1", key="k7"), ClaimWon)
        self.assertIsInstance(await routers.claim("c", "n2", key="k7", wait_s=2), ClaimTaken)


class ShardTest(unittest.TestCase):
    @on_paused_clock
    async def test_many_claims_share_a_write(self, routers):
        await routers.claim("a", "seed", key="seed")
        for store in routers.store_by_name.values():
            store.slow_s = 0.005
        before = routers.writes()
        outcomes = await asyncio.gather(*(routers.claim("b", f"n{i}", key=f"k{i}") for i in range(200)))
        self.assertTrue(all(isinstance(outcome, ClaimWon) for outcome in outcomes))
        self.assertLessEqual(routers.writes() - before, 2)

    def test_claims_are_dropped_only_after_retention_and_clock_skew_margin(self):
        contents = ShardContents()
        contents.apply(_claim_ask("n1", "key"), now=0.0)
        contents.prune(now=RETENTION_S + CLOCK_SKEW_MARGIN_S - 1, retention_s=RETENTION_S)
        self.assertEqual(len(contents.records_by_key), 1)
        contents.prune(now=RETENTION_S + CLOCK_SKEW_MARGIN_S + 1, retention_s=RETENTION_S)
        self.assertEqual((len(contents.records_by_key), contents.size), (0, 0))

    def test_full_shard_refuses_claims_and_keeps_old_ones(self):
        # A burst of keys fills the shard. Recorded bodies are dropped first, then new claims are
        # refused. No claim is dropped, since its key could run twice.
        contents = ShardContents()
        won = 0
        for index in range(20_000):
            key = f"{index:040x}"
            answer = contents.apply(_claim_ask(f"n{index}", key), now=0.0)
            if answer.result != "won":
                break
            won += 1
            contents.apply(_settle_ask(f"n{index}", key, b"x" * 1000), now=0.0)
        self.assertIn("full", answer.detail)
        self.assertEqual(len(contents.records_by_key), won)
        self.assertLessEqual(contents.size, SHARD_LIMIT_BYTES)
        self.assertGreater(won * 1000, BODIES_LIMIT_BYTES)
        again = ShardContents.from_value(contents.to_value())
        self.assertEqual(again.size, contents.size)


def _key():
    return key_hash(team="t", key="k")


def _claim_ask(nonce, key, *, entry="z"):
    return ClaimAsk(shard=SHARD, key=key, digest="d", nonce=nonce, entry=entry, incarnation="1")


def _settle_ask(nonce, key, body):
    return SettleAsk(
        shard=SHARD, key=key, nonce=nonce, state="finished", status=200, content_type="t", body=body, body_kept=True
    )


def _claimed_shard(routers, nonce):
    contents = ShardContents()
    contents.apply(_claim_ask(nonce, _key(), entry="b"), now=routers.wall_s)
    return contents.to_value()


if __name__ == "__main__":
    unittest.main()
