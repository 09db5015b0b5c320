"""Declarations: which faults are reported and where, and robustness against hostile text."""

import hashlib
import random
import unittest
from pathlib import Path

from wagtailtrestle.contracts.declaration import Declaration
from wagtailtrestle.declarations.check import DeclarationFaults, parse_declaration
from wagtailtrestle.declarations.diff import Added, Changed, Removed, difference

EXAMPLES = Path(__file__).parent.parent / "examples"
KEY = hashlib.sha256(b"k").hexdigest()
OTHER_KEY = hashlib.sha256(b"l").hexdigest()
VALID = f"""\
format: 1
organisation: club
regions: {{north: [a, b]}}
tiers: [high, low]
teams:
  - {{name: office, key_sha256: [{KEY}], share: 2}}
  - {{name: members, key_sha256: [{OTHER_KEY}]}}
services:
  - name: helper
    kind: language
    routes:
      - {{name: ask, method: POST, path: /v1/completions, tier: high, deadline_ms: 9, repeatable: false,
         teams: [office]}}
  - name: desk
    kind: plain
    routes:
      - {{name: book, method: POST, path: /book, tier: low, deadline_ms: 9, repeatable: false, at_most_once: true}}
      - {{name: rest, method: POST, path: /, tier: low, deadline_ms: 9, repeatable: true}}
engines:
  - {{name: h1, service: helper, zone: a, hardware: g1, address: "10.0.0.1:80", slots: 8, step_ms: 4,
     prefill_tokens_per_s: 9}}
  - {{name: d1, service: desk, cell: desks, zone: b, hardware: g1, address: "10.0.0.2:80", slots: 8}}
ledger: {{shards: 4, retention_s: 60}}
"""

# Each: text replaced in the valid file, its replacement, and the line, field and problem then reported.
REJECTED_CASES = (
    ("retention_s: 60", "retention_s: 20", 23, "ledger.retention_s", "lets claims expire while their requests"),
    ("format: 1", "format: 2", 1, "format", "out of range"),
    ("organisation: club\n", "", 1, "organisation", "is missing"),
    ("organisation: club", "organisation: no", 2, "organisation", "put it in quotes"),
    ("organisation: club", "organisation: club\nspeed: 9", 3, "speed", "unknown field"),
    ("organisation: club", "organisation: club\norganisation: other", 3, "organisation", "appears here twice"),
    ("{north: [a, b]}", "{north: [a, b], south: [a]}", 3, "regions.south", "repeats the zone a, declared on line 3"),
    ("{north: [a, b]}", "{}", 3, "regions", "declares no region"),
    ("{north: [a, b]}", "[a, b]", 3, "regions", "is not a mapping"),
    ("tiers: [high, low]", "tiers: []", 4, "tiers", "is empty"),
    ("tiers: [high, low]", "tiers:", 4, "tiers", "is not a list"),
    ("tiers: [high, low]", "tiers: [high, low, low]", 4, "tiers", "repeats the tier low, declared on line 4"),
    ("name: members", "name: office", 7, "teams[office].name", "repeats the team office, declared on line 6"),
    ("name: members", "name: 'a/b'", 7, "teams[a/b].name", "is not a name"),
    (OTHER_KEY, KEY, 7, "teams[members].key_sha256", "has a key that is already declared on line 6"),
    (f"[{KEY}]", "[]", 6, "teams[office].key_sha256", "is empty"),
    (KEY, "my-real-key", 6, "teams[office].key_sha256", "not a SHA-256 digest (11 characters"),
    ("share: 2", "share: 0", 6, "teams[office].share", "out of range"),
    ("share: 2", 'share: "2"', 6, "teams[office].share", "is quoted text"),
    ("share: 2", "share: 02", 6, "teams[office].share", "is not a number"),
    ("share: 2", "share: .nan", 6, "teams[office].share", "is not a number"),
    ("name: desk\n", "name: helper\n", 14, "services[helper].name", "repeats the service helper, declared on line 9"),
    ("name: desk\n", "name: v1\n", 14, "services[v1].name", "paths of language services"),
    ("kind: language", "kind: verbal", 10, "services[helper].kind", "is not supported"),
    ("kind: plain", "kind: plain\n    prefill_weight: 2", 16, "services[desk].prefill_weight", "out of range"),
    ("tier: high", "tier: top", 12, "services[helper].routes[ask].tier", "is top, which is not declared"),
    ("teams: [office]", "teams: [offices]", 13, "services[helper].routes[ask].teams", "is offices, which is not"),
    (
        "deadline_ms: 9, repeatable: false,\n",
        "deadline_ms: 1.5, repeatable: false,\n",
        12,
        "deadline_ms",
        "whole",
    ),
    (
        "repeatable: false,\n",
        "repeatable: no,\n",
        12,
        "services[helper].routes[ask].repeatable",
        "neither true",
    ),
    ("path: /v1/completions", "path: /v1/chat", 12, "services[helper].routes[ask].path", "on a language service"),
    ("POST, path: /v1", "GET, path: /v1", 12, "services[helper].routes[ask].method", "on a language service"),
    (
        "method: POST, path: /book",
        "method: CALL, path: /book",
        17,
        "services[desk].routes[book].method",
        "is not supported",
    ),
    ("path: /book", "path: /../book", 17, "services[desk].routes[book].path", "is not a path"),
    ("path: /book", "path: /desk/book", 17, "services[desk].routes[book].path", "repeats the service's name"),
    ("name: rest", "name: book", 18, "services[desk].routes[book].name", "repeats the route book, declared on line 17"),
    ("repeatable: true}", "repeatable: true, at_most_once: true}", 18, "rest].at_most_once", "on a repeatable route"),
    ("name: h1", "name: d1", 22, "engines[d1].name", "repeats the engine d1, declared on line 20"),
    ("service: desk", "service: desks", 22, "engines[d1].service", "is desks, which is not declared"),
    ("service: desk", "service: helper", 14, "services[desk]", "has no engine"),
    ("zone: b", "zone: c", 22, "engines[d1].zone", "is c, which is not declared"),
    ("cell: desks", "cell: helper", 22, "engines[d1].cell", "is helper, which already contains engines of helper"),
    ("10.0.0.2:80", "10.0.0.1:80", 22, "engines[d1].address", "repeats the address 10.0.0.1:80, declared on line 20"),
    ("10.0.0.2:80", "10.0.0.2", 22, "engines[d1].address", "has no port"),
    ("10.0.0.2:80", "10.0.0.2:0", 22, "engines[d1].address", "port is not from 1"),
    ("10.0.0.2:80", "desk.example:80", 22, "engines[d1].address", "host is not an IP number"),
    ("slots: 8}", "slots: 0}", 22, "engines[d1].slots", "out of range"),
    ("slots: 8, step_ms: 4", "slots: 8", 20, "engines[h1].step_ms", "is missing"),
    ("shards: 4", "shards: many", 23, "ledger.shards", "is not a whole number"),
    ("organisation: club", "organisation: &c club", 2, "", "has an anchor"),
    ("organisation: club", "organisation: !!python/name:os.system club", 2, "", "has a tag"),
    ("ledger:", "---\nledger:", 23, "", "second document"),
    ("ledger:", "ledger: [", 24, "", "in the structure that begins on line 23"),
)


def faults_of(text):
    parsed = parse_declaration(text, file="d.yaml")
    return parsed.faults if isinstance(parsed, DeclarationFaults) else ()


class RejectionTests(unittest.TestCase):
    def test_valid_file_is_accepted(self):
        declaration = parse_declaration(VALID)
        self.assertIsInstance(declaration, Declaration)
        self.assertEqual([tier.rank for tier in declaration.tiers_by_name.values()], [0, 1])
        self.assertEqual(declaration.engines_by_name["h1"].cell, "helper")
        self.assertEqual(declaration.engines_by_name["d1"].cell, "desks")
        self.assertTrue(declaration.services_by_name["desk"].routes_by_name["book"].at_most_once)

    def test_each_fault_is_reported_with_its_line_and_field(self):
        for old, new, line, field, problem in REJECTED_CASES:
            with self.subTest(new=new, problem=problem):
                self.assertIn(old, VALID)
                found = faults_of(VALID.replace(old, new, 1))
                matching = [f for f in found if f.line == line and f.field.endswith(field) and problem in f.problem]
                self.assertTrue(matching, [str(fault) for fault in found])
                self.assertTrue(all(fault.allowed for fault in found))

    def test_all_faults_are_reported_together(self):
        text = VALID.replace("tier: high", "tier: top").replace("zone: b", "zone: c").replace("share: 2", "share: x")
        self.assertEqual([fault.line for fault in faults_of(text)], [6, 12, 22])

    def test_key_in_place_of_its_digest_is_not_printed(self):
        # An operator writes the key itself in place of its digest. Faults are printed to a terminal
        # and to a CI log that others can read, so they must not contain the key.
        found = faults_of(VALID.replace(KEY, "my-real-key"))
        self.assertNotIn("my-real-key", " ".join(str(fault) for fault in found))

    def test_charge_shadowed_by_a_repeatable_route(self):
        # The first declared route that matches a call is its default. With "/" (repeatable) declared
        # before "/book" (at most once), a booking whose connection is lost would be sent again and
        # the member charged twice. Such an order is rejected.
        lines = VALID.splitlines()
        lines[16], lines[17] = lines[17], lines[16]
        self.assertIn(
            "is /book, shadowed by the earlier route rest",
            " ".join(str(fault) for fault in faults_of("\n".join(lines))),
        )

    def test_higher_tier_declared_after_the_default_of_a_team(self):
        # "office" may use "ask" (high) and "tell" (low) on one path; the first declared is its default
        # and the highest that it can name. With "tell" first, all its calls would wait in the
        # low tier and calls that name "ask" would be rejected. Another team's order does not matter.
        tell = "{name: tell, method: POST, path: /v1/completions, tier: low, deadline_ms: 9, repeatable: true"
        for teams, fault_count in (("", 1), (", teams: [office]", 1), (", teams: [members]", 0)):
            text = VALID.replace("      - {name: ask", f"      - {tell}{teams}}}\n      - {{name: ask")
            found = faults_of(text)
            self.assertEqual(len(found), fault_count, found)
            self.assertTrue(all("above that of team office's default" in fault.problem for fault in found))

    def test_duplicate_key_of_one_team(self):
        self.assertIn(
            "is already declared on line 6", faults_of(VALID.replace(f"[{KEY}]", f"[{KEY}, {KEY}]"))[0].problem
        )

    def test_routes_on_one_path_with_different_guarantees(self):
        found = faults_of(VALID.replace("path: /,", "path: /book/,"))
        self.assertIn("whose repeatable or at_most_once differs", found[0].problem)


class HostileTextTests(unittest.TestCase):
    def test_text_that_is_not_a_declaration(self):
        hostile = ("", "\0", "\ud800", b"\xff\xfe", None, 7, "- a", "~", "a", "? [x]\n: y", "{[1]: 2, a: {b: [c}}")
        for text in hostile:
            with self.subTest(text=ascii(text)):
                self.assertTrue(faults_of(text))

    def test_alias_bomb(self):
        # Twenty lines of nested aliases expand to 10^19 nodes: code that traverses them hangs.
        text = "a0: &a0 [x, x]\n" + "".join(f"a{n}: &a{n} [{f'*a{n - 1},' * 9}]\n" for n in range(1, 20))
        self.assertIn("anchor", faults_of(text)[0].problem)

    def test_depth_and_size_are_bounded(self):
        # Composing 400,000 nested lists overflows the C stack: the process would crash.
        for text in ("[" * 400_000, "{a: " * 200_000, "- " * 400_000, "? " * 400_000, "#" * 1_000_001):
            with self.subTest(text=text[:4]):
                self.assertEqual(len(faults_of(text)), 1)

    def test_damaged_files_never_raise(self):
        source = random.Random(20261202)
        fragments = (
            "",
            "[",
            "]",
            "{",
            "}",
            ":",
            "- ",
            "\n",
            "'",
            "null",
            "&a",
            "*a",
            "!t ",
            "\t",
            "1e999",
            "é",
            "\0",
            "9" * 400,
        )
        for _ in range(600):
            text = VALID
            for _ in range(source.randint(1, 4)):
                start = source.randrange(len(text))
                text = text[:start] + source.choice(fragments) + text[start + source.randint(0, 30) :]
            self.assertIsInstance(parse_declaration(text), (Declaration, DeclarationFaults))


class ExampleTests(unittest.TestCase):
    def test_both_deployments_are_complete(self):
        sizes = {
            "cometas": ({"gijon", "santander", "zarautz"}, {"asistente": 9, "reservas": 3}),
            "nagarchinha": ({"salt-lake", "howrah", "barasat", "behala"}, {"naamkosh": 6, "thikana": 4}),
        }
        for name, (zones, engines_by_service) in sizes.items():
            declaration = parse_declaration((EXAMPLES / f"{name}.yaml").read_bytes())
            self.assertIsInstance(declaration, Declaration)
            found = {}
            for engine in declaration.engines_by_name.values():
                found[engine.service] = found.get(engine.service, 0) + 1
            self.assertEqual(found, engines_by_service)
            self.assertEqual({engine.zone for engine in declaration.engines_by_name.values()}, zones)
            for team in declaration.teams_by_name.values():
                digest = hashlib.sha256(f"example-key-{team.name}".encode()).hexdigest()
                self.assertEqual(team.key_sha256, (digest,))


class DifferenceTests(unittest.TestCase):
    def test_changes_by_section_and_name(self):
        before = parse_declaration(VALID)
        text = VALID.replace("share: 2", "share: 3").replace("name: h1", "name: h2").replace("shards: 4", "shards: 8")
        self.assertEqual(
            difference(before, parse_declaration(text)),
            (
                Changed(section="declaration", name="", field="ledger.shards", before="4", after="8"),
                Changed(section="teams", name="office", field="share", before="2", after="3"),
                Removed(section="engines", name="h1"),
                Added(section="engines", name="h2"),
            ),
        )
        self.assertEqual(difference(before, parse_declaration(VALID)), ())
        self.assertIn(Added(section="routes", name="desk/book"), difference(None, before))
