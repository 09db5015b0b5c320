"""What the users' platform builds and starts the product from."""

import re
import tomllib
import unittest
from pathlib import Path

from wagtailtrestle.declarations.settings import SettingsFaults, parse_router_settings

ROOT = Path(__file__).resolve().parents[1]
PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)\}\}")
FIELDS = {
    "node": "front-1",
    "zone": "a",
    "ip": "10.0.0.1",
    "internal_ports.0": "7600",
    "listen.front": "10.0.0.1:80",
    "listen.ready": "10.0.0.1:81",
    "platform.address": "10.0.0.9:82",
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_extra_retries": "58",
    "bounds.quota_window_s": "8",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": "140000",
    "bounds.revoke_ms": "5000",
}


class DeployTest(unittest.TestCase):
    def test_the_build_installs_what_the_project_declares(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        required = (ROOT / "deploy" / "requirements.txt").read_text().split()
        self.assertEqual(required, project["dependencies"])

    def test_the_template_gives_sound_settings(self):
        template = (ROOT / "deploy" / "router.yaml").read_text()
        settings = parse_router_settings(PLACEHOLDER.sub(lambda found: FIELDS[found.group(1)], template))
        self.assertNotIsInstance(settings, SettingsFaults, getattr(settings, "faults", ""))
        self.assertEqual(settings.adapter, "platform")

    def test_the_role_runs_the_router_and_names_its_metrics(self):
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = system["roles"]["router"]
        self.assertIn("wagtailtrestle.cli.router", role["run"])
        port, path = role["metrics"].split("/")
        self.assertIn(f'metrics_address: "{{{{ip}}}}:{port}"', (ROOT / role["template"]).read_text())
        self.assertEqual(path, "metrics")


if __name__ == "__main__":
    unittest.main()
