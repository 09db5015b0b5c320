"""Delayed reports of the stand-in engine: its load and its cache events."""

import threading
import time
import uuid
from collections import deque

SAMPLE_S = 0.02
KEPT_EVENTS = 4096


class LaggingLoad:
    """Samples the load and reports it with a delay of ``lag_s``."""

    __slots__ = ("_read", "_lag_s", "_samples", "_stop", "_thread")

    def __init__(self, *, read, lag_s):
        self._read = read
        self._lag_s = lag_s
        self._samples = deque()
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._sample_forever, name="load", daemon=True)

    def start(self):
        """Start sampling."""
        self._samples.append((time.monotonic(), self._read()))
        self._thread.start()

    def close(self):
        """Stop sampling."""
        self._stop.set()
        self._thread.join()

    def report(self):
        """Return ``(age_s, load)``: the newest sample that is at least ``lag_s`` old."""
        if not self._lag_s:
            return 0.0, self._read()
        taken_at, load = self._samples[0]
        return time.monotonic() - taken_at, load

    def _sample_forever(self):
        while not self._stop.wait(SAMPLE_S):
            now = time.monotonic()
            self._samples.append((now, self._read()))
            while len(self._samples) > 1 and self._samples[1][0] <= now - self._lag_s:
                self._samples.popleft()


class CacheEventLog:
    """Numbered cache events, reported with a delay of ``lag_s``; every ``gap_every``-th is lost (0: none)."""

    __slots__ = ("_lag_s", "_gap_every", "_events", "_last_number", "_epoch", "_lock")

    def __init__(self, *, lag_s, gap_every):
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._events = deque(maxlen=KEPT_EVENTS)
        self._last_number = 0
        self._epoch = uuid.uuid4().hex
        self._lock = threading.Lock()

    def add(self, stored, removed):
        """Record a cache change under the next number, unless ``gap_every`` drops it."""
        with self._lock:
            self._last_number += 1
            if self._gap_every and self._last_number % self._gap_every == 0:
                return
            event = {"number": self._last_number, "stored": list(stored), "removed": list(removed)}
            self._events.append((time.monotonic(), event))

    def restart(self):
        """Clear all events and start a new epoch at number 1, as a restarted process does."""
        with self._lock:
            self._events.clear()
            self._last_number = 0
            self._epoch = uuid.uuid4().hex

    def events_from(self, number) -> dict:
        """Return the events from ``number`` on that are at least ``lag_s`` old, and the number to request next.

        A number above those of this epoch comes from an earlier epoch: all events of this epoch are returned.
        """
        before = time.monotonic() - self._lag_s
        with self._lock:
            if number > self._last_number + 1:
                number = 1
            events = [event for at, event in self._events if event["number"] >= number and at <= before]
            following = events[-1]["number"] + 1 if events else max(number, 1)
            return {"epoch": self._epoch, "events": events, "next": following}
