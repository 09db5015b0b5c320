"""Routers of a measured run: real entries and the real scheduler, connected by delayed messages."""

from wagtailtrestle.capacity.scheduler import Scheduler
from wagtailtrestle.contracts.exchange import CallerRequest
from wagtailtrestle.contracts.report_messages import LoadReport
from wagtailtrestle.entry.crash_watch import CrashWatch
from wagtailtrestle.entry.entry import Entry
from wagtailtrestle.entry.poison import CrashDetector, CrashTable
from wagtailtrestle.measure.fake_caller import NETWORK_S, FakeCaller
from wagtailtrestle.measure.run_parts import CallbackEntryLink, CallbackSchedulerLink

TICK_S = 0.05
REPORT_EVERY_S = 0.1
REPORT_LAG_S = 0.2
DETECTION_S = 1.0
"""Time until the other routers detect that a router is dead."""


class SchedulerRouters:
    """Routers whose admission the scheduler decides, as in the product.

    Parameters
    ----------
    setting : RunSetting
    engines_by_name : dict of str to FakeEngine
    make_policy : callable
        Returns a new ``EnginePolicy``.
    loop : asyncio.AbstractEventLoop
    claims_by_router : dict of str to Claims
        Empty if no request carries an idempotency key.
    """

    def __init__(self, *, setting, engines_by_name, make_policy, loop, claims_by_router=None):
        self._claims_by_router = claims_by_router or {}
        self._setting = setting
        self._engines_by_name = engines_by_name
        self._make_policy = make_policy
        self._loop = loop
        self._callers_by_router = {name: {} for name in setting.routers}
        self._entry_by_name = {name: self._entry(name) for name in setting.routers}
        self._scheduler_router = setting.routers[0]
        self._scheduler = self._new_scheduler()

    @property
    def scheduler(self):
        """Current scheduler; ``None`` between the death of its router and the detection."""
        return self._scheduler

    def start(self):
        """Start the ticks and the load reports."""
        self._tick()
        self._report()

    def live(self):
        """Return the names of the routers that accept callers."""
        return list(self._entry_by_name)

    def submit(self, *, router, request, arrival):
        """Submit one caller's request to a router and return the caller's side."""
        entry = self._entry_by_name[router]
        caller = FakeCaller(
            arrival=arrival,
            request_id=request.request_id,
            engines_by_name=self._engines_by_name,
            loop=self._loop,
            post_event=entry.post,
        )
        self._callers_by_router[router][request.request_id] = caller
        entry.submit(request, caller)
        return caller

    def kill(self, router):
        """Kill a router's process; its requests are lost, and so is the scheduler if it ran there."""
        entry = self._entry_by_name.pop(router)
        for caller in self._callers_by_router.pop(router).values():
            caller.disconnect()
        self._loop.create_task(entry.close())
        if router == self._scheduler_router:
            self._scheduler.stop_granting()
            self._scheduler = None
        self._loop.call_later(DETECTION_S, self._on_death_detected, router)

    def _send_to_scheduler(self, router, message):
        delay_s = 0.0 if router == self._scheduler_router else NETWORK_S
        self._loop.call_later(delay_s, self._receive, message)

    def _receive(self, message):
        if self._scheduler is not None:
            self._scheduler.receive(message)

    def _send_to_entry(self, entry_name, message):
        if entry_name not in self._entry_by_name:
            return False
        delay_s = 0.0 if entry_name == self._scheduler_router else NETWORK_S
        self._loop.call_later(delay_s, self._deliver, entry_name, message)
        return True

    def _deliver(self, entry_name, message):
        entry = self._entry_by_name.get(entry_name)
        if entry is not None:
            entry.on_scheduler_message(message)

    def _on_death_detected(self, router):
        if router == self._scheduler_router:
            self._scheduler_router = next(iter(self._entry_by_name))
            self._scheduler = self._new_scheduler()
            for entry in self._entry_by_name.values():
                self._loop.call_later(NETWORK_S, self._receive, entry.register(self._setting.cell))
        else:
            self._scheduler.set_members(frozenset(self._entry_by_name))

    def _entry(self, name):
        clock = self._loop.time
        crashes = CrashWatch(
            table=CrashTable(clock=clock, reporter=name),
            detector=CrashDetector(clock=clock),
            broadcast=lambda report: None,
        )
        return Entry(
            name=name,
            schedulers=CallbackSchedulerLink(router=name, send=self._send_to_scheduler),
            claims=self._claims_by_router.get(name),
            crashes=crashes,
            declaration=lambda: self._setting.declaration,
            loop=self._loop,
        )

    def _new_scheduler(self):
        setting = self._setting
        scheduler = Scheduler(
            cell=setting.cell,
            policy=self._make_policy(),
            clock=self._loop.time,
            entries=CallbackEntryLink(send=self._send_to_entry),
            prefill_weight=setting.prefill_weight,
        )
        scheduler.set_members(frozenset(self._entry_by_name))
        scheduler.set_teams({name: team.share for name, team in setting.declaration.teams_by_name.items()})
        scheduler.set_engines({engine.name: engine for engine in setting.declared_engines})
        return scheduler

    def _tick(self):
        if self._scheduler is not None:
            self._scheduler.tick()
        self._loop.call_later(TICK_S, self._tick)

    def _report(self):
        for engine in self._engines_by_name.values():
            load = engine.load()
            report = LoadReport(
                engine=engine.name,
                age_s=REPORT_LAG_S,
                running=load.running,
                waiting=load.waiting,
                step_s=load.step_s,
                leaving=False,
            )
            self._loop.call_later(REPORT_LAG_S, self._apply_report, report)
        self._loop.call_later(REPORT_EVERY_S, self._report)

    def _apply_report(self, report):
        if self._scheduler is not None:
            self._scheduler.on_load_report(report)


def caller_request(*, arrival, request_id, service, tier, repeatable, now, key=""):
    """Build the request that a router's HTTP side would hand to its entry; ``key`` makes it run at most once."""
    return CallerRequest(
        request_id=request_id,
        service=service,
        team=arrival.team,
        route=arrival.kind.route,
        tier=tier,
        repeatable=repeatable,
        at_most_once=bool(key),
        idempotency_key=key,
        body_digest=request_id,
        prompt_tokens=arrival.prompt_tokens,
        output_tokens=arrival.output_cap,
        prefix_blocks=arrival.prefix_blocks,
        deadline=now + arrival.kind.deadline_s,
    )
