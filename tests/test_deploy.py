"""Files from which the users' platform builds and starts the router: requirements, role and settings template."""

import re
import tomllib
import unittest
from pathlib import Path

from wagtailtrestle.declarations.settings import SettingsFaults, parse_router_settings

ROOT = Path(__file__).resolve().parents[1]
SECTION = re.compile(r"\{\{#([a-z_.0-9]+)\}\}\n(.*?)\{\{/\1\}\}\n", re.DOTALL)
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
    "bounds.budget_window_s": "8",
    "bounds.quota_window_s": "8",
    "bounds.quota_overage": "0.1",
    "bounds.quota_slack": "140000",
    "bounds.revoke_ms": "5000",
    "bounds.strict_revocation": "true",
    "bounds.grace_s": "8",
    "limits.memory_mb": "152",
}


def render(template, fields):
    """Render a template as the platform does; sections without a value are omitted."""
    kept = SECTION.sub(lambda found: found.group(2) if found.group(1) in fields else "", template)
    return PLACEHOLDER.sub(lambda found: fields[found.group(1)], kept)


class DeployTest(unittest.TestCase):
    def test_requirements_match_the_project_dependencies(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        required = (ROOT / "deploy" / "requirements.txt").read_text().split()
        self.assertEqual(required, project["dependencies"])

    def test_rendered_template_is_valid(self):
        template = (ROOT / "deploy" / "router.yaml").read_text()
        settings = parse_router_settings(render(template, FIELDS))
        self.assertNotIsInstance(settings, SettingsFaults, getattr(settings, "faults", ""))
        self.assertEqual(settings.adapter, "platform")
        self.assertEqual((settings.key_freshness_s, settings.max_drain_s), (4.5, 0.84 * 8))
        self.assertEqual((settings.caller_threads, settings.affordable_caller_threads), (1024, 440))
        self.assertEqual((settings.retry_share, settings.retry_extra, settings.retry_window_s), (0.2, 58.0, 8.0))

    def test_template_without_optional_bounds_is_valid(self):
        template = (ROOT / "deploy" / "router.yaml").read_text()
        fields = {name: value for name, value in FIELDS.items() if not name.startswith("bounds.")}
        settings = parse_router_settings(render(template, fields))
        self.assertNotIsInstance(settings, SettingsFaults, getattr(settings, "faults", ""))
        self.assertEqual((settings.key_freshness_s, settings.quota_window_s), (0.0, 0.0))
        self.assertEqual(settings.affordable_caller_threads, 440)
        fields["limits.memory_mb"] = "16"
        settings = parse_router_settings(render(template, fields))
        self.assertEqual(settings.affordable_caller_threads, 4)

    def test_router_role_and_metrics_address_match_the_template(self):
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = system["roles"]["router"]
        self.assertIn("wagtailtrestle.cli.router", role["run"])
        port, path = role["metrics"].split("/")
        self.assertIn(f'metrics_address: "{{{{ip}}}}:{port}"', (ROOT / role["template"]).read_text())
        self.assertEqual(path, "metrics")


if __name__ == "__main__":
    unittest.main()
