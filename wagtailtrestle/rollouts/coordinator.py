"""The roll-outs of the services of which this router is scheduler: orders in, verdicts out.

The scheduler of a service decides its roll-out, since it grants nearly all of its runs and hears how each ended. It
tells all routers how the roll-out stands each second, so that whoever is scheduler next goes on from there, and at
once when it has ended. The state in the store is written on condition that the order is as it was read; a final
state there is never replaced.
"""

import math

from loguru import logger

from wagtailtrestle.contracts.rollout_messages import RolloutState, RolloutWord
from wagtailtrestle.rollouts.order_watcher import OrderWatcher
from wagtailtrestle.rollouts.rollout import Phase, Rollout
from wagtailtrestle.rollouts.versions import reserved_names

PROGRESS_INTERVAL_S = 1.0


class Coordinator:
    """Follows the operator's orders and ends them.

    Parameters
    ----------
    store : StatusStore
    adapter : Adapter
        Its ``rollout_kind`` and how its objects read.
    schedulers : SchedulerSet
    broadcast : Broadcast
    own_services : callable
        ``own_services()`` gives the services of which this router is scheduler.
    engines : callable
        ``engines()`` gives the engines by name, as they are listed.
    share : float
        Part of a service's requests that an untested version may get.
    slack : int
        Requests that it may get besides.
    clock : callable
        The loop's time, seconds.

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
        """Begin to follow orders; must be called on the running event loop."""
        self._order_watcher.start()

    async def close(self):
        """Stop; what is decided is with the other routers."""
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

    # What others tell.

    def on_progress(self, progress):
        """Take in how another router says that a roll-out stands."""
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
        """What is known of each service's roll-out, for a router that has just come."""
        return tuple(self._progress_by_service.values())

    def _on_orders_changed(self):
        """The store answered: what it holds of roll-outs here ends them, or is gone with its order."""
        for service, rollout in list(self.rollout_by_service.items()):
            order = self._order_watcher.by_service.get(service)
            if order is not None and order.target == rollout.order.target and order.state is not None:
                rollout.end_as(order.state)
        self.refresh()

    # Versions and engines.

    def refresh(self):
        """Hold back the engines that a roll-out, or the lack of an order that was read, keeps from use.

        To be called when engines, routers, the configuration or orders have changed.
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

    def _update_versions(self, engines_by_service):
        now = self._clock()
        present = {(service, engine.version) for service, engines in engines_by_service.items() for engine in engines}
        for key in self._seen_at_by_version.keys() - present:
            del self._seen_at_by_version[key]
        for key in present - self._seen_at_by_version.keys():
            self._seen_at_by_version[key] = now
            # Whether a version that is new here was ordered is read anew: the order may have been missed.
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
        """Targets of former orders that no roll-out completed; their engines may be there for a while."""
        targets = self._targets_by_service.setdefault(service, set())
        target = self._target_of(service)
        if target is not None:
            targets.add(target)
        if state is RolloutState.COMPLETED:
            targets.discard(target)
        return targets - {target}

    def _stopped(self, service, engines, state):
        """Names of the old engines of a completed roll-out: they stop at once, and may still be listed."""
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
        """How the service's present order stands, by all that is known here; a final state outweighs others."""
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
        """The roll-out that this router coordinates, or ``None``."""
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
            logger.bind(service=service, target=order.target, duration_s=order.duration_s).info("a roll-out begins")
        return rollout

    def _last_progress(self, order):
        """What is known of a roll-out that others have begun; ``None`` for one that begins now."""
        progress = self._progress_by_service.get(order.service)
        if progress is not None and progress.target == order.target:
            return progress
        if order.state is not RolloutState.RUNNING:
            return None
        # The store says that it runs, and nobody told what the target got: all routers started again. Counted from
        # nothing, a bad version would get the slack once more with each such start; taken as spent, it never does.
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

    # Time.

    def tick(self):
        """Let the roll-outs go on; about every 100 ms."""
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
            # Also the verdict of a coordinator that died before the store had it.
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
