"""Scheduling: two routers that both may act as steward of one cell with one place.

Three requests: one of a high tier, one of a low tier that may be repeated, one of the low
tier that may not. Each entry has its own view of who is steward and may change it at any
moment. Messages to and from stewards may come late, twice, or never; only those that give
a place back come in order after what they follow, as one link carries them.
"""

import z3

from wagtailtrestle.spec.language import (
    FALSE,
    TRUE,
    TRUTH,
    Builder,
    Safeguard,
    Specification,
    all_of,
    any_of,
    at_most_one,
    variable_name,
)
from wagtailtrestle.spec.scheduling_proof import lemmas
from wagtailtrestle.spec.scheduling_terms import (
    ATTEMPT,
    COUNT,
    FIXED,
    HELD,
    HIGH,
    LAST_ATTEMPT,
    LOW,
    REPEATABLE,
    REQUESTS,
    STATE,
    STEWARDS,
    TIER_BY_REQUEST,
    VIEW,
)

ONE_RUN = "a request has one run at a time, and none once it is refused"
NOT_REPEATED = "a request that may not be repeated is dispatched once"
TIER_ORDER = "a higher tier is not refused while the steward knows lower repeatable work"
EXPIRY = "no wait ends while known lower repeatable work runs that was not told to yield"
GRANT_ORDER = "a place goes to the highest tier that waits"
RETURNED = "while views agree no place is kept for a request that is over"
CAPACITY = "while views agree the place holds one run"

SAFEGUARDS = {
    "queued_only": Safeguard(rule="an entry takes a grant only for a request that waits", breaks=ONE_RUN),
    "attempt": Safeguard(rule="a grant counts only for the ask that it answers", breaks=CAPACITY),
    "preempt_repeatable_only": Safeguard(
        rule="a run is taken back only if the request may be repeated", breaks=NOT_REPEATED
    ),
    "lower_first": Safeguard(rule="lower repeatable work goes before a higher tier is refused", breaks=TIER_ORDER),
    "yield_first": Safeguard(
        rule="a wait is given up only after lower repeatable runs were told to yield", breaks=EXPIRY
    ),
    "highest_first": Safeguard(rule="of those that wait the highest tier is granted first", breaks=GRANT_ORDER),
    "exact_account": Safeguard(rule="a steward grants only places that its account shows free", breaks=CAPACITY),
    "place_until_ended": Safeguard(
        rule="a place is free when its run ended, not when it was taken back", breaks=CAPACITY
    ),
    "ended_asks": Safeguard(rule="a late copy of a settled ask is not served again", breaks=RETURNED),
}


def specification(*, without=""):
    """Build the specification, for a mutant ``without`` one safeguard."""
    return _Scheduling(without=without).specification()


class _Scheduling(Builder):
    """Builder of one specification."""

    def __init__(self, *, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.declare(TRUTH, "views_differed", initial=FALSE)
        self.declare(TRUTH, "shed", initial=FALSE)
        self.declare(TRUTH, "passed_over", initial=FALSE)
        self.declare(TRUTH, "shed_unseen", initial=FALSE)
        self.declare(TRUTH, "expired_early", initial=FALSE)
        for request in REQUESTS:
            self.declare(STATE, "state", request, initial=STATE["queued"])
            self.declare(ATTEMPT, "attempt", request, initial=ATTEMPT["a1"])
            self.declare(COUNT, "runs", request, initial=COUNT["none"])
            self.declare(COUNT, "dispatches", request, initial=COUNT["none"])
            self.declare(VIEW, "view", request, initial=VIEW["s0"])
        for steward in STEWARDS:
            for request in REQUESTS:
                self._declare_pair(steward, request)

    def _declare_pair(self, steward, request):
        """What a steward holds of a request, and the last message of each kind between them."""
        none = ATTEMPT["a0"]
        self.declare(HELD, "held", steward, request, initial=HELD["none"])
        self.declare(ATTEMPT, "held_attempt", steward, request, initial=none)
        self.declare(ATTEMPT, "ended", steward, request, initial=none)
        for message in ("ask", "granted", "refused", "returned"):
            self.declare(ATTEMPT, message, steward, request, initial=none)
        self.declare(ATTEMPT, "preempt", steward, request, initial=none)

    def specification(self):
        for request in REQUESTS:
            self._change_view(request)
            self._finish(request)
            for steward in STEWARDS:
                self._entry_receives(steward, request)
                self._steward_receives(steward, request)
                self._steward_decides(steward, request)
        for steward in STEWARDS:
            self._restart(steward)
        return Specification(
            name="scheduling and tier order",
            domains_by_variable=self.domains_by_variable,
            actions=self.actions,
            initial=self.initial,
            properties_by_name=self._properties(),
            lemmas=lemmas(self),
            witnesses_by_name=self._witnesses(),
            limits_by_name=self._limits(),
        )

    # The entry.

    def _change_view(self, request):
        """The entry sees another steward: it frees what the old one holds and asks the new one."""
        v = self.v
        for before, after in (STEWARDS, STEWARDS[::-1]):
            changes = {
                variable_name("view", request): VIEW[after],
                "views_differed": TRUE,
                variable_name("returned", before, request): v("attempt", request),
            }
            self.act("change_view", [v("view", request) == VIEW[before]], changes, request=request, to=after)

    def _finish(self, request):
        v = self.v
        changes = {
            variable_name("state", request): STATE["finished"],
            variable_name("runs", request): _fewer(v("runs", request)),
            **self._give_back(request),
        }
        self.act("finish", [v("state", request) == STATE["dispatched"]], changes, request=request)

    def _give_back(self, request):
        """Tell the steward of the present view that the run of this attempt ended."""
        v = self.v
        changes = {}
        for steward in STEWARDS:
            mine = v("view", request) == VIEW[steward]
            old = v("returned", steward, request)
            changes[variable_name("returned", steward, request)] = z3.If(mine, v("attempt", request), old)
        return changes

    def _entry_receives(self, steward, request):
        v = self.v
        state, attempt = v("state", request), v("attempt", request)
        queued = state == STATE["queued"]
        asks = [queued, v("view", request) == VIEW[steward]]
        ask = {variable_name("ask", steward, request): attempt}
        self.act("ask", asks, ask, steward=steward, request=request)
        came = v("granted", steward, request) != ATTEMPT["a0"]
        fits = v("granted", steward, request) == attempt if self.keeps("attempt") else TRUE
        takes = queued if self.keeps("queued_only") else TRUE
        dispatched = {
            variable_name("state", request): STATE["dispatched"],
            variable_name("runs", request): _more(v("runs", request)),
            variable_name("dispatches", request): _more(v("dispatches", request)),
        }
        self.act("take_grant", [came, fits, takes], dispatched, steward=steward, request=request)
        answers = [queued, v("refused", steward, request) == attempt]
        refused = {variable_name("state", request): STATE["refused"]}
        self.act("take_refusal", answers, refused, steward=steward, request=request)
        told = [state == STATE["dispatched"], v("preempt", steward, request) == attempt]
        room = attempt != ATTEMPT[LAST_ATTEMPT]
        may_yield = request in REPEATABLE or not self.keeps("preempt_repeatable_only")
        again = {
            variable_name("state", request): STATE["queued"],
            variable_name("runs", request): _fewer(v("runs", request)),
            variable_name("attempt", request): attempt + 1,
            **self._give_back(request),
        }
        if may_yield:
            self.act("take_preempt", [*told, room], again, steward=steward, request=request)

    # The steward.

    def _steward_receives(self, steward, request):
        v = self.v
        held, ask = variable_name("held", steward, request), v("ask", steward, request)
        ended = v("ended", steward, request)
        # What gave a place back was sent before the next ask on the same link.
        first = v("returned", steward, request) == ATTEMPT["a0"]
        new = [ask != ATTEMPT["a0"], first, v("held", steward, request) == HELD["none"]]
        if self.keeps("ended_asks"):
            new.append(z3.ULT(ended, ask))
        wait = {held: HELD["waiting"], variable_name("held_attempt", steward, request): ask}
        self.act("hold_ask", new, wait, steward=steward, request=request)
        again = [v("held", steward, request) == HELD["granted"], ask == v("held_attempt", steward, request)]
        repeat = {variable_name("granted", steward, request): ask}
        self.act("grant_again", again, repeat, steward=steward, request=request)
        lower = [z3.Not(self._knows_lower(steward, request))] if self.keeps("lower_first") else []
        settled = {
            variable_name("refused", steward, request): ask,
            variable_name("ended", steward, request): ask,
            "shed": z3.Or(v("shed"), self._knows_lower(steward, request)),
            "shed_unseen": z3.Or(v("shed_unseen"), self._lower_runs(request)),
        }
        self.act("refuse", [*new, *lower], settled, steward=steward, request=request)
        returned = v("returned", steward, request)
        freed = {
            held: HELD["none"],
            variable_name("ended", steward, request): z3.If(z3.ULT(ended, returned), returned, ended),
            variable_name("returned", steward, request): ATTEMPT["a0"],
        }
        self.act("free_place", [returned != ATTEMPT["a0"]], freed, steward=steward, request=request)

    def _steward_decides(self, steward, request):
        v = self.v
        waiting = v("held", steward, request) == HELD["waiting"]
        free = all_of(v("held", steward, other) != HELD["granted"] for other in REQUESTS)
        higher = [other for other in REQUESTS if TIER_BY_REQUEST[other] < TIER_BY_REQUEST[request]]
        higher_waits = any_of(v("held", steward, other) == HELD["waiting"] for other in higher)
        guards = [waiting]
        if self.keeps("exact_account"):
            guards.append(free)
        if self.keeps("highest_first"):
            guards.append(z3.Not(higher_waits))
        grant = {
            variable_name("held", steward, request): HELD["granted"],
            variable_name("granted", steward, request): v("held_attempt", steward, request),
            "passed_over": z3.Or(v("passed_over"), higher_waits),
        }
        self.act("grant", guards, grant, steward=steward, request=request)
        self._expire(steward, request)
        if request in REPEATABLE:
            self._preempt(steward, request, higher_waits)
        else:
            # The steward may hold an older declaration, by which the run could be repeated.
            stray = {variable_name("preempt", steward, request): v("attempt", request)}
            dispatched = v("state", request) == STATE["dispatched"]
            self.act("stray_preempt", [dispatched], {**stray, "views_differed": TRUE}, steward=steward, request=request)

    def _expire(self, steward, request):
        """The request can no longer be finished in time, so its wait ends."""
        v = self.v
        unasked = any_of(
            z3.And(
                v("held", steward, other) == HELD["granted"],
                v("preempt", steward, other) != v("held_attempt", steward, other),
            )
            for other in REPEATABLE
            if TIER_BY_REQUEST[other] > TIER_BY_REQUEST[request]
        )
        guards = [v("held", steward, request) == HELD["waiting"]]
        if self.keeps("yield_first"):
            guards.append(z3.Not(unasked))
        attempt = v("held_attempt", steward, request)
        changes = {
            variable_name("held", steward, request): HELD["none"],
            variable_name("refused", steward, request): attempt,
            variable_name("ended", steward, request): attempt,
            "expired_early": z3.Or(v("expired_early"), unasked),
        }
        self.act("expire", guards, changes, steward=steward, request=request)

    def _preempt(self, steward, request, higher_waits):
        v = self.v
        granted = v("held", steward, request) == HELD["granted"]
        preempt = {variable_name("preempt", steward, request): v("held_attempt", steward, request)}
        if not self.keeps("place_until_ended"):
            preempt[variable_name("held", steward, request)] = HELD["none"]
        self.act("preempt", [granted, higher_waits], preempt, steward=steward, request=request)

    def _knows_lower(self, steward, request):
        """Whether lower work that may be repeated waits or runs, as known to the steward."""
        lower = [other for other in REPEATABLE if TIER_BY_REQUEST[other] > TIER_BY_REQUEST[request]]
        return any_of(self.v("held", steward, other) != HELD["none"] for other in lower)

    def _lower_runs(self, request):
        """Whether lower work that may be repeated truly runs, known or not."""
        lower = [other for other in REPEATABLE if TIER_BY_REQUEST[other] > TIER_BY_REQUEST[request]]
        return any_of(self.v("state", other) == STATE["dispatched"] for other in lower)

    def _restart(self, steward):
        """The steward's router dies and another life of it knows nothing."""
        changes = {"views_differed": TRUE}
        for request in REQUESTS:
            changes[variable_name("held", steward, request)] = HELD["none"]
            changes[variable_name("ended", steward, request)] = ATTEMPT["a0"]
            for message in ("ask", "granted", "refused", "returned", "preempt"):
                changes[variable_name(message, steward, request)] = ATTEMPT["a0"]
        self.act("restart", [], changes, steward=steward)

    # What must hold.

    def _properties(self):
        v = self.v
        running = [v("runs", request) != COUNT["none"] for request in REQUESTS]
        one_run = []
        for request in REQUESTS:
            is_dispatched = v("state", request) == STATE["dispatched"]
            one_run.append(v("runs", request) == z3.If(is_dispatched, COUNT["one"], COUNT["none"]))
        returned = []
        for request in REQUESTS:
            over = z3.Or(v("state", request) == STATE["finished"], v("state", request) == STATE["refused"])
            kept = z3.And(v("held", "s0", request) != HELD["none"], v("returned", "s0", request) == ATTEMPT["a0"])
            returned.append(z3.Not(z3.And(over, kept)))
        return {
            ONE_RUN: all_of(one_run),
            NOT_REPEATED: v("dispatches", FIXED) != COUNT["more"],
            TIER_ORDER: z3.Not(v("shed")),
            EXPIRY: z3.Not(v("expired_early")),
            GRANT_ORDER: z3.Not(v("passed_over")),
            CAPACITY: z3.Or(v("views_differed"), at_most_one(running)),
            RETURNED: z3.Or(v("views_differed"), all_of(returned)),
        }

    def _witnesses(self):
        v = self.v
        preempted = z3.And(v("state", HIGH) == STATE["finished"], v("dispatches", LOW) == COUNT["more"])
        doubled = z3.And(v("held", "s0", LOW) == HELD["granted"], v("held", "s1", LOW) == HELD["granted"])
        shed = v("state", LOW) == STATE["refused"]
        return {
            "a low run is taken back for a high tier and runs again": preempted,
            "two stewards grant the same request": doubled,
            "a low tier is refused": shed,
        }

    def _limits(self):
        v = self.v
        running = [v("runs", request) != COUNT["none"] for request in REQUESTS]
        return {
            "the place holds one run also while views differ": at_most_one(running),
            "a higher tier is not refused while lower work runs that the steward does not know": z3.Not(
                v("shed_unseen")
            ),
        }


def _more(count):
    return z3.If(count == COUNT["none"], COUNT["one"], COUNT["more"])


def _fewer(count):
    return z3.If(count == COUNT["more"], COUNT["one"], COUNT["none"])
