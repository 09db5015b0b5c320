"""Counters and latencies of one process, and their text exposition.

Recorded once or a few times a request, never per token; safe to call from any thread.
"""

import threading

from hdrh.histogram import HdrHistogram

UNITS_PER_S = 10_000
MAX_UNITS = 3600 * UNITS_PER_S
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0)
# A label value comes from a declaration that may change 2,500 times a day, so the
# series of one metric are bounded: each histogram takes some 18 KB.
MAX_SERIES = 200
OTHER = "other"


class Metrics:
    """All series of one process.

    Parameters
    ----------
    prefix : str
        Put before each metric's name.
    """

    __slots__ = ("_counts_by_series", "_gauges_by_series", "_histograms_by_series", "_lock", "_prefix")

    def __init__(self, *, prefix="wagtailtrestle"):
        self._prefix = prefix
        self._lock = threading.Lock()
        self._counts_by_series = {}
        self._gauges_by_series = {}
        self._histograms_by_series = {}

    def count(self, name, *, by=1, **labels):
        """Add to a counter."""
        with self._lock:
            series = _bounded(self._counts_by_series.setdefault(name, {}), labels)
            counts = self._counts_by_series[name]
            counts[series] = counts.get(series, 0) + by

    def gauge(self, name, *, value, **labels):
        """Set a value that goes up and down."""
        with self._lock:
            series = _bounded(self._gauges_by_series.setdefault(name, {}), labels)
            self._gauges_by_series[name][series] = value

    def observe(self, name, *, seconds, **labels):
        """Record one latency; exposed with its percentiles since the process began."""
        units = min(MAX_UNITS, max(0, round(seconds * UNITS_PER_S)))
        with self._lock:
            histograms = self._histograms_by_series.setdefault(name, {})
            series = _bounded(histograms, labels)
            histogram = histograms.get(series)
            if histogram is None:
                histogram = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
                histograms[series] = histogram
            histogram.record_value(units)

    def exposition(self) -> str:
        """Text exposition of every series."""
        lines = []
        with self._lock:
            self._write_simple(lines, kind="counter", by_name=self._counts_by_series)
            self._write_simple(lines, kind="gauge", by_name=self._gauges_by_series)
            for name, histograms in sorted(self._histograms_by_series.items()):
                self._write_summary(lines, name=name, histograms=histograms)
        return "\n".join(lines) + "\n"

    def _write_simple(self, lines, *, kind, by_name):
        for name, values in sorted(by_name.items()):
            lines.append(f"# TYPE {self._prefix}_{name} {kind}")
            for series, value in sorted(values.items()):
                lines.append(f"{self._prefix}_{name}{_labels(series)} {value}")

    def _write_summary(self, lines, *, name, histograms):
        full = f"{self._prefix}_{name}_seconds"
        lines.append(f"# TYPE {full} summary")
        for series, histogram in sorted(histograms.items()):
            value_by_percentile = histogram.get_percentile_to_value_dict(list(PERCENTILES))
            for percentile, units in value_by_percentile.items():
                quantile = (("quantile", f"{percentile / 100:g}"),)
                lines.append(f"{full}{_labels(series + quantile)} {units / UNITS_PER_S:g}")
            total = histogram.get_total_count()
            mean = histogram.get_mean_value() if total else 0.0
            lines.append(f"{full}_sum{_labels(series)} {mean * total / UNITS_PER_S:g}")
            lines.append(f"{full}_count{_labels(series)} {total}")


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
