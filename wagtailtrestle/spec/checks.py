"""Checks of all specifications: proofs, bounded searches, mutants, witnesses and limits."""

from enum import StrEnum

import z3

from wagtailtrestle.record import record
from wagtailtrestle.spec import claims, configuring, draining, freshness, resumption, scheduling
from wagtailtrestle.spec.checker import Bounded, Inductive, Trace, shortest_trace

MODULES = (claims, scheduling, configuring, draining, freshness, resumption)
SIZES_BY_MODULE = {claims: {"sends": 4}, configuring: {"generations": 6}, draining: {"requests": 5}}
"""Instance sizes that a deep run proves in addition."""

MAX_STEPS = 24
"""Steps within which every mutant must be refuted and every witness reached."""

BOUNDED_STEPS = 8
DEEP_BOUNDED_STEPS = 24
"""Depth of the bounded search of the unmutated specification, which cross-checks the induction."""


class Kind(StrEnum):
    """Kind of a check."""

    PROOF = "proof"
    SEARCH = "search"
    MUTANT = "mutant"
    WITNESS = "witness"
    LIMIT = "limit"


@record
class Finding:
    """Result of one check.

    Parameters
    ----------
    passed : bool
        For a mutant or a limit, whether it was refuted.
    trace : Trace or None
        The counterexample, or the trace to the witness.
    """

    specification: str
    kind: Kind
    name: str
    passed: bool
    detail: str
    trace: Trace | None = None


def findings_of(module, *, deep=False):
    """Run the checks of one specification and yield their findings."""
    full_specification = module.specification()
    yield _proof(full_specification)
    yield _search(full_specification, DEEP_BOUNDED_STEPS if deep else BOUNDED_STEPS)
    for name in module.SAFEGUARDS:
        yield mutant(module, name)
    for name, wanted in full_specification.witnesses_by_name.items():
        trace = shortest_trace(full_specification, wanted, max_steps=MAX_STEPS)
        yield _found(full_specification, Kind.WITNESS, name, trace)
    for name, expected in full_specification.limits_by_name.items():
        trace = shortest_trace(full_specification, z3.Not(expected), max_steps=MAX_STEPS)
        yield _found(full_specification, Kind.LIMIT, name, trace)
    if deep and module in SIZES_BY_MODULE:
        yield _proof(module.specification(**SIZES_BY_MODULE[module]))


def mutant(module, name):
    """Check that the specification without one safeguard is refuted by both search and induction."""
    safeguard = module.SAFEGUARDS[name]
    mutated = module.specification(without=name, **safeguard.size)
    bad = z3.Not(mutated.properties_by_name[safeguard.breaks])
    trace = shortest_trace(mutated, bad, max_steps=MAX_STEPS, opening=safeguard.opening)
    detail = f"without: {safeguard.rule}; breaks: {safeguard.breaks}"
    gap = Inductive(mutated).gap()
    return Finding(
        specification=mutated.name,
        kind=Kind.MUTANT,
        name=name,
        passed=trace is not None and gap is not None,
        detail=detail if gap is not None else f"{detail}; but the induction still passes",
        trace=trace,
    )


def _proof(instance):
    gap = Inductive(instance).gap()
    detail = f"{len(instance.actions)} actions, {state_bits(instance)} bits of state, traces of any length"
    if gap is not None:
        detail = f"{gap.action} breaks {gap.broken}"
    return Finding(
        specification=instance.name,
        kind=Kind.PROOF,
        name="induction",
        passed=gap is None,
        detail=detail,
        trace=gap.trace if gap else None,
    )


def _search(instance, steps):
    bounded = Bounded(instance)
    for _ in range(steps):
        bounded.deepen()
    trace = bounded.search(z3.Not(z3.And(list(instance.properties_by_name.values()))))
    detail = f"every trace of up to {steps} steps, {bounded.conflicts} conflicts in the solver"
    return Finding(
        specification=instance.name,
        kind=Kind.SEARCH,
        name="bounded",
        passed=trace is None,
        detail=detail,
        trace=trace,
    )


def _found(instance, kind, name, trace):
    detail = "not reached" if trace is None else f"reached in {len(trace.actions)} steps"
    return Finding(
        specification=instance.name,
        kind=kind,
        name=name,
        passed=trace is not None,
        detail=detail,
        trace=trace,
    )


def state_bits(specification):
    """Return the size of a state in bits."""
    sorts = [term.sort() for term in (domain.variable("x") for domain in specification.domains_by_variable.values())]
    return sum(sort.size() if z3.is_bv_sort(sort) else 1 for sort in sorts)
