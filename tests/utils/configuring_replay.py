"""Replays traces of the configuration specification against real applies and :class:`Configuration`."""

import asyncio
import random

from tests.utils.memory_store import MemoryStore
from tests.utils.scheduling_replay import small_declaration
from wagtailtrestle.configuration.applying import (
    DECLARATION_KIND,
    DECLARATION_NAME,
    Applied,
    ApplyConflict,
    ApplyNotDone,
    apply,
)
from wagtailtrestle.configuration.configuration import Configuration, PeersAnswer
from wagtailtrestle.contracts.outcomes import StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.spec.configuring import OPERATORS, ROUTERS
from wagtailtrestle.spec.monitor import Monitor

SCRIPT_BY_VERB = {
    "applied": "done",
    "conflict": "done",
    "sent_again_applied": "done",
    "sent_again_own": "done",
    "sent_again_conflict": "done",
    "applied_answer_lost": "answer_lost",
    "sent_again_answer_lost": "answer_lost",
    "delayed": "delayed",
    "unavailable": "unavailable",
    "abandon": "unavailable",
}
REPORT_BY_OUTCOME = {Applied: "applied", ApplyConflict: "conflict", ApplyNotDone: "not_done"}
STEP_S = 0.05
SETTLE_S = 60.0


class OperatorStore(MemoryStore):
    """One operator's view of the store; its updates end as scripted and are reported to the monitor."""

    def __init__(self, *, table, operator, monitor):
        super().__init__(table=table)
        self.script = []
        self.late = None
        self.may_send = asyncio.Event()
        self._operator = operator
        self._monitor = monitor
        self._sent = 0
        self.refused_again = False

    async def get(self, *, kind, name, unless_version=None):
        outcome = await super().get(kind=kind, name=name)
        if self._monitor.read(f"apply[{self._operator}]") == "idle":
            self._report_base(outcome)
        return outcome

    async def create(self, *, kind, name, value):
        return await self._update(lambda: super(OperatorStore, self).create(kind=kind, name=name, value=value))

    async def update(self, *, kind, name, value, if_version):
        return await self._update(
            lambda: super(OperatorStore, self).update(kind=kind, name=name, value=value, if_version=if_version)
        )

    async def land(self):
        """Let the delayed update reach the store."""
        if self.late is not None:
            late, self.late = self.late, None
            self.take("late_lands" if isinstance(await late(), StoreDone) else "late_refused")

    def take(self, action):
        self._monitor.take(f"{action}(operator={self._operator})")

    def _report_base(self, outcome):
        generation = outcome.value["generation"] if isinstance(outcome, StoreDone) else 0
        if self._monitor.read("accepted") == f"g{generation}":
            self.take("read_base")
        else:
            self._monitor.take(f"read_base_stale(operator={self._operator}, generation={generation})")

    async def _update(self, send):
        self._sent += 1
        first = self._sent == 1
        if first:
            await self.may_send.wait()
            self.take("send")
        scripted = self.script.pop(0) if self.script else "done"
        if scripted == "unavailable":
            if first:
                self.take("unavailable")
            return StoreUnavailable(detail="scripted")
        if scripted == "delayed" and first:
            self.late = send
            self.take("delayed")
            return StoreUnknown(detail="scripted")
        outcome = await send()
        if not isinstance(outcome, StoreDone):
            self.refused_again = not first
            if first:
                self.take("conflict")
            return outcome
        return self._report_done(first, scripted, outcome)

    def _report_done(self, first, scripted, outcome):
        if scripted == "answer_lost":
            self.take("applied_answer_lost" if first else "sent_again_answer_lost")
            return StoreUnknown(detail="scripted")
        self.take("applied" if first else "sent_again_applied")
        return outcome


class ApplyReplay:
    """Replays one trace against two real applies over one store."""

    def __init__(self, *, specification, trace):
        self.monitor = Monitor(specification)
        self.reported = {}
        self._trace = trace
        table = MemoryStore().table
        self._stores = [OperatorStore(table=table, operator=operator, monitor=self.monitor) for operator in OPERATORS]
        self._applies = {}

    async def run(self):
        """Follow the trace, then let both applies finish."""
        for step in self._trace.steps[1:]:
            operator = step.parameters.get("operator")
            if step.verb in SCRIPT_BY_VERB:
                self._stores[operator].script.append(SCRIPT_BY_VERB[step.verb])
        for step in self._trace.steps[1:]:
            await self._follow(step)
            await asyncio.sleep(STEP_S)
        for store in self._stores:
            store.may_send.set()
        await asyncio.sleep(SETTLE_S)
        for store in self._stores:
            await store.land()

    async def _follow(self, step):
        operator = step.parameters.get("operator")
        if step.verb in ("read_base", "read_base_stale") and operator not in self._applies:
            self._applies[operator] = asyncio.ensure_future(self._apply(operator))
        elif step.verb == "send":
            self._stores[operator].may_send.set()
        elif step.verb in ("late_lands", "late_refused"):
            await self._stores[operator].land()
        elif operator is not None and step.verb.startswith(("read_back", "sent_again")):
            await asyncio.sleep(1.0)

    async def _apply(self, operator):
        store = self._stores[operator]
        outcome = await apply(store=store, text="text", apply_id=f"o{operator}", clock=lambda: 0.0)
        self.reported[operator] = REPORT_BY_OUTCOME.get(type(outcome), "unknown")
        if self.monitor.read(f"apply[{operator}]") == "unsettled":
            again = ["sent_again_own", "sent_again_conflict"] if store.refused_again else []
            names = {"applied": ["read_back_own"], "conflict": ["read_back_other"], "unknown": ["abandon"]}
            names = [*names.get(self.reported[operator], ["reported"]), *again]
            self.monitor.take_first(*(f"{name}(operator={operator})" for name in names))


class ConfigurationReplay:
    """Replays one trace against two real :class:`Configuration` objects over one store."""

    def __init__(self, *, specification, trace):
        self.monitor = Monitor(specification)
        self._trace = trace
        self._table = MemoryStore().table
        self._store = MemoryStore(table=self._table)
        self._configurations = [None] * len(ROUTERS)
        self._known = [0] * len(ROUTERS)
        self._stores = [None] * len(ROUTERS)

    async def run(self):
        """Follow the trace; each generation that takes effect is reported to the monitor immediately."""
        for step in self._trace.steps[1:]:
            await self._follow(step)
        for router_configuration in self._configurations:
            if router_configuration is not None:
                await router_configuration.close()

    async def _follow(self, step):
        router, generation = step.parameters.get("router"), step.parameters.get("generation")
        if router is None:
            await self._follow_operator(step)
        elif step.verb == "restart":
            await self._stop(router)
        elif step.verb == "offer":
            self._offer(router, generation)
        elif step.verb.startswith("begin") and self._configurations[router] is None:
            await self._begin(router, step.verb, generation)
        await asyncio.sleep(STEP_S)

    async def _follow_operator(self, step):
        if not self.monitor.allows(step.action):
            return
        before = self.monitor.read("accepted")
        self.monitor.take(step.action)
        if self.monitor.read("accepted") != before:
            await self._accept(int(self.monitor.read("accepted")[1:]))

    async def _accept(self, generation):
        value = {
            "generation": generation,
            "apply_id": f"a{generation}",
            "applied_at": 0.0,
            "text": "text",
            "recent": [],
        }
        if generation == 1:
            await self._store.create(kind=DECLARATION_KIND, name=DECLARATION_NAME, value=value)
            return
        held = await self._store.get(kind=DECLARATION_KIND, name=DECLARATION_NAME)
        await self._store.update(kind=DECLARATION_KIND, name=DECLARATION_NAME, value=value, if_version=held.version)

    async def _stop(self, router):
        if self._configurations[router] is not None and self.monitor.allows(f"restart(router={router})"):
            await self._configurations[router].close()
            self._configurations[router] = None
            self.monitor.take(f"restart(router={router})")

    def _offer(self, router, generation):
        """Offer any generation that was ever accepted; a lower one must not take effect."""
        router_configuration = self._configurations[router]
        if router_configuration is not None and generation <= int(self.monitor.read("accepted")[1:]):
            router_configuration.offer(generation, "text", "peer")

    async def _begin(self, router, verb, generation):
        store = self._stores[router] = MemoryStore(table=self._table)
        accepted = int(self.monitor.read("accepted")[1:])
        if accepted == 0:
            return
        # A start stays unconfirmed while no write succeeds; its reads may be stale.
        store.stale_versions = max(0, accepted - (generation or accepted))
        if verb != "begin_confirmed":
            store.lose_requests = 10**6
        router_configuration = Configuration(
            store=store,
            parse=lambda text: small_declaration(),
            on_change=lambda in_force: self._report_generation(router, in_force.generation),
            query_peers=lambda wanted, preferred_peer: self._peers_answer(router, verb),
            poll_interval_s=1e6,
            watch_timeout_s=1e5,
            jitter=random.Random(1),
        )
        self._configurations[router] = router_configuration
        self._known[router] = 0
        store.silent_watch = True
        router_configuration.start()
        await asyncio.sleep(8.0)
        # Once the store recovers, the start can be confirmed.
        store.stale_versions = store.lose_requests = 0

    async def _peers_answer(self, router, verb):
        peer = self._configurations[1 - router]
        if verb != "begin_by_peer" or peer is None or not peer.generation:
            return PeersAnswer()
        return PeersAnswer(answered=1, generation=peer.generation, text="text")

    def _report_generation(self, router, generation):
        first = self.monitor.read(f"in_force[{router}]") == "g0"
        confirmed = self._configurations[router].dump()["is_confirmed"]
        if not first:
            names = [f"offer(router={router}, generation={generation})"]
        elif confirmed:
            self._check_newest(generation)
            names = [f"begin_confirmed(router={router})"]
        else:
            names = [f"begin_unconfirmed(router={router}, generation={generation})"]
            if (
                self._configurations[1 - router] is not None
                and self._configurations[1 - router].generation == generation
            ):
                names.insert(0, f"begin_by_peer(router={router}, peer={1 - router})")
        self.monitor.take_first(*names)

    def _check_newest(self, generation):
        newest = self.monitor.read("accepted")
        if newest != f"g{generation}":
            self.monitor.violations.append(f"confirmed start with g{generation} while {newest} is accepted")

    def in_force(self):
        """Return the generation that is in force at each router."""
        return [
            f"g{router_configuration.generation if router_configuration else 0}"
            for router_configuration in self._configurations
        ]
