"""Runs all checks of the specifications and prints the results.

``--deep`` searches longer traces and larger instances.
"""

import sys
import time

import fire

from wagtailtrestle.spec.checks import MODULES, Kind, findings_of

KINDS_WITH_TRACE = (Kind.MUTANT, Kind.LIMIT)


def run(deep=False):
    """Run all checks and exit with status 1 if any of them failed."""
    failed = 0
    for module in MODULES:
        began = time.perf_counter()
        for finding in findings_of(module, deep=deep):
            failed += not finding.passed
            print(_line(finding, time.perf_counter() - began), flush=True)
            if finding.trace is not None and (finding.kind in KINDS_WITH_TRACE or not finding.passed):
                print(finding.trace.text(), flush=True)
            began = time.perf_counter()
    print(f"{failed} checks failed")
    sys.exit(1 if failed else 0)


def _line(finding, seconds):
    verdict = "as expected" if finding.passed else "FAILED"
    return f"{finding.specification}: {finding.kind} {finding.name}: {verdict} ({finding.detail}; {seconds:.1f} s)"


if __name__ == "__main__":
    fire.Fire(run)
