"""Tables of a measurement: means over the seeds, and whether each target is held or missed."""

from collections import defaultdict

from wagtailtrestle.measure.one_run import BASELINES, KEYED, KEYED_SCENARIOS, NO_FAULT, OURS

GROUP = ("service", "scenario", "load", "policy", "prefill_weight")
TOP_TIER_BY_SERVICE = {"asistente": "question", "naamkosh": "wording"}


class Row:
    """Means, extremes and totals of the runs of one group."""

    __slots__ = (
        "key",
        "goodput",
        "min_goodput",
        "wasted",
        "max_wasted",
        "in_time_by_tier",
        "duplicates",
        "false_refusals",
    )

    def __init__(self, *, key, results):
        self.key = key
        bounded = [result["goodput_of_fleet"] / result["bound"] for result in results]
        self.goodput = sum(bounded) / len(bounded)
        self.min_goodput = min(bounded)
        self.wasted = sum(result["wasted_prefill"] for result in results) / len(results)
        self.max_wasted = max(result["wasted_prefill"] for result in results)
        self.duplicates = sum(result["duplicates"] for result in results)
        self.false_refusals = sum(result["lies"] for result in results)
        self.in_time_by_tier = _in_time(results)


def rows_of(results):
    """Group the results over seeds, sorted by key."""
    grouped = defaultdict(list)
    for result in results:
        grouped[tuple(result[name] for name in GROUP)].append(result)
    return [Row(key=key, results=grouped[key]) for key in sorted(grouped)]


def table(rows):
    """Format rows as a Markdown table."""
    lines = [
        "| service | scenario | load | policy | goodput / bound (least) | wasted prefill (most) | in time by tier |",
        "|---|---|---|---|---|---|---|",
    ]
    for row in rows:
        service, scenario, load, policy, weight = row.key
        name = policy if weight < 0 else f"{policy}, prefill_weight {weight}"
        tiers = ", ".join(f"{tier} {share:.1%}" for tier, share in row.in_time_by_tier.items())
        lines.append(
            f"| {service} | {scenario} | {load} | {name} | {row.goodput:.3f} ({row.min_goodput:.3f}) "
            f"| {row.wasted:.2%} ({row.max_wasted:.2%}) | {tiers} |"
        )
    return "\n".join(lines)


def platform_table(results):
    """Format the ledger's writes to the platform and the effect of an outage on callers as a Markdown table."""
    lines = [
        "| service | scenario | load | writes per 1,000 requests | per request with a key "
        "| with a key: in time, refused unrun, slowest refusal | without a key: in time |",
        "|---|---|---|---|---|---|---|",
    ]
    grouped = defaultdict(list)
    for result in results:
        if result["scenario"] in KEYED_SCENARIOS:
            grouped[result["service"], result["scenario"], result["load"]].append(result)
    return "\n".join(lines + [_platform_line(key, grouped[key]) for key in sorted(grouped)])


def _platform_line(key, results):
    service, scenario, load = key
    keyed, unkeyed = (_sums([result["keyed"][name] for result in results]) for name in ("keyed", "unkeyed"))
    writes = sum(result["writes"] for result in results)
    requests = sum(result["requests"] for result in results)
    slowest_s = max(result["keyed"]["slowest_refusal_s"] for result in results)
    return (
        f"| {service} | {scenario} | {load} | {1000 * writes / requests:.0f} | {writes / keyed['asked']:.2f} "
        f"| {keyed['in_time'] / keyed['asked']:.1%}, {keyed['refused'] / keyed['asked']:.1%}, {slowest_s:.3f} s "
        f"| {unkeyed['in_time'] / unkeyed['asked']:.1%} |"
    )


def _sums(counts):
    return {name: sum(each[name] for each in counts) for name in counts[0]}


def targets(rows):
    """Return one line for each target: held or missed, with figure and limit."""
    by_key = {row.key: row for row in rows}
    lines = [
        line
        for service, top in TOP_TIER_BY_SERVICE.items()
        for line in (
            *_top_tier(by_key, service, top),
            *_goodput(by_key, service),
            *_waste(by_key, service),
            *_against_baseline(by_key, service),
        )
    ]
    ours = [row for row in rows if row.key[3] not in BASELINES]
    lines.append(
        _line("duplicate dispatches of non-repeatable requests", sum(r.duplicates for r in ours), 0, is_maximum=True)
    )
    lines.append(
        _line("refusals said not to have run that did", sum(row.false_refusals for row in ours), 0, is_maximum=True)
    )
    return lines


def _in_time(results):
    asked, in_time = defaultdict(int), defaultdict(int)
    for result in results:
        for tier, counts in result["by_tier"].items():
            asked[tier] += counts["asked"]
            in_time[tier] += counts["in_time"]
    return {tier: in_time[tier] / asked[tier] for tier in asked}


def _ours(by_key, service, scenario, load):
    return by_key.get((service, scenario, load, OURS, -1.0))


def _top_tier(by_key, service, top):
    row = _ours(by_key, service, NO_FAULT, 2.5)
    if row is not None:
        yield _line(f"{service}: top tier in time at 2.5", row.in_time_by_tier[top], 0.99)


def _goodput(by_key, service):
    rows = {load: _ours(by_key, service, NO_FAULT, load) for load in (1.0, 1.5, 2.5)}
    for load, row in rows.items():
        if row is not None:
            yield _line(f"{service}: goodput / bound at {load}", row.goodput, 0.9)
    if rows[1.0] and rows[2.5]:
        yield _line(f"{service}: goodput at 2.5 / at 1.0", rows[2.5].goodput / rows[1.0].goodput, 0.97)


def _waste(by_key, service):
    for (name, scenario, load, policy, weight), row in by_key.items():
        if (name, policy, weight) == (service, OURS, -1.0):
            limit = 0.01 if scenario in (NO_FAULT, KEYED) else 0.05
            yield _line(f"{service}: wasted prefill, {scenario}, load {load}", row.wasted, limit, is_maximum=True)


def _against_baseline(by_key, service):
    ours = _ours(by_key, service, NO_FAULT, 2.5)
    others = [by_key.get((service, NO_FAULT, 2.5, policy, -1.0)) for policy in BASELINES]
    best = min((row.wasted for row in others if row), default=None)
    if ours is not None and best is not None:
        ratio = best / max(ours.wasted, 1e-6)
        yield _line(f"{service}: best baseline's wasted prefill / ours at 2.5", ratio, 5.0)


def _line(name, value, limit, *, is_maximum=False):
    held = value <= limit if is_maximum else value >= limit
    return f"{'held  ' if held else 'MISSED'} {name}: {value:.4g} ({'at most' if is_maximum else 'at least'} {limit:g})"
