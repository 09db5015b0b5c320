"""Fields of callers' requests that enter messages between routers."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_platform_router import WorldCase
from tests.utils.platform_world import configuration, wait_until
from wagtailtrestle.contracts.messages import GrantRequest
from wagtailtrestle.contracts.outcomes import Refusal
from wagtailtrestle.contracts.quota_messages import QuotaAsk
from wagtailtrestle.peers.codec import encode
from wagtailtrestle.platform.callers import _length_hint, _prefix, _token_counts

LONG_NUMBER = "9" * 5000
"""Python refuses to read it."""
NUMBERS = st.integers(min_value=0, max_value=10**30).map(str) | st.just(LONG_NUMBER) | st.text(max_size=4)
steady = settings(max_examples=300, derandomize=True, deadline=None, database=None)


class FieldsTest(unittest.TestCase):
    # Guards against a request that ends the router, as no message to another router can hold its numbers.
    @steady
    @given(st.lists(NUMBERS, min_size=1, max_size=3), st.lists(st.tuples(st.text(max_size=4), NUMBERS)), NUMBERS)
    def test_whatever_is_read_can_be_sent_to_other_routers(self, counts, parts, hint):
        sizes = _token_counts(",".join(counts))
        if isinstance(sizes, Refusal):
            self.assertEqual(sizes.status, 400)
            return
        prompt_tokens, output_tokens = sizes or (0, 0)
        blocks, block_tokens = _prefix(",".join(f"{part}:{tokens}" for part, tokens in parts))
        request = GrantRequest(
            request_id="r",
            attempt=1,
            entry="e",
            service="s",
            cell="s",
            team="t",
            tier=0,
            repeatable=True,
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            remaining_s=1.0,
            prefix_blocks=blocks,
            block_tokens=block_tokens,
            hinted_tokens=_length_hint(hint),
        )
        encode(request)
        encode(QuotaAsk(team="t", needed=(prompt_tokens + output_tokens,) * 1000))


class LargeNumbersTest(WorldCase):
    ROUTERS = 2

    def wait_for_configuration(self, version):
        states = [lambda router=router: self.world.state(router)["configuration"] for router in range(self.ROUTERS)]
        wait_until(lambda: all(state()["generation"] == version for state in states), "the configuration")

    # Guards against the same with processes, with and without a quota.
    def test_routers_go_on_after_large_numbers(self):
        for version, quota in ((2, {}), (3, {"rate_per_s": 1000, "burst": 1000})):
            self.world.store.put("config", "main", configuration(version, **quota))
            self.wait_for_configuration(version)
            for counts in ("1460,9223372036854775807", "1460,18446744073709551616", f"{LONG_NUMBER},1", "10,5"):
                for router in range(self.ROUTERS):
                    with self.subTest(version=version, counts=counts[:30], router=router):
                        answer = self.world.request("POST", "/stream/x", router=router, Token_Counts=counts)
                        self.assertEqual(answer.status, 200 if counts == "10,5" else 400)
        answer = self.world.request("GET", "/status/1", Deadline_Milliseconds=LONG_NUMBER)
        self.assertEqual(answer.status, 200)
        for router in self.world.routers:
            self.assertTrue(router.is_running())


del WorldCase

if __name__ == "__main__":
    unittest.main()
