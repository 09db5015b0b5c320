"""Configuration: two operators apply concurrently, two routers follow, reads of the store may be stale.

A generation is created by one conditional update. Requests and answers may be lost or delayed.
Reads may return any older generation. Routers restart and load the configuration from the
platform or from a peer.
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

OPERATORS = range(2)
ROUTERS = range(2)
NONE = "none"
OWNER = Domain(NONE, "o0", "o1")
APPLY = Domain("idle", "read", "sent", "unsettled", "ended")
REPORTED = Domain("nothing", "applied", "conflict", "not_done", "unknown")

ACCURATE_ANSWER = "an operator is told the truth"
ONLY_UP = "the accepted generation never goes down"
NO_REVERT = "a router never reverts to a lower generation while it runs"
NO_REVERT_OVER_RESTART = "a confirmed start is never behind a generation from before the restart"
ACCEPTED_ONLY = "only an accepted generation is in force"

SAFEGUARDS = {
    "conditional_update": Safeguard(rule="an update takes effect only on the version it was made from", breaks=ONLY_UP),
    "lost_answer_is_not_done": Safeguard(
        rule="an update without an answer is not taken as refused", breaks=ACCURATE_ANSWER
    ),
    "lost_answer_is_not_success": Safeguard(
        rule="an update without an answer is not taken as successful", breaks=ACCURATE_ANSWER
    ),
    "sent_again": Safeguard(
        rule="not finding one's id is no proof that the update failed; sending the same update again gives it",
        breaks=ACCURATE_ANSWER,
    ),
    "own_id": Safeguard(
        rule="a conflict is decided by the id that is stored with the generation", breaks=ACCURATE_ANSWER
    ),
    "higher_only": Safeguard(rule="a router puts in force only a higher generation", breaks=NO_REVERT),
    "confirmed_start": Safeguard(
        rule="a restarted router proves that its read is the newest", breaks=NO_REVERT_OVER_RESTART
    ),
}


def specification(*, generations=3, without=""):
    """Build the specification; ``without`` names a safeguard to leave out of a mutant."""
    return _Configuring(generations=generations, without=without).specification()


class _Configuring(Builder):
    """Builder of the specification of the configuration."""

    def __init__(self, *, generations, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.generation = Domain(*(f"g{number}" for number in range(generations + 1)))
        self.numbers = range(generations + 1)
        self.declare(self.generation, "accepted", initial=self.g(0))
        self.declare(self.generation, "highest_accepted", initial=self.g(0))
        for number in self.numbers[1:]:
            self.declare(OWNER, "owner", number, initial=OWNER[NONE])
        for operator in OPERATORS:
            self.declare(APPLY, "apply", operator, initial=APPLY["idle"])
            self.declare(self.generation, "base", operator, initial=self.g(0))
            self.declare(REPORTED, "reported", operator, initial=REPORTED["nothing"])
            self.declare(TRUTH, "late", operator, initial=FALSE)
        for router in ROUTERS:
            self.declare(self.generation, "in_force", router, initial=self.g(0))
            self.declare(self.generation, "reached", router, initial=self.g(0))
            self.declare(TRUTH, "reverted", router, initial=FALSE)
            self.declare(TRUTH, "behind", router, initial=FALSE)

    def g(self, number):
        return self.generation[f"g{number}"]

    def specification(self):
        for operator in OPERATORS:
            self._operator_actions(operator)
        for router in ROUTERS:
            self._router_actions(router)
        return Specification(
            name="configuration",
            domains_by_variable=self.domains_by_variable,
            actions=self.actions,
            initial=self.initial,
            properties_by_name=self._properties(),
            lemmas=self._lemmas(),
            witnesses_by_name=self._witnesses(),
            limits_by_name=self._limits(),
        )

    # Actions of one operator's apply.

    def _operator_actions(self, operator):
        v = self.v
        apply, reported = variable_name("apply", operator), variable_name("reported", operator)
        late = variable_name("late", operator)
        is_in = {name: v("apply", operator) == APPLY[name] for name in APPLY.names}
        has_next_generation = v("accepted") != self.g(self.numbers[-1])
        read = {apply: APPLY["read"], variable_name("base", operator): v("accepted")}
        self.act("read_base", [is_in["idle"], has_next_generation], read, operator=operator)
        for number in self.numbers[:-1]:
            stale = {apply: APPLY["read"], variable_name("base", operator): self.g(number)}
            older = [is_in["idle"], z3.ULT(self.g(number), v("accepted"))]
            self.act("read_base_stale", older, stale, operator=operator, generation=number)
        self.act("send", [is_in["read"]], {apply: APPLY["sent"]}, operator=operator)
        in_time = self._in_time(operator)
        put = self._put(operator)
        applied = {apply: APPLY["ended"], reported: REPORTED["applied"]}
        unsettled = {apply: APPLY["unsettled"]}
        if not self.keeps("lost_answer_is_not_done"):
            unsettled = {apply: APPLY["ended"], reported: REPORTED["not_done"]}
        if not self.keeps("lost_answer_is_not_success"):
            unsettled = applied
        self.act("applied", [is_in["sent"], in_time], {**put, **applied}, operator=operator)
        self.act("applied_answer_lost", [is_in["sent"], in_time], {**put, **unsettled}, operator=operator)
        conflict = {apply: APPLY["ended"], reported: REPORTED["conflict"]}
        self.act("conflict", [is_in["sent"], z3.Not(in_time)], conflict, operator=operator)
        self.act("delayed", [is_in["sent"]], {**unsettled, late: TRUE}, operator=operator)
        not_done = {apply: APPLY["ended"], reported: REPORTED["not_done"]}
        self.act("unavailable", [is_in["sent"]], not_done, operator=operator)
        self.act("late_lands", [v("late", operator), in_time], {**put, late: FALSE}, operator=operator)
        self.act("late_refused", [v("late", operator), z3.Not(in_time)], {late: FALSE}, operator=operator)
        self._settle(operator, is_in["unsettled"], in_time, put)

    def _settle(self, operator, unsettled, in_time, put):
        """After a lost answer the operator reads back the stored id, and sends the same update again."""
        apply, reported = variable_name("apply", operator), variable_name("reported", operator)
        mine, others = self._owned_by_self(operator), self._owned_by_others(operator)
        applied = {apply: APPLY["ended"], reported: REPORTED["applied"]}
        conflict = {apply: APPLY["ended"], reported: REPORTED["conflict"]}
        self.act("read_back_own", [unsettled, mine], applied, operator=operator)
        self.act("read_back_other", [unsettled, others], conflict, operator=operator)
        if not self.keeps("sent_again"):
            not_done = {apply: APPLY["ended"], reported: REPORTED["not_done"]}
            self.act("read_back_none", [unsettled, z3.Not(mine), z3.Not(others)], not_done, operator=operator)
        self.act("sent_again_applied", [unsettled, in_time], {**put, **applied}, operator=operator)
        self.act("sent_again_answer_lost", [unsettled, in_time], put, operator=operator)
        if self.keeps("own_id"):
            self.act("sent_again_own", [unsettled, z3.Not(in_time), mine], applied, operator=operator)
            self.act("sent_again_conflict", [unsettled, z3.Not(in_time), others], conflict, operator=operator)
        else:
            self.act("sent_again_conflict", [unsettled, z3.Not(in_time)], conflict, operator=operator)
        unknown = {apply: APPLY["ended"], reported: REPORTED["unknown"]}
        self.act("abandon", [unsettled], unknown, operator=operator)

    def _in_time(self, operator):
        if not self.keeps("conditional_update"):
            return self.v("base", operator) != self.g(self.numbers[-1])
        same = self.v("base", operator) == self.v("accepted")
        return z3.And(same, self.v("accepted") != self.g(self.numbers[-1]))

    def _put(self, operator):
        """The update takes effect: this operator owns the generation after its base."""
        v = self.v
        changes = {"accepted": v("base", operator) + 1}
        raised = z3.ULT(v("highest_accepted"), v("base", operator) + 1)
        changes["highest_accepted"] = z3.If(raised, v("base", operator) + 1, v("highest_accepted"))
        for number in self.numbers[1:]:
            made = v("base", operator) == self.g(number - 1)
            changes[variable_name("owner", number)] = z3.If(made, OWNER[f"o{operator}"], v("owner", number))
        return changes

    def _owned_by_self(self, operator):
        return self._owned_by(operator, lambda owner: owner == OWNER[f"o{operator}"])

    def _owned_by_others(self, operator):
        return self._owned_by(operator, lambda owner: z3.And(owner != OWNER[f"o{operator}"], owner != OWNER[NONE]))

    def _owned_by(self, operator, wanted):
        v = self.v
        return any_of(
            z3.And(v("base", operator) == self.g(number - 1), wanted(v("owner", number))) for number in self.numbers[1:]
        )

    # Actions of one router.

    def _router_actions(self, router):
        v = self.v
        in_force = v("in_force", router)
        began = in_force != self.g(0)
        newest = v("accepted") != self.g(0)
        for number in self.numbers[1:]:
            # A read, a watch event or a peer's text may carry any generation that was ever accepted.
            seen = [z3.ULE(self.g(number), v("accepted"))]
            higher = z3.ULT(in_force, self.g(number)) if self.keeps("higher_only") else TRUE
            self.act(
                "offer", [began, *seen, higher], self._adopt(router, self.g(number)), router=router, generation=number
            )
            self.act(
                "begin_unconfirmed",
                [z3.Not(began), *seen],
                self._adopt(router, self.g(number)),
                router=router,
                generation=number,
            )
            if not self.keeps("confirmed_start"):
                start = self._begin_confirmed(router, self.g(number))
                self.act("begin_confirmed", [z3.Not(began), *seen], start, router=router, generation=number)
        if self.keeps("confirmed_start"):
            start = self._begin_confirmed(router, v("accepted"))
            self.act("begin_confirmed", [z3.Not(began), newest], start, router=router)
        for peer in ROUTERS:
            if peer != router:
                may_begin = [z3.Not(began), v("in_force", peer) != self.g(0)]
                self.act("begin_by_peer", may_begin, self._adopt(router, v("in_force", peer)), router=router, peer=peer)
        self.act("restart", [began], {variable_name("in_force", router): self.g(0)}, router=router)

    def _adopt(self, router, generation):
        v = self.v
        lowered = z3.ULT(generation, v("in_force", router))
        raised = z3.ULT(v("reached", router), generation)
        return {
            variable_name("in_force", router): generation,
            variable_name("reached", router): z3.If(raised, generation, v("reached", router)),
            variable_name("reverted", router): z3.Or(v("reverted", router), lowered),
        }

    def _begin_confirmed(self, router, generation):
        v = self.v
        behind = z3.ULT(generation, v("reached", router))
        return {
            **self._adopt(router, generation),
            variable_name("behind", router): z3.Or(v("behind", router), behind),
        }

    # Properties, lemmas, witnesses and limits.

    def _properties(self):
        v = self.v
        accurate = []
        for operator in OPERATORS:
            reported = v("reported", operator)
            never = z3.And(self._never_made(operator), z3.Not(z3.And(v("late", operator), self._in_time(operator))))
            not_applied = z3.Or(reported == REPORTED["conflict"], reported == REPORTED["not_done"])
            accurate += [
                z3.Implies(reported == REPORTED["applied"], self._owned_by_self(operator)),
                z3.Implies(not_applied, never),
            ]
        accepted = [
            z3.Implies(v("in_force", router) == self.g(number), v("owner", number) != OWNER[NONE])
            for router in ROUTERS
            for number in self.numbers[1:]
        ]
        return {
            ACCURATE_ANSWER: all_of(accurate),
            ONLY_UP: v("accepted") == v("highest_accepted"),
            NO_REVERT: all_of(z3.Not(v("reverted", router)) for router in ROUTERS),
            NO_REVERT_OVER_RESTART: all_of(z3.Not(v("behind", router)) for router in ROUTERS),
            ACCEPTED_ONLY: all_of(accepted),
        }

    def _never_made(self, operator):
        return all_of(self.v("owner", number) != OWNER[f"o{operator}"] for number in self.numbers[1:])

    def _lemmas(self):
        v = self.v
        lemmas = []
        for number in self.numbers[1:]:
            reached = z3.ULE(self.g(number), v("accepted"))
            lemmas.append(reached == (v("owner", number) != OWNER[NONE]))
        for router in ROUTERS:
            lemmas.append(z3.ULE(v("in_force", router), v("reached", router)))
            lemmas.append(z3.ULE(v("reached", router), v("accepted")))
        for operator in OPERATORS:
            lemmas += self._operator_lemmas(operator)
        return lemmas

    def _operator_lemmas(self, operator):
        v = self.v
        state = v("apply", operator)
        begun = z3.Or(state == APPLY["idle"], state == APPLY["read"], state == APPLY["sent"])
        unmade = self._never_made(operator)
        reported = v("reported", operator)
        elsewhere = all_of(
            z3.Implies(v("owner", number) == OWNER[f"o{operator}"], v("base", operator) == self.g(number - 1))
            for number in self.numbers[1:]
        )
        return [
            z3.Implies(begun, z3.And(unmade, z3.Not(v("late", operator)), reported == REPORTED["nothing"])),
            z3.Implies(state == APPLY["unsettled"], reported == REPORTED["nothing"]),
            z3.Implies(reported != REPORTED["nothing"], state == APPLY["ended"]),
            z3.Implies(state != APPLY["idle"], elsewhere),
            z3.Implies(state != APPLY["idle"], z3.ULE(v("base", operator), v("accepted"))),
            v("base", operator) != self.g(self.numbers[-1]),
        ]

    def _witnesses(self):
        v = self.v
        both = z3.And(v("reported", 0) == REPORTED["applied"], v("reported", 1) == REPORTED["applied"])
        settled = z3.And(
            v("late", 0), v("reported", 0) == REPORTED["conflict"], v("reported", 1) == REPORTED["applied"]
        )
        forced = z3.And(v("in_force", 0) == self.g(2), v("in_force", 1) == self.g(1))
        return {
            "two operators apply one after the other": both,
            "a delayed update is settled as a conflict": settled,
            "routers differ temporarily": forced,
        }

    def _limits(self):
        """Guarantees that a start during an outage of the platform cannot give."""
        v = self.v
        kept = all_of(
            z3.Or(v("in_force", router) == self.g(0), z3.ULE(v("reached", router), v("in_force", router)))
            for router in ROUTERS
        )
        return {"an unconfirmed start is never behind an earlier life": kept}
