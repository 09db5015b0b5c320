"""Relayed freshness: a key is revoked while routers read the store, query each other, and pause.

A router may use a key only while it has proof that it would know of a revocation: its own read of
the store, or the report of a router that has such proof. Time advances in ticks for all routers
together; between two ticks any number of actions may happen, which covers slow answers and paused
processes. The same rule decides whether a router accepts another's list of engines.
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
    variable_name,
)

ROUTERS = range(2)
LIMIT = 3
"""Ticks after which a revoked key must not admit any run."""
TICKS = Domain(*(f"t{number}" for number in range(LIMIT + 2)))
"""A saturating count of ticks: the last value stands for all higher ones."""
READ = Domain("idle", "begun", "answered")
QUERY = Domain("idle", "sent", "answered")

NOTHING_LATE = "a revoked key admits no run after the limit"

SAFEGUARDS = {
    "limit_checked": Safeguard(
        rule="a key is used only while its proof is younger than the limit", breaks=NOTHING_LATE
    ),
    "read_counts_from_its_start": Safeguard(
        rule="a read proves what held when it began, however late its answer arrives", breaks=NOTHING_LATE
    ),
    "transit_counts": Safeguard(
        rule="the transit time of a router's report counts towards its age", breaks=NOTHING_LATE
    ),
    "age_is_relayed": Safeguard(
        rule="a router's report is as old as the proof that it is based on", breaks=NOTHING_LATE
    ),
    "same_knowledge_only": Safeguard(
        rule="a router's report proves only the configuration that it refers to", breaks=NOTHING_LATE
    ),
    "pauses_count": Safeguard(rule="proofs age while their router is suspended", breaks=NOTHING_LATE),
    "restart_forgets": Safeguard(rule="a router has no proof when it starts", breaks=NOTHING_LATE),
}


def specification(*, without=""):
    """Build the specification; ``without`` names a safeguard to leave out of a mutant."""
    return _Freshness(without=without).specification()


class _Freshness(Builder):
    """Builder of the specification of relayed freshness."""

    def __init__(self, *, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.declare(TRUTH, "revoked", initial=FALSE)
        self.declare(TICKS, "since", initial=TICKS["t0"])
        self.declare(TRUTH, "ran_late", initial=FALSE)
        self.declare(TRUTH, "ran_after_end", initial=FALSE)
        for router in ROUTERS:
            self.declare(TRUTH, "knows", router, initial=FALSE)
            self.declare(TICKS, "age", router, initial=_max_ticks())
            self.declare(TRUTH, "has_read", router, initial=FALSE)
            self.declare(READ, "read", router, initial=READ["idle"])
            self.declare(TICKS, "read_for", router, initial=TICKS["t0"])
            self.declare(TRUTH, "read_revoked", router, initial=FALSE)
            self.declare(QUERY, "query", router, initial=QUERY["idle"])
            self.declare(TICKS, "query_age", router, initial=TICKS["t0"])
            self.declare(TRUTH, "reported", router, initial=FALSE)
            self.declare(TICKS, "reported_age", router, initial=TICKS["t0"])

    def specification(self):
        self.act("revoke", [z3.Not(self.v("revoked"))], {"revoked": TRUE, "since": TICKS["t0"]})
        self._time_actions()
        for router in ROUTERS:
            self._read_actions(router)
            self._query_actions(router)
            self._key_actions(router)
        return Specification(
            name="relayed freshness",
            domains_by_variable=self.domains_by_variable,
            actions=self.actions,
            initial=self.initial,
            properties_by_name={NOTHING_LATE: z3.Not(self.v("ran_late"))},
            lemmas=self._lemmas(),
            witnesses_by_name=self._witnesses(),
            limits_by_name={"a revoked key admits no run from its revocation on": z3.Not(self.v("ran_after_end"))},
        )

    def _time_actions(self):
        changes = {"since": self._older("since")}
        for router in ROUTERS:
            for name in ("age", "read_for", "query_age"):
                changes[variable_name(name, router)] = self._older(name, router)
        self.act("tick", [], changes)
        if not self.keeps("pauses_count"):
            # With a clock that stops while the VM is suspended, the proof of its router does not age.
            for router in ROUTERS:
                paused = {name: term for name, term in changes.items() if name != variable_name("age", router)}
                self.act("tick_suspended", [], paused, router=router)

    def _read_actions(self, router):
        v = self.v
        read = variable_name("read", router)
        begun = {read: READ["begun"], variable_name("read_for", router): TICKS["t0"]}
        self.act("begin_read", [v("read", router) == READ["idle"]], begun, router=router)
        # The answer carries what held when the store answered, and may arrive much later.
        answered = {read: READ["answered"], variable_name("read_revoked", router): v("revoked")}
        self.act("answer_read", [v("read", router) == READ["begun"]], answered, router=router)
        proved = v("read_for", router) if self.keeps("read_counts_from_its_start") else TICKS["t0"]
        ended = {
            read: READ["idle"],
            variable_name("knows", router): z3.Or(v("knows", router), v("read_revoked", router)),
            variable_name("age", router): _younger(v("age", router), proved),
            variable_name("has_read", router): TRUE,
        }
        self.act("end_read", [v("read", router) == READ["answered"]], ended, router=router)

    def _query_actions(self, router):
        v = self.v
        peer = 1 - router
        query = variable_name("query", router)
        sent = {query: QUERY["sent"], variable_name("query_age", router): TICKS["t0"]}
        self.act("query", [v("query", router) == QUERY["idle"]], sent, router=router)
        answered = {
            query: QUERY["answered"],
            variable_name("reported", router): v("knows", peer),
            variable_name("reported_age", router): v("age", peer) if self.keeps("age_is_relayed") else TICKS["t0"],
        }
        self.act("answer", [v("query", router) == QUERY["sent"]], answered, router=router)
        self.act("accept", [v("query", router) == QUERY["answered"]], self._accepted_report(router), router=router)

    def _accepted_report(self, router):
        v = self.v
        age = v("reported_age", router)
        if self.keeps("transit_counts"):
            age = _sum(age, v("query_age", router))
        is_same = v("reported", router) == v("knows", router)
        believed = is_same if self.keeps("same_knowledge_only") else TRUE
        younger = _younger(v("age", router), age)
        return {
            variable_name("query", router): QUERY["idle"],
            variable_name("age", router): z3.If(believed, younger, v("age", router)),
        }

    def _key_actions(self, router):
        v = self.v
        is_fresh = z3.ULT(v("age", router), TICKS[f"t{LIMIT}"])
        guards = [z3.Not(v("knows", router))]
        if self.keeps("limit_checked"):
            guards.append(is_fresh)
        is_late = z3.And(v("revoked"), z3.UGE(v("since"), TICKS[f"t{LIMIT}"]))
        ran = {
            "ran_late": z3.Or(v("ran_late"), is_late),
            "ran_after_end": z3.Or(v("ran_after_end"), v("revoked")),
        }
        self.act("run", guards, ran, router=router)
        fresh_start = {
            variable_name("knows", router): FALSE,
            variable_name("has_read", router): FALSE,
            variable_name("read", router): READ["idle"],
            variable_name("query", router): QUERY["idle"],
        }
        if self.keeps("restart_forgets"):
            fresh_start[variable_name("age", router)] = _max_ticks()
        self.act("restart", [], fresh_start, router=router)

    def _older(self, name, *indices):
        term = self.v(name, *indices)
        return z3.If(term == _max_ticks(), term, term + 1)

    def _includes_revocation(self, knows, age):
        """Whether knowledge whose proof has this age includes any revocation before the proof."""
        return z3.Or(z3.Not(self.v("revoked")), knows, z3.ULE(self.v("since"), age))

    def _lemmas(self):
        v = self.v
        lemmas = []
        for router in ROUTERS:
            lemmas.append(self._includes_revocation(v("knows", router), v("age", router)))
            reading = self._includes_revocation(v("read_revoked", router), v("read_for", router))
            lemmas.append(z3.Implies(v("read", router) == READ["answered"], reading))
            reported = self._includes_revocation(
                v("reported", router), _sum(v("reported_age", router), v("query_age", router))
            )
            lemmas.append(z3.Implies(v("query", router) == QUERY["answered"], reported))
        return lemmas

    def _witnesses(self):
        v = self.v
        by_report_alone = z3.And(z3.Not(v("has_read", 0)), z3.ULT(v("age", 0), TICKS[f"t{LIMIT}"]))
        learned = z3.And(v("revoked"), v("knows", 0), v("knows", 1))
        aged = all_of([v("has_read", 0), v("age", 0) == _max_ticks(), z3.Not(v("knows", 0))])
        return {
            "a router that never reads continues on another router's report": by_report_alone,
            "both routers learn that the key was revoked": learned,
            "a router that receives no proof for a long time uses no key": aged,
        }


def _max_ticks():
    return TICKS[TICKS.names[-1]]


def _younger(one, other):
    return z3.If(z3.ULE(one, other), one, other)


def _sum(one, other):
    """Saturating sum of two counts of ticks."""
    total = z3.ZeroExt(1, one) + z3.ZeroExt(1, other)
    highest = z3.ZeroExt(1, _max_ticks())
    return z3.If(z3.UGE(total, highest), _max_ticks(), z3.Extract(one.size() - 1, 0, total))
