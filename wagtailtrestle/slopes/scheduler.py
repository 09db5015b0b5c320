"""Cost of the scheduler: processor time of a request's messages and of a tick, and memory of waiting requests."""

import time
import tracemalloc

from wagtailtrestle.capacity.scheduler import Scheduler
from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.contracts.messages import Granted, GrantRequest, Register, RunFinished, RunProgress, RunStarted
from wagtailtrestle.engines.policies import PredictedFinish
from wagtailtrestle.slopes.slope import Slope

CYCLES = 3_000
ENGINE_COUNTS = (2, 4, 9, 18)
WAITING_COUNTS = (0, 200, 1_000, 3_000)
PROGRESS_MESSAGES = 4
ENTRY = "router-1"


class ManualClock:
    """Clock whose time is set by the caller."""

    __slots__ = ("now",)

    def __init__(self):
        self.now = 100.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


class Inbox:
    """Collects the messages that a scheduler sends."""

    __slots__ = ("messages",)

    def __init__(self):
        self.messages = []

    def send(self, *, entry, message):
        """Append one message."""
        self.messages.append(message)
        return True


def make_scheduler(*, engines, slots=16):
    """Build a scheduler of a cell with ``engines`` engines, registered and ready to grant."""
    clock, inbox = ManualClock(), Inbox()
    scheduler = Scheduler(cell="cell", policy=PredictedFinish(prefill_weight=0.5), clock=clock, entries=inbox)
    scheduler.set_teams({f"team-{number}": 1.0 for number in range(5)})
    scheduler.set_engines({f"engine-{number}": _engine(number, slots) for number in range(engines)})
    scheduler.set_members({ENTRY})
    scheduler.receive(Register(entry=ENTRY, cell="cell"))
    clock.now += 5.0
    scheduler.tick()
    return scheduler, clock, inbox


def make_request(number, *, tier=1, repeatable=False, remaining_s=3600.0):
    """Build one request for a grant, with a prefix of eight blocks."""
    return GrantRequest(
        request_id=f"{ENTRY}-{number}",
        attempt=1,
        entry=ENTRY,
        service="service",
        cell="cell",
        team=f"team-{number % 5}",
        tier=tier,
        repeatable=repeatable,
        prompt_tokens=500,
        output_tokens=100,
        remaining_s=remaining_s,
        prefix_blocks=tuple(range(number % 7, number % 7 + 8)),
    )


def cycle_us(*, engines, waiting=0):
    """Return the processor time in µs of one request from grant request to end of run, with progress messages."""
    scheduler, clock, inbox = make_scheduler(engines=engines)
    if waiting:
        _fill(scheduler, engines, waiting)
    inbox.messages.clear()
    began = time.process_time()
    for number in range(CYCLES):
        clock.now += 0.01
        scheduler.receive(make_request(1_000_000 + number, tier=0))
        _run_granted(scheduler, inbox)
    return (time.process_time() - began) / CYCLES * 1e6


def memory_bytes(waiting):
    """Return the bytes that a scheduler holds for ``waiting`` waiting requests."""
    scheduler, _, _ = make_scheduler(engines=2)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    _fill(scheduler, 2, waiting)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return held


def tick_us(waiting):
    """Return the processor time in µs of one tick with ``waiting`` waiting requests."""
    scheduler, clock, _ = make_scheduler(engines=4)
    _fill(scheduler, 4, waiting)
    began = time.process_time()
    for _ in range(200):
        clock.now += 0.05
        scheduler.tick()
    return (time.process_time() - began) / 200 * 1e6


def _fill(scheduler, engines, waiting):
    # Runs that may not be cancelled occupy every slot, so the other requests wait.
    for number in range(engines * 16 + waiting):
        scheduler.receive(make_request(number, tier=1 if number < engines * 16 else 3))


def _run_granted(scheduler, inbox):
    messages, inbox.messages = inbox.messages, []
    for granted in messages:
        if not isinstance(granted, Granted):
            continue
        request_id, engine = granted.request_id, granted.engine
        scheduler.receive(RunStarted(request_id=request_id, engine=engine, first_token_s=0.05, prompt_tokens=500))
        for tokens in range(PROGRESS_MESSAGES):
            scheduler.receive(RunProgress(request_id=request_id, output_tokens=25 * (tokens + 1)))
        scheduler.receive(
            RunFinished(
                request_id=request_id,
                engine=engine,
                result="RunDone",
                duration_s=0.9,
                first_token_s=0.05,
                prompt_tokens=500,
                output_tokens=100,
            )
        )


def _engine(number, slots):
    return DeclaredEngine(
        name=f"engine-{number}",
        service="service",
        cell="cell",
        zone="zone",
        hardware="gen1",
        address=f"127.0.0.1:{9000 + number}",
        slots=slots,
        step_ms=5.0 + number % 3,
        prefill_tokens_per_s=5000.0,
    )


def main():
    """Print the slopes of the scheduler."""
    Slope(
        role="scheduler",
        quantity="processor time of one request's messages, µs",
        against="engines in the cell",
        points=[(engines, cycle_us(engines=engines)) for engines in ENGINE_COUNTS],
    ).print()
    Slope(
        role="scheduler",
        quantity="processor time of one tick, µs",
        against="requests waiting",
        points=[(waiting, tick_us(waiting)) for waiting in WAITING_COUNTS],
    ).print()
    Slope(
        role="scheduler",
        quantity="memory, bytes",
        against="requests waiting",
        points=[(waiting, memory_bytes(waiting)) for waiting in WAITING_COUNTS],
    ).print()


if __name__ == "__main__":
    main()
