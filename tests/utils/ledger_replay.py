"""Replays traces of the claims specification against real ledgers, and reports their actions to a monitor."""

import asyncio
from unittest import mock

from tests.utils.memory_store import MemoryStore
from wagtailtrestle.contracts.ledger_messages import ClaimAsk, ClaimResult, NonceAsk, NonceState
from wagtailtrestle.contracts.outcomes import (
    ClaimFinished,
    ClaimUnavailable,
    ClaimWon,
    StoreDone,
    StoreUnavailable,
    StoreUnknown,
)
from wagtailtrestle.ledger import ledger as ledger_module
from wagtailtrestle.ledger.ledger import LAYOUT_NAME, Ledger
from wagtailtrestle.ledger.record import LEDGER_KIND, key_hash
from wagtailtrestle.ledger.shard import ShardWriter
from wagtailtrestle.spec.claims import ROUTERS
from wagtailtrestle.spec.monitor import Monitor

KEY = key_hash(team="t", key="k")
SCRIPT_BY_VERB = {
    "write_done": "done",
    "write_conflict": "done",
    "write_done_answer_lost": "answer_lost",
    "write_delayed": "delayed",
    "write_unavailable": "unavailable",
}
DELIVERY_VERBS = ("win", "answer_held", "receive_refused", "receive_finished", "receive_unknown", "read_recorded")
STEP_S = 0.05
SETTLE_S = 60.0
OPEN_GATE_TURNS = 1000


def _nonce(send):
    return f"n{send}"


def _send(nonce):
    return int(nonce[1:])


class ScriptedStore(MemoryStore):
    """One router's view of the store: calls wait for their step and are reported to the monitor."""

    def __init__(self, *, table, router, monitor, late=None):
        super().__init__(table=table)
        self.reads = asyncio.Queue()
        self.outcomes = asyncio.Queue()
        self.late = late
        self.in_flight = None
        self._router = router
        self._monitor = monitor

    async def get(self, *, kind, name):
        if name == LAYOUT_NAME:
            return await super().get(kind=kind, name=name)
        await self.reads.get()
        outcome = await super().get(kind=kind, name=name)
        if not self._monitor.read(f"writing[{self._router}]"):
            self._take("read")
        return outcome

    async def create(self, *, kind, name, value):
        if name == LAYOUT_NAME:
            return await super().create(kind=kind, name=name, value=value)
        return await self._write_scripted(
            value, lambda: super(ScriptedStore, self).create(kind=kind, name=name, value=value)
        )

    async def update(self, *, kind, name, value, if_version):
        return await self._write_scripted(
            value, lambda: super(ScriptedStore, self).update(kind=kind, name=name, value=value, if_version=if_version)
        )

    async def land(self):
        """Let the delayed write reach the store."""
        if self.late is not None:
            late, self.late = self.late, None
            landed = isinstance(await late(), StoreDone)
            self._take("late_write_lands" if landed else "late_write_refused")

    def _take(self, action):
        self._monitor.take(f"{action}(writer={self._router})")

    async def _write_scripted(self, value, write):
        if not self._report_write(value["claims"]):
            return await write()
        self.in_flight = write
        try:
            scripted = await self.outcomes.get()
        except asyncio.CancelledError:
            # The writer timed out; the write may still take effect.
            self._delay(write)
            raise
        self.in_flight = None
        if scripted == "unavailable":
            self._take("write_unavailable")
            return StoreUnavailable(detail="scripted")
        if scripted == "delayed" and self.late is None:
            self._delay(write)
            return StoreUnknown(detail="scripted")
        outcome = await write()
        if not isinstance(outcome, StoreDone):
            self._take("write_conflict")
            return outcome
        self._take("write_done_answer_lost" if scripted == "answer_lost" else "write_done")
        return StoreUnknown(detail="scripted") if scripted == "answer_lost" else outcome

    def _delay(self, write):
        if self._monitor.read(f"writing[{self._router}]"):
            self.late = write
            self._take("write_delayed")

    def _report_write(self, records):
        """Report the purpose of the write; return ``False`` if it only records how a request ended."""
        before = self._monitor.read(f"snapshot[{self._router}]")
        if KEY not in records:
            self._monitor.take(f"write_release(writer={self._router}, send={_send(before)})")
            return True
        nonce, state = records[KEY][0], records[KEY][5]
        if nonce == before:
            if state == NonceState.FINISHED:
                self._monitor.take_first(f"record(send={_send(nonce)})", "record")
            return False
        self._monitor.take(f"write_claim(writer={self._router}, send={_send(nonce)})")
        return True


class KillableLedger(Ledger):
    """A ledger that can be stopped as in a crash of its router: all of its tasks are cancelled."""

    def cancel_tasks(self):
        tasks = [writer._task for writer in self._writers_by_shard.values() if writer._task]
        for task in [*tasks, *self._settling_by_nonce.values()]:
            task.cancel()


class LedgerReplay:
    """Replays one trace against two routers with real ledgers.

    Parameters
    ----------
    specification : Specification
        With all safeguards, also when the trace comes from a mutant.
    trace : Trace
    sends : int
    """

    def __init__(self, *, specification, trace, sends):
        self.monitor = Monitor(specification)
        self._trace = trace
        self._sends = range(sends)
        self._table = MemoryStore().table
        self._incarnations = [0] * ROUTERS
        self._stores = [None] * ROUTERS
        self._ledgers = [None] * ROUTERS
        self._owner = 0
        self._claims_by_send = {}
        self._deliveries = [asyncio.Queue() for _ in self._sends]

    async def run(self):
        """Follow the trace, then let all requests and writes finish."""
        with mock.patch.object(ledger_module, "ShardWriter", self._observed_writer()):
            for router in range(ROUTERS):
                await self._start(router)
            for step in self._trace.steps[1:]:
                await self._follow(step)
                await asyncio.sleep(STEP_S)
            self._open_gates()
            await asyncio.sleep(SETTLE_S)
            for store in self._stores:
                await store.land()

    def _open_gates(self):
        """Release every call that still waits for its step."""
        for store in self._stores:
            for _ in range(OPEN_GATE_TURNS):
                store.reads.put_nowait("turn")
                store.outcomes.put_nowait("done")
        for queue in self._deliveries:
            for _ in range(OPEN_GATE_TURNS):
                queue.put_nowait("turn")

    # Steps of the trace.

    async def _follow(self, step):
        parameters = step.parameters
        send = parameters.get("send")
        match step.verb:
            case "read" | "read_stale":
                self._stores[parameters["writer"]].reads.put_nowait("turn")
            case verb if verb in SCRIPT_BY_VERB:
                self._stores[parameters["writer"]].outcomes.put_nowait(SCRIPT_BY_VERB[verb])
            case verb if verb in DELIVERY_VERBS:
                self._deliveries[send].put_nowait("turn")
            case "ask":
                self._claim(send, parameters["writer"])
            case "late_write_lands" | "late_write_refused":
                await self._stores[parameters["writer"]].land()
            case "abandon" | "stop_waiting":
                self._cancel(send)
            case "refuse" | "dispatch" | "dispatch_without_run" | "finish" | "cut":
                self._end(step.action, step.verb, send)
            case "crash":
                await self._crash(parameters["router"])

    def _claim(self, send, owner):
        self._owner = owner
        if send not in self._claims_by_send:
            self._claims_by_send[send] = asyncio.ensure_future(self._run_claim(send))

    async def _run_claim(self, send):
        ledger = self._ledgers[send % ROUTERS]
        try:
            outcome = await ledger.claim(team="t", key="k", body_digest="d", nonce=_nonce(send), wait_s=20.0)
        except asyncio.CancelledError:
            if ledger is self._ledgers[send % ROUTERS]:
                self.monitor.take_first(f"abandon(send={send})", f"stop_waiting(send={send})")
            raise
        self._report_outcome(send, outcome)

    def _report_outcome(self, send, outcome):
        others = [other for other in self._sends if other != send]
        match outcome:
            case ClaimWon():
                names = [f"win(send={send})"]
            case ClaimUnavailable():
                names = [f"abandon(send={send})"]
            case ClaimFinished():
                names = [
                    f"{verb}(send={send}, other={o})" for verb in ("read_recorded", "receive_finished") for o in others
                ]
            case _:
                names = [f"receive_unknown(send={send}, other={other})" for other in others]
                names.append(f"stop_waiting(send={send})")
        self.monitor.take_first(*names)

    def _cancel(self, send):
        claim = self._claims_by_send.get(send)
        if claim is not None and not claim.done():
            claim.cancel()

    def _end(self, action, verb, send):
        """End a claim as the entry does, if the real claim was won."""
        if not self.monitor.allows(action):
            return
        self.monitor.take(action)
        ledger, claim = self._ledgers[send % ROUTERS], {"team": "t", "key": "k", "nonce": _nonce(send)}
        if verb == "refuse":
            ledger.release(**claim)
        elif verb == "finish":
            ledger.finish(**claim, status=200, content_type="text/plain", body=b"ok")
        elif verb == "cut":
            ledger.finish_unknown(**claim)

    # Routers.

    async def _start(self, router, *, late=None):
        self._incarnations[router] += 1
        store = ScriptedStore(table=self._table, router=router, monitor=self.monitor, late=late)
        ledger = KillableLedger(
            name=str(router),
            incarnation=str(self._incarnations[router]),
            store=store,
            owner_of=lambda shard: str(self._owner),
            query_peer=lambda peer, message, timeout_s: self._ask(router, int(peer), message, timeout_s),
            shards=lambda: 1,
            retention_s=lambda: 3600.0,
            wall_clock=lambda: 1e6,
        )
        ledger.inner_handle = ledger.handle
        ledger.handle = lambda message: self._handle(router, message)
        self._stores[router], self._ledgers[router] = store, ledger
        await ledger.start()

    async def _crash(self, router):
        self.monitor.take(f"crash(router={router})")
        dead, store = self._ledgers[router], self._stores[router]
        await self._start(router, late=store.late or store.in_flight)
        for send, claim in self._claims_by_send.items():
            if send % ROUTERS == router and not claim.done():
                claim.cancel()
        await asyncio.sleep(0)
        dead.cancel_tasks()

    async def _ask(self, router, peer, message, timeout_s):
        self._report_ask(message, peer)
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._ledgers[peer].inner_handle(message)
                if isinstance(message, ClaimAsk):
                    await self._deliveries[_send(message.nonce)].get()
        except TimeoutError:
            return None
        self._report_refused_nonce(router, message, answer)
        return answer

    async def _handle(self, router, message):
        """Answer a request of this router itself."""
        answer = await self._ledgers[router].inner_handle(message)
        self._report_refused_nonce(router, message, answer)
        return answer

    def _report_refused_nonce(self, router, message, answer):
        if not isinstance(message, NonceAsk) or answer.state != NonceState.REFUSED:
            return
        other = _send(message.nonce)
        actions = [f"receive_refused(send={send}, other={other})" for send in self._sends if send % ROUTERS == router]
        for action in actions:
            if self.monitor.allows(action):
                self.monitor.take(action)

    def _report_ask(self, message, writer):
        if isinstance(message, ClaimAsk):
            action = f"ask(send={_send(message.nonce)}, writer={writer})"
            if self.monitor.allows(action):
                self.monitor.take(action)

    # Writers.

    def _observed_writer(self):
        replay = self

        class ObservedWriter(ShardWriter):
            """Reports answers to the monitor."""

            async def claim(self, ask, *, timeout_s):
                replay._report_ask(ask, replay._router_of(self))
                return await super().claim(ask, timeout_s=timeout_s)

            def _answer(self, batch, answers):
                for pending, answer in zip(batch, answers, strict=True):
                    if isinstance(pending.request, ClaimAsk) and not pending.answered.done():
                        replay._report_answer(replay._router_of(self), pending.request, answer)
                super()._answer(batch, answers)

        return ObservedWriter

    def _router_of(self, writer):
        return self._stores.index(writer._store)

    def _report_answer(self, writer, ask, answer):
        send = _send(ask.nonce)
        if answer.result == ClaimResult.WON:
            self.monitor.take(f"answer_won(writer={writer}, send={send})")
        elif answer.result == ClaimResult.HELD and self.monitor.read(f"request[{send}]") == "claiming":
            self.monitor.take(f"answer_held(writer={writer}, send={send}, other={_send(answer.nonce)})")

    def holder(self):
        """Return the nonce that is in the store."""
        outcome = self._table.get(kind=LEDGER_KIND, name="shard-000")
        records = outcome.value["claims"] if isinstance(outcome, StoreDone) else {}
        return records[KEY][0] if KEY in records else "none"
