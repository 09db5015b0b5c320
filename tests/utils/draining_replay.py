"""Replays traces of the drain specification against real schedulers and a real entry."""

import asyncio

from tests.utils.scheduler_fakes import FakeEntries, ask, engine, finished
from tests.utils.scheduling_replay import FakeCaller, caller_request, make_entry
from wagtailtrestle.capacity.scheduler_set import SchedulerSet
from wagtailtrestle.contracts.declaration import LANGUAGE, Declaration, Route, Service
from wagtailtrestle.contracts.exchange import RunEnded
from wagtailtrestle.contracts.messages import Granted
from wagtailtrestle.contracts.outcomes import RunDone
from wagtailtrestle.spec.checker import Step
from wagtailtrestle.spec.draining import ENGINES, LEAVING
from wagtailtrestle.spec.monitor import Monitor

CELL = "asistente"
STEP_S = 0.05


def declaration(*, leaving):
    """Declare one language service on two engines, one of which may be leaving."""
    engines = {name: engine(name, slots=4) for name in ENGINES}
    engines[LEAVING].leaving = leaving
    route = Route(name="chat", method="POST", path="/v1/chat/completions", tier="t0", deadline_ms=1, repeatable=True)
    service = Service(name=CELL, kind=LANGUAGE, routes_by_name={"chat": route})
    return Declaration(
        organisation="cometas",
        zones_by_region={"norte": ("gijon",)},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={CELL: service},
        engines_by_name=engines,
    )


class DrainReplay:
    """The draining router's entry, and the scheduler: first that of the draining router, then that of another.

    Parameters
    ----------
    specification : Specification
    trace : Trace
    """

    def __init__(self, *, specification, trace):
        self.monitor = Monitor(specification)
        self.ended_with_work = False
        self._trace = trace
        self._entries = FakeEntries()
        self._declaration = declaration(leaving=False)
        self._listed = frozenset()
        self._schedulers = None
        self._draining = False
        self._entry = None
        self._callers = {}
        self._drained = None
        self._granted = {}

    async def run(self):
        """Follow the trace; the real modules decide the grants and the end of the drain."""
        loop = asyncio.get_running_loop()
        self._entry, _ = make_entry(loop=loop, declaration=self._declaration)
        self._schedulers = self._new_schedulers()
        for step in self._trace.steps[1:]:
            self._follow(step)
            await asyncio.sleep(STEP_S)
            self._schedulers.tick()
            self._report_grants()
            await asyncio.sleep(STEP_S)
            self._report_drained()
        await self._entry.close()

    async def toggle(self, sources):
        """Let sources toggle their marks of the engine in turn; return the expected and the actual leaving states."""
        self._entry, _ = make_entry(loop=asyncio.get_running_loop(), declaration=self._declaration)
        self._schedulers = self._new_schedulers()
        self._schedulers.deliver(CELL, ask("first"))
        expected, actual = [], []
        for source in sources:
            verb = "unmark" if self.monitor.read(f"{source}_leaving") else "mark"
            self._follow(Step(action=f"{source}_{verb}()", state={}))
            expected.append(self.monitor.read("believed_leaving"))
            actual.append(self._schedulers.dump()[CELL]["engines"][LEAVING]["leaving"])
        return expected, actual

    def _new_schedulers(self):
        schedulers = SchedulerSet(clock=asyncio.get_running_loop().time, entries=self._entries)
        schedulers.set_declaration(self._declaration)
        schedulers.set_leaving(self._listed)
        return schedulers

    def _follow(self, step):
        request = step.parameters.get("request")
        if step.verb in ("grant", "seen_empty") or not self.monitor.allows(step.action):
            return
        self.monitor.take(step.action)
        match step.verb:
            case "declared_mark" | "declared_unmark":
                self._declaration = declaration(leaving=step.verb == "declared_mark")
                self._schedulers.set_declaration(self._declaration)
            case "listed_mark" | "listed_unmark":
                self._listed = frozenset({LEAVING} if step.verb == "listed_mark" else ())
                self._schedulers.set_leaving(self._listed)
            case "drain":
                self._schedulers.stop_granting()
            case "hand_over":
                self._hand_over()
            case "close_intake":
                self._drained = asyncio.ensure_future(self._entry.drained())
            case "arrive":
                self._arrive(request)
            case "finish":
                self._finish(request)
            case "end":
                self.ended_with_work = bool(self._entry.tasks_by_id)

    def _hand_over(self):
        """Another router's scheduler takes over the cell, and the entries register their waiting requests."""
        self._schedulers = self._new_schedulers()
        for number in range(len(self.monitor.specification.domains_by_variable)):
            if f"request[{number}]" not in self.monitor.specification.domains_by_variable:
                return
            if self.monitor.read(f"request[{number}]") == "queued":
                self._schedulers.deliver(CELL, ask(f"q{number}", entry="r1"))

    def _arrive(self, request):
        if request % 2 == 0:
            caller = self._callers[request] = FakeCaller()
            deadline = asyncio.get_running_loop().time() + 600.0
            self._entry.submit(caller_request(f"q{request}", deadline=deadline), caller)
        self._schedulers.deliver(CELL, ask(f"q{request}", entry="r1"))

    def _finish(self, request):
        self._schedulers.deliver(CELL, finished(f"q{request}", on=self._granted[request].engine))
        if request in self._callers:
            run_id = self._callers[request].starts[-1].run_id
            self._entry.post(f"q{request}", RunEnded(run_id=run_id, outcome=RunDone(), duration_s=0.1))

    def _report_grants(self):
        for message in self._entries.of(Granted):
            request = int(message.request_id[1:])
            if request not in self._granted:
                self._granted[request] = message
                self.monitor.take(f"grant(request={request}, engine={message.engine})")
                self._entry.on_scheduler_message(message)

    def _report_drained(self):
        if self._drained is not None and self._drained.done():
            self._drained = None
            self.monitor.take("seen_empty()")
