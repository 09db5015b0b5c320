"""Counters, gauges and latencies of one process, and their text exposition.

Recorded once or a few times per request, never per token. Thread-safe.
"""

import threading
import time

from hdrh.histogram import HdrHistogram

UNITS_PER_S = 10_000
MAX_UNITS = 3600 * UNITS_PER_S
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
WINDOW_S = 60.0
# Label values come from a declaration that may change 2,500 times a day, so the number
# of series per metric is limited: each latency series takes about 40 KB.
MAX_SERIES = 200
OTHER = "other"


class Latency:
    """Latencies of one series: total count and sum, and percentiles over the last one to two windows."""

    __slots__ = ("count", "sum_s", "_current", "_previous", "_window")

    def __init__(self, *, now):
        self.count = 0
        self.sum_s = 0.0
        self._current = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        self._previous = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        self._window = _window(now)

    def record(self, *, seconds, now):
        """Add one latency."""
        self._rotate_windows(now)
        self.count += 1
        self.sum_s += seconds
        units = min(MAX_UNITS, max(0, round(seconds * UNITS_PER_S)))
        self._current.record_value(units)

    def percentiles(self, *, now) -> dict:
        """Return seconds by percentile."""
        self._rotate_windows(now)
        recent = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        recent.add(self._previous)
        recent.add(self._current)
        units_by_percentile = recent.get_percentile_to_value_dict(list(PERCENTILES))
        return {percentile: units / UNITS_PER_S for percentile, units in units_by_percentile.items()}

    def _rotate_windows(self, now):
        window = _window(now)
        if window == self._window:
            return
        # Percentiles must reflect recent latencies only, not an earlier slow period.
        self._previous, self._current = self._current, self._previous
        self._current.reset()
        if window > self._window + 1:
            self._previous.reset()
        self._window = window


class Metrics:
    """All series of one process.

    Parameters
    ----------
    prefix : str
        Prefix of each metric's name.
    now : callable
        Clock in seconds.
    """

    __slots__ = ("_counts_by_series", "_gauges_by_series", "_latencies_by_series", "_lock", "_prefix", "_now")

    def __init__(self, *, prefix="wagtailtrestle", now=time.monotonic):
        self._prefix = prefix
        self._now = now
        self._lock = threading.Lock()
        self._counts_by_series = {}
        self._gauges_by_series = {}
        self._latencies_by_series = {}

    def count(self, name, *, by=1, **labels):
        """Add to a counter."""
        with self._lock:
            series = _bounded(self._counts_by_series.setdefault(name, {}), labels)
            counts = self._counts_by_series[name]
            counts[series] = counts.get(series, 0) + by

    def gauge(self, name, *, value, **labels):
        """Set a gauge."""
        with self._lock:
            series = _bounded(self._gauges_by_series.setdefault(name, {}), labels)
            self._gauges_by_series[name][series] = value

    def observe(self, name, *, seconds, **labels):
        """Record one latency."""
        now = self._now()
        with self._lock:
            latencies = self._latencies_by_series.setdefault(name, {})
            series = _bounded(latencies, labels)
            latency = latencies.get(series)
            if latency is None:
                latency = latencies[series] = Latency(now=now)
            latency.record(seconds=seconds, now=now)

    def exposition(self) -> str:
        """Return the text exposition of all series."""
        lines = []
        with self._lock:
            self._write_simple(lines, kind="counter", by_name=self._counts_by_series)
            self._write_simple(lines, kind="gauge", by_name=self._gauges_by_series)
            for name, latencies in sorted(self._latencies_by_series.items()):
                self._write_summary(lines, name=name, latencies=latencies)
        return "\n".join(lines) + "\n"

    def _write_simple(self, lines, *, kind, by_name):
        for name, values in sorted(by_name.items()):
            lines.append(f"# TYPE {self._prefix}_{name} {kind}")
            for series, value in sorted(values.items()):
                lines.append(f"{self._prefix}_{name}{_labels(series)} {value}")

    def _write_summary(self, lines, *, name, latencies):
        metric = f"{self._prefix}_{name}_seconds"
        now = self._now()
        lines.append(f"# TYPE {metric} summary")
        for series, latency in sorted(latencies.items()):
            for percentile, seconds in latency.percentiles(now=now).items():
                quantile = (("quantile", f"{percentile / 100:g}"),)
                lines.append(f"{metric}{_labels(series + quantile)} {seconds:g}")
            lines.append(f"{metric}_sum{_labels(series)} {latency.sum_s:g}")
            lines.append(f"{metric}_count{_labels(series)} {latency.count}")


def _window(now):
    return int(now // WINDOW_S)


def _bounded(existing, labels):
    series = tuple(sorted((name, str(value)) for name, value in labels.items()))
    if series in existing or len(existing) < MAX_SERIES:
        return series
    return tuple((name, OTHER) for name, _ in series)


def _labels(series):
    if not series:
        return ""
    inner = ",".join(f'{name}="{_escaped(value)}"' for name, value in series)
    return "{" + inner + "}"


def _escaped(value):
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
