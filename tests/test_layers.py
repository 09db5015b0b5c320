"""Decisions import no I/O: they must run under an advanced clock, without sockets or threads."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1] / "wagtailtrestle"
DECISIONS = (
    "entry.entry",
    "entry.request_task",
    "entry.request_claim",
    "entry.reach",
    "entry.cells",
    "entry.retry_budget",
    "entry.poison",
    "entry.crash_watch",
    "capacity.steward",
    "capacity.steward_set",
    "capacity.tier_queue",
    "capacity.admission",
    "capacity.preemption",
    "capacity.isolation",
    "capacity.registration",
    "capacity.run_book",
    "engines.state",
    "engines.model",
    "engines.prefix_cache",
    "engines.policies",
    "engines.health",
    "membership.membership",
    "peers.rendezvous",
    "configuration.applying",
)
FORBIDDEN = {"socket", "ssl", "selectors", "threading", "queue", "subprocess", "urllib3", "cheroot", "grpclib", "http"}


def _path(module):
    return PACKAGE / f"{module.replace('.', '/')}.py"


def imported(module):
    """Names of the modules that one of ours imports."""
    for node in ast.walk(ast.parse(_path(module).read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def reached(module):
    """Everything a module imports, by way of our own modules too."""
    seen, waiting = set(), [f"wagtailtrestle.{module}"]
    while waiting:
        name = waiting.pop()
        if name in seen:
            continue
        seen.add(name)
        own = name.removeprefix("wagtailtrestle.")
        if name != own and _path(own).exists():
            waiting.extend(imported(own))
    return seen


class LayersTest(unittest.TestCase):
    def test_decisions_reach_no_io_library(self):
        for module in DECISIONS:
            with self.subTest(module=module):
                used = {name.partition(".")[0] for name in reached(module)} & FORBIDDEN
                self.assertEqual(used, set())

    def test_the_check_sees_what_an_adapter_imports(self):
        self.assertIn("urllib3", {name.partition(".")[0] for name in reached("engines.client")})


if __name__ == "__main__":
    unittest.main()
