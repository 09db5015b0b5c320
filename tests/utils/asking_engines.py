"""Engines that name limits, ask for rests and leave by a seeded plan, and what the users allow them to get."""

import random
import threading
import time
from collections import defaultdict

from tests.utils.world_engine import Engine

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS = 5
CONTACT_S = 3.0
"""Time from the first naming of a limit from which it counts."""
NOTICE_S = 0.5
"""Time after which a router that was told is bound."""
DRAIN_S = 2.0
MAX_PER_BACK_OFF = 2
WORK_S = 0.03


class AskingEngine(Engine):
    """An engine that keeps what reached it and what it told whom.

    Attributes
    ----------
    rest_share : float
        Part of the requests that it turns away while it asks for rests.
    got : list of (float, str, float)
        Arrival, router, and when the caller sent it, by the steady clock.
    told_limit, told_leaving : list of (float, str)
        When a router was told, and which.
    limits : list of (float, float, float)
        Beginning, end and requests a second of each limit.
    """

    def __init__(self, *, name, service, seed):
        self.rest_share = 0.0
        self.received = []
        self.limit_notices = []
        self.leaving_notices = []
        self.limits = []
        self._rng = random.Random(f"{seed} {name}")
        self._lock = threading.Lock()
        super().__init__(name=name, service=service)
        self.delay_s = WORK_S

    def serve(self, handler):
        router = handler.headers.get("X-Router")
        if router is None:
            super().serve(handler)
            return
        with self._lock:
            self.received.append((time.monotonic(), router, float(handler.headers["X-Sent-At"])))
            if self._rng.random() < self.rest_share:
                self.script.append("full")
        limit, leaving = self.limit, self.leaving
        super().serve(handler)
        if limit is not None and self.limit == limit:
            self.limit_notices.append((time.monotonic(), router))
        if leaving:
            self.leaving_notices.append((time.monotonic(), router))

    def set_limit(self, limit_per_s, for_s):
        """Name a limit for a time."""
        self.limit = str(limit_per_s)
        started_at = time.monotonic()
        self.limits.append((started_at, started_at + for_s, limit_per_s))
        threading.Timer(for_s, self._end_limit).start()

    def request_back_off(self, rest_s, share, for_s):
        """Turn a share away for a time, and ask their routers for a rest."""
        self.rest = str(rest_s)
        self.rest_share = share
        threading.Timer(for_s, self._end_back_off).start()

    def _end_limit(self):
        self.limit = None

    def _end_back_off(self):
        self.rest_share = 0.0


class RouterDisturbances:
    """Times at which routers were killed, paused or started."""

    def __init__(self):
        self.times_by_router = defaultdict(list)

    def record(self, router):
        self.times_by_router[router].append(time.monotonic())

    def disturbed_within(self, router, since, until):
        """Whether something happened to the router in that time."""
        return any(since <= at <= until for at in self.times_by_router[router])


def exceeded_limit(engine, disturbances):
    """Spans in which an engine got more than its limit allows, as (limit, requests)."""
    found = []
    for started_at, ended_at, limit_per_s in engine.limits:
        notified_at = {}
        for at, router in engine.limit_notices:
            if started_at <= at <= ended_at:
                notified_at.setdefault(router, at)
        bound = [
            at
            for at, router, _ in engine.received
            if router in notified_at
            and notified_at[router] + NOTICE_S <= at <= ended_at
            and not disturbances.disturbed_within(router, notified_at[router], at)
        ]
        for last in bound:
            count = sum(last - WINDOW_S <= at <= last for at in bound)
            if last >= started_at + CONTACT_S and count > EXCESS_RATIO * limit_per_s * WINDOW_S + EXCESS:
                found.append((limit_per_s, count))
    return found


def received_after_leaving(engine, disturbances):
    """Requests that reached an engine too late after it had told their router that it leaves."""
    notified_at = {}
    for at, router in engine.leaving_notices:
        notified_at.setdefault(router, at)
    return [
        (router, round(sent_at - notified_at[router], 3))
        for at, router, sent_at in engine.received
        if router in notified_at
        and sent_at > notified_at[router] + DRAIN_S
        and not disturbances.disturbed_within(router, notified_at[router], at)
    ]


def exceeded_back_off(engine, disturbances):
    """Rests within which an engine got more than it may, as (router, requests)."""
    found = []
    for back_off_at, router in engine.turned_away:
        until = back_off_at + float(engine.rest)
        times = [at for at, by, _ in engine.received if by == router and back_off_at + NOTICE_S < at < until]
        if len(times) > MAX_PER_BACK_OFF and not disturbances.disturbed_within(router, back_off_at, until):
            found.append((router, len(times)))
    return found
