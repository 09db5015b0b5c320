"""Grants to streams that may go on at one software version only, without a network."""

import unittest

from tests.utils.scheduler_fakes import Cell, ask, engine, finished, report
from wagtailtrestle.contracts.messages import Granted, Preempt, Refused
from wagtailtrestle.contracts.outcomes import Reason
from wagtailtrestle.contracts.rollout_messages import RolloutOrder, RolloutState
from wagtailtrestle.rollouts.rollout import Rollout

V1 = ("e1", "e2")
V2 = ("e3",)


def declared(name, version, **changes):
    result = engine(name, **changes)
    result.version = version
    return result


class ResumedStreamsTest(unittest.TestCase):
    def setUp(self):
        self.cell = Cell(engines=())
        self.list_engines(v1=V1, v2=V2)

    def list_engines(self, *, v1=(), v2=()):
        by_name = {name: declared(name, "v1") for name in v1} | {name: declared(name, "v2") for name in v2}
        self.cell.scheduler.set_engines(by_name)
        for name in by_name:
            self.cell.scheduler.on_load_report(report(on=name))

    def granted(self):
        return {grant.request_id: grant.engine for grant in self.cell.entries.of(Granted)}

    def refusals(self):
        return {refused.request_id: refused.reason for refused in self.cell.entries.of(Refused)}

    # Guards against a stream that goes on at another version as the engines of its own are slower or full.
    def test_waits_for_its_version_without_holding_others_up(self):
        for number in range(2):
            self.cell.receive(ask(f"s{number}", version="v2"))
        self.cell.receive(ask("s2", version="v2"))
        for number in range(4):
            self.cell.receive(ask(f"n{number}"))
        granted = self.granted()
        self.assertEqual([granted.get(f"s{number}") for number in range(3)], ["e3", "e3", None])
        self.assertEqual({granted[f"n{number}"] for number in range(4)}, set(V1))
        self.cell.receive(finished("s0", on="e3"))
        self.assertEqual(self.granted().get("s2"), "e3")

    # Guards against a lower tier that takes the slot for which a stream of a higher tier waits.
    def test_streams_of_a_version_are_served_in_tier_order(self):
        for number in range(6):
            self.cell.receive(ask(f"n{number}", tier=0, repeatable=False))
        self.cell.receive(ask("low", tier=2, version="v2"))
        self.cell.advance(0.1)
        self.cell.receive(ask("high", tier=1, version="v2"))
        on_v2 = [request_id for request_id, name in self.granted().items() if name == "e3"]
        self.cell.receive(finished(on_v2[0], on="e3"))
        self.assertEqual(self.granted().get("high"), "e3")
        self.assertNotIn("low", self.granted())

    # Guards against runs that are cancelled in vain, on engines where the stream may not go on.
    def test_no_run_of_another_version_is_preempted(self):
        for number in range(6):
            self.cell.receive(ask(f"n{number}", tier=3, output_tokens=2000, remaining_s=60.0))
        self.cell.advance(0.5)
        self.cell.receive(ask("s", tier=0, remaining_s=2.0, version="v2"))
        self.cell.advance(0.5)
        self.assertEqual({preempt.engine for preempt in self.cell.entries.of(Preempt)}, {"e3"})

    # Guards against callers who wait until their deadline for a version that has no engine left.
    def test_refused_at_once_if_no_engine_of_the_version_is_left(self):
        self.cell.receive(ask("s0", version="v3"))
        self.assertEqual(self.refusals(), {"s0": Reason.VERSION_GONE})
        for number in range(3):
            self.cell.receive(ask(f"s{number + 1}", version="v2"))
        self.assertNotIn("s3", self.granted())
        self.list_engines(v1=V1)
        self.cell.advance(0.1)
        self.assertEqual(self.refusals().get("s3"), Reason.VERSION_GONE)

    # Guards against a stream that waits for engines which take nothing more.
    def test_draining_engines_of_a_version_do_not_count(self):
        self.cell.scheduler.mark_leaving("e3")
        self.cell.receive(ask("s", version="v2"))
        self.assertEqual(self.refusals(), {"s": Reason.VERSION_GONE})

    def make_rollout(self):
        order = RolloutOrder(service="asistente", target="v2", duration_s=20.0, store_version=1)
        rollout = Rollout(order=order, share=0.1, slack=0, clock=self.cell.clock)
        self.cell.scheduler.set_rollout(rollout, frozenset(V2))
        return rollout

    # Guards against a rollout that keeps its engines from the streams that it began there.
    def test_stream_of_a_version_in_trial_goes_on_there_and_is_not_judged(self):
        rollout = self.make_rollout()
        self.cell.receive(ask("s", version="v2"))
        self.assertEqual(self.granted(), {"s": "e3"})
        self.cell.receive(finished("s", on="e3", result="RunCut"))
        self.assertEqual(rollout.analysis.target_runs, 0)

    # Guards against a rolled-back version that still gets runs.
    def test_stream_does_not_go_on_at_a_version_that_was_rolled_back(self):
        rollout = self.make_rollout()
        rollout.end_as(RolloutState.ROLLED_BACK)
        self.cell.receive(ask("s", version="v2"))
        self.assertEqual(self.refusals(), {"s": Reason.VERSION_GONE})


if __name__ == "__main__":
    unittest.main()
