"""Routers of a baseline: each request is dispatched immediately to the engine that the policy chooses.

Engines queue runs internally in order of arrival. A lost run is retried on another engine; a request
that misses its deadline is dropped.
"""

from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, RunEnded, StartRun
from wagtailtrestle.contracts.messages import GrantRequest
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal, RunDone
from wagtailtrestle.engines.model import EngineModel
from wagtailtrestle.engines.prefix_cache import PrefixCacheIndex
from wagtailtrestle.measure.cluster import REPORT_EVERY_S, REPORT_LAG_S
from wagtailtrestle.measure.fake_caller import FakeCaller

NO_LIMIT_S = 3600.0
RETRIES = 2


class ReportedEngine:
    """An engine as a baseline sees it: its declared speed and its last reported load."""

    __slots__ = (
        "name",
        "model",
        "cache",
        "running",
        "pending_prefill_tokens",
        "reported_running",
        "report_age_s",
        "slots",
        "zone",
        "hardware",
        "version",
        "available",
    )

    def __init__(self, *, declared):
        self.name = declared.name
        self.model = EngineModel(
            slots=declared.slots,
            step_s=declared.step_ms / 1000.0,
            prefill_tokens_per_s=declared.prefill_tokens_per_s,
        )
        self.cache = PrefixCacheIndex(capacity_tokens=0)
        self.running = 0
        self.pending_prefill_tokens = 0
        self.reported_running = 0
        self.report_age_s = REPORT_LAG_S
        self.slots = declared.slots
        self.zone = declared.zone
        self.hardware = declared.hardware
        self.version = declared.version
        self.available = True


class BaselineRequest:
    """One request under a baseline: dispatched, retried if its run is lost, dropped at its deadline."""

    __slots__ = ("request", "caller", "runs", "engine", "timer", "excluded")

    def __init__(self, *, request, caller):
        self.request = request
        self.caller = caller
        self.runs = 0
        self.engine = ""
        self.timer = None
        self.excluded = ()


class BaselineEntry:
    """Dispatches the requests of one router.

    Parameters
    ----------
    name : str
    policy : EnginePolicy
    views : list of ReportedEngine
    loop : asyncio.AbstractEventLoop
    """

    __slots__ = ("_name", "_policy", "_views", "_loop", "_held_by_id")

    def __init__(self, *, name, policy, views, loop):
        self._name = name
        self._policy = policy
        self._views = views
        self._loop = loop
        self._held_by_id = {}

    def submit(self, request, caller):
        """Dispatch a request immediately."""
        held = BaselineRequest(request=request, caller=caller)
        self._held_by_id[request.request_id] = held
        held.timer = self._loop.call_later(request.deadline - self._loop.time(), self._drop, held)
        self._dispatch(held)

    def post(self, request_id, event):
        """Handle an event of the caller's side; only the end of a run has an effect."""
        held = self._held_by_id.get(request_id)
        if held is None or not isinstance(event, RunEnded):
            return
        if isinstance(event.outcome, RunDone):
            self._settle(held, AnswerWhole())
        elif held.request.repeatable and held.runs <= RETRIES:
            held.excluded = (*held.excluded, held.engine)
            self._dispatch(held)
        else:
            self._settle(held, AnswerRefusal(refusal=_refusal(Reason.ENGINE_LOST)))

    def close(self):
        """Discard every request, as the router's process has ended."""
        for held in self._held_by_id.values():
            held.timer.cancel()
        self._held_by_id.clear()

    def _dispatch(self, held):
        held.runs += 1
        chosen = self._policy.choose(request=self._grant_request(held), engines=self._views, now=self._loop.time())
        held.engine = (chosen or self._views[0]).name
        held.caller.post(
            StartRun(
                run_id=f"{held.request.request_id}.{held.runs}",
                engine=held.engine,
                address="",
                first_token_deadline_s=NO_LIMIT_S,
                progress_deadline_s=NO_LIMIT_S,
                overall_s=NO_LIMIT_S,
            )
        )

    def _grant_request(self, held):
        request = held.request
        return GrantRequest(
            request_id=request.request_id,
            attempt=held.runs,
            entry=self._name,
            service=request.service,
            cell="",
            team=request.team,
            tier=request.tier,
            repeatable=request.repeatable,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            remaining_s=request.deadline - self._loop.time(),
            excluded_engines=held.excluded,
        )

    def _drop(self, held):
        run_id = f"{held.request.request_id}.{held.runs}"
        held.caller.cancel_run(run_id=run_id, engine=held.engine, address="")
        self._settle(held, AnswerRefusal(refusal=_refusal(Reason.DEADLINE_EXCEEDED)))

    def _settle(self, held, command):
        held.timer.cancel()
        self._held_by_id.pop(held.request.request_id, None)
        held.caller.post(command)


class BaselineRouters:
    """The routers of a measured run under one baseline policy.

    Parameters
    ----------
    setting : RunSetting
    engines_by_name : dict of str to FakeEngine
    make_policy : callable
        Takes a number, returns a new ``EnginePolicy`` for one router.
    loop : asyncio.AbstractEventLoop
    """

    def __init__(self, *, setting, engines_by_name, make_policy, loop):
        self._engines_by_name = engines_by_name
        self._loop = loop
        self._views = [ReportedEngine(declared=declared) for declared in setting.declared_engines]
        self._entry_by_name = {
            name: BaselineEntry(name=name, policy=make_policy(number), views=self._views, loop=loop)
            for number, name in enumerate(setting.routers)
        }
        self._callers_by_router = {name: [] for name in setting.routers}

    def start(self):
        """Start the load reports."""
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
        self._callers_by_router[router].append(caller)
        entry.submit(request, caller)
        return caller

    def kill(self, router):
        """Kill a router's process; its requests are lost."""
        self._entry_by_name.pop(router).close()
        for caller in self._callers_by_router.pop(router):
            caller.disconnect()

    def _report(self):
        for view in self._views:
            load = self._engines_by_name[view.name].load()
            self._loop.call_later(REPORT_LAG_S, self._apply_report, view, load.running + load.waiting)
        self._loop.call_later(REPORT_EVERY_S, self._report)

    def _apply_report(self, view, running):
        view.reported_running = running


def _refusal(reason):
    return Refusal(status=503, reason=reason, executed=Executed.UNKNOWN, detail="")
