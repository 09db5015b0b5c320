"""Traces of the specifications, led through the real decision modules.

The traces come from z3: one to every action, one to every witness, and the counterexample of
every mutant. The code need not follow a trace to its end, but each thing that it does must be
allowed by the whole specification at that point, so specification and code can't drift apart.
"""

import asyncio
import functools
import unittest

import looptime
import z3
from loguru import logger

from tests.utils.configuring_replay import ApplyReplay, ConfigurationReplay
from tests.utils.ledger_replay import LedgerReplay
from tests.utils.stewardship_replay import EntryReplay, StewardReplay
from wagtailtrestle.spec import claims, configuring, stewardship
from wagtailtrestle.spec.checker import covering_traces, shortest_trace
from wagtailtrestle.spec.checks import MOST_STEPS, mutant

COVER_STEPS = 12
ENTRY_SAFEGUARDS = ("queued_only", "attempt", "preempt_repeatable_only")


def setUpModule():
    logger.disable("wagtailtrestle")


def tearDownModule():
    logger.enable("wagtailtrestle")


@functools.cache
def guides(module):
    """Traces to lead the code along: ``(name, trace, sizes of the instance)``."""
    return list(_guides(module))


def _guides(module):
    whole = module.specification()
    for action, trace in covering_traces(whole, most_steps=COVER_STEPS).items():
        yield action, trace, {}
    for name, wanted in whole.witnesses_by_name.items():
        yield name, shortest_trace(whole, wanted, most_steps=MOST_STEPS), {}
    for name, expected in whole.limits_by_name.items():
        yield name, shortest_trace(whole, z3.Not(expected), most_steps=MOST_STEPS), {}
    for name, safeguard in module.SAFEGUARDS.items():
        yield f"without {name}", mutant(module, name).trace, safeguard.size


def on_paused_clock(coroutine):
    loop = looptime.new_event_loop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left))
        loop.close()


class ClaimsReplayTest(unittest.TestCase):
    def test_ledgers_do_only_what_the_specification_allows(self):
        followed = set()
        for name, trace, size in guides(claims):
            with self.subTest(guide=name):
                sends = size.get("sends", 2)
                replay = LedgerReplay(specification=claims.specification(sends=sends), trace=trace, sends=sends)
                on_paused_clock(replay.run())
                self.assertEqual(replay.monitor.violations, [])
                self.assertEqual(replay.monitor.broken(), [])
                self.assertEqual(replay.holder(), replay.monitor.read("holder"))
                followed |= {action.partition("(")[0] for action in replay.monitor.taken}
        verbs = {action.name.partition("(")[0] for action in claims.specification().actions}
        # Stale reads are the configuration's matter; the ledger's store reads are current here.
        self.assertEqual(verbs - followed, {"read_stale"})


class StewardshipReplayTest(unittest.TestCase):
    def test_a_steward_does_only_what_the_specification_allows(self):
        followed = set()
        for name, trace, _ in guides(stewardship):
            with self.subTest(guide=name):
                replay = StewardReplay(specification=stewardship.specification(), trace=trace)
                for _ in replay.run():
                    self.assertEqual(replay.held(), replay.expected())
                self.assertEqual(replay.monitor.violations, [])
                self.assertEqual(replay.monitor.broken(), [])
                followed |= {action for action in replay.monitor.taken if "steward=s0" in action}
        done = {action.partition("(")[0] for action in followed}
        self.assertLessEqual({"hold_ask", "grant", "grant_again", "preempt", "refuse", "expire", "free_place"}, done)

    def test_an_entry_does_only_what_the_specification_allows(self):
        followed = set()
        for name, trace, _ in guides(stewardship):
            with self.subTest(guide=name):
                # Where the mutant's fault is the steward's, the entry must follow it all the same.
                without = name.removeprefix("without ") if name.startswith("without ") else ""
                without = "" if without in ENTRY_SAFEGUARDS else without
                replay = EntryReplay(specification=stewardship.specification(without=without), trace=trace)
                self.assertEqual(on_paused_clock(replay.run()), [])
                self.assertEqual(replay.monitor.violations, [])
                followed |= {action.partition("(")[0] for action in replay.monitor.taken}
        self.assertLessEqual({"take_grant", "take_refusal", "take_preempt", "finish", "change_view"}, followed)


class ConfiguringReplayTest(unittest.TestCase):
    def test_applies_do_only_what_the_specification_allows(self):
        followed = set()
        for name, trace, _ in guides(configuring):
            with self.subTest(guide=name):
                replay = ApplyReplay(specification=configuring.specification(), trace=trace)
                on_paused_clock(replay.run())
                self.assertEqual(replay.monitor.violations, [])
                self.assertEqual(replay.monitor.broken(), [])
                for operator, told in replay.told.items():
                    self.assertEqual(told, replay.monitor.read(f"told[{operator}]"))
                followed |= {action.partition("(")[0] for action in replay.monitor.taken}
        self.assertLessEqual({"applied_unheard", "delayed", "late_lands", "conflict", "read_back_own"}, followed)
        self.assertLessEqual({"sent_again_applied", "sent_again_unheard"}, followed)

    def test_configuration_does_only_what_the_specification_allows(self):
        followed = set()
        for name, trace, _ in guides(configuring):
            with self.subTest(guide=name):
                replay = ConfigurationReplay(specification=configuring.specification(), trace=trace)
                on_paused_clock(replay.run())
                self.assertEqual(replay.monitor.violations, [])
                self.assertEqual(replay.monitor.broken(), [])
                expected = [replay.monitor.read(f"in_force[{router}]") for router in configuring.ROUTERS]
                self.assertEqual(replay.in_force(), expected)
                followed |= {action.partition("(")[0] for action in replay.monitor.taken}
        self.assertLessEqual({"begin_confirmed", "begin_unconfirmed", "begin_by_peer", "offer", "restart"}, followed)


if __name__ == "__main__":
    unittest.main()
