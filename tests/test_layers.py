"""Decisions import no I/O: they must run under an advanced clock, without sockets or threads."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1] / "wagtailtrestle"
DECISIONS = (
    "entry",
    "request_task",
    "request_claim",
    "reach",
    "cells",
    "retry_budget",
    "poison",
    "crash_watch",
    "steward",
    "steward_set",
    "tier_queue",
    "admission",
    "preemption",
    "isolation",
    "registration",
    "run_book",
    "engine_state",
    "engine_model",
    "prefix_cache",
    "policies",
    "engine_health",
    "membership",
    "rendezvous",
    "applying",
)
FORBIDDEN = {"socket", "ssl", "selectors", "threading", "queue", "subprocess", "urllib3", "cheroot", "grpclib", "http"}


def imported(module):
    """Names of the modules that one of ours imports."""
    for node in ast.walk(ast.parse((PACKAGE / f"{module}.py").read_text())):
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
        if name != own and (PACKAGE / f"{own}.py").exists():
            waiting.extend(imported(own))
    return seen


class LayersTest(unittest.TestCase):
    def test_decisions_reach_no_io_library(self):
        for module in DECISIONS:
            with self.subTest(module=module):
                used = {name.partition(".")[0] for name in reached(module)} & FORBIDDEN
                self.assertEqual(used, set())

    def test_the_check_sees_what_an_adapter_imports(self):
        self.assertIn("urllib3", {name.partition(".")[0] for name in reached("engine_http")})


if __name__ == "__main__":
    unittest.main()
