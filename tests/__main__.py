"""Runs every test and closes with a plain count."""

import sys
import unittest
from pathlib import Path

from loguru import logger

LOG_FILE = Path("var/tests.log")


def main():
    # Failure tests make the product log what it should; the verdict is easier to find without it.
    logger.remove()
    logger.add(LOG_FILE, mode="w")
    suite = unittest.defaultTestLoader.discover("tests", top_level_dir=".")
    result = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = len(result.failures) + len(result.errors)
    print(f"{result.testsRun - failed - len(result.skipped)} passed, {failed} failed, {len(result.skipped)} skipped")
    sys.exit(0 if result.wasSuccessful() and result.testsRun else 1)


if __name__ == "__main__":
    main()
