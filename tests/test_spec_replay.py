"""Traces of the specifications, led through the real decision modules.

The traces come from z3: one to every action, one to every witness, and the counterexample of
every mutant. The code need not follow a trace to its end, but each thing that it does must be
allowed by the whole specification at that point, so specification and code can't drift apart.
"""

import asyncio
import unittest

import looptime
import z3

from tests.utils.ledger_replay import LedgerReplay
from wagtailtrestle.spec import claims
from wagtailtrestle.spec.checker import covering_traces, shortest_trace
from wagtailtrestle.spec.checks import MOST_STEPS, mutant

COVER_STEPS = 12


def guides(module, *, most_steps=COVER_STEPS, leave_out=()):
    """Traces to lead the code along, by name, each with its safeguard's sizes."""
    whole = module.specification()
    for action, trace in covering_traces(whole, most_steps=most_steps).items():
        yield action, trace, {}
    for name, wanted in whole.witnesses_by_name.items():
        yield name, shortest_trace(whole, wanted, most_steps=MOST_STEPS), {}
    for name, expected in whole.limits_by_name.items():
        yield name, shortest_trace(whole, z3.Not(expected), most_steps=MOST_STEPS), {}
    for name, safeguard in module.SAFEGUARDS.items():
        if name not in leave_out:
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


if __name__ == "__main__":
    unittest.main()
