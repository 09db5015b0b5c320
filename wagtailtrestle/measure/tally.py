"""Figures of one measured run, from the engines' records and the callers' answers."""

from wagtailtrestle.contracts.outcomes import Executed, Reason
from wagtailtrestle.measure.fleet import fleet_cost_s
from wagtailtrestle.measure.platform_store import is_keyed


class TierTally:
    """Outcome counts of the requests of one tier or group."""

    __slots__ = ("asked", "in_time", "refused", "late", "unknown")

    def __init__(self):
        self.asked = 0
        self.in_time = 0
        self.refused = 0
        self.late = 0
        self.unknown = 0

    def as_dict(self):
        """Return the counts."""
        return {name: getattr(self, name) for name in self.__slots__}


def tally(*, callers, engines, speed_by_name, tier_names, tier_of, repeatable_of, window):
    """Return the figures of a run as plain data.

    Parameters
    ----------
    callers : list of FakeCaller
    engines : list of FakeEngine
    speed_by_name : dict of str to TrueSpeed
    tier_names : dict of int to str
    tier_of, repeatable_of : dict
        Rank of the tier, and whether a request may be repeated, by route.
    window : tuple of float
        Start and end of the measured time.
    """
    runs_by_request_id = {}
    for engine in engines:
        for run in engine.run_by_id.values():
            runs_by_request_id.setdefault(run.request_id, []).append(run.batch_run)
    start_s, end_s = window
    prefill = wasted = duplicates = false_refusals = 0
    tally_by_tier = {name: TierTally() for name in tier_names.values()}
    done_s = offered_s = 0.0
    reasons = {}
    for caller in callers:
        arrival = caller.arrival
        runs = runs_by_request_id.get(caller.request_id, ())
        in_time = caller.answered_at is not None and caller.answered_at <= arrival.at_s + arrival.kind.deadline_s
        false_refusals += bool(caller.refusal and caller.refusal.executed is Executed.NO and runs)
        duplicates += len(runs) > 1 and not repeatable_of[arrival.kind.route]
        computed = sum(run.prefill_tokens for run in runs)
        prefill += computed
        useful = max((min(run.prefill_tokens, run.prompt_tokens) for run in runs), default=0) if in_time else 0
        wasted += computed - useful
        if in_time and start_s <= caller.answered_at < end_s:
            done_s += fleet_cost_s(speed_by_name, arrival)
        if start_s <= arrival.at_s < end_s:
            offered_s += fleet_cost_s(speed_by_name, arrival)
            count(tally_by_tier[tier_names[tier_of[arrival.kind.route]]], caller, in_time)
            if caller.refusal:
                name = f"{arrival.kind.route}:{caller.refusal.reason}:{caller.refusal.executed}"
                reasons[name] = reasons.get(name, 0) + 1
    busy = sum(engine.busy_s for engine in engines)
    return {
        "by_tier": {name: tier.as_dict() for name, tier in tally_by_tier.items() if tier.asked},
        "goodput_of_fleet": done_s / (end_s - start_s),
        "offered_of_fleet": offered_s / (end_s - start_s),
        "prefill_tokens": prefill,
        "wasted_prefill": wasted / prefill if prefill else 0.0,
        "duplicates": duplicates,
        "lies": false_refusals,
        "unsettled": sum(not caller.settled for caller in callers),
        "busy_s": busy,
        "refusals": reasons,
    }


def tally_keyed(*, callers, routes_by_name):
    """Count the outcomes of callers of at-most-once routes, with and without an idempotency key."""
    counts = {"keyed": TierTally(), "unkeyed": TierTally()}
    slowest_refusal_s = 0.0
    for caller in callers:
        arrival = caller.arrival
        if not routes_by_name[arrival.kind.route].at_most_once:
            continue
        keyed = is_keyed(caller.request_id)
        in_time = caller.answered_at is not None and caller.answered_at <= arrival.at_s + arrival.kind.deadline_s
        count(counts["keyed" if keyed else "unkeyed"], caller, in_time)
        if keyed and caller.refusal:
            slowest_refusal_s = max(slowest_refusal_s, caller.refused_at - arrival.at_s)
    figures = {name: tier.as_dict() for name, tier in counts.items()}
    return {**figures, "slowest_refusal_s": round(slowest_refusal_s, 3)}


def count(tier, caller, in_time):
    """Count the outcome of one caller."""
    tier.asked += 1
    if in_time:
        tier.in_time += 1
    elif caller.lost or (caller.refusal and caller.refusal.executed is not Executed.NO):
        tier.unknown += caller.lost or caller.refusal.reason is not Reason.DEADLINE_EXCEEDED
        tier.late += bool(caller.refusal and caller.refusal.reason is Reason.DEADLINE_EXCEEDED)
    elif caller.refusal:
        tier.refused += 1
    else:
        tier.late += 1
