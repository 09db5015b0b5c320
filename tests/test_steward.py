"""Grants, order of tiers and the account of one cell."""

import unittest

from wagtailtrestle.declaration import DeclaredEngine
from wagtailtrestle.messages import Granted, GrantRequest, RunFinished
from wagtailtrestle.policies import PredictedFinish
from wagtailtrestle.steward import Steward


class FakeEntries:
    """Keeps what the steward sent."""

    def __init__(self):
        self.sent = []
        self.reachable = True

    def send(self, *, entry, message):
        if self.reachable:
            self.sent.append(message)
        return self.reachable

    def of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


class Clock:
    """Time that only the test moves."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


def engine(name, *, slots=2):
    return DeclaredEngine(
        name=name,
        service="asistente",
        cell="asistente",
        zone="gijon",
        hardware="a",
        address="127.0.0.1:1",
        slots=slots,
        step_ms=4.0,
        prefill_tokens_per_s=8000.0,
    )


def ask(request_id, *, tier=1, attempt=1, team="socios", entry="r1", repeatable=True, **changes):
    fields = {"prompt_tokens": 100, "output_tokens": 20, "remaining_s": 10.0} | changes
    return GrantRequest(
        request_id=request_id,
        attempt=attempt,
        entry=entry,
        service="asistente",
        cell="asistente",
        team=team,
        tier=tier,
        repeatable=repeatable,
        **fields,
    )


def finished(request_id, *, on="e1", result="RunDone", **changes):
    return RunFinished(request_id=request_id, engine=on, result=result, duration_s=0.1, **changes)


def make_steward(*, engines=("e1",), slots=2, entries=None, clock=None):
    steward = Steward(
        cell="asistente", policy=PredictedFinish(prefill_weight=0.5), clock=clock or Clock(), entries=entries
    )
    steward.set_engines({name: engine(name, slots=slots) for name in engines})
    return steward


class GrantOrderTest(unittest.TestCase):
    def test_higher_tier_takes_the_next_free_place(self):
        # All places are taken, a low-tier request waits, then a high-tier one arrives.
        # The next place must go to the high tier although it came later.
        entries = FakeEntries()
        steward = make_steward(entries=entries)
        for number in range(2):
            steward.receive(ask(f"run{number}"))
        steward.receive(ask("low", tier=2))
        steward.receive(ask("high", tier=0))
        steward.receive(finished("run0"))
        self.assertEqual([granted.request_id for granted in entries.of(Granted)], ["run0", "run1", "high"])


if __name__ == "__main__":
    unittest.main()
