"""Lemmas that make the properties of :mod:`wagtailtrestle.spec.scheduling` inductive.

While views agree, the account of the only scheduler matches the phase of each request, and
messages in transit belong to the current attempt or the previous one.
"""

import z3

from wagtailtrestle.spec.language import all_of, at_most_one
from wagtailtrestle.spec.scheduling_terms import ATTEMPT, COUNT, FIXED, HELD, REQUESTS, STATE, VIEW


def lemmas(spec):
    """Build the lemmas; ``spec`` is the builder of the specification."""
    v = spec.v
    facts = [
        v("attempt", FIXED) == ATTEMPT["a1"],
        z3.Implies(v("state", FIXED) == STATE["queued"], v("dispatches", FIXED) == COUNT["none"]),
    ]
    agreed = []
    for request in REQUESTS:
        facts.append(v("attempt", request) != ATTEMPT["a0"])
        agreed += _lemmas_while_views_agree(spec, request)
    agreed.append(at_most_one(v("held", "s0", request) == HELD["granted"] for request in REQUESTS))
    facts.append(z3.Or(v("views_differed"), all_of(agreed)))
    return facts


def _lemmas_while_views_agree(spec, request):
    """Relate each phase of a request to the scheduler's account and to the messages in transit."""
    v = spec.v
    attempt, state = v("attempt", request), v("state", request)
    held, held_attempt = v("held", "s0", request), v("held_attempt", "s0", request)
    granted, refused = v("granted", "s0", request), v("refused", "s0", request)
    returned, ended = v("returned", "s0", request), v("ended", "s0", request)
    none = ATTEMPT["a0"]
    nothing_held, is_granted = held == HELD["none"], held == HELD["granted"]
    this_granted = z3.And(is_granted, held_attempt == attempt, granted == attempt, ended != attempt)
    ahead = z3.And(
        returned == none,
        z3.ULE(attempt - 1, ended),
        z3.Implies(z3.Not(nothing_held), z3.And(held_attempt == attempt, ended != attempt)),
        z3.Implies(z3.Or(granted == attempt, is_granted), this_granted),
        (refused == attempt) == (ended == attempt),
    )
    returning = z3.And(
        returned == attempt - 1,
        is_granted,
        held_attempt == attempt - 1,
        z3.ULT(granted, attempt),
        z3.ULT(refused, attempt),
        z3.ULT(ended, attempt),
    )
    runs = z3.And(returned == none, this_granted, z3.ULT(refused, attempt))
    finished = z3.Or(
        z3.And(returned == attempt, is_granted, held_attempt == attempt),
        z3.And(returned == none, nothing_held, ended == attempt),
    )
    is_refused = z3.And(returned == none, nothing_held, ended == attempt, refused == attempt)
    phase_by_state = {"dispatched": runs, "finished": finished, "refused": is_refused}
    phase_by_state["queued"] = z3.If(returned == none, ahead, returning)
    phases = [z3.Implies(state == STATE[name], phase) for name, phase in phase_by_state.items()]
    messages = ("ask", "granted", "refused", "returned", "ended", "preempt")
    bounds = [z3.ULE(v(message, "s0", request), attempt) for message in messages]
    silent = [v(message, "s1", request) == none for message in messages]
    views = [v("view", request) == VIEW["s0"], v("held", "s1", request) == HELD["none"]]
    return [*phases, *bounds, *silent, *views]
