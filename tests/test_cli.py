"""The command lines: exit statuses, messages, and that an invalid command line runs nothing."""

import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import yaml

from tests.utils.memory_store import MemoryStore
from wagtailtrestle.cli import dump, operate, router
from wagtailtrestle.contracts.outcomes import StoreDone, StoreUnavailable
from wagtailtrestle.environment import Environment
from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.membership.vm_list import VM

EXAMPLES = Path(__file__).parent.parent / "examples"
COMETAS = str(EXAMPLES / "cometas.yaml")
URL = "http://127.0.0.1:8700"


class StartedStore(MemoryStore):
    """Counts how often it is open, since the command line must close every store it starts."""

    routers = ()
    open_count = 0

    def start(self):
        self.open_count += 1

    def close(self):
        self.open_count -= 1

    async def vms(self):
        return StoreUnavailable(detail="down") if self.down else StoreDone(version=1, value=self.routers)


class CommandLineCase(unittest.TestCase):
    def setUp(self):
        self.store = StartedStore()
        self.state_by_url = {}
        self.out, self.err = io.StringIO(), io.StringIO()
        for name in ("SETTLE_PAUSE_S",):
            patch = mock.patch(f"wagtailtrestle.configuration.applying.{name}", 0)
            patch.start()
            self.addCleanup(patch.stop)

    def call(self, program, *arguments):
        self.out, self.err = io.StringIO(), io.StringIO()
        environment = Environment(
            program=program.PROGRAM,
            stdin=io.StringIO(),
            stdout=self.out,
            stderr=self.err,
            environ={},
            open_store=lambda url: self.store,
            fetch_json=lambda url: self.state_by_url.get(url, "connection refused"),
            unix_time=lambda: 1_800_000_000.0,
            new_id=lambda: "apply-x",
        )
        status = program.run(environment, arguments)
        self.assertEqual(self.store.open_count, 0)
        return status

    def operate(self, *arguments):
        return self.call(operate, *arguments)

    def changed_cometas(self, old="share: 3", new="share: 4"):
        file = tempfile.NamedTemporaryFile("w", suffix=".yaml")
        self.addCleanup(file.close)
        file.write(Path(COMETAS).read_text().replace(old, new))
        file.flush()
        return file.name


class CheckAndDiffTests(CommandLineCase):
    def test_check(self):
        self.assertEqual(self.operate("check", COMETAS), ExitStatus.DONE)
        self.assertIn("12 engines", self.out.getvalue())
        faulty = self.changed_cometas("zone: gijon", "zone: bilbao")
        self.assertEqual(self.operate("check", faulty), ExitStatus.CHECK_FAILED)
        lines = Path(COMETAS).read_text().splitlines()
        number = next(number for number, line in enumerate(lines, 1) if "name: asistente-1," in line)
        self.assertIn(f"{faulty}:{number}: engines[asistente-1].zone: is bilbao", self.err.getvalue())
        self.assertIn("4 faults", self.err.getvalue())
        self.assertEqual(self.operate("check", "nowhere.yaml"), ExitStatus.USAGE)

    def test_diff(self):
        changed = self.changed_cometas()
        self.assertEqual(self.operate("diff", changed, "--against", COMETAS), ExitStatus.DONE)
        self.assertIn("~ teams oficina share: 3 -> 4", self.out.getvalue())
        self.operate("apply", COMETAS, "--platform", URL)
        self.assertEqual(self.operate("diff", changed, "--platform", URL), ExitStatus.DONE)
        self.assertIn("2 changes against generation 1", self.out.getvalue())
        self.assertEqual(self.operate("diff", changed), ExitStatus.USAGE)
        self.store.down = True
        self.assertEqual(self.operate("diff", changed, "--platform", URL), ExitStatus.NOT_REACHED)


class ApplyTests(CommandLineCase):
    def applied_text(self):
        found = self.store.table.get(kind="declarations", name="current")
        return found.value["text"] if isinstance(found, StoreDone) else None

    def test_applied(self):
        self.assertEqual(self.operate("apply", COMETAS, "--platform", URL), ExitStatus.DONE)
        self.assertEqual(self.applied_text(), Path(COMETAS).read_text())
        self.assertIn("generation 1", self.out.getvalue())

    def test_faulty_file_applies_nothing(self):
        faulty = self.changed_cometas("zone: gijon", "zone: bilbao")
        self.assertEqual(self.operate("apply", faulty, "--platform", URL), ExitStatus.CHECK_FAILED)
        self.assertIsNone(self.applied_text())

    def test_conflict_names_the_generation_to_start_from(self):
        # Guards against a lost update: two operators edit generation 1, and the second one to apply would
        # overwrite the first one's change. The second apply must fail and name the generation to rebase on.
        self.operate("apply", COMETAS, "--platform", URL)
        self.operate("apply", self.changed_cometas(), "--platform", URL, "--base", "1")
        self.assertEqual(self.operate("apply", COMETAS, "--platform", URL, "--base", "1"), ExitStatus.CONFLICT)
        self.assertIn("--base 2", self.err.getvalue())
        self.assertIn("share: 4", self.applied_text())

    def test_platform_down_is_certainly_not_applied(self):
        self.store.down = True
        self.assertEqual(self.operate("apply", COMETAS, "--platform", URL), ExitStatus.NOT_REACHED)
        self.assertIn("Nothing was applied", self.err.getvalue())

    def test_lost_answer_is_settled_by_reading_back(self):
        self.store.lose_answers = 1
        self.assertEqual(self.operate("apply", COMETAS, "--platform", URL), ExitStatus.DONE)

    def test_lost_answer_and_then_an_outage_is_unknown(self):
        # The update takes effect, its answer is lost and the platform goes down, so neither "applied" nor
        # "not applied" is known. The message must say unknown and give the apply's id, by which the
        # operator recognises it once the platform is back.
        self.store.lose_answers = 1
        self.store.after_write = lambda: setattr(self.store, "down", True)
        self.assertEqual(self.operate("apply", COMETAS, "--platform", URL), ExitStatus.UNKNOWN)
        self.assertIn("apply apply-x", self.err.getvalue())

    def test_interrupted_apply_is_unknown(self):
        self.store.before_write = mock.Mock(side_effect=KeyboardInterrupt)
        self.assertEqual(self.operate("apply", COMETAS, "--platform", URL), ExitStatus.UNKNOWN)

    def test_misspelt_flag_applies_nothing(self):
        # fire calls a command before it parses the remaining arguments. With a misspelt --base, a command that
        # ran immediately would replace a colleague's declaration unchecked and report the flag only afterwards.
        for extra in (("--bsae", "1"), ("again",), ("--base",), ("--base", "one"), ("--", "--trace")):
            status = self.operate("apply", COMETAS, "--platform", URL, *extra)
            self.assertEqual((status, self.applied_text()), (ExitStatus.USAGE, None), extra)
            self.assertIn("Nothing", self.err.getvalue())
            self.assertNotIn("Traceback", self.err.getvalue())


class StatusTests(CommandLineCase):
    def test_generation_in_force_on_each_router(self):
        self.operate("apply", COMETAS, "--platform", URL)
        self.store.routers = tuple(
            VM(id=f"router-{n}", role="router", zone="gijon", address="", admin=f"http://r{n}", leaving=False)
            for n in (1, 2)
        )
        self.state_by_url = {f"http://r{n}/state": {"configuration": {"generation": 1}} for n in (1, 2)}
        self.assertEqual(self.operate("status", "--platform", URL), ExitStatus.DONE)
        self.assertIn("accepted generation: 1 (apply apply-x, 2027-01-15", self.out.getvalue())
        self.state_by_url["http://r2/state"] = {"configuration": {"generation": 0}}
        self.assertEqual(self.operate("status", "--platform", URL), ExitStatus.CHECK_FAILED)
        self.assertRegex(self.out.getvalue(), r"router-2 +gijon +none yet +behind")
        del self.state_by_url["http://r2/state"]
        self.assertEqual(self.operate("status", "--platform", URL), ExitStatus.CHECK_FAILED)
        self.assertIn("unreachable: connection refused", self.out.getvalue())
        self.store.down = True
        self.assertEqual(self.operate("status", "--platform", URL), ExitStatus.NOT_REACHED)


class OtherProgramTests(CommandLineCase):
    def test_help(self):
        for arguments in (("--help",), ("apply", "--help"), ("apply", "--", "--help")):
            self.assertEqual(self.operate(*arguments), ExitStatus.DONE)
            self.assertRegex(self.out.getvalue(), "(?i)exit status(es)?")
            self.assertNotIn("METADATA", self.out.getvalue())
        self.assertEqual(self.operate(), ExitStatus.USAGE)
        self.assertEqual(self.operate("frobnicate"), ExitStatus.USAGE)

    def test_dump(self):
        self.state_by_url["http://127.0.0.1:9/state"] = {"generation": 4, "zone": "gijon"}
        for arguments, load in ((("127.0.0.1:9",), yaml.safe_load), (("http://127.0.0.1:9/", "--json"), json.loads)):
            self.assertEqual(self.call(dump, *arguments), ExitStatus.DONE)
            self.assertEqual(load(self.out.getvalue()), {"generation": 4, "zone": "gijon"})
        self.assertEqual(self.call(dump, "127.0.0.1:8"), ExitStatus.NOT_REACHED)
        self.assertEqual(self.call(dump, "not a url"), ExitStatus.USAGE)

    def test_router_does_not_start_on_faulty_settings(self):
        self.assertEqual(self.call(router, "--settings", COMETAS), ExitStatus.USAGE)
        self.assertIn("The router was not started", self.err.getvalue())

    def started(self, *arguments):
        """Return the settings file with which the router starts, or ``None`` if it doesn't, and all output."""
        with mock.patch.object(router, "start_router", return_value=ExitStatus.DONE) as start:
            status = self.call(router, *arguments)
        file = start.call_args.kwargs["settings_file"] if start.called else None
        return status, file, self.out.getvalue(), self.err.getvalue()

    def test_router_reads_its_usual_command_line_as_fire_does(self):
        # Guards against a direct path for `--settings FILE` that accepts or reports anything else than fire does.
        for values in (
            *((COMETAS,), ("7",), ("[a]",), ("None",), ("a=b",), ("a b",), ("'quoted'",), ("",), ("-",), ("--",)),
            *((), ("--help",), ("-h",), (COMETAS, "more"), (COMETAS, "--", "--help"), ("--settings", COMETAS)),
        ):
            found = self.started("--settings", *values)
            with mock.patch.object(router, "_only_settings_file", return_value=None):
                self.assertEqual(found, self.started("--settings", *values), values)

    def test_router_starts_without_fire(self):
        # Guards against an import that makes each start of a router load fire again.
        program = "import sys, wagtailtrestle.cli.router, wagtailtrestle.core; sys.exit('fire' in sys.modules)"
        self.assertEqual(subprocess.run([sys.executable, "-c", program], check=False).returncode, 0)
