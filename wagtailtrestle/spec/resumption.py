"""Resumed streams: one stream assembled from runs on several engines, each of which may break off.

An engine receives the number of the last event that the caller has. It continues from there, or starts
again from the first event, in which case the text up to there is the same. After that point two runs may
send different text under the same number. Events of an earlier run may arrive after a later run began,
complete or truncated.
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
    variable_name,
)

ENGINES = range(2)
EVENTS = 3
COUNT = Domain("c0", "c1", "c2", "c3", "c4")
"""A number of events; one more than ``EVENTS`` stands for the end of the stream."""
NONE = "none"
ACTIVE = Domain(NONE, "e0", "e1")
IN_TRANSIT = Domain("nothing", "c1", "c2", "c3", "end", "torn")
"""What is in transit from an engine: an event by its number, the end, or a truncated event."""
RUNS = Domain("none", "one", "more")

IN_ORDER = "each event is passed on once and in order"
NOT_JOINED = "a run continues only from the last event that it was told the caller has"
COMPLETE_ONLY = "no truncated event is passed on"
COMPLETE = "a stream that ends as complete has its last event"
ONCE = "a request that may not be repeated runs once"

SAFEGUARDS = {
    "current_run_only": Safeguard(rule="only events of the current run are passed on", breaks=NOT_JOINED),
    "duplicate_dropped": Safeguard(rule="an event that the caller already has is dropped", breaks=IN_ORDER),
    "gap_ends_run": Safeguard(rule="an event that doesn't follow the last one ends its run", breaks=IN_ORDER),
    "torn_discarded": Safeguard(rule="an event is passed on only when it is complete", breaks=COMPLETE_ONLY),
    "cut_is_no_end": Safeguard(rule="a run that breaks off does not end the stream", breaks=COMPLETE),
    "repeatable_only": Safeguard(rule="only a request that may be repeated is resumed", breaks=ONCE),
}


def specification(*, without=""):
    """Build the specification; ``without`` names a safeguard to leave out of a mutant."""
    return _Resumption(without=without).specification()


class _Resumption(Builder):
    """Builder of the specification of resumed streams."""

    def __init__(self, *, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.declare(TRUTH, "repeatable", initial=TRUE)
        self.declare(RUNS, "runs", initial=RUNS["none"])
        self.declare(ACTIVE, "active", initial=ACTIVE[NONE])
        self.declare(COUNT, "had", initial=COUNT["c0"])
        self.declare(TRUTH, "is_complete", initial=FALSE)
        self.declare(TRUTH, "out_of_order", initial=FALSE)
        self.declare(TRUTH, "passed_torn", initial=FALSE)
        self.declare(TRUTH, "ended_early", initial=FALSE)
        self.declare(TRUTH, "joined", initial=FALSE)
        self.declare(ACTIVE, "last_from", initial=ACTIVE[NONE])
        self.declare(TRUTH, "was_resumed", initial=FALSE)
        for engine in ENGINES:
            self.declare(TRUTH, "is_running", engine, initial=FALSE)
            self.declare(COUNT, "start", engine, initial=COUNT["c0"])
            self.declare(COUNT, "next", engine, initial=COUNT["c1"])
            self.declare(IN_TRANSIT, "in_transit", engine, initial=IN_TRANSIT["nothing"])

    def specification(self):
        unbegun = self.v("runs") == RUNS["none"]
        self.act("forbid_repeats", [unbegun], {"repeatable": FALSE})
        for engine in ENGINES:
            self._engine_actions(engine)
            self._receive_actions(engine)
        return Specification(
            name="resumed streams",
            domains_by_variable=self.domains_by_variable,
            actions=self.actions,
            initial=self.initial,
            properties_by_name={
                IN_ORDER: z3.Not(self.v("out_of_order")),
                NOT_JOINED: z3.Not(self.v("joined")),
                COMPLETE_ONLY: z3.Not(self.v("passed_torn")),
                COMPLETE: z3.Not(self.v("ended_early")),
                ONCE: z3.Or(self.v("repeatable"), self.v("runs") != RUNS["more"]),
            },
            lemmas=self._lemmas(),
            witnesses_by_name=self._witnesses(),
        )

    def _engine_actions(self, engine):
        v = self.v
        is_running, following = variable_name("is_running", engine), variable_name("next", engine)
        in_transit = variable_name("in_transit", engine)
        idle = [v("active") == ACTIVE[NONE], z3.Not(v("is_complete")), z3.Not(v("is_running", engine))]
        may_run = z3.Or(v("repeatable"), v("runs") == RUNS["none"]) if self.keeps("repeatable_only") else TRUE
        runs = z3.If(v("runs") == RUNS["none"], RUNS["one"], RUNS["more"])
        begun = {"active": ACTIVE[f"e{engine}"], "runs": runs, is_running: TRUE}
        begun["was_resumed"] = z3.Or(v("was_resumed"), v("had") != COUNT["c0"])
        # A new run uses a new connection, on which nothing of an earlier run arrives.
        begun[in_transit] = IN_TRANSIT["nothing"]
        begun[variable_name("start", engine)] = v("had")
        self.act("resume", [*idle, may_run], {**begun, following: v("had") + 1}, engine=engine)
        self.act("run_from_first", [*idle, may_run], {**begun, following: COUNT["c1"]}, engine=engine)
        sends = [v("is_running", engine), v("in_transit", engine) == IN_TRANSIT["nothing"]]
        sent = {in_transit: self._event(v("next", engine)), following: v("next", engine) + 1}
        self.act("send", [*sends, z3.ULE(v("next", engine), COUNT[f"c{EVENTS}"])], sent, engine=engine)
        is_over = v("next", engine) == COUNT[f"c{EVENTS + 1}"]
        self.act("send_end", [*sends, is_over], {in_transit: IN_TRANSIT["end"], is_running: FALSE}, engine=engine)
        # A faulty engine skips an event. The first and the last are excluded because that cannot be
        # detected: a stream may begin at any number, and its length is not known in advance.
        is_between = z3.And(v("next", engine) != COUNT["c1"], z3.ULT(v("next", engine), COUNT[f"c{EVENTS}"]))
        skips = [v("is_running", engine), is_between]
        self.act("skip", skips, {following: v("next", engine) + 1}, engine=engine)
        self.act("break_off", [v("is_running", engine)], {is_running: FALSE}, engine=engine)
        torn = {is_running: FALSE, in_transit: IN_TRANSIT["torn"]}
        self.act("break_off_torn", [*sends], torn, engine=engine)

    def _receive_actions(self, engine):
        v = self.v
        is_active = v("active") == ACTIVE[f"e{engine}"]
        here = [is_active] if self.keeps("current_run_only") else []
        received = {variable_name("in_transit", engine): IN_TRANSIT["nothing"]}
        in_transit = v("in_transit", engine)
        for number in range(1, EVENTS + 1):
            self._receive_event(engine, number, [*here, in_transit == IN_TRANSIT[f"c{number}"]], received)
        is_whole = v("had") == COUNT[f"c{EVENTS}"]
        ended = {
            **received,
            "active": ACTIVE[NONE],
            "is_complete": TRUE,
            "ended_early": z3.Or(v("ended_early"), z3.Not(is_whole)),
        }
        self.act("take_end", [*here, in_transit == IN_TRANSIT["end"]], ended, engine=engine)
        passed = FALSE if self.keeps("torn_discarded") else TRUE
        torn = {**received, "active": ACTIVE[NONE], "passed_torn": z3.Or(v("passed_torn"), passed)}
        self.act("take_torn", [*here, in_transit == IN_TRANSIT["torn"]], torn, engine=engine)
        # No event arrived in time: the run is abandoned, although the engine may still be running it.
        self.act("abandon", [is_active], {"active": ACTIVE[NONE]}, engine=engine)
        cut = {"active": ACTIVE[NONE]}
        if not self.keeps("cut_is_no_end"):
            cut |= {"is_complete": TRUE, "ended_early": z3.Or(v("ended_early"), z3.Not(is_whole))}
        silent = [is_active, z3.Not(v("is_running", engine)), in_transit == IN_TRANSIT["nothing"]]
        self.act("take_cut", silent, cut, engine=engine)

    def _receive_event(self, engine, number, guards, received):
        v = self.v
        event = COUNT[f"c{number}"]
        follows = v("had") + 1 == event
        had_before = z3.ULE(event, v("had"))
        joined = z3.Or(v("joined"), z3.Not(self._continues(engine)))
        passed = {**received, "had": event, "last_from": ACTIVE[f"e{engine}"], "joined": joined}
        self.act("take", [*guards, follows], passed, engine=engine, event=number)
        if self.keeps("duplicate_dropped"):
            self.act("drop", [*guards, had_before], received, engine=engine, event=number)
        else:
            twice = {**received, "out_of_order": TRUE}
            self.act("take_again", [*guards, had_before], twice, engine=engine, event=number)
        beyond = [*guards, z3.Not(follows), z3.Not(had_before)]
        if self.keeps("gap_ends_run"):
            abandoned = {**received, "active": ACTIVE[NONE], variable_name("is_running", engine): FALSE}
            self.act("refuse_gap", beyond, abandoned, engine=engine, event=number)
        else:
            skipped = {**received, "had": event, "out_of_order": TRUE}
            self.act("take_beyond", beyond, skipped, engine=engine, event=number)

    def _continues(self, engine):
        """Whether a run of this engine continues from the last event that the caller has."""
        return z3.Or(self.v("had") == self.v("start", engine), self.v("last_from") == ACTIVE[f"e{engine}"])

    def _event(self, number):
        """Convert a count to the event in transit with that number; both domains encode numbers alike."""
        return z3.ZeroExt(IN_TRANSIT.sort.size() - number.size(), number)

    def _lemmas(self):
        v = self.v
        is_whole = v("had") == COUNT[f"c{EVENTS}"]
        lemmas = [z3.Implies(v("is_complete"), v("active") == ACTIVE[NONE])]
        for engine in ENGINES:
            is_active = v("active") == ACTIVE[f"e{engine}"]
            in_transit, following = v("in_transit", engine), v("next", engine)
            lemmas.append(z3.Implies(is_active, self._continues(engine)))
            sent_all = z3.And(following == COUNT[f"c{EVENTS + 1}"], in_transit == IN_TRANSIT["nothing"])
            lemmas.append(z3.Implies(z3.And(is_active, sent_all), is_whole))
            lemmas.append(z3.Implies(z3.And(is_active, in_transit == IN_TRANSIT["end"]), is_whole))
            last_in_transit = in_transit == IN_TRANSIT[f"c{EVENTS}"]
            at_end = z3.Or(sent_all, last_in_transit, _is_over(in_transit))
            lemmas.append(z3.Implies(following == COUNT[f"c{EVENTS + 1}"], at_end))
            lemmas.append(z3.And(following != COUNT["c0"], z3.ULE(v("start", engine), COUNT[f"c{EVENTS}"])))
        lemmas.append(z3.ULE(v("had"), COUNT[f"c{EVENTS}"]))
        return lemmas

    def _witnesses(self):
        v = self.v
        complete_after_resumption = z3.And(v("is_complete"), v("was_resumed"))
        late = z3.And(v("active") == ACTIVE["e1"], v("in_transit", 0) == IN_TRANSIT["c2"], v("had") == COUNT["c1"])
        return {
            "a stream of two runs is complete": complete_after_resumption,
            "an event of an earlier run arrives late": late,
        }


def _is_over(in_transit):
    """Whether only the end or a truncated event is in transit from a run."""
    return z3.Or(in_transit == IN_TRANSIT["end"], in_transit == IN_TRANSIT["torn"])
