"""The table a load ends in, per tier, and its machine-readable form."""

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
    """Counts and latencies of one tier; latencies are of whole answers, in ms."""

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
        """Plain data for JSON and for the table."""
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
    """One row for each tier, in the order given."""
    rows = {tier: TierRow(tier=tier) for tier in tiers}
    for result in results:
        rows.setdefault(result.planned.kind.tier, TierRow(tier=result.planned.kind.tier)).add(result)
    return rows


def table(rows):
    """Text table of the rows."""
    lines = [COLUMNS, *[tuple(str(cell) for cell in row.as_dict().values()) for row in rows.values()]]
    widths = [max(len(line[column]) for line in lines) for column in range(len(COLUMNS))]
    return "\n".join("  ".join(cell.rjust(width) for cell, width in zip(line, widths, strict=True)) for line in lines)


def reason_lines(results):
    """How often each reason was given, by tier, for requests without a whole answer."""
    counts = Counter(
        (result.planned.kind.tier, result.reason, result.executed) for result in results if not result.complete
    )
    return "\n".join(
        f"{tier}: {reason} (executed {executed}): {count}" for (tier, reason, executed), count in counts.most_common()
    )


def record_check_lines(record_check):
    """What the engines' own record says of the promises."""
    return "\n".join(
        (
            f"wasted prefill (engines' record): {record_check.wasted_prefill_tokens} of {record_check.prefill_tokens} tokens "
            f"({record_check.wasted_share():.2%})",
            f"told 'not run' but ran: {len(record_check.false_refusals)}",
            f"not to be repeated but started twice: {len(record_check.doubled)}",
            *(f"record not readable: {url}" for url in record_check.unreadable),
        )
    )


def _milliseconds(histogram, percentile):
    return round(histogram.get_value_at_percentile(percentile) / 1000, 1)
