"""Engines that announce rate limits, back-offs and leaving, and checks of the requests they receive."""

import random
import threading
import time
from collections import defaultdict

from tests.utils.world_engine import Engine

WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS = 5
CONTACT_S = 3.0
"""Time after a limit is first announced from which it is enforced."""
NOTICE_S = 0.5
"""Time after which a router that received a notice must comply."""
DRAIN_S = 2.0
MAX_PER_BACK_OFF = 2
WORK_S = 0.03


class AskingEngine(Engine):
    """An engine that records the requests it receives and the notices it sends to routers.

    Attributes
    ----------
    rest_share : float
        Share of requests that it rejects while it requests back-offs.
    received : list of (float, str, float)
        For each request: arrival time, router, and time sent by the caller, by the monotonic clock.
    limit_notices, leaving_notices : list of (float, str)
        For each notice: time sent and router.
    limits : list of (float, float, float)
        For each limit: start, end, and requests per second.
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
        """Announce a rate limit for ``for_s``."""
        self.limit = str(limit_per_s)
        started_at = time.monotonic()
        self.limits.append((started_at, started_at + for_s, limit_per_s))
        threading.Timer(for_s, self._end_limit).start()

    def request_back_off(self, rest_s, share, for_s):
        """Reject a share of the requests for ``for_s``, and request a back-off from the routers that sent them."""
        self.retry_after = str(rest_s)
        self.rest_share = share
        threading.Timer(for_s, self._end_back_off).start()

    def _end_limit(self):
        self.limit = None

    def _end_back_off(self):
        self.rest_share = 0.0


class RouterDisturbances:
    """Times at which routers were killed, paused, resumed or started."""

    def __init__(self):
        self.times_by_router = defaultdict(list)

    def record(self, router):
        self.times_by_router[router].append(time.monotonic())

    def disturbed_within(self, router, since, until):
        """Whether the router was disturbed between ``since`` and ``until``."""
        return any(since <= at <= until for at in self.times_by_router[router])


def exceeded_limit(engine, disturbances):
    """Windows in which an engine received more requests than its limit allows, as (limit, requests)."""
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
    """Requests sent too long after the engine had notified their router that it is leaving, as (router, delay in s)."""
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
    """Back-offs during which an engine received more requests than allowed, as (router, requests)."""
    found = []
    for back_off_at, router in engine.rejections:
        until = back_off_at + float(engine.retry_after)
        times = [at for at, by, _ in engine.received if by == router and back_off_at + NOTICE_S < at < until]
        if len(times) > MAX_PER_BACK_OFF and not disturbances.disturbed_within(router, back_off_at, until):
            found.append((router, len(times)))
    return found
