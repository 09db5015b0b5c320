"""``wagtailtrestle explain``: reading routers' logs, including truncated lines and gaps."""

import io
import json
import tempfile
import unittest
from pathlib import Path

from wagtailtrestle.cli.operate import run
from wagtailtrestle.environment import Environment
from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.observe.log_reading import RouterLogs, read_line

OURS = "front-a-1-1778006233006-027bf9dd2c17"
CALLERS = "7a6a16cd5441a14b"


def line(second, message, **fields):
    time = f"2026-05-05T18:37:{second:06.3f}+00:00"
    return json.dumps({"time": time, "level": "INFO", "module": "m", "message": message, **fields})


def ended(second, outcome, *, request_id=OURS, caller=CALLERS, team="club", tier="17"):
    message = f"svc/drafts {outcome} after 0.656 s, 1 runs"
    return line(second, message, request_id=request_id, caller_request_id=caller, team=team, tier=tier)


FIRST = [
    line(1.0, "router started", name="front-a-1", zone="a"),
    line(2.0, "a run ended early", request_id=OURS, engine="i-1", outcome="RunCut", remaining_s=14.3),
    ended(2.1, "engine_lost"),
    ended(2.2, "answered", request_id="front-a-1-1-0a", caller="other"),
    line(3.0, "refused on arrival", reason="quota_exhausted", caller_request_id="x", lines_left_out_before=12),
    '{"time": "2026-05-05T18:37:04.0',
    "no line of ours",
]
SECOND = [
    "12.5 front-b-2 " + line(0.5, "router started", name="front-b-2", zone="b"),
    "14.1 front-b-2 " + ended(4.0, "overloaded", request_id="front-b-2-1-0b", caller="y", team="guests", tier="18"),
    "14.2 front-b-2 " + line(4.2, "refused on arrival", reason="not_ready", caller_request_id="z"),
]


class ExplainTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.files = []
        for name, lines in (("b.log", SECOND), ("a.log", FIRST)):
            path = Path(folder.name) / name
            path.write_text("\n".join(lines) + "\n")
            self.files.append(str(path))

    def explain(self, *arguments, files=None):
        stdout, stderr = io.StringIO(), io.StringIO()
        environment = Environment(
            program="wagtailtrestle",
            stdin=None,
            stdout=stdout,
            stderr=stderr,
            environ={},
            open_store=None,
            fetch_json=None,
        )
        status = run(environment, ["explain", *(self.files if files is None else files), *arguments])
        return status, stdout.getvalue(), stderr.getvalue()

    def test_a_request_is_followed_from_its_callers_id_to_its_runs(self):
        status, output, _ = self.explain("--id", CALLERS)
        self.assertEqual(status, ExitStatus.DONE)
        lines = output.splitlines()
        self.assertEqual(len(lines), 2)
        self.assertIn("+0.000 s front-a-1: a run ended early", lines[0])
        self.assertIn("engine=i-1", lines[0])
        self.assertIn("engine_lost", lines[1])

    def test_lost_requests_are_counted_by_cause(self):
        status, output, _ = self.explain()
        self.assertEqual(status, ExitStatus.DONE)
        self.assertIn("4 lost, 1 answered", output)
        for cause in ("engine_lost", "quota_exhausted", "overloaded", "not_ready"):
            self.assertRegex(output, rf"{cause} +1")

    def test_uncounted_lines_are_reported(self):
        _, output, _ = self.explain()
        self.assertIn("left out 12 lines", output)
        self.assertIn("2 lines were truncated", output)

    def test_by_zone_team_tier_and_second(self):
        self.assertRegex(self.explain("--by", "zone")[1], r"b +not_ready +1")
        self.assertRegex(self.explain("--by", "zone")[1], r"a +quota_exhausted +1")
        self.assertRegex(self.explain("--by", "team")[1], r"guests +overloaded +1")
        self.assertRegex(self.explain("--by", "tier")[1], r"18 +overloaded +1")
        self.assertRegex(self.explain("--by", "second")[1], r"18:37:02 +engine_lost +1")

    def test_a_span_of_time(self):
        _, output, _ = self.explain("--begin", "2026-05-05T18:37:03", "--end", "2026-05-05T18:37:04.1")
        self.assertIn("2 lost, 0 answered", output)

    def test_invalid_arguments_are_reported_and_nothing_counted(self):
        for arguments, files, problem in (
            (("--by", "colour"), None, "allowed: cause"),
            (("--begin", "noon"), None, "a time as in the logs"),
            ((), ["/nowhere/a.log"], "can't be read"),
            ((), [], "at least one log file"),
        ):
            status, output, error = self.explain(*arguments, files=files)
            self.assertEqual((status, output), (ExitStatus.USAGE, ""))
            self.assertIn(problem, error)

    def test_an_id_that_no_line_names(self):
        status, _, error = self.explain("--id", "absent")
        self.assertEqual(status, ExitStatus.CHECK_FAILED)
        self.assertIn("all routers", error)

    def test_the_order_of_files_does_not_matter(self):
        first, second = RouterLogs(), RouterLogs()
        first.add_file(FIRST)
        first.add_file(SECOND)
        second.add_file(SECOND)
        second.add_file(FIRST)
        self.assertEqual([each.message for each in first.lines], [each.message for each in second.lines])

    def test_invalid_lines_are_skipped(self):
        for text in ("", "{", "[]", "{}", '{"time": 5, "message": "m"}', '{"time": "now", "message": "m"}'):
            self.assertIsNone(read_line(text))


if __name__ == "__main__":
    unittest.main()
