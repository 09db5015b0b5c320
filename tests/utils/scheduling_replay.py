"""Replays traces of the scheduling specification against a real scheduler or a real entry."""

import asyncio

from tests.utils.scheduler_fakes import Cell, ask, engine, finished, register
from wagtailtrestle.contracts.declaration import LANGUAGE, Declaration, Route, Service
from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, CallerRequest, RunEnded, StartRun
from wagtailtrestle.contracts.messages import Granted, Preempt, Refused
from wagtailtrestle.contracts.outcomes import Reason, RunCancelled, RunDone
from wagtailtrestle.entry.entry import Entry
from wagtailtrestle.spec.monitor import Monitor
from wagtailtrestle.spec.scheduling import HIGH, REPEATABLE, REQUESTS, TIER_BY_REQUEST

SCHEDULER = "s0"
NEVER_SENT = "a0"
LONG_S = 600.0
MIDDLE_S = 4.0
SHORT_S = 1.4
LONG_TOKENS = 3000
SHORT_TOKENS = 100
STEP_S = 0.01
ENTRY_VERBS = ("ask", "take_grant", "take_refusal", "take_preempt", "stray_preempt", "finish", "change_view")


def _attempt(name):
    return int(name[1:])


class SchedulerReplay:
    """Replays a trace with a real scheduler as ``s0``; the entries and ``s1`` are simulated by the specification.

    Parameters
    ----------
    specification : Specification
    trace : Trace
    """

    def __init__(self, *, specification, trace):
        self.monitor = Monitor(specification)
        self._trace = trace
        self._steps = {f"{step.verb}:{step.parameters.get('request')}" for step in trace.steps[1:]}
        self._start()

    def _start(self):
        self.cell = Cell(slots=1)
        self.cell.measure()
        self._seen = 0

    def run(self):
        """Follow the trace as far as the real scheduler allows."""
        for step in self._trace.steps[1:]:
            self._follow(step)
            self._report_messages()
            yield

    def held(self):
        """Return the real scheduler's running requests and its number of waiting requests by tier."""
        dump = self.cell.scheduler.dump()
        return set(dump["running"]), {tier: count for tier, count in dump["waiting_by_tier"].items() if count}

    def expected(self):
        """Return the state of the specification's ``s0`` in the form of :meth:`held`."""
        held = {request: self.monitor.read(f"held[{SCHEDULER},{request}]") for request in REQUESTS}
        waiting = {}
        for request, state in held.items():
            if state == "waiting":
                waiting[TIER_BY_REQUEST[request]] = waiting.get(TIER_BY_REQUEST[request], 0) + 1
        return {request for request, state in held.items() if state == "granted"}, waiting

    def _follow(self, step):
        scheduler, request = step.parameters.get("scheduler"), step.parameters.get("request")
        if step.verb in ENTRY_VERBS or scheduler not in (None, SCHEDULER):
            if self.monitor.allows(step.action):
                self.monitor.take(step.action)
            return
        match step.verb:
            case "hold_ask" | "refuse" | "grant_again":
                self._deliver_ask(request)
            case "free_slot":
                self._deliver_returned(request)
            case "preempt":
                self.cell.advance(MIDDLE_S)
            case "expire":
                self.cell.advance(SHORT_S)
            case "restart":
                self.monitor.take(step.action)
                self._start()

    def _deliver_ask(self, request):
        # One link carries both in order: the message that released the slot arrives first.
        self._deliver_returned(request)
        self._report_messages()
        attempt = self.monitor.read(f"ask[{SCHEDULER},{request}]")
        if attempt == NEVER_SENT:
            return
        self.cell.receive(
            ask(
                request,
                tier=TIER_BY_REQUEST[request],
                attempt=_attempt(attempt),
                entry=request,
                repeatable=request in REPEATABLE,
                remaining_s=self._remaining_s(request),
                output_tokens=SHORT_TOKENS if request == HIGH else LONG_TOKENS,
            )
        )
        hold = f"hold_ask(scheduler={SCHEDULER}, request={request})"
        if self.monitor.allows(hold) and not self._refused_now(request):
            self.monitor.take(hold)

    def _remaining_s(self, request):
        """Return a time to the deadline that lets the real scheduler make the decisions of the trace."""
        if f"refuse:{request}" in self._steps or f"expire:{request}" in self._steps:
            return SHORT_S
        preempts = any(step.startswith(("preempt:", "stray_preempt:")) for step in self._steps)
        return MIDDLE_S if request == HIGH and preempts else LONG_S

    def _deliver_returned(self, request):
        if self.monitor.read(f"returned[{SCHEDULER},{request}]") == NEVER_SENT:
            return
        self.monitor.take(f"free_slot(scheduler={SCHEDULER}, request={request})")
        if self.monitor.read(f"view[{request}]") == SCHEDULER:
            self.cell.receive(finished(request, result="RunCancelled"))
        else:
            self.cell.receive(register(request))

    def _refused_now(self, request):
        return any(isinstance(new, Refused) and new.request_id == request for new in self._new())

    def _new(self):
        return self.cell.entries.sent[self._seen :]

    def _report_messages(self):
        """Report to the monitor what the real scheduler sent since the last call."""
        new = self._new()
        self._seen += len(new)
        for message in new:
            self._report_message(message)

    def _report_message(self, message):
        pair = f"(scheduler={SCHEDULER}, request={message.request_id})"
        match message:
            case Granted():
                self.monitor.take_first(f"grant{pair}", f"grant_again{pair}")
            case Preempt():
                self.monitor.take(f"preempt{pair}")
            case Refused(reason=Reason.DEADLINE_UNREACHABLE):
                # No engine could finish the request in time even without load.
                self.monitor.take_first(f"expire{pair}", f"refuse{pair}")
            case Refused():
                self.monitor.take_first(f"refuse{pair}", f"expire{pair}")


class FakeCaller:
    """Records the commands for one request and the runs that were cancelled."""

    def __init__(self):
        self.commands = []
        self.cancelled = []

    def post(self, command):
        self.commands.append(command)

    def cancel_run(self, *, run_id, engine, address):
        self.cancelled.append(run_id)

    @property
    def starts(self):
        return [command for command in self.commands if isinstance(command, StartRun)]

    @property
    def answer(self):
        return next((command for command in self.commands if isinstance(command, AnswerWhole | AnswerRefusal)), None)


class SilentSchedulers:
    """Records what the entry sends and never answers."""

    def __init__(self):
        self.sent = []

    def send(self, *, cell, message):
        self.sent.append(message)
        return True


class NoCrashes:
    """Crash records without any crash: nothing is blocked."""

    def is_blocked(self, identity):
        return False

    def must_run_alone(self, identity, parts=()):
        return False

    def crash_count(self, identity):
        return 0

    def record_run_end(self, **_):
        return None

    def record_engine_down(self, engine):
        return None


def small_declaration():
    """Declare one language service with one engine."""
    route = Route(name="chat", method="POST", path="/v1/chat/completions", tier="t0", deadline_ms=1, repeatable=True)
    service = Service(name="asistente", kind=LANGUAGE, routes_by_name={"chat": route})
    return Declaration(
        organisation="cometas",
        zones_by_region={"norte": ("gijon",)},
        tiers_by_name={},
        teams_by_name={},
        services_by_name={"asistente": service},
        engines_by_name={"e1": engine("e1", slots=1)},
    )


def make_entry(*, loop, claims=None, declaration=None, **parts):
    """Make a real entry with fake schedulers and callers; ``parts`` are passed to the entry."""
    schedulers = SilentSchedulers()
    declaration = declaration or small_declaration()
    parts = {"crashes": NoCrashes()} | parts
    entry = Entry(name="r1", schedulers=schedulers, claims=claims, declaration=lambda: declaration, loop=loop, **parts)
    return entry, schedulers


def caller_request(request_id, *, tier=0, repeatable=True, deadline, **changes):
    """Build a caller's request with small token counts."""
    fields = {"at_most_once": False, "idempotency_key": "", "body_digest": "d"} | changes
    return CallerRequest(
        request_id=request_id,
        service="asistente",
        team="socios",
        route="chat",
        tier=tier,
        repeatable=repeatable,
        prompt_tokens=10,
        output_tokens=10,
        prefix_blocks=(),
        deadline=deadline,
        **fields,
    )


class EntryReplay:
    """Replays a trace with real request tasks as the entries; the specification simulates both schedulers.

    A message of the trace is delivered even if the specification does not allow the entry to
    accept it; the entry must then stay unchanged.
    """

    def __init__(self, *, specification, trace):
        self.monitor = Monitor(specification)
        self._trace = trace
        self._callers = {request: FakeCaller() for request in REQUESTS}
        self._entry = None

    async def run(self):
        """Follow the trace and compare states after each step; return the differences."""
        loop = asyncio.get_running_loop()
        self._entry, _ = make_entry(loop=loop)
        for request, caller in self._callers.items():
            caller_call = caller_request(
                request, tier=TIER_BY_REQUEST[request], repeatable=request in REPEATABLE, deadline=loop.time() + LONG_S
            )
            self._entry.submit(caller_call, caller)
        differences = []
        for step in self._trace.steps[1:]:
            await self._follow(step)
            await asyncio.sleep(STEP_S)
            differences += [f"after {step.action}: {text}" for text in self._differences()]
        await self._entry.close()
        return differences

    async def _follow(self, step):
        scheduler, request = step.parameters.get("scheduler"), step.parameters.get("request")
        allowed = self.monitor.allows(step.action)
        match step.verb:
            case "take_grant":
                self._deliver_grant(scheduler, request)
            case "take_refusal":
                self._deliver_refusal(scheduler, request)
            case "take_preempt":
                await self._deliver_preempt(scheduler, request)
            case "finish" if allowed:
                self._end_run(request, RunDone())
        if allowed:
            self.monitor.take(step.action)

    def _deliver_grant(self, scheduler, request):
        attempt = self.monitor.read(f"granted[{scheduler},{request}]")
        if attempt != NEVER_SENT:
            self._entry.on_scheduler_message(
                Granted(
                    request_id=request,
                    attempt=_attempt(attempt),
                    engine="e1",
                    progress_deadline_s=LONG_S,
                    first_token_deadline_s=LONG_S,
                )
            )

    def _deliver_refusal(self, scheduler, request):
        attempt = self.monitor.read(f"refused[{scheduler},{request}]")
        if attempt != NEVER_SENT:
            self._entry.on_scheduler_message(
                Refused(request_id=request, attempt=_attempt(attempt), reason=Reason.OVERLOADED, retry_after_s=1.0)
            )

    async def _deliver_preempt(self, scheduler, request):
        if self.monitor.read(f"preempt[{scheduler},{request}]") == NEVER_SENT:
            return
        caller = self._callers[request]
        before = len(caller.cancelled)
        self._entry.on_scheduler_message(Preempt(request_id=request, engine="e1"))
        await asyncio.sleep(STEP_S)
        if len(caller.cancelled) > before:
            self._end_run(request, RunCancelled(output_tokens=1))

    def _end_run(self, request, outcome):
        caller = self._callers[request]
        event = RunEnded(run_id=caller.starts[-1].run_id, outcome=outcome, duration_s=0.1)
        self._entry.post(request, event)

    def _differences(self):
        for request in REQUESTS:
            real, expected = self._real(request), self._expected(request)
            if real != expected:
                yield f"{request} is {real}, the specification expects {expected}"

    def _real(self, request):
        caller, task = self._callers[request], self._entry.tasks_by_id.get(request)
        count = ("none", "one")[len(caller.starts)] if len(caller.starts) < 2 else "more"
        if task is None:
            return ("finished" if isinstance(caller.answer, AnswerWhole) else "refused"), count
        return str(task.state), count

    def _expected(self, request):
        return self.monitor.read(f"state[{request}]"), self.monitor.read(f"dispatches[{request}]")
