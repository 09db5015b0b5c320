"""Applying a declaration: lost answers, concurrent operators, outages."""

import asyncio
import unittest
from random import Random

from tests.utils.memory_store import MemoryStore
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration.applying import (
    DECLARATION_KIND,
    DECLARATION_NAME,
    HISTORY_LENGTH,
    Applied,
    ApplyConflict,
    ApplyNotDone,
    ApplyUnknown,
    apply,
    read_accepted,
)
from wagtailtrestle.contracts.outcomes import StoreUnknown
from wagtailtrestle.standins.object_table import ObjectTable

SEEDS = 60
OPERATORS = 4
APPLIES_PER_OPERATOR = 5
MAX_DELAY_S = 4.0


class UnreliableStore(MemoryStore):
    """One operator's connection to the platform: writes are lost, unanswered or delayed at random."""

    def __init__(self, *, table, random):
        super().__init__(table=table)
        self._random = random

    async def get(self, **options):
        await asyncio.sleep(self._random.uniform(0, 0.05))
        self.stale_versions = self._random.choice((0, 0, 0, 1))
        self.down = self._random.random() < 0.1
        return await super().get(**options)

    async def create(self, **options):
        return await self._send(super().create(**options))

    async def update(self, **options):
        return await self._send(super().update(**options))

    async def _send(self, write):
        await asyncio.sleep(self._random.uniform(0, 0.05))
        self.down = self._random.random() < 0.1
        self.lose_answers = int(self._random.random() < 0.3)
        self.lose_requests = int(self._random.random() < 0.2)
        if self._random.random() < 0.2:
            asyncio.get_running_loop().create_task(self._send_late(write))
            return StoreUnknown(detail="late")
        return await write

    async def _send_late(self, write):
        await asyncio.sleep(self._random.uniform(0, MAX_DELAY_S))
        await write


async def apply_text(store, text, *, base=None):
    return await apply(store=store, text=text, apply_id=f"id-{text}", clock=lambda: 1.0, base_generation=base)


class ApplyTests(unittest.TestCase):
    @on_paused_clock
    async def test_generations_increase_by_one(self):
        store = MemoryStore()
        self.assertEqual(await apply_text(store, "a"), Applied(generation=1))
        self.assertEqual(await apply_text(store, "b", base=1), Applied(generation=2))
        self.assertEqual((await read_accepted(store=store)).text, "b")

    @on_paused_clock
    async def test_base_that_is_no_longer_accepted_is_a_conflict(self):
        store = MemoryStore()
        await apply_text(store, "a")
        await apply_text(store, "b")
        self.assertEqual(await apply_text(store, "c", base=1), ApplyConflict(generation=2, by="id-b"))
        self.assertEqual((await read_accepted(store=store)).text, "b")

    @on_paused_clock
    async def test_two_operators_at_once(self):
        # Two operators read the same generation and send their updates at nearly the
        # same moment. One gets its generation, the other a conflict that names the
        # first. Without the condition both get "applied" and one file is lost.
        store = MemoryStore()
        await apply_text(store, "a")
        store.slow_s = 0.01
        outcomes = await asyncio.gather(apply_text(store, "b"), apply_text(store, "c"))
        self.assertEqual(outcomes, [Applied(generation=2), ApplyConflict(generation=2, by="id-b")])

    @on_paused_clock
    async def test_answer_lost_after_the_write(self):
        # The update takes effect, its answer is lost. The operator must get "applied"
        # with the true generation, not "unknown" and not "conflict" (with itself),
        # and the platform must hold one generation more, not two.
        store = MemoryStore()
        for number, text in enumerate(("a", "b"), start=1):
            store.lose_answers = 1
            self.assertEqual(await apply_text(store, text), Applied(generation=number))
        self.assertEqual((await read_accepted(store=store)).generation, 2)

    @on_paused_clock
    async def test_answer_lost_and_another_operator_applies_next(self):
        # Our update takes effect, its answer is lost, and before we read back another
        # operator applies the next generation. The object we read no longer has our id
        # as the newest; only the history shows that ours was accepted first.
        store = MemoryStore()
        await apply_text(store, "a")
        store.lose_answers = 1
        ours = asyncio.create_task(apply_text(store, "b"))
        await asyncio.sleep(0.1)
        self.assertEqual(await apply_text(store, "c"), Applied(generation=3))
        self.assertEqual(await ours, Applied(generation=2))

    @on_paused_clock
    async def test_request_lost_before_the_write(self):
        # The update did not take effect and no answer arrived. Reading back does not find
        # our id, which proves nothing; sending the same update again determines the outcome.
        store = MemoryStore()
        await apply_text(store, "a")
        store.lose_requests = 1
        self.assertEqual(await apply_text(store, "b"), Applied(generation=2))

    @on_paused_clock
    async def test_request_lost_and_another_operator_applies(self):
        # Our update did not take effect, and another operator got our generation meanwhile:
        # certainly a conflict, and the platform keeps the other operator's file.
        store = MemoryStore()
        await apply_text(store, "a")
        store.lose_requests = 1
        ours = asyncio.create_task(apply_text(store, "b"))
        await asyncio.sleep(0.1)
        await apply_text(store, "c")
        self.assertEqual(await ours, ApplyConflict(generation=2, by="id-c"))
        self.assertEqual((await read_accepted(store=store)).text, "c")

    @on_paused_clock
    async def test_late_update_takes_effect_while_it_is_sent_again(self):
        # The first update is delayed in transit and arrives between our read and our second
        # update, which is then refused. It conflicts with our own first update: the operator
        # must get "applied", once.
        store = MemoryStore()
        await apply_text(store, "a")
        base = store.table.get(kind=DECLARATION_KIND, name=DECLARATION_NAME)
        store.lose_requests = 1
        ours = asyncio.create_task(apply_text(store, "b"))
        await asyncio.sleep(0.1)
        late = {**base.value, "generation": 2, "apply_id": "id-b", "text": "b"}
        late["recent"] = [*late["recent"], {"generation": 2, "apply_id": "id-b"}]
        store.before_write = lambda: store.table.update(
            kind=DECLARATION_KIND, name=DECLARATION_NAME, value=late, if_version=base.version
        )
        self.assertEqual(await ours, Applied(generation=2))
        self.assertEqual((await read_accepted(store=store)).generation, 2)

    @on_paused_clock
    async def test_outage_before_the_update_is_certainly_not_applied(self):
        store = MemoryStore()
        store.down = True
        self.assertIsInstance(await apply_text(store, "a"), ApplyNotDone)

    @on_paused_clock
    async def test_no_answer_at_all_is_unknown(self):
        store = MemoryStore()
        store.lose_requests = 1000
        self.assertIsInstance(await apply_text(store, "a"), ApplyUnknown)

    @on_paused_clock
    async def test_outcome_that_left_the_history_is_unknown(self):
        # Our answer is lost and so many applies follow before we read back that our
        # generation has left the history: "unknown" is the only correct outcome.
        store = MemoryStore()
        store.lose_answers = 1
        ours = asyncio.create_task(apply_text(store, "ours"))
        await asyncio.sleep(0.1)
        for number in range(HISTORY_LENGTH + 1):
            await apply_text(store, f"other-{number}")
        self.assertIsInstance(await ours, ApplyUnknown)

    @on_paused_clock
    async def test_stale_read_of_the_base_never_overwrites(self):
        # The read returns the generation before the accepted one. The update is refused,
        # and the conflict names the accepted generation once the reads are up to date.
        store = MemoryStore()
        await apply_text(store, "a")
        await apply_text(store, "b")
        store.stale_versions = 1
        ours = asyncio.create_task(apply_text(store, "c"))
        await asyncio.sleep(0.2)
        store.stale_versions = 0
        self.assertEqual(await ours, ApplyConflict(generation=2, by="id-b"))

    @on_paused_clock
    async def test_lost_object_continues_above_the_operators_base(self):
        # The platform lost the object. Routers never go back to a lower generation, so
        # generation 1 would be accepted and never be in force; --base says where to continue.
        self.assertEqual(await apply_text(MemoryStore(), "a", base=7), Applied(generation=8))

    @on_paused_clock
    async def test_reported_outcomes_are_correct_under_random_faults(self):
        # Operators apply concurrently over connections that lose requests, lose answers,
        # return stale reads and deliver updates seconds late. Afterwards every "applied" is
        # in the platform's history under exactly that generation, no update reported as a
        # conflict or not applied is in it, and no generation has two owners.
        reported = []
        for seed in range(SEEDS):
            table, accepted = ObjectTable(), []
            table.listeners.add(lambda table=table, accepted=accepted: accepted.append(_newest(table)))
            operators = (self._operator(table, Random(f"{seed}-{number}"), number) for number in range(OPERATORS))
            outcomes = dict(pair for pairs in await asyncio.gather(*operators) for pair in pairs)
            await asyncio.sleep(MAX_DELAY_S)
            self._check_outcomes(seed, accepted, outcomes)
            reported.extend(type(outcome) for outcome in outcomes.values())
        for kind in (Applied, ApplyConflict, ApplyNotDone):
            self.assertGreater(reported.count(kind), SEEDS // 10, kind)
        self.assertLess(reported.count(ApplyUnknown), len(reported) // 20)

    async def _operator(self, table, random, number):
        store, outcomes = UnreliableStore(table=table, random=random), []
        for count in range(APPLIES_PER_OPERATOR):
            await asyncio.sleep(random.uniform(0, 1))
            text = f"{number}-{count}"
            outcomes.append((f"id-{text}", await apply_text(store, text)))
        return outcomes

    def _check_outcomes(self, seed, accepted, outcomes):
        id_by_generation = dict(accepted)
        self.assertEqual([generation for generation, _ in accepted], list(range(1, len(accepted) + 1)), seed)
        self.assertEqual(len(set(id_by_generation.values())), len(accepted), seed)
        for apply_id, outcome in outcomes.items():
            if isinstance(outcome, Applied):
                self.assertEqual(id_by_generation.get(outcome.generation), apply_id, seed)
            elif isinstance(outcome, ApplyConflict | ApplyNotDone):
                self.assertNotIn(apply_id, id_by_generation.values(), seed)


def _newest(table):
    value = table.get(kind=DECLARATION_KIND, name=DECLARATION_NAME).value
    return value["generation"], value["apply_id"]


if __name__ == "__main__":
    unittest.main()
