"""Kills, restarts and pauses routers at planned times under a flood; plans can be generated from a seed."""

import itertools
import random
import threading
import time

from tests.utils.running import PLAN, QUESTION

KILL, RESTART, PAUSE = "kill", "restart", "pause"
SCHEDULER = "scheduler"
SEND_INTERVAL_S = 0.15
SEND_DURATION_S = 8.0
FIRST_EVENT_S, LAST_EVENT_S = 0.5, 6.0
MAX_DOWN_S = 1.5
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 6.0
SCHEDULER_SHARE = 0.6
"""Share of events that hit the current scheduler, whose loss disturbs the other routers most."""


class Event:
    """A disturbance of one router.

    Parameters
    ----------
    at_s : float
        Seconds after the first question.
    kind : str
        ``kill``; ``restart``, a kill and a start after ``for_s``; or ``pause``, for ``for_s``.
    on : str
        ``scheduler``, the router that is scheduler at that time, or any ``other``.
    for_s : float
    """

    __slots__ = ("at_s", "kind", "on", "for_s")

    def __init__(self, *, at_s, kind, on, for_s=0.0):
        self.at_s = at_s
        self.kind = kind
        self.on = on
        self.for_s = for_s

    def __repr__(self):
        return f"{self.kind} {self.on} at {self.at_s:.2f} s for {self.for_s:.2f} s"


def random_plan(seed):
    """Return the number of routers and the events of a seed; with fewer events than routers, one is never hit."""
    rng = random.Random(seed)
    routers = rng.randint(3, 5)
    events = [_random_event(rng) for _ in range(rng.randint(2, min(4, routers - 1)))]
    return routers, sorted(events, key=lambda event: event.at_s)


def _random_event(rng):
    kind = rng.choice((KILL, RESTART, PAUSE))
    lengths = {KILL: (0.0, 0.0), RESTART: (0.0, MAX_DOWN_S), PAUSE: (MIN_PAUSE_S, MAX_PAUSE_S)}
    return Event(
        at_s=rng.uniform(FIRST_EVENT_S, LAST_EVENT_S),
        kind=kind,
        on=SCHEDULER if rng.random() < SCHEDULER_SHARE else "other",
        for_s=rng.uniform(*lengths[kind]),
    )


class Disturbance:
    """Applies events to the routers of a deployment; the last router is never disturbed.

    Attributes
    ----------
    history : list of str
        Each event and the router it hit, for failure messages.
    """

    def __init__(self, *, running, events):
        self.history = []
        self._running = running
        self._events = events
        self._undisturbed_router = running.routers[-1]
        self._hit = set()
        self._threads = []

    @property
    def undisturbed_router(self):
        """Name of the router that is never disturbed."""
        return self._undisturbed_router

    def start_events(self, started_at):
        """Start a thread for each event, timed relative to ``started_at``."""
        for event in self._events:
            thread = threading.Thread(target=self._apply_event, args=(event, started_at))
            self._threads.append(thread)
            thread.start()

    def wait(self):
        """Wait until the last event is over."""
        for thread in self._threads:
            thread.join()

    def _apply_event(self, event, started_at):
        time.sleep(max(0.0, started_at + event.at_s - time.monotonic()))
        name = self._target(event)
        if name is None:
            self.history.append(f"{event}: no router left")
            return
        self.history.append(f"{event}: {name}")
        router = self._running.router(name)
        if event.kind == PAUSE:
            router.freeze()
            time.sleep(event.for_s)
            router.resume()
        else:
            router.kill()
            if event.kind == RESTART:
                time.sleep(event.for_s)
                self._running.restart(name)
        self._hit.discard(name)

    def _target(self, event):
        scheduler = self._running.scheduler_of(observer=self._undisturbed_router)
        live = [name for name in self._running.routers if self._running.router(name).is_running()]
        left = [name for name in live if name not in self._hit and name != self._undisturbed_router]
        if event.on == SCHEDULER and scheduler in left:
            left = [scheduler]
        if not left:
            return None
        self._hit.add(left[0])
        return left[0]


def send_steadily(running, *, router, for_s=SEND_DURATION_S):
    """Send a question or a plan in turn every 0.15 s through one router; return the observations."""
    observations = []
    senders = []
    started_at = time.monotonic()
    for number, kind in enumerate(itertools.cycle((QUESTION, PLAN))):
        due_at = started_at + number * SEND_INTERVAL_S
        if due_at > started_at + for_s:
            break
        time.sleep(max(0.0, due_at - time.monotonic()))
        sender = threading.Thread(target=lambda kind=kind: observations.append(running.send(kind, router=router)))
        senders.append(sender)
        sender.start()
    for sender in senders:
        sender.join()
    return observations
