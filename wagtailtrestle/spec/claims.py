"""Claims and dispatch: sends of one idempotency key at two routers, over a faulty store.

Each router accepts sends and can write the shard, so there are always two writers ("two
owners"). Any step may be delayed without bound, which covers paused processes. The response to
a write may be lost, and the write may take effect later. Reads may be stale. A router may crash
between any two steps. See ``docs/design/model-checking.md``.
"""

import z3

from wagtailtrestle.spec.claims_proof import lemmas
from wagtailtrestle.spec.claims_terms import NONE, REPORTED, REQUEST, ROUTERS, RUNS, UNREAD
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
    at_most_one,
    variable_name,
)

ONCE = "at most once"
REPORTED_NOT_RUN = "told not run means not run"
ANSWER_OF_RUN = "an answer is the answer of a run"
# Leads to a state where the first send's claim is in the store and its request was refused.
CLAIMED_AND_REFUSED = (
    "ask(send=0, writer=0)",
    "read(writer=0)",
    "write_claim(writer=0, send=0)",
    "write_done(writer=0)",
    "abandon(send=0)",
)

SAFEGUARDS = {
    "conditional_update": Safeguard(rule="a write takes effect only on the version it was made from", breaks=ONCE),
    "read_back": Safeguard(rule="a write without an answer is read back, not taken as successful", breaks=ONCE),
    "proof": Safeguard(rule="a request runs only once its nonce was seen in the store", breaks=ONCE),
    "refused_is_final": Safeguard(
        rule="a refused nonce is never dispatched, whatever answer arrives late", breaks=REPORTED_NOT_RUN
    ),
    "takeover_of_refused_only": Safeguard(
        rule="a claim is taken over only when its router reports that it was refused", breaks=ONCE
    ),
    "gone_is_not_refused": Safeguard(
        rule="a restarted router does not report a nonce from before its restart as refused", breaks=ONCE
    ),
    "claiming_is_not_refused": Safeguard(rule="a claim in progress is not reported as refused", breaks=ONCE),
    "takeover_names_nonce": Safeguard(
        rule="a takeover replaces exactly the nonce that was refused",
        breaks=ONCE,
        opening=CLAIMED_AND_REFUSED,
        size={"sends": 3},
    ),
    "one_dispatch": Safeguard(rule="a dispatch that may have reached an engine is never repeated", breaks=ONCE),
    "truth_after_dispatch": Safeguard(
        rule="after a dispatch that may have reached an engine no caller is told that it did not run",
        breaks=REPORTED_NOT_RUN,
    ),
    "release_of_refused_only": Safeguard(
        rule="a claim is released only for a request that was never dispatched", breaks=ONCE
    ),
}


def specification(*, sends=2, without=""):
    """Build the specification; ``without`` names a safeguard to leave out of a mutant."""
    return _Claims(sends=sends, without=without).specification()


class _Claims(Builder):
    """Builder of the specification of claims."""

    def __init__(self, *, sends, without):
        super().__init__(safeguards=SAFEGUARDS, without=without)
        self.sends = range(sends)
        self.routers = range(ROUTERS)
        self.nonce = Domain(NONE, *(f"n{send}" for send in self.sends))
        self.snapshot = Domain(NONE, *(f"n{send}" for send in self.sends), UNREAD)
        self._declare()

    def n(self, send):
        return self.nonce[f"n{send}"]

    def s(self, send):
        return self.snapshot[f"n{send}"]

    def router_of(self, send):
        return send % ROUTERS

    def _declare(self):
        self.declare(self.snapshot, "holder", initial=self.snapshot[NONE])
        self.declare(self.snapshot, "past", initial=self.snapshot[NONE])
        for send in self.sends:
            self.declare(REQUEST, "request", send, initial=REQUEST["queued"])
            self.declare(RUNS, "runs", send, initial=RUNS["none"])
            self.declare(REPORTED, "reported", send, initial=REPORTED["nothing"])
            self.declare(self.nonce, "knows", send, initial=self.nonce[NONE])
            self.declare(self.nonce, "replaces", send, initial=self.nonce[NONE])
            self.declare(TRUTH, "won", send, initial=FALSE)
            self.declare(TRUTH, "release", send, initial=FALSE)
            self.declare(TRUTH, "recorded", send, initial=FALSE)
            for writer in self.routers:
                self.declare(TRUTH, "asked", send, writer, initial=FALSE)
        for writer in self.routers:
            self.declare(self.snapshot, "snapshot", writer, initial=self.snapshot[UNREAD])
            self.declare(TRUTH, "fresh", writer, initial=FALSE)
            self.declare(TRUTH, "writing", writer, initial=FALSE)
            self.declare(self.snapshot, "value", writer, initial=self.snapshot[NONE])
            self.declare(TRUTH, "late", writer, initial=FALSE)
            self.declare(self.snapshot, "late_value", writer, initial=self.snapshot[NONE])
            self.declare(TRUTH, "late_fresh", writer, initial=FALSE)

    def specification(self):
        for send in self.sends:
            self._entry_actions(send)
            for writer in self.routers:
                self._ask(send, writer)
            for other in self.sends:
                if other != send:
                    self._inquire(send, other)
        for writer in self.routers:
            self._writer_actions(writer)
            self._crash(writer)
        return Specification(
            name="claims and dispatch",
            domains_by_variable=self.domains_by_variable,
            actions=self.actions,
            initial=self.initial,
            properties_by_name=self._properties(),
            lemmas=lemmas(self),
            witnesses_by_name=self._witnesses(),
            limits_by_name=self._limits(),
        )

    # Actions of the entry of one send.

    def _entry_actions(self, send):
        v = self.v
        request, runs = variable_name("request", send), variable_name("runs", send)
        reported, release = variable_name("reported", send), variable_name("release", send)
        is_in = {name: v("request", send) == REQUEST[name] for name in REQUEST.names}
        # Only a claim that still waits for its answer may be won by that answer.
        may_win = is_in["claiming"]
        if not self.keeps("refused_is_final"):
            may_win = z3.Or(may_win, is_in["refused"])
        self.act("win", [may_win, v("won", send)], {request: REQUEST["running"]}, send=send)
        no_holder_known = v("knows", send) == self.nonce[NONE]
        refuse = {request: REQUEST["refused"], reported: REPORTED["no"], release: TRUE}
        if self.keeps("proof"):
            self.act("abandon", [is_in["claiming"], no_holder_known], refuse, send=send)
        else:
            # Without proof, a claim that got no answer in time is assumed to be in the store.
            self.act("abandon", [is_in["claiming"], no_holder_known], {request: REQUEST["running"]}, send=send)
        self.act(
            "stop_waiting",
            [is_in["claiming"], z3.Not(no_holder_known)],
            {request: REQUEST["refused"], reported: REPORTED["unknown"]},
            send=send,
        )
        self.act("refuse", [is_in["running"]], refuse, send=send)
        more = z3.If(v("runs", send) == RUNS["none"], RUNS["one"], RUNS["more"])
        self.act("dispatch", [is_in["running"]], {request: REQUEST["dispatched"], runs: more}, send=send)
        self.act("dispatch_without_run", [is_in["running"]], {request: REQUEST["dispatched"]}, send=send)
        ran = v("runs", send) != RUNS["none"]
        self.act(
            "finish",
            [is_in["dispatched"], ran],
            {request: REQUEST["finished"], reported: REPORTED["answer"]},
            send=send,
        )
        recorded = variable_name("recorded", send)
        self.act("record", [is_in["finished"], z3.Not(v("recorded", send))], {recorded: TRUE}, send=send)
        cut = {request: REQUEST["unknown"], reported: REPORTED["unknown"]}
        if not self.keeps("one_dispatch"):
            cut = {request: REQUEST["running"]}
        elif not self.keeps("truth_after_dispatch"):
            cut = {request: REQUEST["unknown"], reported: REPORTED["no"]}
        elif not self.keeps("release_of_refused_only"):
            cut = {request: REQUEST["unknown"], reported: REPORTED["unknown"], release: TRUE}
        self.act("cut", [is_in["dispatched"]], cut, send=send)

    def _ask(self, send, writer):
        v = self.v
        asked, request = variable_name("asked", send, writer), variable_name("request", send)
        may_ask = z3.Or(v("request", send) == REQUEST["queued"], v("request", send) == REQUEST["claiming"])
        self.act(
            "ask",
            [may_ask, z3.Not(v("asked", send, writer))],
            {asked: TRUE, request: REQUEST["claiming"]},
            send=send,
            writer=writer,
        )

    def _inquire(self, send, other):
        """The re-send queries the router of the send that holds the key for its outcome."""
        v = self.v
        request, reported = variable_name("request", send), variable_name("reported", send)
        waits = [v("request", send) == REQUEST["claiming"], v("knows", send) == self.n(other)]
        state = v("request", other)
        may_replace = [state == REQUEST["refused"]]
        if not self.keeps("gone_is_not_refused"):
            may_replace.append(state == REQUEST["gone"])
        if not self.keeps("claiming_is_not_refused"):
            may_replace.append(state == REQUEST["claiming"])
        if not self.keeps("takeover_of_refused_only"):
            may_replace.append(TRUE)
        learned = {variable_name("replaces", send): self.n(other), variable_name("knows", send): self.nonce[NONE]}
        self.act("receive_refused", [*waits, any_of(may_replace)], learned, send=send, other=other)
        given = {request: REQUEST["refused"], reported: REPORTED["answer"]}
        self.act("receive_finished", [*waits, state == REQUEST["finished"]], given, send=send, other=other)
        self.act("read_recorded", [*waits, v("recorded", other)], given, send=send, other=other)
        lost = z3.Or(state == REQUEST["unknown"], state == REQUEST["gone"])
        given = {request: REQUEST["refused"], reported: REPORTED["unknown"]}
        self.act("receive_unknown", [*waits, lost], given, send=send, other=other)

    # Actions of one writer of the shard.

    def _writer_actions(self, writer):
        v = self.v
        snapshot, fresh = variable_name("snapshot", writer), variable_name("fresh", writer)
        idle = z3.Not(v("writing", writer))
        read = {snapshot: v("holder"), fresh: TRUE}
        self.act("read", [idle], read, writer=writer)
        self.act("read_stale", [idle], {snapshot: v("past"), fresh: FALSE}, writer=writer)
        for send in self.sends:
            self._writer_on_send(writer, send)
        self._store_actions(writer)

    def _writer_on_send(self, writer, send):
        v = self.v
        asked, snapshot = v("asked", send, writer), v("snapshot", writer)
        idle = z3.Not(v("writing", writer))
        writing, value = variable_name("writing", writer), variable_name("value", writer)
        free = snapshot == self.snapshot[NONE]
        replaced = [z3.And(snapshot == self.s(other), v("replaces", send) == self.n(other)) for other in self.sends]
        # One write may release a refused claim and make the next one.
        replaced += [z3.And(snapshot == self.s(other), v("release", other)) for other in self.sends]
        if not self.keeps("takeover_names_nonce"):
            replaces_any = v("replaces", send) != self.nonce[NONE]
            replaced = [z3.And(replaces_any, snapshot != self.snapshot[UNREAD], snapshot != self.s(send))]
        put = {writing: TRUE, value: self.s(send)}
        self.act("write_claim", [idle, asked, z3.Or(free, *replaced)], put, writer=writer, send=send)
        remove = {writing: TRUE, value: self.snapshot[NONE]}
        self.act(
            "write_release", [idle, v("release", send), snapshot == self.s(send)], remove, writer=writer, send=send
        )
        mine = [idle, asked, snapshot == self.s(send)]
        self.act("answer_won", mine, {variable_name("won", send): TRUE}, writer=writer, send=send)
        for other in self.sends:
            if other == send:
                continue
            seen = z3.Or(snapshot == self.s(other), v("release", other))
            held = [idle, asked, seen, v("request", send) == REQUEST["claiming"]]
            held.append(v("replaces", send) != self.n(other))
            learned = {variable_name("knows", send): self.n(other)}
            self.act("answer_held", held, learned, writer=writer, send=send, other=other)

    def _store_actions(self, writer):
        """The store settles the write in progress; its answer arrives or is lost."""
        v = self.v
        snapshot, fresh = variable_name("snapshot", writer), variable_name("fresh", writer)
        writing, late = variable_name("writing", writer), variable_name("late", writer)
        in_time = v("fresh", writer) if self.keeps("conditional_update") else TRUE
        applied = {"past": v("holder"), "holder": v("value", writer), **self._new_version()}
        idle = {writing: FALSE}
        known = {**idle, snapshot: v("value", writer), fresh: TRUE}
        unknown = {**idle, snapshot: self.snapshot[UNREAD], fresh: FALSE}
        answer_lost = unknown if self.keeps("read_back") else {**idle, snapshot: v("value", writer)}
        self.act("write_done", [v("writing", writer), in_time], {**applied, **known}, writer=writer)
        self.act("write_done_answer_lost", [v("writing", writer), in_time], {**applied, **answer_lost}, writer=writer)
        # Claims of other keys change the version too, so a conflict is possible at any time.
        self.act("write_conflict", [v("writing", writer)], unknown, writer=writer)
        self.act("write_unavailable", [v("writing", writer)], idle, writer=writer)
        delayed = {
            late: TRUE,
            variable_name("late_value", writer): v("value", writer),
            variable_name("late_fresh", writer): v("fresh", writer),
        }
        free = [v("writing", writer), z3.Not(v("late", writer))]
        self.act("write_delayed", free, {**answer_lost, **delayed}, writer=writer)
        in_time = v("late_fresh", writer) if self.keeps("conditional_update") else TRUE
        landed = {"past": v("holder"), "holder": v("late_value", writer), **self._new_version()}
        self.act("late_write_lands", [v("late", writer), in_time], {**landed, late: FALSE}, writer=writer)
        self.act("late_write_refused", [v("late", writer)], {late: FALSE}, writer=writer)

    def _new_version(self):
        """Mark every write that is based on the previous version as stale."""
        stale = {variable_name("fresh", one): FALSE for one in self.routers}
        return stale | {variable_name("late_fresh", one): FALSE for one in self.routers}

    def _crash(self, router):
        """The router crashes and restarts with no state; a write in transit may still take effect."""
        v = self.v
        changes = {
            variable_name("snapshot", router): self.snapshot[UNREAD],
            variable_name("fresh", router): FALSE,
            variable_name("writing", router): FALSE,
            variable_name("late", router): z3.Or(v("late", router), v("writing", router)),
        }
        in_flight = z3.And(v("writing", router), z3.Not(v("late", router)))
        changes[variable_name("late_value", router)] = z3.If(in_flight, v("value", router), v("late_value", router))
        changes[variable_name("late_fresh", router)] = z3.If(in_flight, v("fresh", router), v("late_fresh", router))
        for send in self.sends:
            if self.router_of(send) == router:
                state = v("request", send)
                stays = z3.Or(state == REQUEST["queued"], state == REQUEST["gone"])
                changes[variable_name("request", send)] = z3.If(stays, state, REQUEST["gone"])
        self.act("crash", [], changes, router=router)

    # Properties, witnesses and limits.

    def _properties(self):
        v = self.v
        ran = [v("runs", send) != RUNS["none"] for send in self.sends]
        once = [v("runs", send) != RUNS["more"] for send in self.sends]
        accurate = [
            z3.Implies(v("reported", send) == REPORTED["no"], v("runs", send) == RUNS["none"]) for send in self.sends
        ]
        return {
            ONCE: z3.And(at_most_one(ran), *once),
            REPORTED_NOT_RUN: all_of(accurate),
            ANSWER_OF_RUN: all_of(
                z3.Implies(v("reported", send) == REPORTED["answer"], any_of(ran)) for send in self.sends
            ),
        }

    def _witnesses(self):
        v = self.v
        taken_over = z3.And(v("replaces", 1) == self.n(0), v("request", 1) == REQUEST["finished"])
        waited = z3.And(
            v("request", 0) == REQUEST["finished"], v("reported", 1) == REPORTED["answer"], v("runs", 1) == RUNS["none"]
        )
        crashed = z3.And(
            v("request", 0) == REQUEST["gone"], v("runs", 0) == RUNS["one"], v("reported", 1) == REPORTED["unknown"]
        )
        lost = z3.And(v("late", 0), v("reported", 0) == REPORTED["no"])
        return {
            "a refused claim is taken over and run": taken_over,
            "a re-send gets the answer of the first send": waited,
            "the router of the first send crashed, the re-send is reported as unknown": crashed,
            "a write is still in progress when its send is reported as not run": lost,
        }

    def _limits(self):
        v = self.v
        ran_elsewhere = [
            z3.And(v("reported", send) == REPORTED["no"], v("runs", other) != RUNS["none"])
            for send in self.sends
            for other in self.sends
            if other != send
        ]
        return {"told not run speaks for every send of the key": z3.Not(any_of(ran_elsewhere))}
