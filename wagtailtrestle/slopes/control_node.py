"""One end of the control traffic as a process: an entry with fake callers, or a set of schedulers.

``schedulers`` runs several schedulers, each with its own peers and directory, because an entry in a
deployment of full size talks to about thirty. The view is fixed, so there are no heartbeats. The process
reads its settings as lines of JSON on standard input; each further line requests the figures since the start.
"""

import asyncio
import json
import random
import sys
import time
import uuid

from wagtailtrestle.callers.prompt_shape import shape_of
from wagtailtrestle.capacity.scheduler_set import SchedulerSet
from wagtailtrestle.contracts.declaration import LANGUAGE, Declaration, DeclaredEngine, Service
from wagtailtrestle.contracts.exchange import CallerRequest, RunAdvanced, RunBegan, RunEnded, StartRun
from wagtailtrestle.contracts.outcomes import RunDone
from wagtailtrestle.engines.run_progress import ADVANCE_INTERVAL_S
from wagtailtrestle.entry.crash_watch import CrashWatch
from wagtailtrestle.entry.entry import Entry
from wagtailtrestle.entry.poison import CrashDetector, CrashTable
from wagtailtrestle.membership.view import View
from wagtailtrestle.peers.directory import Directory
from wagtailtrestle.peers.peers_grpc import Peers

ENTRY = "router-entry"
CELLS_PER_SCHEDULER = 2
ENGINES_PER_CELL = 4
PROMPT_BYTES = 8192
PROMPTS = 40
FIRST_TOKEN_S = 0.5
# Longer than in a router, as many schedulers share the process; below 1 s, as a scheduler treats a second
# without a tick as a pause of its process.
TICK_S = 0.4


class FixedMembership:
    """A view that never changes: the schedulers, and one router that is only an entry."""

    __slots__ = ("draining", "trusted", "view")

    def __init__(self, *, schedulers):
        self.view = View(members=schedulers, draining=(ENTRY,))
        self.trusted = True
        self.draining = False

    def on_view_change(self, callback):
        """Do nothing, as the view never changes."""

    def on_trusted(self, callback):
        """Do nothing, as the view is trusted from the start."""


class FakeCaller:
    """Fake of a caller's side: reports each run's events on timers, without an engine."""

    __slots__ = ("_began_at", "_node", "_request_id")

    def __init__(self, *, node, request_id):
        self._node = node
        self._request_id = request_id
        self._began_at = time.monotonic()

    def post(self, command):
        """Act on a command of the request's task."""
        if isinstance(command, StartRun):
            self._node.waits_s.append(time.monotonic() - self._began_at)
            self._run(command.run_id)

    def cancel_run(self, *, run_id, engine, address):
        """Do nothing: no run is cancelled in this measurement."""

    def _run(self, run_id):
        self._post_later(FIRST_TOKEN_S, RunBegan(run_id=run_id, first_token_s=FIRST_TOKEN_S, prompt_tokens=2048))
        run_s = self._node.run_s
        at_s = FIRST_TOKEN_S + ADVANCE_INTERVAL_S
        while at_s < run_s:
            self._post_later(at_s, RunAdvanced(run_id=run_id, output_tokens=int(at_s * 27)))
            at_s += ADVANCE_INTERVAL_S
        outcome = RunDone(output_tokens=int(run_s * 27))
        self._post_later(run_s, RunEnded(run_id=run_id, outcome=outcome, duration_s=run_s, first_token_s=FIRST_TOKEN_S))

    def _post_later(self, delay_s, event):
        self._node.loop.call_later(delay_s, self._post_event, event)

    def _post_event(self, event):
        self._node.finished += isinstance(event, RunEnded)
        self._node.entry.post(self._request_id, event)


class Node:
    """Declaration and figures, which both kinds of process have."""

    def __init__(self, *, loop, schedulers):
        self.loop = loop
        self.cells = tuple(f"asistente-cell-{number}" for number in range(schedulers * CELLS_PER_SCHEDULER))
        self.declaration = _declaration(self.cells)
        self.peers = []
        self.waits_s = []
        self.finished = 0

    def figures(self):
        """Return the figures since the start; the median wait is since the last call."""
        links = [link for peers in self.peers for state in peers.dump().values() if (link := state["link"])]
        waits, self.waits_s = sorted(self.waits_s), []
        return {
            "at": time.monotonic(),
            "processor_s": time.process_time(),
            "batches": sum(link["batches_sent"] for link in links),
            "items": sum(link["items_sent"] for link in links),
            "finished": self.finished,
            "wait_ms": waits[len(waits) // 2] * 1e3 if waits else 0.0,
        }


class EntryNode(Node):
    """The entry, which submits requests at random at a mean rate."""

    def __init__(self, *, loop, addresses_by_name, rate, run_s):
        super().__init__(loop=loop, schedulers=len(addresses_by_name))
        self.run_s = run_s
        self._rate = rate
        self._addresses_by_name = addresses_by_name
        self._random = random.Random(1)
        self._shapes = [shape_of(f"{number:04}" * (PROMPT_BYTES // 4)) for number in range(PROMPTS)]

    async def start(self):
        """Open the links to the schedulers and start to submit requests."""
        peers = Peers(name=ENTRY, incarnation=1, listen_address="127.0.0.1:0", loop=self.loop)
        self.peers.append(peers)
        directory = Directory(
            name=ENTRY,
            membership=FixedMembership(schedulers=self._addresses_by_name),
            peers=peers,
            loop=self.loop,
            deliver_to_scheduler=lambda cell, message: None,
            deliver_to_entry=lambda message: self.entry.on_scheduler_message(message),
            register=lambda cell: self.entry.register(cell),
            cells=lambda: self.cells,
        )
        self.entry = self._entry(directory.scheduler_link)
        await peers.start()
        peers.set_addresses(self._addresses_by_name)
        peers.keep_open(set(self._addresses_by_name))
        directory.refresh()
        self._schedule_next()

    def _entry(self, schedulers):
        crashes = CrashWatch(
            table=CrashTable(clock=self.loop.time),
            detector=CrashDetector(clock=self.loop.time),
            broadcast=lambda report: None,
        )
        return Entry(
            name=ENTRY,
            schedulers=schedulers,
            claims=None,
            crashes=crashes,
            declaration=lambda: self.declaration,
            loop=self.loop,
        )

    def _schedule_next(self):
        if self._rate:
            self.loop.call_later(self._random.expovariate(self._rate), self._submit)

    def _submit(self):
        self._schedule_next()
        shape = self._random.choice(self._shapes)
        request_id = f"{ENTRY}-{uuid.uuid4().hex}"
        request = CallerRequest(
            request_id=request_id,
            service="asistente",
            team="team-17",
            route="chat",
            tier=1,
            repeatable=True,
            at_most_once=False,
            idempotency_key="",
            body_digest=request_id,
            prompt_tokens=shape.tokens,
            output_tokens=400,
            prefix_blocks=shape.prefix_blocks,
            deadline=self.loop.time() + 120,
        )
        self.entry.submit(request, FakeCaller(node=self, request_id=request_id))


class SchedulersNode(Node):
    """The schedulers that the entry requests grants from."""

    def __init__(self, *, loop, schedulers):
        super().__init__(loop=loop, schedulers=schedulers)
        self._names = [f"router-{number}" for number in range(schedulers)]
        self._sets = []

    async def start(self):
        """Start listening and return the address of each scheduler by name."""
        membership = FixedMembership(schedulers=self._names)
        for name in self._names:
            peers = Peers(name=name, incarnation=1, listen_address="127.0.0.1:0", loop=self.loop)
            self._add(peers, membership)
            await peers.start()
            self.peers.append(peers)
        self.loop.call_later(TICK_S, self._tick)
        return {peers.name: peers.address for peers in self.peers}

    def advertise(self, addresses_by_name):
        """Advertise the relays' addresses, so that the entry connects through them."""
        for peers in self.peers:
            peers.address = addresses_by_name[peers.name]

    def _add(self, peers, membership):
        directory = Directory(
            name=peers.name,
            membership=membership,
            peers=peers,
            loop=self.loop,
            deliver_to_scheduler=lambda cell, message: schedulers.deliver(cell, message),
            deliver_to_entry=lambda message: None,
            register=lambda cell: None,
            cells=lambda: self.cells,
        )
        schedulers = SchedulerSet(clock=self.loop.time, entries=directory.entry_link)
        schedulers.set_declaration(self.declaration)
        schedulers.set_members((ENTRY,))
        self._sets.append(schedulers)

    def _tick(self):
        self.loop.call_later(TICK_S, self._tick)
        for schedulers in self._sets:
            schedulers.tick()


def _declaration(cells):
    engines = [_engine(cell, number) for cell in cells for number in range(ENGINES_PER_CELL)]
    return Declaration(
        organisation="slopes",
        zones_by_region={"region": ("zone",)},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={"asistente": Service(name="asistente", kind=LANGUAGE, routes_by_name={})},
        engines_by_name={engine.name: engine for engine in engines},
    )


def _engine(cell, number):
    return DeclaredEngine(
        name=f"{cell}-{number}",
        service="asistente",
        cell=cell,
        zone="zone",
        hardware="gen1",
        address="127.0.0.1:9",
        slots=64,
        step_ms=37.0,
        prefill_tokens_per_s=20000.0,
    )


async def _read(reader):
    line = await reader.readline()
    return json.loads(line) if line else None


def _write_line(values):
    print(json.dumps(values), flush=True)


async def _stdin(loop):
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    return reader


async def run(kind):
    """Run until the standard input ends."""
    loop = asyncio.get_running_loop()
    reader = await _stdin(loop)
    settings = await _read(reader)
    if kind == "entry":
        node = EntryNode(loop=loop, **settings)
        await node.start()
    else:
        node = SchedulersNode(loop=loop, schedulers=settings["schedulers"])
        _write_line(await node.start())
        node.advertise(await _read(reader))
    while await _read(reader) is not None:
        _write_line(node.figures())


if __name__ == "__main__":
    asyncio.run(run(sys.argv[1]))
