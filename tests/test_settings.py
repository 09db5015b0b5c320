"""Settings of a router process, and secrets that its logs must not contain."""

import io
import json
import logging
import unittest
from pathlib import Path

from loguru import logger

from wagtailtrestle.declarations.settings import (
    RouterSettings,
    SettingsFaults,
    load_router_settings,
    parse_router_settings,
)
from wagtailtrestle.observe.logs import start_logs

EXAMPLE = Path(__file__).parent.parent / "examples" / "settings" / "router.yaml"


class RouterSettingsTests(unittest.TestCase):
    def test_example_is_valid(self):
        settings = load_router_settings(EXAMPLE)
        self.assertIsInstance(settings, RouterSettings)
        self.assertEqual(settings.peers[0], ("router-2", "127.0.0.1:7101"))
        self.assertEqual(settings.caller_threads, 128)

    def test_only_names_addresses_and_platform_are_required(self):
        required = [line for line in EXAMPLE.read_text().splitlines()[:7] if not line.startswith("#")]
        self.assertIsInstance(parse_router_settings("\n".join(required)), RouterSettings)
        for line in required:
            rest = "\n".join(other for other in required if other != line)
            faults = parse_router_settings(rest).faults
            self.assertEqual([(fault.field, fault.problem) for fault in faults], [(line.split(":")[0], "is missing")])

    def test_every_fault_at_once_with_its_line(self):
        text = EXAMPLE.read_text()
        for old, new in (
            ("caller_threads: 128", "caller_threads: lots"),
            ("log_level: INFO", "log_level: LOUD"),
            ("http://127.0.0.1:8700", "127.0.0.1:8700"),
            ("router-3=", "router-3:"),
            ('"127.0.0.1:7100"', '"127.0.0.1:8080"'),
            ("peer_heartbeat_s: 0.3", "peer_heartbeats: 0.5"),
        ):
            self.assertIn(old, text)
            text = text.replace(old, new)
        found = parse_router_settings(text, file="r.yaml").faults
        self.assertEqual(
            [(fault.line, fault.field) for fault in found],
            [
                (5, "peers_address"),
                (7, "platform_url"),
                (8, "peers"),
                (9, "caller_threads"),
                (12, "log_level"),
                (15, "peer_heartbeats"),
            ],
        )

    def test_missing_file(self):
        self.assertIsInstance(load_router_settings(EXAMPLE / "nowhere"), SettingsFaults)


class LogTests(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logger.remove)
        self.addCleanup(logging.basicConfig, force=True)

    def test_no_key_or_prompt_in_a_log(self):
        # A call fails while a key and a prompt are in a bound field, in the message, in a local variable
        # and in the exception's message. None of them may appear in the log.
        for as_json in (False, True):
            stream = io.StringIO()
            writer = start_logs(stream=stream, as_json=as_json)
            secret = "hush-hush"
            logger.bind(request_id="r1", prompt=secret, Authorization=secret).info("sent Bearer {}", secret)
            try:
                raise ValueError(secret)
            except ValueError:
                logger.exception("failed")
            logging.getLogger("urllib3").warning("Authorization: Bearer %s", secret)
            writer.close()
            log_text = stream.getvalue()
            self.assertNotIn(secret, log_text.replace("raise ValueError(secret)", ""))
            self.assertIn("r1", log_text)
            self.assertIn("ValueError", log_text)

    def test_json_lines_hold_the_bound_fields(self):
        stream = io.StringIO()
        writer = start_logs(stream=stream, as_json=True, level="INFO")
        logger.debug("not shown")
        logger.bind(request_id="r1", team="office", tier="high", generation=3).info("done {braces}")
        writer.close()
        line = json.loads(stream.getvalue())
        self.assertEqual((line["request_id"], line["generation"], line["level"]), ("r1", 3, "INFO"))
        self.assertEqual(line["message"], "done {braces}")
