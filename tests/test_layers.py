"""Modules that decide import no I/O, so that they run under a simulated clock, without sockets or threads."""

import ast
import unittest
from pathlib import Path

PACKAGE = Path(__file__).resolve().parents[1] / "wagtailtrestle"
DECISIONS = (
    "entry.entry",
    "entry.request_task",
    "entry.request_claim",
    "entry.direct_dispatch",
    "entry.execution_evidence",
    "entry.cells",
    "capacity.retry_budget",
    "capacity.crash_signs",
    "capacity.recent_times",
    "entry.retry_record",
    "entry.poison",
    "entry.part_crashes",
    "entry.stream_store",
    "entry.stream_versions",
    "entry.version_history",
    "configuration.version_note",
    "entry.crash_watch",
    "capacity.scheduler",
    "capacity.scheduler_set",
    "capacity.tier_queue",
    "capacity.admission",
    "capacity.tier_floor",
    "capacity.engine_match",
    "capacity.late_service",
    "capacity.late_queue",
    "capacity.preemption",
    "capacity.isolation",
    "capacity.registration",
    "capacity.run_table",
    "engines.state",
    "engines.model",
    "engines.prefix_cache",
    "engines.policies",
    "engines.health",
    "engines.notices",
    "engines.rate_limit",
    "engines.rejection_limit",
    "engines.paths",
    "peers.helper_choice",
    "membership.membership",
    "peers.rendezvous",
    "configuration.applying",
    "configuration.engine_list",
    "membership.announcement",
    "quotas.owner",
)
FORBIDDEN = {"socket", "ssl", "selectors", "threading", "queue", "subprocess", "urllib3", "cheroot", "grpclib", "http"}


def _path(module):
    return PACKAGE / f"{module.replace('.', '/')}.py"


def imported(module):
    """Yield the names of the modules that a module of the package imports."""
    for node in ast.walk(ast.parse(_path(module).read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


def reached(module):
    """Return all modules that a module imports, directly or through modules of the package."""
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


WIRING = {"adapters.py"}
WIRE_NAMES = (
    "Token-Counts",
    "Response-Stamp",
    "Expect-Instance",
    "Not-Executed",
    "Deadline-Milliseconds",
    "path_prefix",
    "store_revision",
    "kv_capacity_tokens",
    "traffic_split",
    "api_keys",
    "max_attempts",
    "/v1/objects",
)


def modules_outside_platform():
    return [path for path in PACKAGE.rglob("*.py") if "platform" not in path.relative_to(PACKAGE).parts]


class PlatformFolderTest(unittest.TestCase):
    def test_only_the_wiring_imports_it(self):
        importers = {
            str(path.relative_to(PACKAGE))
            for path in modules_outside_platform()
            if "from wagtailtrestle.platform" in path.read_text()
        }
        self.assertEqual(importers, WIRING)

    def test_no_wire_name_stands_outside_it(self):
        for path in modules_outside_platform():
            text = path.read_text()
            for name in WIRE_NAMES:
                with self.subTest(path=path.name, name=name):
                    self.assertNotIn(name, text)

    def test_it_translates_only(self):
        # Code that needs timers, threads or tasks decides something and belongs in the core.
        for path in (PACKAGE / "platform").glob("*.py"):
            used = (
                {name.partition(".")[0] for name in imported(f"platform.{path.stem}")}
                if path.stem != "__init__"
                else set()
            )
            with self.subTest(path=path.name):
                self.assertEqual(used & {"threading", "asyncio", "queue", "random"}, set())


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
