"""The schedulers of this router, one for each cell whose messages reach it."""

import dataclasses

from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.capacity.retry_budget import RetryLimits
from wagtailtrestle.capacity.scheduler import Scheduler
from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN
from wagtailtrestle.engines.policies import PredictedFinish
from wagtailtrestle.entry.cells import cells_of

ORPHAN_WINDOW_S = 10.0
"""Time after the loss of a router during which its runs may still be on engines, which complete them or cancel
those that nobody follows."""


class SchedulerSet:
    """Creates a scheduler at the first message for its cell and keeps the schedulers up to date.

    Parameters
    ----------
    clock : Callable
        Returns the loop's time in seconds.
    entries : EntryLink
    runs_outlive_routers : bool
        Whether engines continue the runs of a router that died.
    retry_limits : callable
        Returns the current ``RetryLimits`` of each service.
    features : callable
        Returns the ``Features`` in force.
    needs_version : callable
        ``needs_version(service)`` returns whether its streams go on at engines of one version only.
    """

    __slots__ = (
        "by_cell",
        "_clock",
        "_entries",
        "_retry_limits",
        "_features",
        "_needs_version",
        "_runs_outlive_routers",
        "_declaration",
        "_cells_by_service",
        "_members",
        "_router_lost_at",
        "_rollouts_by_cell",
        "_unnoted_by_cell",
        "_leaving",
        "_granting",
    )

    def __init__(
        self,
        *,
        clock,
        entries,
        runs_outlive_routers=False,
        retry_limits=RetryLimits,
        features=all_off,
        needs_version=lambda service: False,
    ):
        self._needs_version = needs_version
        self.by_cell = {}
        self._clock = clock
        self._entries = entries
        self._retry_limits = retry_limits
        self._features = features
        self._runs_outlive_routers = runs_outlive_routers
        # This process can't know which routers died before it started; the likeliest is its own previous process, whose
        # runs engines continue. Without counting on them, a new scheduler granted one to three of an engine's eight
        # slots twice, and a run in an engine's queue can't be moved. The cost is a wait for the first load report.
        self._router_lost_at = clock()
        self._declaration = None
        self._cells_by_service = {}
        self._rollouts_by_cell = {}
        self._unnoted_by_cell = {}
        self._members = frozenset()
        self._leaving = frozenset()
        self._granting = True

    def deliver(self, cell, message):
        """Pass an entry's message to the cell's scheduler."""
        scheduler = self.by_cell.get(cell) or self._create(cell)
        if scheduler is not None:
            scheduler.receive(message)

    def begin(self, cell):
        """Resume a cell that another router scheduled meanwhile; one never held here begins with its first message."""
        scheduler = self.by_cell.get(cell)
        if scheduler is not None:
            self._expect_orphans(scheduler)
            scheduler.resume()

    def set_declaration(self, declaration):
        """Apply a newly accepted declaration to every scheduler."""
        self._declaration = declaration
        services = {engine.service for engine in declaration.engines_by_name.values()}
        self._cells_by_service = {service: len(cells_of(declaration, service)) for service in services}
        for cell in list(self.by_cell):
            if not self._engines_of(cell):
                del self.by_cell[cell]
        for scheduler in self.by_cell.values():
            self._update(scheduler)

    def set_members(self, names):
        """Pass the entries in the current view to every scheduler."""
        if not self._members <= frozenset(names):
            self._router_lost_at = self._clock()
        self._members = frozenset(names)
        for scheduler in self.by_cell.values():
            scheduler.set_members(self._members)

    def set_leaving(self, engines):
        """Apply the set of engines that the platform's list marks as leaving; they get no new work."""
        returned = self._leaving - engines
        self._leaving = engines
        for scheduler in self.by_cell.values():
            for engine in engines:
                scheduler.mark_leaving(engine)
            for engine in returned:
                # The declaration's own mark is kept separate from the list's. If it were passed here, it would
                # persist as the list's mark even after the declaration clears it.
                scheduler.mark_leaving(engine, False)

    def set_rollout(self, cell, rollout, reserved):
        """Pass the rollout of a service to the cell's scheduler; see :meth:`Scheduler.set_rollout`."""
        self._rollouts_by_cell[cell] = (rollout, reserved)
        if cell in self.by_cell:
            self._apply_reserved(self.by_cell[cell])

    def set_unnoted(self, cell, engines):
        """Send nothing to these engines, a frozenset of names, whose version no note names yet."""
        if self._unnoted_by_cell.get(cell, frozenset()) == engines:
            return
        self._unnoted_by_cell[cell] = engines
        if cell in self.by_cell:
            self._apply_reserved(self.by_cell[cell])

    def runs_by_version(self, cell):
        """Count the runs on the engines of each version in a cell, as far as its scheduler here knows."""
        scheduler = self.by_cell.get(cell)
        return {} if scheduler is None else scheduler.runs_by_version()

    def on_load_report(self, report):
        """Pass an engine's load report to the scheduler of its cell."""
        scheduler = self._scheduler_of(report.engine)
        if scheduler is not None:
            scheduler.on_load_report(report)

    def on_unreachable(self, engine):
        """Notify the scheduler of its cell that an engine did not answer."""
        scheduler = self._scheduler_of(engine)
        if scheduler is not None:
            scheduler.on_unreachable(engine)

    def on_cache_events(self, events):
        """Pass an engine's cache events to the scheduler of its cell."""
        scheduler = self._scheduler_of(events.engine)
        if scheduler is not None:
            scheduler.on_cache_events(events)

    def tick(self):
        """Run the periodic work of every scheduler."""
        for scheduler in self.by_cell.values():
            scheduler.tick()

    def stop_granting(self):
        """Grant nothing more here; other routers become schedulers of the cells."""
        self._granting = False
        for scheduler in self.by_cell.values():
            scheduler.stop_granting()

    def dump(self):
        """Return plain data for the state dump."""
        return {cell: scheduler.dump() for cell, scheduler in self.by_cell.items()}

    def _apply_reserved(self, scheduler):
        rollout, reserved = self._rollouts_by_cell.get(scheduler.cell, (None, frozenset()))
        scheduler.set_rollout(rollout, reserved | self._unnoted_by_cell.get(scheduler.cell, frozenset()))

    def _expect_orphans(self, scheduler):
        if self._reports_orphans(scheduler.cell) and self._clock() - self._router_lost_at < ORPHAN_WINDOW_S:
            scheduler.expect_orphans()

    def _reports_orphans(self, cell):
        # Engines of a plain service send no load reports, so waiting for them would be in vain.
        return self._runs_outlive_routers and self._service_of(cell).kind == LANGUAGE

    def _create(self, cell):
        engines = self._engines_of(cell)
        if not engines:
            return None
        service = self._service_of(cell)
        scheduler = Scheduler(
            cell=cell,
            policy=PredictedFinish(prefill_weight=service.prefill_weight),
            clock=self._clock,
            entries=self._entries,
            prefill_weight=service.prefill_weight,
            runs_outlive_routers=self._reports_orphans(cell),
            retry_limits=lambda: self._retry_limits_of(service.name),
            features=self._features,
            serves_plain_calls=service.kind == PLAIN,
            needs_version=lambda: self._needs_version(service.name),
        )
        self.by_cell[cell] = scheduler
        self._expect_orphans(scheduler)
        self._apply_reserved(scheduler)
        scheduler.set_members(self._members)
        self._update(scheduler)
        if not self._granting:
            scheduler.stop_granting()
        return scheduler

    def _update(self, scheduler):
        teams = self._declaration.teams_by_name.values()
        scheduler.set_teams({team.name: team.share for team in teams})
        scheduler.set_engines(self._engines_of(scheduler.cell))
        for engine in self._leaving:
            scheduler.mark_leaving(engine)

    def _retry_limits_of(self, service):
        """Limits of one cell: the extra retries of a service are divided among its cells."""
        limits = self._retry_limits()
        return dataclasses.replace(limits, extra=limits.extra / self._cells_by_service.get(service, 1))

    def _service_of(self, cell):
        engine = next(iter(self._engines_of(cell).values()))
        return self._declaration.services_by_name[engine.service]

    def _engines_of(self, cell):
        if self._declaration is None:
            return {}
        engines = self._declaration.engines_by_name
        return {name: engine for name, engine in engines.items() if engine.cell == cell}

    def _scheduler_of(self, engine):
        declared = self._declaration.engines_by_name.get(engine) if self._declaration else None
        return self.by_cell.get(declared.cell) if declared else None
