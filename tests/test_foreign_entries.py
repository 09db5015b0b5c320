"""Invalid entries, lists, reports and configurations from other writers to the platform's store.

Any client may write to the platform's store. Accepted as an engine, an invalid entry sends callers' requests
to an invalid address, or ends the task that follows the list, so that a router keeps the engines of that
moment indefinitely. Whatever an engine would not write is therefore rejected, and only that entry.
"""

import asyncio
import base64
import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_engine_list import Followed, entry
from tests.utils.paused_clock import on_paused_clock
from wagtailtrestle.configuration.engine_list import RELIST_INTERVAL_S, WATCH_TIMEOUT_S
from wagtailtrestle.contracts.declaration import DeclaredEngine
from wagtailtrestle.contracts.messages import EngineNotice
from wagtailtrestle.contracts.peer_messages import Hello
from wagtailtrestle.contracts.stream_messages import StreamVersion
from wagtailtrestle.entry.stream_store import _read_records
from wagtailtrestle.peers.codec import encode
from wagtailtrestle.peers.connection import connect
from wagtailtrestle.platform.declarations import PlatformDeclarations
from wagtailtrestle.platform.engine_entries import STATES, InvalidField, read_engine
from wagtailtrestle.platform.engines import PlatformReports
from wagtailtrestle.platform.rollouts import read_rollout
from wagtailtrestle.platform.store import _event, _is_event, _is_list, _is_object, _is_vm, _value
from wagtailtrestle.store.tolerant_json import MAX_DEPTH, is_too_deep, parse_json

FOREIGN = {
    "state": ["moon", "", None, 5, ["ready"]],
    "address": [5, "nonsense", "", None, "10.0.0.1", "10.0.0.1:0", "10.0.0.1:99999", "host:80", ["10.0.0.1:80"]],
    "slots": [-3, 0, "6", 6.0, True, None, 10**9],
    "service": [["x"], 5, "", None, {"a": 1}, "s" * 300, "\udcff"],
    "zone": [7, None, ["a"], "a\ud800"],
    "version": [7, None, "\udcff"],
    "cold_remaining_ms": ["0", None, False],
    "sequence": ["4", None, 1.5],
    "born": ["1", 1.5, True, None, -1, 2**64, 10**30],
}
ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:" + "9" * 5000,
    f"127.0.0.1:{2**70}",
    "127.0.0.1:\u0663",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1",
    "\x00:80",
    "a" * 300 + ":80",
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(st.characters(), max_size=20),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner, max_size=3),
    max_leaves=6,
)
ANY_ENTRY = st.dictionaries(st.sampled_from(sorted(entry())) | st.text(max_size=8), VALUES).map(lambda d: entry() | d)
EXAMPLES = 300
"""Some two seconds of run time; the examples are the same in each run, so the result is reproducible."""
steady = settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)


class ForeignEntryTest(unittest.TestCase):
    def test_an_entry_with_an_invalid_field_is_rejected(self):
        for field, values in FOREIGN.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    self.assertIsNone(read_engine("i-1", entry() | {field: value}))

    def test_an_entry_with_a_missing_field_is_rejected(self):
        for field in entry():
            value = entry()
            del value[field]
            with self.subTest(field=field):
                self.assertIsNone(read_engine("i-1", value))

    def test_an_entry_that_is_no_object_is_rejected(self):
        for value in ("text", 5, [], [entry()], True):
            self.assertIsNone(read_engine("i-1", value))

    # Guards against an engine's entry that ends the router, as no message to another router can hold its text.
    def test_an_entry_whose_name_cannot_be_encoded_is_rejected(self):
        self.assertIsNone(read_engine("i-\udcff", entry()))

    # Guards against the same by the announcement of a router.
    def test_an_announcement_that_cannot_be_encoded_is_rejected(self):
        announced = {"role": "router", "address": "127.0.0.1:1", "zone": "a", "admin": "http://127.0.0.1:2"}
        self.assertTrue(_is_vm("r-1", announced))
        self.assertFalse(_is_vm("r-\udcff", announced))
        for field in announced:
            self.assertFalse(_is_vm("r-1", announced | {field: "\udcff"}), field)

    # Guards against an announcement with an address that no socket takes, at which routers dial again and again.
    def test_an_announcement_with_an_invalid_address_is_rejected(self):
        announcement = {"role": "router", "address": "10.0.0.1:80", "zone": "a", "admin": "http://10.0.0.1:81"}
        self.assertTrue(_is_vm("r1", announcement))
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:20]):
                self.assertFalse(_is_vm("r1", announcement | {"address": address}))

    # Guards against the same address from a router of a version that accepts it.
    def test_an_address_that_no_socket_takes_is_a_failed_connection(self):
        hello = Hello(name="r1", incarnation=1, zone="a", address="10.0.0.1:80")
        for address in ODD_ADDRESSES:
            with self.subTest(address=address[:20]):
                self.assertIsInstance(asyncio.run(connect(address=address, name="r2", own_hello=hello)), str)

    # Guards against a version in the store that ends the answer to another router, which can't hold its text.
    def test_versions_of_streams_that_cannot_be_encoded_are_not_read(self):
        data = base64.b64encode(bytes(8)).decode()
        self.assertEqual(_read_records({"streams": {"v1": data, "\udcff": data}}), {0: "v1"})

    def test_the_start_is_read(self):
        self.assertEqual(read_engine("i-1", entry(born=1781425589123)).start_ms, 1781425589123)
        self.assertEqual(read_engine("i-1", entry()).start_ms, 0)

    @steady
    @given(ANY_ENTRY)
    def test_whatever_is_read_can_be_used(self, value):
        engine = read_engine("i-1", value)
        if engine is None:
            return
        self.assertIsInstance(engine, DeclaredEngine)
        self.assertTrue(isinstance(engine.service, str) and isinstance(engine.zone, str))
        self.assertGreater(int(engine.address.rpartition(":")[2]), 0)
        self.assertGreater(engine.slots, 0)
        self.assertIn(value["state"], STATES)
        encode(StreamVersion(version=engine.version, streams=(1,)))
        encode(EngineNotice(engine=engine.name, limit_per_s=1.0, leaving=False, start_ms=engine.start_ms))


class ForeignStoreAnswerTest(unittest.TestCase):
    @steady
    @given(VALUES)
    def test_objects_and_events_that_cannot_be_read_are_passed_over(self, value):
        for item in (value, {"metadata": value}, {"metadata": {"name": "a", "revision": value}}):
            _is_object(item)
            event = {"object": item, "deleted": False}
            if _is_event(event):
                _event("config", event)
        self.assertFalse(_is_list({"items": value, "store_revision": "5"}, "items"))

    @steady
    @given(VALUES, VALUES)
    def test_orders_that_cannot_be_read_are_not_followed(self, order, status):
        for specification in (order, {"service": "s", "target": order, "duration_s": order}):
            found = read_rollout("s", 1, {"specification": specification, "status": status})
            self.assertTrue(found is None or found.duration_s > 0)

    def test_invalid_utf8_affects_only_its_own_object(self):
        data = b'{"items":[{"specification":"\xff\xfe\x01"},{"specification":"sound"}],"store_revision":5}'
        self.assertEqual(parse_json(data)["items"][1], {"specification": "sound"})

    # Guards against one entry that hides all engines, as the JSON reader refuses it and the list with it.
    def test_what_the_reader_refuses_affects_only_its_own_object(self):
        for unreadable in ("[" * 1500 + "]" * 1500, '{"a":' * 5000 + "1" + "}" * 5000, "9" * 5000, f"[{'8' * 4301}]"):
            text = f'{{"items":[{{"specification":{{"a":{unreadable}}}}},{{"specification":"[so[und"}}]}}'
            with self.subTest(unreadable=unreadable[:10]):
                items = parse_json(text.encode())["items"]
                self.assertEqual(items[1], {"specification": "[so[und"})
                self.assertFalse(is_too_deep(items[0]))
        with self.assertRaises(ValueError):
            parse_json(b'{"items":[' + b"[" * 1500)

    # Guards against an entry that the reader bears and whoever writes it for other routers does not.
    def test_entry_that_is_nested_too_deeply_is_no_entry(self):
        for depth, expected in ((MAX_DEPTH - 2, False), (MAX_DEPTH + 2, True), (900, True)):
            item = {"specification": json.loads("[" * depth + "]" * depth)}
            self.assertEqual(_value("servers", item) is None, expected, depth)

    @steady
    @given(VALUES)
    def test_sound_values_are_read_as_by_the_library(self, value):
        text = json.dumps([value, json.loads("[" * MAX_DEPTH + "]" * MAX_DEPTH)])
        self.assertEqual(parse_json(text.encode())[0], json.loads(text)[0])
        refused = "[" * 2000 + "]" * 2000
        self.assertEqual(parse_json(f"[{json.dumps(value)}, {refused}]".encode())[0], json.loads(text)[0])

    @on_paused_clock
    async def test_an_overwritten_entry_is_not_used_and_the_others_are_kept(self):
        # Another writer replaces an engine's entry, whose address may then belong to any process. The
        # other engines stay listed, and the engine is listed again when it writes its entry.
        followed = Followed()
        await followed.put("i-1", entry())
        await followed.put("i-2", entry(address="10.0.0.2:80"))
        followed.list.start()
        await asyncio.sleep(0.5)
        await followed.put("i-1", entry("moon"))
        await asyncio.sleep(0.1)
        self.assertEqual(set(followed.list.by_name), {"i-2"})
        await followed.put("i-3", {"service": ["x"]})
        await asyncio.sleep(RELIST_INTERVAL_S + 2 * WATCH_TIMEOUT_S)
        self.assertEqual(set(followed.list.by_name), {"i-2"})
        await followed.put("i-1", entry())
        await asyncio.sleep(0.1)
        self.assertEqual(set(followed.list.by_name), {"i-1", "i-2"})
        await followed.list.close()


class ForeignReportTest(unittest.TestCase):
    @steady
    @given(VALUES | st.dictionaries(st.sampled_from(["running", "waiting", "state", "born"]), VALUES))
    def test_a_report_is_sound_or_said_to_be_unfit(self, values):
        try:
            report = PlatformReports().load("i-1", values, took_s=0.01)
        except InvalidField:
            return
        self.assertTrue(report.running >= 0 and report.waiting >= 0 and report.start_ms >= 0)


class ForeignConfigurationTest(unittest.TestCase):
    @steady
    @given(VALUES | st.dictionaries(st.sampled_from(["version", "routes", "services", "tenants"]), VALUES))
    def test_configuration_is_parsed_or_its_faults_are_reported(self, document):
        read = PlatformDeclarations().parse(json.dumps(document))
        self.assertTrue(hasattr(read, "faults") or hasattr(read, "host_routes"))
        PlatformDeclarations().parse_accepted(version=1, value=document)


if __name__ == "__main__":
    unittest.main()
