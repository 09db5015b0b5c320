"""Scheduling: two routers that may both act as scheduler of one cell with one slot.

Three requests: one of a high tier, one of a low tier that may be repeated, and one of the low
tier that may not. Each entry has its own view of which router is the scheduler, and may change
it at any time. Messages to and from schedulers may be delayed, duplicated or lost; only messages
that release a slot arrive in order, because they share a link with what they follow.
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
    SCHEDULERS,
    STATE,
    TIER_BY_REQUEST,
    VIEW,
)

ONE_RUN = "a request has one run at a time, and none once it is refused"
NOT_REPEATED = "a request that may not be repeated is dispatched once"
TIER_ORDER = "a higher tier is not refused while the scheduler knows lower repeatable work"
EXPIRY = "no wait ends while known lower repeatable work runs that was not asked to yield"
GRANT_ORDER = "a slot goes to the highest tier that waits"
RETURNED = "while views agree no slot is kept for a request that is over"
CAPACITY = "while views agree the slot holds one run"

SAFEGUARDS = {
    "queued_only": Safeguard(rule="a grant is taken by an entry only for a request that waits", breaks=ONE_RUN),
    "attempt": Safeguard(rule="a grant counts only for the request message that it answers", breaks=CAPACITY),
    "preempt_repeatable_only": Safeguard(
        rule="a run is preempted only if the request may be repeated", breaks=NOT_REPEATED
    ),
    "lower_first": Safeguard(
        rule="lower repeatable work is preempted or refused before a higher tier is refused", breaks=TIER_ORDER
    ),
    "yield_first": Safeguard(rule="a wait expires only after lower repeatable runs were asked to yield", breaks=EXPIRY),
    "highest_first": Safeguard(
        rule="among the requests that wait the highest tier is granted first", breaks=GRANT_ORDER
    ),
    "exact_account": Safeguard(
        rule="a scheduler places runs only in slots that are free in its account", breaks=CAPACITY
    ),
    "slot_until_ended": Safeguard(
        rule="a slot is free when its run has ended, not when the run was preempted", breaks=CAPACITY
    ),
    "ended_asks": Safeguard(rule="a late duplicate of a settled request message is not served again", breaks=RETURNED),
}


def specification(*, without=""):
    """Build the specification; ``without`` names a safeguard to leave out of a mutant."""
    return _Scheduling(without=without).specification()


class _Scheduling(Builder):
    """Builder of the specification of scheduling."""

    def __init__(self, *, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.declare(TRUTH, "views_differed", initial=FALSE)
        self.declare(TRUTH, "shed", initial=FALSE)
        self.declare(TRUTH, "higher_tier_skipped", initial=FALSE)
        self.declare(TRUTH, "shed_unseen", initial=FALSE)
        self.declare(TRUTH, "expired_early", initial=FALSE)
        for request in REQUESTS:
            self.declare(STATE, "state", request, initial=STATE["queued"])
            self.declare(ATTEMPT, "attempt", request, initial=ATTEMPT["a1"])
            self.declare(COUNT, "runs", request, initial=COUNT["none"])
            self.declare(COUNT, "dispatches", request, initial=COUNT["none"])
            self.declare(VIEW, "view", request, initial=VIEW["s0"])
        for scheduler in SCHEDULERS:
            for request in REQUESTS:
                self._declare_pair(scheduler, request)

    def _declare_pair(self, scheduler, request):
        """Declare a scheduler's state of a request, and the last message of each kind between them."""
        none = ATTEMPT["a0"]
        self.declare(HELD, "held", scheduler, request, initial=HELD["none"])
        self.declare(ATTEMPT, "held_attempt", scheduler, request, initial=none)
        self.declare(ATTEMPT, "ended", scheduler, request, initial=none)
        for message in ("ask", "granted", "refused", "returned"):
            self.declare(ATTEMPT, message, scheduler, request, initial=none)
        self.declare(ATTEMPT, "preempt", scheduler, request, initial=none)

    def specification(self):
        for request in REQUESTS:
            self._change_view(request)
            self._finish(request)
            for scheduler in SCHEDULERS:
                self._entry_receives(scheduler, request)
                self._scheduler_receives(scheduler, request)
                self._scheduler_decides(scheduler, request)
        for scheduler in SCHEDULERS:
            self._restart(scheduler)
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

    # Actions of the entry.

    def _change_view(self, request):
        """The entry's view changes: it releases the slot at the old scheduler and may then request one from the new."""
        v = self.v
        for before, after in (SCHEDULERS, SCHEDULERS[::-1]):
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
            **self._release_slot(request),
        }
        self.act("finish", [v("state", request) == STATE["dispatched"]], changes, request=request)

    def _release_slot(self, request):
        """Notify the scheduler in the current view that the run of this attempt ended."""
        v = self.v
        changes = {}
        for scheduler in SCHEDULERS:
            mine = v("view", request) == VIEW[scheduler]
            old = v("returned", scheduler, request)
            changes[variable_name("returned", scheduler, request)] = z3.If(mine, v("attempt", request), old)
        return changes

    def _entry_receives(self, scheduler, request):
        v = self.v
        state, attempt = v("state", request), v("attempt", request)
        queued = state == STATE["queued"]
        asks = [queued, v("view", request) == VIEW[scheduler]]
        ask = {variable_name("ask", scheduler, request): attempt}
        self.act("ask", asks, ask, scheduler=scheduler, request=request)
        came = v("granted", scheduler, request) != ATTEMPT["a0"]
        fits = v("granted", scheduler, request) == attempt if self.keeps("attempt") else TRUE
        takes = queued if self.keeps("queued_only") else TRUE
        dispatched = {
            variable_name("state", request): STATE["dispatched"],
            variable_name("runs", request): _more(v("runs", request)),
            variable_name("dispatches", request): _more(v("dispatches", request)),
        }
        self.act("take_grant", [came, fits, takes], dispatched, scheduler=scheduler, request=request)
        answers = [queued, v("refused", scheduler, request) == attempt]
        refused = {variable_name("state", request): STATE["refused"]}
        self.act("take_refusal", answers, refused, scheduler=scheduler, request=request)
        preempted = [state == STATE["dispatched"], v("preempt", scheduler, request) == attempt]
        has_next_attempt = attempt != ATTEMPT[LAST_ATTEMPT]
        may_yield = request in REPEATABLE or not self.keeps("preempt_repeatable_only")
        again = {
            variable_name("state", request): STATE["queued"],
            variable_name("runs", request): _fewer(v("runs", request)),
            variable_name("attempt", request): attempt + 1,
            **self._release_slot(request),
        }
        if may_yield:
            self.act("take_preempt", [*preempted, has_next_attempt], again, scheduler=scheduler, request=request)

    # Actions of the scheduler.

    def _scheduler_receives(self, scheduler, request):
        v = self.v
        held, ask = variable_name("held", scheduler, request), v("ask", scheduler, request)
        ended = v("ended", scheduler, request)
        # The message that released the slot was sent on the same link before the next request.
        first = v("returned", scheduler, request) == ATTEMPT["a0"]
        new = [ask != ATTEMPT["a0"], first, v("held", scheduler, request) == HELD["none"]]
        if self.keeps("ended_asks"):
            new.append(z3.ULT(ended, ask))
        wait = {held: HELD["waiting"], variable_name("held_attempt", scheduler, request): ask}
        self.act("hold_ask", new, wait, scheduler=scheduler, request=request)
        again = [v("held", scheduler, request) == HELD["granted"], ask == v("held_attempt", scheduler, request)]
        repeat = {variable_name("granted", scheduler, request): ask}
        self.act("grant_again", again, repeat, scheduler=scheduler, request=request)
        lower = [z3.Not(self._knows_lower(scheduler, request))] if self.keeps("lower_first") else []
        settled = {
            variable_name("refused", scheduler, request): ask,
            variable_name("ended", scheduler, request): ask,
            "shed": z3.Or(v("shed"), self._knows_lower(scheduler, request)),
            "shed_unseen": z3.Or(v("shed_unseen"), self._lower_runs(request)),
        }
        self.act("refuse", [*new, *lower], settled, scheduler=scheduler, request=request)
        returned = v("returned", scheduler, request)
        freed = {
            held: HELD["none"],
            variable_name("ended", scheduler, request): z3.If(z3.ULT(ended, returned), returned, ended),
            variable_name("returned", scheduler, request): ATTEMPT["a0"],
        }
        self.act("free_slot", [returned != ATTEMPT["a0"]], freed, scheduler=scheduler, request=request)

    def _scheduler_decides(self, scheduler, request):
        v = self.v
        waiting = v("held", scheduler, request) == HELD["waiting"]
        free = all_of(v("held", scheduler, other) != HELD["granted"] for other in REQUESTS)
        higher = [other for other in REQUESTS if TIER_BY_REQUEST[other] < TIER_BY_REQUEST[request]]
        higher_waits = any_of(v("held", scheduler, other) == HELD["waiting"] for other in higher)
        guards = [waiting]
        if self.keeps("exact_account"):
            guards.append(free)
        if self.keeps("highest_first"):
            guards.append(z3.Not(higher_waits))
        grant = {
            variable_name("held", scheduler, request): HELD["granted"],
            variable_name("granted", scheduler, request): v("held_attempt", scheduler, request),
            "higher_tier_skipped": z3.Or(v("higher_tier_skipped"), higher_waits),
        }
        self.act("grant", guards, grant, scheduler=scheduler, request=request)
        self._expire(scheduler, request)
        if request in REPEATABLE:
            self._preempt(scheduler, request, higher_waits)
        else:
            # The scheduler may have an older declaration, in which the request may be repeated.
            stray = {variable_name("preempt", scheduler, request): v("attempt", request)}
            dispatched = v("state", request) == STATE["dispatched"]
            self.act(
                "stray_preempt", [dispatched], {**stray, "views_differed": TRUE}, scheduler=scheduler, request=request
            )

    def _expire(self, scheduler, request):
        """The request can no longer finish in time, so the scheduler ends its wait."""
        v = self.v
        unasked = any_of(
            z3.And(
                v("held", scheduler, other) == HELD["granted"],
                v("preempt", scheduler, other) != v("held_attempt", scheduler, other),
            )
            for other in REPEATABLE
            if TIER_BY_REQUEST[other] > TIER_BY_REQUEST[request]
        )
        guards = [v("held", scheduler, request) == HELD["waiting"]]
        if self.keeps("yield_first"):
            guards.append(z3.Not(unasked))
        attempt = v("held_attempt", scheduler, request)
        changes = {
            variable_name("held", scheduler, request): HELD["none"],
            variable_name("refused", scheduler, request): attempt,
            variable_name("ended", scheduler, request): attempt,
            "expired_early": z3.Or(v("expired_early"), unasked),
        }
        self.act("expire", guards, changes, scheduler=scheduler, request=request)

    def _preempt(self, scheduler, request, higher_waits):
        v = self.v
        granted = v("held", scheduler, request) == HELD["granted"]
        preempt = {variable_name("preempt", scheduler, request): v("held_attempt", scheduler, request)}
        if not self.keeps("slot_until_ended"):
            preempt[variable_name("held", scheduler, request)] = HELD["none"]
        self.act("preempt", [granted, higher_waits], preempt, scheduler=scheduler, request=request)

    def _knows_lower(self, scheduler, request):
        """Whether the scheduler knows of repeatable work of a lower tier that waits or runs."""
        lower = [other for other in REPEATABLE if TIER_BY_REQUEST[other] > TIER_BY_REQUEST[request]]
        return any_of(self.v("held", scheduler, other) != HELD["none"] for other in lower)

    def _lower_runs(self, request):
        """Whether repeatable work of a lower tier runs, known to the scheduler or not."""
        lower = [other for other in REPEATABLE if TIER_BY_REQUEST[other] > TIER_BY_REQUEST[request]]
        return any_of(self.v("state", other) == STATE["dispatched"] for other in lower)

    def _restart(self, scheduler):
        """The scheduler's router crashes and restarts with no state."""
        changes = {"views_differed": TRUE}
        for request in REQUESTS:
            changes[variable_name("held", scheduler, request)] = HELD["none"]
            changes[variable_name("ended", scheduler, request)] = ATTEMPT["a0"]
            for message in ("ask", "granted", "refused", "returned", "preempt"):
                changes[variable_name(message, scheduler, request)] = ATTEMPT["a0"]
        self.act("restart", [], changes, scheduler=scheduler)

    # Properties, witnesses and limits.

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
            GRANT_ORDER: z3.Not(v("higher_tier_skipped")),
            CAPACITY: z3.Or(v("views_differed"), at_most_one(running)),
            RETURNED: z3.Or(v("views_differed"), all_of(returned)),
        }

    def _witnesses(self):
        v = self.v
        preempted = z3.And(v("state", HIGH) == STATE["finished"], v("dispatches", LOW) == COUNT["more"])
        doubled = z3.And(v("held", "s0", LOW) == HELD["granted"], v("held", "s1", LOW) == HELD["granted"])
        shed = v("state", LOW) == STATE["refused"]
        return {
            "a low-tier run is preempted for a high tier and runs again": preempted,
            "two schedulers grant the same request": doubled,
            "a low tier is refused": shed,
        }

    def _limits(self):
        v = self.v
        running = [v("runs", request) != COUNT["none"] for request in REQUESTS]
        return {
            "the slot holds one run also while views differ": at_most_one(running),
            "a higher tier is not refused while lower work runs that the scheduler does not know": z3.Not(
                v("shed_unseen")
            ),
        }


def _more(count):
    return z3.If(count == COUNT["none"], COUNT["one"], COUNT["more"])


def _fewer(count):
    return z3.If(count == COUNT["more"], COUNT["one"], COUNT["none"])
