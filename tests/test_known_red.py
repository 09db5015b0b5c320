"""The verdict on a test run when known failures are listed."""

import tempfile
import types
import unittest
from pathlib import Path

from tests.utils.known_red import KnownRed, Verdict, ids_of, read_list

LINE = "{} | a cause | python -m unittest x, seed 1 | 502 once | issue 1"


def suite_of(**outcomes):
    """Return a suite of one class whose tests pass, fail, skip, or fail in a subtest."""

    def method(outcome):
        def run(self):
            if outcome == "subtest":
                with self.subTest(seed=3):
                    self.fail("as requested")
                with self.subTest(seed=4):
                    self.fail("as requested")
            elif outcome == "skip":
                self.skipTest("as requested")
            elif outcome == "fail":
                self.fail("as requested")

        return run

    case = types.new_class("Case", (unittest.TestCase,))
    case.__module__, case.__qualname__ = "tests.made_up", "Case"
    for name, outcome in outcomes.items():
        setattr(case, name, method(outcome))
    return unittest.defaultTestLoader.loadTestsFromTestCase(case)


def verdict_of(suite, *listed):
    entries = [KnownRed(test=test, line=LINE.format(test)) for test in listed]
    test_ids = list(ids_of(suite))
    result = unittest.TestResult()
    suite.run(result)
    return Verdict(entries=entries, test_ids=test_ids, result=result)


class VerdictTest(unittest.TestCase):
    def test_failure_of_a_listed_test_is_reported_and_tolerated(self):
        verdict = verdict_of(suite_of(test_a="fail", test_b="pass"), "tests.made_up.Case.test_a")
        self.assertTrue(verdict.is_good)
        first, last = verdict.lines()
        self.assertIn("failed: tests.made_up.Case.test_a", first)
        self.assertIn("502 once", first)
        self.assertEqual(last, "1 passed, 0 failed, 0 skipped")

    def test_listed_test_that_passes_is_reported_and_counted(self):
        verdict = verdict_of(suite_of(test_a="pass", test_b="skip"), "tests.made_up.Case.test_a")
        self.assertIn("passed this time", next(iter(verdict.lines())))
        self.assertEqual(list(verdict.lines())[-1], "1 passed, 0 failed, 1 skipped")

    def test_what_is_not_listed_fails_the_run(self):
        verdict = verdict_of(suite_of(test_a="fail", test_ab="fail"), "tests.made_up.Case.test_a")
        self.assertFalse(verdict.is_good)
        self.assertEqual(list(verdict.lines())[-1], "0 passed, 1 failed, 0 skipped")

    def test_a_class_or_a_module_is_listed_with_all_its_tests(self):
        for listed in ("tests.made_up", "tests.made_up.Case"):
            with self.subTest(listed):
                self.assertTrue(verdict_of(suite_of(test_a="fail", test_b="subtest"), listed).is_good)

    def test_failed_subtests_count_as_their_test(self):
        verdict = verdict_of(suite_of(test_a="subtest", test_b="pass"))
        self.assertEqual(list(verdict.lines())[-1], "1 passed, 1 failed, 0 skipped")

    def test_an_entry_that_covers_no_test_fails_the_run(self):
        # After a misspelt name or a renamed test, the fault behind the entry would go unnoticed.
        self.assertFalse(verdict_of(suite_of(test_a="pass"), "tests.made_up.Case.test_z").is_good)

    # Guards against a fault outside the suite whose entry passes over a test, or hides that its own test is gone.
    def test_fault_outside_the_suite_is_printed_and_covers_no_test(self):
        for listed in ("review/2", "tests/made_up", "tests.made_up/Case.test_a"):
            with self.subTest(listed):
                verdict = verdict_of(suite_of(test_a="fail", test_b="pass"), listed)
                self.assertFalse(verdict.is_good)
                self.assertEqual(verdict.failed, {"tests.made_up.Case.test_a"})
                self.assertIn(f"known red, outside the suite: {LINE.format(listed)}", list(verdict.lines()))
                verdict = verdict_of(suite_of(test_b="pass"), listed)
                self.assertTrue(verdict.is_good)
                self.assertEqual(list(verdict.lines())[-1], "1 passed, 0 failed, 0 skipped")

    def test_a_run_of_no_test_is_not_good(self):
        self.assertFalse(verdict_of(unittest.TestSuite()).is_good)

    def test_fixtures_belong_to_their_class(self):
        entry = KnownRed(test="tests.made_up", line="")
        self.assertTrue(entry.covers("setUpClass (tests.made_up.Case)"))
        self.assertFalse(entry.covers("setUpClass (tests.made_up_too.Case)"))


class ListTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "KNOWN-RED.txt"
            path.write_text(text)
            return read_list(path)

    def test_entries(self):
        (entry,) = self.read(LINE.format("tests.made_up") + "\n")
        self.assertEqual(entry.test, "tests.made_up")

    def test_no_list(self):
        self.assertEqual(read_list(Path("no/such/file")), [])

    def test_line_without_a_field_is_reported(self):
        for line in ("tests.made_up\n", "tests.made_up | a cause | a command |  | issue 1\n"):
            with self.subTest(line), self.assertRaises(ValueError):
                self.read(line)


if __name__ == "__main__":
    unittest.main()
