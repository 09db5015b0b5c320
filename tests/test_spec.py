"""Model checks of the core protocols, and tests of the checker itself."""

import unittest

import z3

from wagtailtrestle.spec.checker import Bounded, Inductive, shortest_trace
from wagtailtrestle.spec.checks import MODULES, Kind, findings_of
from wagtailtrestle.spec.language import Builder, Domain, Specification

LEVEL = Domain("zero", "one", "two", "three")


class SpecificationTest(unittest.TestCase):
    def test_every_check_comes_out_as_it_must(self):
        for module in MODULES:
            kinds = set()
            for finding in findings_of(module):
                kinds.add(finding.kind)
                with self.subTest(specification=finding.specification, kind=finding.kind, name=finding.name):
                    trace = finding.trace.text() if finding.trace else ""
                    self.assertTrue(finding.passed, f"{finding.detail}\n{trace}")
            self.assertLessEqual({Kind.PROOF, Kind.SEARCH, Kind.MUTANT, Kind.WITNESS}, kinds)


class CheckerTest(unittest.TestCase):
    """Checks a counter that increments by one up to a limit."""

    def make(self, *, limit, lemmas=()):
        builder = Builder(safeguards={}, without="")
        builder.declare(LEVEL, "level", initial=LEVEL["zero"])
        level = builder.v("level")
        builder.act("raise", [z3.ULT(level, LEVEL[limit])], {"level": level + 1}, by=1)
        return Specification(
            name="counter",
            domains_by_variable=builder.domains_by_variable,
            actions=builder.actions,
            initial=builder.initial,
            properties_by_name={"below three": level != LEVEL["three"]},
            lemmas=lemmas,
        )

    def test_finds_the_shortest_trace(self):
        wrong = self.make(limit="three")
        trace = shortest_trace(wrong, z3.Not(wrong.properties_by_name["below three"]), max_steps=5)
        self.assertEqual(trace.actions, ["raise(by=1)"] * 3)
        self.assertIn("level = three", trace.text())
        self.assertEqual(trace.steps[1].parameters, {"by": 1})

    def test_finds_no_trace_where_there_is_none(self):
        right = self.make(limit="two")
        self.assertIsNone(shortest_trace(right, LEVEL.variable("level") == LEVEL["three"], max_steps=5))

    def test_induction_shows_its_gap(self):
        self.assertIsNone(Inductive(self.make(limit="two")).gap())
        gap = Inductive(self.make(limit="three")).gap()
        self.assertEqual((gap.action, gap.broken), ("raise(by=1)", ["below three"]))

    def test_induction_refuses_a_lemma_that_does_not_hold_at_first(self):
        lemma = LEVEL.variable("level") != LEVEL["zero"]
        self.assertEqual(Inductive(self.make(limit="two", lemmas=[lemma])).gap().action, "initial")

    def test_opening_is_followed(self):
        bounded = Bounded(self.make(limit="two"), opening=("raise(by=1)",))
        bounded.deepen()
        self.assertIsNone(bounded.search(LEVEL.variable("level") == LEVEL["zero"]))


if __name__ == "__main__":
    unittest.main()
