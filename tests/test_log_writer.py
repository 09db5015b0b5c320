"""Logging never blocks the logging thread, and the number of lines is limited."""

import io
import os
import time
import unittest

from loguru import logger

from wagtailtrestle.observe.log_writer import QUEUED_LINES, LineBudget, LogWriter
from wagtailtrestle.observe.logs import start_logs

QUICK_S = 2.0


class LineBudgetTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.budget = LineBudget(now=lambda: self.now, per_s=10.0, burst=5.0)

    def test_a_flood_of_one_kind_is_limited_and_counted(self):
        # Every request of a flood logs the same line. Lines beyond the burst are left out, and the
        # next line written states how many.
        written = [self.budget.acquire("kind") for _ in range(20)]
        self.assertEqual(written[:5], [0] * 5)
        self.assertEqual(written[5:], [None] * 15)
        self.now += 0.1
        self.assertEqual(self.budget.acquire("kind"), 15)

    def test_kinds_are_limited_separately(self):
        for _ in range(20):
            self.budget.acquire("kind")
        self.assertEqual(self.budget.acquire("other"), 0)


class UnreadOutputTest(unittest.TestCase):
    def test_unread_standard_output_does_not_block(self):
        # The process's output is a full pipe that is not read. Logging must not block: a request's
        # thread that waited here would never answer its caller.
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        stream = os.fdopen(write_end, "w", closefd=False)
        writer = LogWriter(stream=stream)
        writer.start()
        began_at = time.monotonic()
        for number in range(3 * QUEUED_LINES):
            writer.put(f"{number} " + "x" * 100)
        writer.close()
        self.assertLess(time.monotonic() - began_at, QUICK_S)
        self.assertGreater(writer.dropped, 0)

    def test_lines_queued_at_the_end_are_written(self):
        stream = io.StringIO()
        writer = start_logs(stream=stream, as_json=True)
        self.addCleanup(logger.remove)
        logger.info("the last line")
        writer.close()
        self.assertIn("the last line", stream.getvalue())


if __name__ == "__main__":
    unittest.main()
