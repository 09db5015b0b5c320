"""A scheduler with a clock that tests advance and entries that record the messages sent to them."""

from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.capacity.scheduler import Scheduler
from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.contracts.messages import GrantRequest, Register, RunFinished, RunningRecord
from wagtailtrestle.contracts.report_messages import LoadReport
from wagtailtrestle.engines.policies import PredictedFinish


class Clock:
    """A clock that only the test advances."""

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class FakeEntries:
    """Records the messages that the scheduler sends."""

    def __init__(self):
        self.sent = []

    def send(self, *, entry, message):
        self.sent.append(message)
        return True

    def of(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]

    def ids(self, kind):
        return [message.request_id for message in self.of(kind)]


def engine(name, *, slots=2):
    return DeclaredEngine(
        name=name,
        service="asistente",
        cell="asistente",
        zone="gijon",
        hardware="a",
        address="127.0.0.1:1",
        slots=slots,
        step_ms=10.0,
        prefill_tokens_per_s=1000.0,
    )


def ask(request_id, *, tier=1, attempt=1, team="socios", entry="r1", repeatable=True, **changes):
    """Return a request that runs for about 1.1 s: 100 prompt tokens and 100 output tokens."""
    fields = {"prompt_tokens": 100, "output_tokens": 100, "remaining_s": 10.0} | changes
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


def finished(request_id, *, on="e1", result="RunDone", duration_s=1.1, **changes):
    return RunFinished(request_id=request_id, engine=on, result=result, duration_s=duration_s, **changes)


def register(entry, *, waiting=(), running=(), elsewhere=False, notices=()):
    return Register(
        entry=entry,
        cell="asistente",
        waiting=tuple(waiting),
        running=tuple(running),
        elsewhere=elsewhere,
        notices=notices,
    )


def running(request, *, on="e1", elapsed_s=0.5, output_tokens=10):
    return RunningRecord(request=request, engine=on, elapsed_s=elapsed_s, output_tokens=output_tokens)


def report(*, on="e1", age_s=0.0, running=0, waiting=0, leaving=False):
    return LoadReport(engine=on, age_s=age_s, running=running, waiting=waiting, step_s=0.0, leaving=leaving)


class Cell:
    """A scheduler, its clock and its entries."""

    def __init__(self, *, engines=("e1",), slots=2, members=(), prefill_weight=0.5, features=all_off, **options):
        self.clock = Clock()
        self.entries = FakeEntries()
        self.scheduler = Scheduler(
            cell="asistente",
            policy=PredictedFinish(prefill_weight=prefill_weight),
            clock=self.clock,
            entries=self.entries,
            prefill_weight=prefill_weight,
            features=features,
            **options,
        )
        self.scheduler.set_members(frozenset(members))
        self.scheduler.set_engines({name: engine(name, slots=slots) for name in engines})

    def receive(self, *messages):
        for message in messages:
            self.scheduler.receive(message)

    def advance(self, seconds):
        """Advance the clock in steps of 50 ms, as the scheduler is driven in production."""
        until = self.clock.now + seconds
        while self.clock.now < until - 1e-9:
            self.clock.now = min(until, self.clock.now + 0.05)
            self.scheduler.tick()

    def measure(self, count=60, *, output_tokens=100):
        """Feed the engines' models with this many runs at the declared speed."""
        for state in self.scheduler._runs.engines:
            for _ in range(count):
                state.model.observe_finish(
                    output_tokens=output_tokens, decode_s=output_tokens * 0.01, mean_concurrency=1
                )
                state.model.observe_report(step_s=0.01, running=1)
