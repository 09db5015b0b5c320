"""Per-tier report of a load, as a text table and as plain data."""

from collections import Counter

from hdrh.histogram import HdrHistogram

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 600_000_000, 3
COLUMNS = (
    "tier",
    "sent",
    "in deadline",
    "late",
    "refused",
    "unknown",
    "unfinished",
    "p50 ms",
    "p99 ms",
    "first p50 ms",
)


class TierRow:
    """Counts and latencies of one tier; only complete answers count towards the latencies."""

    __slots__ = ("tier", "sent", "in_deadline", "late", "refused", "unknown", "unfinished", "total", "first")

    def __init__(self, *, tier):
        self.tier = tier
        self.sent = 0
        self.in_deadline = 0
        self.late = 0
        self.refused = 0
        self.unknown = 0
        self.unfinished = 0
        self.total = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.first = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)

    def add(self, result):
        """Count one result."""
        self.sent += 1
        if result.complete:
            self.in_deadline += result.in_deadline()
            self.late += not result.in_deadline()
            self.total.record_value(max(int(result.total_s * 1e6), 1))
            self.first.record_value(max(int(result.first_s * 1e6), 1))
        elif result.executed == "no":
            self.refused += 1
        elif result.executed == "unknown":
            self.unknown += 1
        else:
            self.unfinished += 1

    def as_dict(self):
        """Return the row as plain data, with latencies in ms, for JSON and for the table."""
        return {
            "tier": self.tier,
            "sent": self.sent,
            "in_deadline": self.in_deadline,
            "late": self.late,
            "refused": self.refused,
            "unknown": self.unknown,
            "unfinished": self.unfinished,
            "p50_ms": _milliseconds(self.total, 50),
            "p99_ms": _milliseconds(self.total, 99),
            "first_p50_ms": _milliseconds(self.first, 50),
        }


def rows_by_tier(results, tiers):
    """Return one row per tier, in the order given; tiers that only occur in results follow."""
    rows = {tier: TierRow(tier=tier) for tier in tiers}
    for result in results:
        rows.setdefault(result.planned.kind.tier, TierRow(tier=result.planned.kind.tier)).add(result)
    return rows


def table(rows):
    """Return the rows as a text table."""
    lines = [COLUMNS, *[tuple(str(cell) for cell in row.as_dict().values()) for row in rows.values()]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(COLUMNS))]
    return "\n".join("  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in lines)


def reason_lines(results):
    """Count the requests without a complete answer by tier, reason and ``executed``, most frequent first."""
    counts = Counter(
        (result.planned.kind.tier, result.reason, result.executed) for result in results if not result.complete
    )
    return "\n".join(
        f"{tier}: {reason} (executed {executed}): {count}" for (tier, reason, executed), count in counts.most_common()
    )


def record_check_lines(record_check):
    """Format the result of the check against the engines' records."""
    return "\n".join(
        (
            f"wasted prefill (engines' records): {record_check.wasted_prefill_tokens} "
            f"of {record_check.prefill_tokens} tokens "
            f"({record_check.wasted_share():.2%})",
            f"refused as not run, but ran: {len(record_check.false_refusals)}",
            f"not repeatable, but started more than once: {len(record_check.doubled)}",
            *(f"record could not be read: {url}" for url in record_check.unreadable),
        )
    )


def _milliseconds(histogram, percentile):
    return round(histogram.get_value_at_percentile(percentile) / 1000, 1)
