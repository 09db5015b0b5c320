"""Drain and leaving: no new work on a leaving engine, and no request in flight is cut.

One router drains while another keeps serving; requests alternate between them. One engine is
marked as leaving by two sources that may disagree temporarily: the declaration and
the platform's list, which lags.
"""

import z3

from wagtailtrestle.spec.language import (
    FALSE,
    TRUE,
    TRUTH,
    Builder,
    Domain,
    Safeguard,
    Specification,
    all_of,
    any_of,
    variable_name,
)

LEAVING, STAYING = "leaving", "staying"
ENGINES = (LEAVING, STAYING)
# draining: the balancer may still send requests; closing: intake is closed; drained: no request
# was seen in flight; ended: the process has exited.
ROUTER = Domain("serving", "draining", "closing", "drained", "ended")
REQUEST = Domain("absent", "queued", "dispatched", "finished", "refused", "cut")
ENGINE = Domain("none", *ENGINES)

NO_NEW_WORK = "no grant on an engine that any source marks as leaving"
NOTHING_CUT = "nothing in flight is cut"
NO_GRANT_AFTER_HANDOVER = "a draining router grants nothing"
REFUSED_NOT_RUN = "what a closing router refuses was not run"

SAFEGUARDS = {
    "leaving_checked": Safeguard(rule="a grant goes only to an engine that is not leaving", breaks=NO_NEW_WORK),
    "any_source": Safeguard(rule="a mark stays until the source that set it has withdrawn it", breaks=NO_NEW_WORK),
    "waits_for_flight": Safeguard(rule="a router exits only after its last request has ended", breaks=NOTHING_CUT),
    "intake_closed_first": Safeguard(
        rule="intake is closed before the router checks whether requests are in flight", breaks=NOTHING_CUT
    ),
    "stops_granting": Safeguard(rule="a draining router's scheduler stops granting", breaks=NO_GRANT_AFTER_HANDOVER),
    "refused_unrun": Safeguard(
        rule="a closing router refuses only requests that it has not accepted", breaks=REFUSED_NOT_RUN
    ),
}


def specification(*, requests=2, without=""):
    """Build the specification; ``without`` names a safeguard to leave out of a mutant."""
    return _Draining(requests=requests, without=without).specification()


class _Draining(Builder):
    """Builder of the specification of drains."""

    def __init__(self, *, requests, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.requests = range(requests)
        self.declare(ROUTER, "router", initial=ROUTER["serving"])
        self.declare(TRUTH, "scheduler_here", initial=TRUE)
        self.declare(TRUTH, "declared_leaving", initial=FALSE)
        self.declare(TRUTH, "listed_leaving", initial=FALSE)
        self.declare(TRUTH, "believed_leaving", initial=FALSE)
        self.declare(TRUTH, "granted_to_leaving", initial=FALSE)
        self.declare(TRUTH, "granted_after_handover", initial=FALSE)
        for request in self.requests:
            self.declare(REQUEST, "request", request, initial=REQUEST["absent"])
            self.declare(ENGINE, "engine", request, initial=ENGINE["none"])
            self.declare(TRUTH, "ran", request, initial=FALSE)

    def entered_here(self, request):
        """Whether the request entered at the draining router: the even ones do."""
        return request % 2 == 0

    def specification(self):
        self._source_actions()
        self._router_actions()
        for request in self.requests:
            self._request_actions(request)
        return Specification(
            name="drain and leaving",
            domains_by_variable=self.domains_by_variable,
            actions=self.actions,
            initial=self.initial,
            properties_by_name=self._properties(),
            lemmas=self._lemmas(),
            witnesses_by_name=self._witnesses(),
        )

    def _source_actions(self):
        v = self.v
        for source in ("declared_leaving", "listed_leaving"):
            other = "listed_leaving" if source == "declared_leaving" else "declared_leaving"
            # Without the safeguard the last report wins.
            unmarked = v(other) if self.keeps("any_source") else FALSE
            name = source.partition("_")[0]
            self.act(f"{name}_mark", [z3.Not(v(source))], {source: TRUE, "believed_leaving": TRUE})
            self.act(f"{name}_unmark", [v(source)], {source: FALSE, "believed_leaving": unmarked})

    def _router_actions(self):
        v = self.v
        is_in = {name: v("router") == ROUTER[name] for name in ROUTER.names}
        self.act("drain", [is_in["serving"]], {"router": ROUTER["draining"]})
        self.act("close_intake", [is_in["draining"]], {"router": ROUTER["closing"]})
        # The other routers learn of the drain later and then take the cell over.
        self.act("hand_over", [z3.Not(is_in["serving"]), v("scheduler_here")], {"scheduler_here": FALSE})
        empty = all_of(z3.Not(self._in_flight(request)) for request in self.requests if self.entered_here(request))
        when = is_in["closing"] if self.keeps("intake_closed_first") else z3.Or(is_in["closing"], is_in["draining"])
        seen_empty = empty if self.keeps("waits_for_flight") else TRUE
        self.act("seen_empty", [when, seen_empty], {"router": ROUTER["drained"]})
        changes = {"router": ROUTER["ended"]}
        for request in self.requests:
            if self.entered_here(request):
                cut = z3.If(self._in_flight(request), REQUEST["cut"], v("request", request))
                changes[variable_name("request", request)] = cut
        self.act("end", [is_in["drained"]], changes)

    def _request_actions(self, request):
        v = self.v
        name, engine = variable_name("request", request), variable_name("engine", request)
        state = v("request", request)
        takes, refuses = self._intake(request)
        self.act("arrive", [state == REQUEST["absent"], takes], {name: REQUEST["queued"]}, request=request)
        arriving = state == REQUEST["absent"]
        if not self.keeps("refused_unrun"):
            arriving = z3.Or(arriving, state == REQUEST["dispatched"])
        self.act("refuse", [arriving, refuses], {name: REQUEST["refused"]}, request=request)
        for target in ENGINES:
            self._grant(request, target)
        running = state == REQUEST["dispatched"]
        finished = {name: REQUEST["finished"], engine: ENGINE["none"]}
        self.act("finish", [running], finished, request=request)

    def _intake(self, request):
        if not self.entered_here(request):
            return TRUE, FALSE
        router = self.v("router")
        open_ = z3.Or(router == ROUTER["serving"], router == ROUTER["draining"])
        closing = z3.Or(router == ROUTER["closing"], router == ROUTER["drained"])
        if self.keeps("intake_closed_first"):
            return open_, closing
        return z3.Or(open_, router == ROUTER["drained"]), closing

    def _grant(self, request, target):
        """The scheduler grants and the entry dispatches; requests of a draining router are granted by another."""
        v = self.v
        state = v("request", request)
        on_leaving = target == LEAVING
        guards = [state == REQUEST["queued"]]
        if on_leaving and self.keeps("leaving_checked"):
            guards.append(z3.Not(v("believed_leaving")))
        drains = v("router") != ROUTER["serving"]
        here = z3.And(v("scheduler_here"), drains)
        if self.keeps("stops_granting"):
            guards.append(z3.Not(here))
        marked = z3.Or(v("declared_leaving"), v("listed_leaving")) if on_leaving else FALSE
        changes = {
            variable_name("request", request): REQUEST["dispatched"],
            variable_name("engine", request): ENGINE[target],
            variable_name("ran", request): TRUE,
            "granted_to_leaving": z3.Or(v("granted_to_leaving"), marked),
            "granted_after_handover": z3.Or(v("granted_after_handover"), here),
        }
        self.act("grant", guards, changes, request=request, engine=target)

    def _in_flight(self, request):
        state = self.v("request", request)
        return z3.Or(state == REQUEST["queued"], state == REQUEST["dispatched"])

    def _properties(self):
        v = self.v
        return {
            NO_NEW_WORK: z3.Not(v("granted_to_leaving")),
            NOTHING_CUT: all_of(v("request", request) != REQUEST["cut"] for request in self.requests),
            NO_GRANT_AFTER_HANDOVER: z3.Not(v("granted_after_handover")),
            REFUSED_NOT_RUN: all_of(
                z3.Implies(v("request", request) == REQUEST["refused"], z3.Not(v("ran", request)))
                for request in self.requests
            ),
        }

    def _lemmas(self):
        v = self.v
        empty = [z3.Not(self._in_flight(request)) for request in self.requests if self.entered_here(request)]
        past = z3.Or(v("router") == ROUTER["drained"], v("router") == ROUTER["ended"])
        lemmas = [
            z3.Implies(past, all_of(empty)),
            v("believed_leaving") == z3.Or(v("declared_leaving"), v("listed_leaving")),
        ]
        for request in self.requests:
            state = v("request", request)
            unrun = any_of([state == REQUEST["absent"], state == REQUEST["queued"]])
            lemmas.append(z3.Implies(unrun, z3.Not(v("ran", request))))
        return lemmas

    def _witnesses(self):
        v = self.v
        late = z3.And(v("router") == ROUTER["draining"], v("request", 0) == REQUEST["dispatched"])
        moved = z3.And(v("router") == ROUTER["ended"], v("request", 0) == REQUEST["finished"])
        spared = z3.And(v("believed_leaving"), v("engine", 0) == ENGINE[STAYING], v("engine", 1) == ENGINE[LEAVING])
        refused = v("request", 0) == REQUEST["refused"]
        return {
            "a request that arrived while the router drained runs": late,
            "a drained router ends after its request": moved,
            "a run continues on a leaving engine while new work goes to another": spared,
            "a closing router refuses": refused,
        }
