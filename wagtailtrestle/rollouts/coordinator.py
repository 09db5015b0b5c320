"""Coordinates the rollouts of the services whose scheduler is this router.

The scheduler of a service decides its rollout, since it grants nearly all of its runs and receives their outcomes. It
broadcasts the rollout's progress to all routers each second, so that the next scheduler can resume from there, and
immediately when the rollout has ended. The state in the store is written on condition that the order is unchanged; a
final state there is never replaced.
"""

import math

from loguru import logger

from wagtailtrestle.contracts.rollout_messages import RolloutState, RolloutWord
from wagtailtrestle.rollouts.order_watcher import OrderWatcher
from wagtailtrestle.rollouts.rollout import Phase, Rollout
from wagtailtrestle.rollouts.versions import reserved_names, unproven_names

PROGRESS_INTERVAL_S = 1.0


class Coordinator:
    """Runs the rollouts that the operator ordered and writes their results to the store.

    Parameters
    ----------
    store : StatusStore
    adapter : Adapter
        Provides the ``rollout_kind`` and parses its objects.
    schedulers : SchedulerSet
    broadcast : Broadcast
    own_services : callable
        ``own_services()`` returns the services whose scheduler is this router.
    engines : callable
        ``engines()`` returns the listed engines by name.
    share : float
        Fraction of a service's requests that an untested version may get.
    slack : int
        Number of requests that it may get in addition.
    clock : callable
        Event loop time in seconds.

    Attributes
    ----------
    rollout_by_service : dict of str to Rollout
    """

    __slots__ = (
        "rollout_by_service",
        "_order_watcher",
        "_own",
        "_schedulers",
        "_broadcast",
        "_own_services",
        "_engines",
        "_share",
        "_slack",
        "_clock",
        "_progress_by_service",
        "_old_engines_by_service",
        "_targets_by_service",
        "_seen_at_by_version",
        "_sent_at_by_service",
    )

    def __init__(self, *, store, adapter, schedulers, broadcast, own_services, engines, share, slack, clock):
        self.rollout_by_service = {}
        self._own = frozenset()
        self._order_watcher = OrderWatcher(
            store=store,
            adapter=adapter,
            is_needed=lambda: bool(self._own),
            on_change=self._on_orders_changed,
            clock=clock,
        )
        self._schedulers = schedulers
        self._broadcast = broadcast
        self._own_services = own_services
        self._engines = engines
        self._share = share
        self._slack = slack
        self._clock = clock
        self._progress_by_service = {}
        self._old_engines_by_service = {}
        self._targets_by_service = {}
        self._seen_at_by_version = {}
        self._sent_at_by_service = {}
        broadcast.on(RolloutWord, key=_progress_key, handler=self.on_progress)

    def start(self):
        """Start watching orders; must be called on the running event loop."""
        self._order_watcher.start()

    async def close(self):
        """Stop; the other routers already have the final states."""
        await self._order_watcher.close()

    def dump(self):
        """Return the state as a plain dict."""
        return {
            "read_age_s": None
            if self._order_watcher.read_at is None
            else round(self._clock() - self._order_watcher.read_at, 3),
            "orders": {name: order.target for name, order in self._order_watcher.by_service.items()},
            "words": {
                name: f"{progress.target} {progress.state}" for name, progress in self._progress_by_service.items()
            },
            "rollouts": {name: rollout.dump() for name, rollout in self.rollout_by_service.items()},
        }

    # Progress reports of other routers.

    def on_progress(self, progress):
        """Process another router's progress report; a final state that is known already is kept."""
        known = self._progress_by_service.get(progress.service)
        if known is not None and known.target == progress.target and known.state.is_final:
            return
        self._progress_by_service[progress.service] = progress
        self._targets_by_service.setdefault(progress.service, set()).add(progress.target)
        rollout = self.rollout_by_service.get(progress.service)
        if progress.state.is_final and rollout is not None and rollout.order.target == progress.target:
            rollout.end_as(progress.state)
        self.refresh()

    def words(self):
        """Return the last progress report of each service, to be sent to a router that has just joined."""
        return tuple(self._progress_by_service.values())

    def _on_orders_changed(self):
        """Apply the final states in the store to running rollouts; runs after each response of the store."""
        for service, rollout in list(self.rollout_by_service.items()):
            order = self._order_watcher.by_service.get(service)
            if order is not None and order.target == rollout.order.target and order.state is not None:
                rollout.end_as(order.state)
        self.refresh()

    # Versions and engines.

    def refresh(self):
        """Reserve the engines that a rollout excludes from use, or whose order may not have been read yet.

        Must be called when engines, routers, the configuration or orders have changed.
        """
        self._own = frozenset(self._own_services())
        engines_by_service = {}
        for engine in self._engines().values():
            engines_by_service.setdefault(engine.service, []).append(engine)
        self._update_versions(engines_by_service)
        for service in self._own:
            engines = engines_by_service.get(service, [])
            rollout = self._rollout_of(service)
            self._schedulers.set_rollout(service, rollout, self._reserved(service, engines, rollout))

    def unproven_engines(self, service, engines):
        """Return the names of a service's engines that may be reserved, whichever router coordinates its rollout."""
        target, versions = self._target_of(service), {engine.version for engine in engines}
        trial_versions = set(self._targets_by_service.get(service, ()))
        match self._state_of(service):
            case RolloutState.RUNNING:
                # Only the coordinator knows in which phase all requests go to the target.
                trial_versions |= versions
            case RolloutState.COMPLETED:
                # Engines of other versions stop without a drain.
                trial_versions = (trial_versions | versions) - {target}
        return unproven_names(engines, trial_versions=trial_versions)

    def _update_versions(self, engines_by_service):
        now = self._clock()
        present = {(service, engine.version) for service, engines in engines_by_service.items() for engine in engines}
        for key in self._seen_at_by_version.keys() - present:
            del self._seen_at_by_version[key]
        for key in present - self._seen_at_by_version.keys():
            self._seen_at_by_version[key] = now
            # The order for a new version may have been missed, so all orders are read again.
            self._order_watcher.read_again()

    def _reserved(self, service, engines, rollout):
        state = self._state_of(service)
        unread = {
            version
            for (of, version), at in self._seen_at_by_version.items()
            if of == service and (self._order_watcher.read_at is None or at >= self._order_watcher.read_at)
        }
        return reserved_names(
            engines,
            target=self._target_of(service),
            state=state,
            is_shifting=rollout is not None and rollout.phase is Phase.SHIFT,
            unread_versions=unread,
            untested_versions=self._untested(service, state),
            stopped_names=self._stopped(service, engines, state),
        )

    def _untested(self, service, state):
        """Return targets of earlier orders that were not completed; their engines may stay listed for a while."""
        targets = self._targets_by_service.setdefault(service, set())
        target = self._target_of(service)
        if target is not None:
            targets.add(target)
        if state is RolloutState.COMPLETED:
            targets.discard(target)
        return targets - {target}

    def _stopped(self, service, engines, state):
        """Return the old engines of a completed rollout: they stop immediately but may still be listed."""
        target = self._target_of(service)
        if state is not RolloutState.COMPLETED:
            self._old_engines_by_service.pop(service, None)
            return frozenset()
        if service not in self._old_engines_by_service:
            old = frozenset(engine.name for engine in engines if engine.version != target)
            self._old_engines_by_service[service] = old
        return self._old_engines_by_service[service]

    def _target_of(self, service):
        order = self._order_watcher.by_service.get(service)
        if order is not None:
            return order.target
        progress = self._progress_by_service.get(service)
        return None if progress is None else progress.target

    def _state_of(self, service):
        """Return the state of the service's current order from all sources; a final state takes precedence."""
        target = self._target_of(service)
        if target is None:
            return None
        order = self._order_watcher.by_service.get(service)
        progress = self._progress_by_service.get(service)
        rollout = self.rollout_by_service.get(service)
        states = [
            order.state if order is not None else None,
            progress.state if progress is not None and progress.target == target else None,
            rollout.state if rollout is not None and rollout.order.target == target else None,
        ]
        final = [state for state in states if state is not None and state.is_final]
        return final[0] if final else RolloutState.RUNNING

    def _rollout_of(self, service):
        """Return the rollout that this router coordinates, or ``None``."""
        order = self._order_watcher.by_service.get(service)
        if order is None or self._state_of(service).is_final:
            return self._ended_rollout(service)
        rollout = self.rollout_by_service.get(service)
        if rollout is None or rollout.order.target != order.target:
            rollout = self.rollout_by_service[service] = Rollout(
                order=order,
                share=self._share,
                slack=self._slack,
                clock=self._clock,
                progress=self._last_progress(order),
            )
            logger.bind(service=service, target=order.target, duration_s=order.duration_s).info("rollout started")
        return rollout

    def _last_progress(self, order):
        """Return the last progress of a rollout that another router started; ``None`` for a new one."""
        progress = self._progress_by_service.get(order.service)
        if progress is not None and progress.target == order.target:
            return progress
        if order.state is not RolloutState.RUNNING:
            return None
        # The store says that it is running, but no router reported its counts: all routers were restarted. Counting
        # from zero would give a bad version the slack again with each such restart, so it counts as used up.
        return RolloutWord(
            service=order.service,
            target=order.target,
            state=RolloutState.RUNNING,
            duration_s=order.duration_s,
            exposed=math.ceil(self._slack),
        )

    def _ended_rollout(self, service):
        rollout = self.rollout_by_service.get(service)
        return rollout if rollout is not None and rollout.phase is Phase.ENDED else None

    # Periodic work.

    def tick(self):
        """Advance the rollouts; to be called about every 100 ms."""
        for service in self.rollout_by_service.keys() - self._own:
            del self.rollout_by_service[service]
        for service, rollout in self.rollout_by_service.items():
            was = (rollout.phase, rollout.state)
            if rollout.phase is not Phase.ENDED:
                self._step(service, rollout)
            if (rollout.phase, rollout.state) != was or self._is_progress_due(service, rollout):
                self._send_progress(service, rollout)
                self.refresh()
        for service in self._own & self._order_watcher.by_service.keys():
            # This includes the final state of a coordinator that died before writing it to the store.
            self._order_watcher.write_status(service, self._target_of(service), self._state_of(service))

    def _step(self, service, rollout):
        places = {True: 0, False: 0}
        for engine in self._engines().values():
            if engine.service == service and not engine.leaving:
                places[rollout.is_target(engine.version)] += engine.slots
        runs = self._schedulers.runs_by_version(service)
        old_runs = sum(count for version, count in runs.items() if not rollout.is_target(version))
        rollout.step(old_slots=places[False], target_slots=places[True], old_runs=old_runs)

    def _is_progress_due(self, service, rollout):
        progress = self._progress_by_service.get(service)
        if rollout.state.is_final:
            return progress is None or progress.target != rollout.order.target or not progress.state.is_final
        return self._clock() - self._sent_at_by_service.get(service, -PROGRESS_INTERVAL_S) >= PROGRESS_INTERVAL_S

    def _send_progress(self, service, rollout):
        progress = rollout.progress()
        self._sent_at_by_service[service] = self._clock()
        self._progress_by_service[service] = progress
        self._broadcast.send(progress)


def _progress_key(progress):
    return progress.service, progress.target, str(progress.state), round(progress.elapsed_s, 1)
