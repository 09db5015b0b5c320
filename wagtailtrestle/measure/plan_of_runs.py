"""Plan of the runs of ``make measure``, which measures every policy with the same seeds."""

from wagtailtrestle.measure.one_run import (
    ABLATIONS,
    BASELINES,
    KEYED_SCENARIOS,
    KILLED_ENTRY,
    KILLED_SCHEDULER,
    NO_FAULT,
    OURS,
    STRAGGLER,
    RunSpec,
)

SERVICES = ("asistente", "naamkosh")
LOADS = (0.7, 1.0, 1.5, 2.5)
FAULT_LOADS = (1.0, 2.5)
FAULTS = (STRAGGLER, KILLED_ENTRY, KILLED_SCHEDULER, *KEYED_SCENARIOS)
BASELINE_FAULTS = (STRAGGLER, KILLED_ENTRY)
SEEDS = (1, 2, 3)
WEIGHTS = (0.0, 0.5, 1.0)
WEIGHT_LOADS = (1.0, 2.5)
DURATION_S = 45.0
QUICK_DURATION_S = 25.0


def full_plan():
    """Return every run of the full measurement."""
    specs = []
    for service in SERVICES:
        for seed in SEEDS:
            for policy in (OURS, *BASELINES):
                specs += [_spec(service, policy, load, NO_FAULT, seed) for load in LOADS]
                # A baseline has no scheduler to kill, so all its routers are alike, and it ignores idempotency keys.
                faults = FAULTS if policy == OURS else BASELINE_FAULTS
                specs += [_spec(service, policy, load, fault, seed) for load in FAULT_LOADS for fault in faults]
            specs += [_spec(service, policy, 2.5, NO_FAULT, seed) for policy in ABLATIONS]
            specs += [_spec(service, OURS, load, NO_FAULT, seed, weight) for load in WEIGHT_LOADS for weight in WEIGHTS]
    return _longest_first(specs)


def quick_plan():
    """Return a few short runs, to check that the measurement works."""
    policies = (OURS, "two-choices")
    specs = [
        _spec(service, policy, load, NO_FAULT, 1, duration_s=QUICK_DURATION_S)
        for service in SERVICES
        for policy in policies
        for load in (1.0, 2.5)
    ]
    return _longest_first(specs)


def _spec(service, policy, load, scenario, seed, prefill_weight=-1.0, duration_s=DURATION_S):
    return RunSpec(
        service=service,
        policy=policy,
        load=load,
        scenario=scenario,
        seed=seed,
        duration_s=duration_s,
        prefill_weight=prefill_weight,
    )


def _longest_first(specs):
    """Sort the longest runs first, so that the last worker does not start a long run at the end."""
    return sorted(specs, key=lambda spec: (spec.policy in BASELINES, -spec.load))
