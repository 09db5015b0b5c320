"""Limits on the router's own resources, by tier: requests held (one thread each) and body memory.

No I/O and no clock. Called from the worker threads of the callers' server.
"""

import threading
from collections import Counter

from wagtailtrestle.record import record

DEFAULT_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_RECEIVE_BYTES = 64 * 1024 * 1024
MIN_RESERVE_THREADS = 4
RESERVE_DIVISOR = 8
SMALL_BODY_BYTES = 65_536
MAX_LOWER_TIERS_SHARE = 0.75
HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


def max_held_requests(threads: int) -> int:
    """Return how many requests to hold; an eighth of the threads, at least four, only read and refuse requests."""
    reserve = max(MIN_RESERVE_THREADS, threads // RESERVE_DIVISOR)
    return max(1, threads - reserve)


@record
class Admitted:
    """The request is held; each request in ``displaced`` must be refused with ``router_full``."""

    displaced: tuple = ()


@record
class Full:
    """The request can't be held, and displacing other requests can't free enough capacity."""

    detail: str


class HeldRequest:
    """A held request: service, rank of its tier, body size in bytes, and whether a run may have started."""

    __slots__ = ("request_id", "service", "tier", "body_bytes", "repeatable", "running", "order")

    def __init__(self, *, request_id, service, tier, body_bytes, repeatable, order):
        self.request_id = request_id
        self.service = service
        self.tier = tier
        self.body_bytes = body_bytes
        self.repeatable = repeatable
        self.running = False
        self.order = order

    @property
    def displaceable(self):
        """Whether the request may be displaced: it is waiting, or its run may be repeated."""
        return self.repeatable or not self.running


class CallerLimits:
    """Admits requests to this router and displaces requests of lower tiers when it is full.

    Parameters
    ----------
    held : int
        Maximum number of requests held at the same time. The server has more threads than this: the
        others read requests and refuse them, so that a full router still responds.
    body_bytes : int
        Maximum total size of the bodies of all held requests.
    """

    __slots__ = ("_held", "_body_bytes", "_lock", "_by_id", "_bytes_used", "_next_order", "_hold_s", "displaced_total")

    def __init__(self, *, held, body_bytes):
        self._held = held
        self._body_bytes = body_bytes
        self._lock = threading.Lock()
        self._by_id = {}
        self._bytes_used = 0
        self._next_order = 0
        self._hold_s = 0.0
        self.displaced_total = 0

    def admit(self, *, request_id, service, tier, body_bytes, repeatable) -> Admitted | Full:
        """Hold one more request, displacing requests of lower tiers if the router is full."""
        # A flood of low-tier requests can hold every thread of this router while engines still have
        # free slots for higher tiers: a booking would be refused while tagging runs. So requests of
        # lower tiers are displaced, lowest tier first, before a new request is refused; it is refused
        # only if nothing held may be displaced for it.
        with self._lock:
            victims = self._victims(service=service, tier=tier, body_bytes=body_bytes)
            if victims is None:
                return Full(detail="Every place is held by requests of this tier or above, or by runs not to be cut.")
            for victim in victims:
                self._remove(victim)
            self.displaced_total += len(victims)
            self._hold(request_id=request_id, service=service, tier=tier, body_bytes=body_bytes, repeatable=repeatable)
        return Admitted(displaced=tuple(victim.request_id for victim in victims))

    def mark_running(self, *, request_id) -> bool:
        """Mark the request as running; return ``False`` if it was displaced before.

        Both checks use the same lock, so a request that may not be repeated is either displaced
        and never sent, or sent and never displaced.
        """
        with self._lock:
            held = self._by_id.get(request_id)
            if held is None:
                return False
            held.running = True
            return True

    def mark_waiting(self, *, request_id):
        """Mark the request as waiting again after a run has ended."""
        with self._lock:
            held = self._by_id.get(request_id)
            if held is not None:
                held.running = False

    def release(self, *, request_id, held_s):
        """Release the capacity that the request held for ``held_s`` seconds."""
        with self._lock:
            held = self._by_id.get(request_id)
            if held is None:
                return  # refused or displaced: not representative of the hold time of served requests
            self._hold_s += HOLD_TIME_WEIGHT * (held_s - self._hold_s)
            self._remove(held)

    def retry_after_s(self) -> float:
        """Return the time after which a refused caller should retry: the mean hold time of a request.

        In that time, about every held request has been replaced once. Capacity is freed all the time, but
        goes first to requests that arrive at that very moment. After one mean hold time, the requests held
        now no longer compete for the capacity.
        """
        with self._lock:
            return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self._hold_s))

    def usage(self) -> dict:
        """Return the usage for the state dump."""
        with self._lock:
            count_by_tier = {}
            for held in self._by_id.values():
                count_by_tier[held.tier] = count_by_tier.get(held.tier, 0) + 1
            return {
                "held": len(self._by_id),
                "held_limit": self._held,
                "held_by_tier": count_by_tier,
                "body_bytes": self._bytes_used,
                "body_bytes_limit": self._body_bytes,
                "displaced_total": self.displaced_total,
                "mean_hold_s": round(self._hold_s, 3),
            }

    def _victims(self, *, service, tier, body_bytes):
        """Return the requests to displace: ``[]`` if none is needed, ``None`` if not enough may be displaced."""
        excess_held = len(self._by_id) + 1 - self._held
        excess_bytes = self._bytes_used + body_bytes - self._body_bytes
        if excess_held <= 0 and excess_bytes <= 0:
            return []
        if self._held < 1 or body_bytes > self._body_bytes:
            return None
        candidates = [held for held in self._by_id.values() if held.tier > tier and held.displaceable]
        # Lowest tier first; within a tier, waiting requests before running ones, since no prefill is
        # lost, and the newest first, since it has waited the shortest time.
        candidates.sort(key=lambda held: (held.tier, not held.running, held.order), reverse=True)
        candidates += self._beyond_fair_share(service=service, tier=tier)
        victims = []
        for held in candidates:
            if excess_held <= 0 and excess_bytes <= 0:
                break
            victims.append(held)
            excess_held -= 1
            excess_bytes -= held.body_bytes
        return victims if excess_held <= 0 and excess_bytes <= 0 else None

    def _beyond_fair_share(self, *, service, tier):
        """Return waiting requests of the same tier that the service with the most of them holds beyond a fair share."""
        # Requests to one overloaded service wait here and fill the router. Requests of the same tier to a
        # service whose engines have free slots would then be refused with router_full: only 62% of them
        # were answered in time. Two services that hold equally many requests never displace each other.
        count_by_service = Counter(held.service for held in self._by_id.values() if held.tier == tier)
        if not count_by_service:
            return []
        largest, count = count_by_service.most_common(1)[0]
        surplus = (count - count_by_service[service]) // 2
        if largest == service or surplus < 1:
            return []
        waiting = [
            held for held in self._by_id.values() if held.service == largest and held.tier == tier and not held.running
        ]
        waiting.sort(key=lambda held: held.order, reverse=True)
        return waiting[:surplus]

    def _hold(self, *, request_id, service, tier, body_bytes, repeatable):
        self._next_order += 1
        self._by_id[request_id] = HeldRequest(
            request_id=request_id,
            service=service,
            tier=tier,
            body_bytes=body_bytes,
            repeatable=repeatable,
            order=self._next_order,
        )
        self._bytes_used += body_bytes

    def _remove(self, held):
        del self._by_id[held.request_id]
        self._bytes_used -= held.body_bytes


class ReceiveLimit:
    """Limits the memory for large bodies that are being read, before the request's tier is known.

    The tier of a completion depends on its body. The memory for small bodies is bounded by the number
    of threads. Teams without a route of the highest tier may use up to three quarters of the
    memory for large bodies, so that a flood from them leaves memory for the highest tier.

    Parameters
    ----------
    total_bytes : int
    max_bytes : int
        Largest allowed body, reserved for a body whose length is not declared.
    """

    __slots__ = ("max_bytes", "_total_bytes", "_used", "_lock")

    def __init__(self, *, total_bytes, max_bytes):
        self.max_bytes = max_bytes
        self._total_bytes = max(total_bytes, max_bytes)
        self._used = 0
        self._lock = threading.Lock()

    def try_reserve(self, *, size, highest) -> bool:
        """Reserve memory for one body; return ``False`` if there is not enough."""
        if size <= SMALL_BODY_BYTES:
            return True
        allowed = self._total_bytes if highest else max(self.max_bytes, self._total_bytes * MAX_LOWER_TIERS_SHARE)
        with self._lock:
            if self._used + size > allowed:
                return False
            self._used += size
            return True

    def release(self, *, size):
        """Release memory reserved by ``try_reserve``."""
        if size <= SMALL_BODY_BYTES:
            return
        with self._lock:
            self._used -= size
