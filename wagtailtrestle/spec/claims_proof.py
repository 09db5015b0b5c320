"""Lemmas that make the properties of :mod:`wagtailtrestle.spec.claims` inductive.

A nonce that was once in the store stays there until it is refused. A send that may run has its
nonce in the store. The store holds a single nonce, so no two sends may run.
"""

import z3

from wagtailtrestle.spec.claims_terms import NONE, REPORTED, REQUEST, RUNS, UNREAD
from wagtailtrestle.spec.language import any_of


def lemmas(spec):
    """Build the lemmas; ``spec`` is the builder of the specification."""
    v = spec.v
    holds = [_holds_nonce(spec, v("holder"), send) for send in spec.sends]
    facts = []
    for send in spec.sends:
        state = v("request", send)
        refused = state == REQUEST["refused"]
        ran = v("runs", send) != RUNS["none"]
        may_run = any_of(state == REQUEST[name] for name in ("running", "dispatched", "finished", "unknown"))
        facts += [
            z3.Implies(may_run, holds[send]),
            z3.Implies(z3.Or(v("recorded", send), state == REQUEST["finished"]), ran),
            z3.Implies(ran, z3.And(holds[send], z3.Or(may_run, state == REQUEST["gone"]))),
            z3.Implies(z3.Or(state == REQUEST["running"], state == REQUEST["claiming"]), z3.Not(ran)),
            z3.Implies(v("release", send), z3.Or(refused, z3.And(state == REQUEST["gone"], z3.Not(ran)))),
            z3.Implies(v("reported", send) == REPORTED["no"], z3.Or(refused, state == REQUEST["gone"])),
            z3.Implies(state == REQUEST["queued"], _never_asked(spec, send)),
            # Once in the store a nonce stays there until it is refused.
            z3.Implies(z3.Or(v("won", send), *_was_stored(spec, send)), z3.Or(holds[send], _never_runs(spec, send))),
        ]
        for other in spec.sends:
            facts.append(z3.Implies(v("replaces", send) == spec.n(other), _never_runs(spec, other)))
            facts.append(v("replaces", send) != spec.n(send))
    for writer in spec.routers:
        facts += _writer_lemmas(spec, writer)
    return facts


def _writer_lemmas(spec, writer):
    v = spec.v
    snapshot = v("snapshot", writer)
    harmless = _replaceable(spec, v("holder"))
    return [
        z3.Implies(v("fresh", writer), snapshot == v("holder")),
        z3.Implies(z3.And(v("fresh", writer), v("writing", writer)), harmless),
        z3.Implies(z3.And(v("late", writer), v("late_fresh", writer)), harmless),
        v("holder") != spec.snapshot[UNREAD],
        v("past") != spec.snapshot[UNREAD],
        v("value", writer) != spec.snapshot[UNREAD],
        v("late_value", writer) != spec.snapshot[UNREAD],
    ]


def _holds_nonce(spec, content, send):
    return content == spec.s(send)


def _was_stored(spec, send):
    """Conditions under which a copy of the store's content holds the nonce, so that it was in the store."""
    v = spec.v
    seen = [_holds_nonce(spec, v("past"), send)]
    for writer in spec.routers:
        seen.append(_holds_nonce(spec, v("snapshot", writer), send))
    return seen


def _never_runs(spec, send):
    """Whether the send never ran and never will: it was refused, or its router crashed."""
    state = spec.v("request", send)
    never_ran = spec.v("runs", send) == RUNS["none"]
    return z3.And(never_ran, z3.Or(state == REQUEST["refused"], state == REQUEST["gone"]))


def _replaceable(spec, content):
    free = content == spec.snapshot[NONE]
    return z3.Or(free, *(z3.And(_holds_nonce(spec, content, send), _never_runs(spec, send)) for send in spec.sends))


def _never_asked(spec, send):
    v = spec.v
    nowhere = [z3.Not(v("asked", send, writer)) for writer in spec.routers]
    return z3.And(z3.Not(v("won", send)), v("runs", send) == RUNS["none"], *nowhere)
