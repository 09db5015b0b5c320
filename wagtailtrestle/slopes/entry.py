"""Cost of the entry's decisions: processor time of a request and memory, by number of requests held."""

import asyncio
import time
import tracemalloc

from wagtailtrestle.contracts.declaration import LANGUAGE, Declaration, DeclaredEngine, Service
from wagtailtrestle.contracts.exchange import CallerRequest, RunAdvanced, RunBegan, RunEnded, StartRun
from wagtailtrestle.contracts.messages import Granted, GrantRequest
from wagtailtrestle.contracts.outcomes import RunDone
from wagtailtrestle.entry.crash_watch import CrashWatch
from wagtailtrestle.entry.entry import Entry
from wagtailtrestle.entry.poison import CrashDetector, CrashTable
from wagtailtrestle.slopes.slope import Slope

HELD_COUNTS = (0, 200, 1_000, 3_000)
CYCLES = 2_000
ADVANCES = 4


class InstantScheduler:
    """Fake scheduler link that grants every request immediately, or none while ``granting`` is false."""

    __slots__ = ("entry", "granting", "loop")

    def __init__(self, *, loop):
        self.loop = loop
        self.granting = True
        self.entry = None

    def send(self, *, cell, message):
        """Receive one message of the entry."""
        if self.granting and isinstance(message, GrantRequest):
            granted = Granted(
                request_id=message.request_id,
                attempt=message.attempt,
                engine="engine-1",
                progress_deadline_s=1.0,
                first_token_deadline_s=2.0,
            )
            self.loop.call_soon(self.entry.on_scheduler_message, granted)
        return True


class InstantCaller:
    """Fake caller's side that reports the events of a completed run immediately."""

    __slots__ = ("entry", "loop", "request_id")

    def __init__(self, *, entry, loop, request_id):
        self.entry = entry
        self.loop = loop
        self.request_id = request_id

    def post(self, command):
        """Act on a command of the request's task."""
        if isinstance(command, StartRun):
            self._run(command.run_id)

    def cancel_run(self, *, run_id, engine, address):
        """Do nothing: no run is cancelled here."""

    def _run(self, run_id):
        events = [RunBegan(run_id=run_id, first_token_s=0.05, prompt_tokens=500)]
        events += [RunAdvanced(run_id=run_id, output_tokens=25 * (number + 1)) for number in range(ADVANCES)]
        events.append(RunEnded(run_id=run_id, outcome=RunDone(output_tokens=100), duration_s=0.9, first_token_s=0.05))
        for event in events:
            self.loop.call_soon(self.entry.post, self.request_id, event)


def make_entry(loop, *, kind=LANGUAGE):
    """Build an entry with one service of the given kind and a scheduler that grants immediately."""
    scheduler = InstantScheduler(loop=loop)
    declaration = _declaration(kind)
    entry = Entry(
        name="router-1",
        schedulers=scheduler,
        claims=None,
        crashes=CrashWatch(
            table=CrashTable(clock=loop.time),
            detector=CrashDetector(clock=loop.time),
            broadcast=lambda report: None,
        ),
        declaration=lambda: declaration,
        loop=loop,
    )
    scheduler.entry = entry
    return entry, scheduler


async def _cycle_us(held):
    loop = asyncio.get_running_loop()
    entry, scheduler = make_entry(loop)
    await hold(entry, scheduler, loop, held)
    began = time.process_time()
    for number in range(CYCLES):
        _submit(entry, loop, f"cycle-{number}")
        while f"cycle-{number}" in entry.tasks_by_id:
            await asyncio.sleep(0)
    spent = time.process_time() - began
    await entry.close()
    return spent / CYCLES * 1e6


async def _memory_bytes(held):
    loop = asyncio.get_running_loop()
    entry, scheduler = make_entry(loop)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    await hold(entry, scheduler, loop, held)
    bytes_held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    await entry.close()
    return bytes_held


async def hold(entry, scheduler, loop, held):
    """Submit ``held`` requests that wait in the entry for a grant."""
    scheduler.granting = False
    for number in range(held):
        _submit(entry, loop, f"held-{number}")
    await asyncio.sleep(0.05)
    scheduler.granting = True


def _submit(entry, loop, request_id):
    request = make_request(loop, request_id)
    entry.submit(request, InstantCaller(entry=entry, loop=loop, request_id=request_id))


def make_request(loop, request_id, *, repeatable=True, deadline_s=3600.0):
    """Build one request whose deadline is in ``deadline_s``."""
    return CallerRequest(
        request_id=request_id,
        service="service",
        team="team-1",
        route="route",
        tier=1,
        repeatable=repeatable,
        at_most_once=False,
        idempotency_key="",
        body_digest=request_id,
        prompt_tokens=500,
        output_tokens=100,
        prefix_blocks=tuple(range(8)),
        deadline=loop.time() + deadline_s,
    )


def _declaration(kind):
    engine = DeclaredEngine(
        name="engine-1",
        service="service",
        cell="cell",
        zone="zone",
        hardware="gen1",
        address="127.0.0.1:9",
        slots=16,
        step_ms=5.0,
        prefill_tokens_per_s=5000.0,
    )
    return Declaration(
        organisation="slopes",
        zones_by_region={"region": ("zone",)},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={"service": Service(name="service", kind=kind, routes_by_name={})},
        engines_by_name={"engine-1": engine},
    )


def main():
    """Print the slopes of the entry."""
    Slope(
        role="entry",
        quantity="processor time of one request's decisions, µs",
        against="requests held",
        points=[(held, asyncio.run(_cycle_us(held))) for held in HELD_COUNTS],
    ).print()
    Slope(
        role="entry",
        quantity="memory, bytes",
        against="requests held",
        points=[(held, asyncio.run(_memory_bytes(held))) for held in HELD_COUNTS],
    ).print()


if __name__ == "__main__":
    main()
