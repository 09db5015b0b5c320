"""The router's own resources, cut by tier: requests held (one thread each) and body memory.

Pure bookkeeping: no I/O and no clock. Called from the threads that carry callers' bytes.
"""

import threading
from collections import Counter

from wagtailtrestle.record import record

DEFAULT_BODY_BYTES = 64 * 1024 * 1024
DEFAULT_RECEIVE_BYTES = 64 * 1024 * 1024
MIN_RESERVE_THREADS = 4
RESERVE_SHARE = 8
SMALL_BODY_BYTES = 65_536
LOWER_TIERS_SHARE = 0.75
HOLD_TIME_WEIGHT = 0.05
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


def max_held_requests(threads: int) -> int:
    """Requests to hold with so many threads: an eighth, and at least four, are kept to read and refuse."""
    reserve = max(MIN_RESERVE_THREADS, threads // RESERVE_SHARE)
    return max(1, threads - reserve)


@record
class Admitted:
    """The request is held; each of ``displaced`` must be answered ``router_full`` in its place."""

    displaced: tuple = ()


@record
class Full:
    """The request can't be held, and nothing of a lower tier could make room for it."""

    detail: str


class HeldRequest:
    """One request held: its service, its tier's rank, its body's bytes, whether a run may have begun."""

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
        """Whether it may be given up: it waits, or its run may be cancelled."""
        return self.repeatable or not self.running


class CallerLimits:
    """Which requests this router holds, and which give way.

    Parameters
    ----------
    held : int
        Requests held at once. The server has more threads than this: the rest read
        heads and refuse, so that a full router still answers.
    body_bytes : int
        Bytes of the bodies of all requests held.
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
        """Hold one more request, displacing lower tiers if there is no room."""
        # A flood of low-tier requests can hold every thread of this router while engines still
        # have room for the tiers above; seen from outside, the family's booking is shed while
        # tagging runs. So whoever is of a lower tier makes room, lowest first, before any
        # arrival is refused; only an arrival below everything held is refused itself.
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
        """Note that a run of this request begins; ``False`` if it was displaced just before.

        Both happen under one lock, so a request that may not be repeated is either displaced
        and never sent, or sent and never displaced.
        """
        with self._lock:
            held = self._by_id.get(request_id)
            if held is None:
                return False
            held.running = True
            return True

    def mark_waiting(self, *, request_id):
        """Note that the request waits again after a run that ended."""
        with self._lock:
            held = self._by_id.get(request_id)
            if held is not None:
                held.running = False

    def release(self, *, request_id, held_s):
        """Give back what the request held for ``held_s`` seconds."""
        with self._lock:
            held = self._by_id.get(request_id)
            if held is None:
                return  # refused or displaced: its short stay says nothing of the others'
            self._hold_s += HOLD_TIME_WEIGHT * (held_s - self._hold_s)
            self._remove(held)

    def retry_after_s(self) -> float:
        """When a refused caller should come back: by then each place has changed hands about once.

        Places come free all the time, but go first to those who ask in that very moment;
        after one mean time of holding, none of the present holders is in the way.
        """
        with self._lock:
            return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, self._hold_s))

    def usage(self) -> dict:
        """Figures for the state dump."""
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
        """The requests to displace, ``[]`` if there is room, ``None`` if there can be none."""
        excess_held = len(self._by_id) + 1 - self._held
        excess_bytes = self._bytes_used + body_bytes - self._body_bytes
        if excess_held <= 0 and excess_bytes <= 0:
            return []
        if self._held < 1 or body_bytes > self._body_bytes:
            return None
        candidates = [held for held in self._by_id.values() if held.tier > tier and held.displaceable]
        # Lowest tier first; within it those that wait before those that run (no prefill is lost),
        # and the youngest first, which waited least.
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
        """Waiting requests of the same tier to displace: of the service that holds most, beyond an even share."""
        # Calls of one overloaded service wait here and fill the router. Questions of the same tier to a
        # service whose engines have room would then be refused as router_full (seen: 62% of them
        # answered in time). Two services that hold alike never displace each other.
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
    """Bytes of large bodies being read, before the request's tier is known.

    The tier of a completion stands in its body. Small bodies are bounded by the threads;
    of the room for large ones, teams without a route of the highest tier may fill three
    quarters, so that their flood leaves room for the highest.

    Parameters
    ----------
    total_bytes : int
    most_bytes : int
        Largest single body, counted for one whose length is not declared.
    """

    __slots__ = ("max_bytes", "_total_bytes", "_used", "_lock")

    def __init__(self, *, total_bytes, max_bytes):
        self.max_bytes = max_bytes
        self._total_bytes = max(total_bytes, max_bytes)
        self._used = 0
        self._lock = threading.Lock()

    def try_reserve(self, *, size, highest) -> bool:
        """Take room for one body; ``False`` if there is none."""
        if size <= SMALL_BODY_BYTES:
            return True
        allowed = self._total_bytes if highest else max(self.max_bytes, self._total_bytes * LOWER_TIERS_SHARE)
        with self._lock:
            if self._used + size > allowed:
                return False
            self._used += size
            return True

    def release(self, *, size):
        """Give back what ``take`` took."""
        if size <= SMALL_BODY_BYTES:
            return
        with self._lock:
            self._used -= size
