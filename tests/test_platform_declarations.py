"""Decoding of the users' configuration and of engine registrations."""

import copy
import json
import unittest

from wagtailtrestle.callers.route_match import HostRouteIndex, choose_service
from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN, Declaration
from wagtailtrestle.platform.declarations import PlatformDeclarations, tier_of
from wagtailtrestle.platform.engine_entries import read_engine

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "drafts",
            "host": "Assistant.example",
            "path_prefix": "/drafts/",
            "kind": "streaming",
            "timeout_ms": 15000,
            "target_latency_ms": 1000,
            "priority": 0,
            "service": "assistant",
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "bookings",
            "host": "assistant.example",
            "path_prefix": "/drafts/bookings/",
            "kind": "non_idempotent",
            "timeout_ms": 4000,
            "target_latency_ms": 400,
            "priority": 2,
            "traffic_split": [{"service": "booking", "weight": 90}, {"service": "booking-next", "weight": 10}],
            "max_attempts": 2,
            "public": True,
        },
    ],
    "services": [
        {"name": "assistant", "health_path": "/health", "engine": {"slots": 10, "stride": 5}},
        {"name": "booking", "health_path": "/health"},
        {"name": "booking-next", "health_path": "/health"},
    ],
    "limits": {},
    "tenants": [
        {
            "name": "club",
            "api_keys": ["k1"],
            "priority": 1,
            "unit": "tokens",
            "plain_tokens": 200,
            "rate_per_s": 1000,
            "burst": 2000,
        },
        {"name": "guests", "api_keys": []},
    ],
}
ENTRY = {
    "service": "assistant",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 10,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
}


def parse(document):
    return PlatformDeclarations().parse(json.dumps(document))


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.declaration = parse(CONFIGURATION)

    def test_services(self):
        services = self.declaration.services_by_name
        self.assertEqual(services["assistant"].kind, LANGUAGE)
        self.assertEqual(services["assistant"].tokens_per_event, 5)
        self.assertEqual(services["booking"].kind, PLAIN)
        self.assertFalse(services["assistant"].attachable)

    def test_what_may_be_repeated_follows_from_the_kind(self):
        drafts, bookings = self.declaration.host_routes
        self.assertTrue(drafts.repeatable and drafts.resumable and drafts.streaming)
        self.assertFalse(bookings.repeatable)
        self.assertTrue(bookings.public)

    def test_a_stream_that_may_not_be_resumed_may_not_be_repeated(self):
        document = copy.deepcopy(CONFIGURATION)
        document["routes"][0]["resumable"] = False
        self.assertFalse(parse(document).host_routes[0].repeatable)

    def test_quotas_count_tokens_or_the_flat_figure(self):
        quota = self.declaration.teams_by_name["club"].quota
        self.assertEqual(quota.cost(tokens=1540), 1540)
        self.assertEqual(quota.cost(tokens=None), 200)
        self.assertIsNone(self.declaration.teams_by_name["guests"].quota)

    def test_the_team_ranks_before_the_route(self):
        drafts, bookings = self.declaration.host_routes
        club = self.declaration.teams_by_name["club"]
        guests = self.declaration.teams_by_name["guests"]
        ranks = [int(tier_of(route=route, team=team)) for team in (guests, club) for route in (drafts, bookings)]
        self.assertEqual(ranks, sorted(ranks))
        self.assertEqual(len(set(ranks)), 4)
        for rank in ranks:
            self.assertIn(str(rank), self.declaration.tiers_by_name)

    def test_a_configuration_that_cannot_be_read_says_why(self):
        # The operator's document lacks a field. The one in force must stay, and the fault is reported.
        for path in ("routes", "services"):
            document = copy.deepcopy(CONFIGURATION)
            del document[path]
            read = parse(document)
            self.assertNotIsInstance(read, Declaration)
            self.assertIn(path, str(read.faults[0]))

    def test_text_that_is_no_document_says_why(self):
        for text in ("", "[]", "{", "null", '{"routes": 3, "services": []}'):
            self.assertTrue(PlatformDeclarations().parse(text).faults)

    def test_the_version_is_the_generation(self):
        accepted = PlatformDeclarations().parse_accepted(version=530, value=CONFIGURATION)
        self.assertEqual((accepted.version, accepted.generation), (530, 7))
        self.assertIsNone(PlatformDeclarations().parse_accepted(version=1, value={"routes": []}))


class HostRouteTest(unittest.TestCase):
    def setUp(self):
        self.routes = parse(CONFIGURATION).host_routes
        self.index = HostRouteIndex(routes=self.routes)

    def found(self, host, path):
        route = self.index.find(host=host, path=path)
        return route.name if route else None

    def test_the_longest_prefix_wins(self):
        self.assertEqual(self.found("assistant.example", "/drafts/bookings/1"), "bookings")
        self.assertEqual(self.found("assistant.example", "/drafts/1"), "drafts")

    def test_port_and_case_of_the_host_do_not_matter(self):
        self.assertEqual(self.found("ASSISTANT.example:8080", "/drafts/1"), "drafts")

    def test_no_route(self):
        self.assertIsNone(self.found("assistant.example", "/drafts"))
        self.assertIsNone(self.found("other.example", "/drafts/1"))

    def test_a_split_follows_its_weights_and_stays_with_a_request(self):
        bookings = self.routes[1]
        chosen = [choose_service(route=bookings, request_id=f"r{number}") for number in range(2000)]
        self.assertAlmostEqual(chosen.count("booking-next") / 2000, 0.1, delta=0.03)
        self.assertEqual(chosen[0], choose_service(route=bookings, request_id="r0"))


class EngineEntryTest(unittest.TestCase):
    def test_an_entry(self):
        engine = read_engine("i-1", ENTRY)
        self.assertEqual((engine.name, engine.cell, engine.address), ("i-1", "assistant", "10.0.0.1:80"))
        self.assertFalse(engine.leaving)

    def test_a_draining_engine_is_leaving(self):
        self.assertTrue(read_engine("i-1", {**ENTRY, "state": "draining"}).leaving)

    def test_an_entry_that_cannot_be_read_is_left_out(self):
        for value in (None, {}, {**ENTRY, "slots": "many"}):
            self.assertIsNone(read_engine("i-1", value))


if __name__ == "__main__":
    unittest.main()
