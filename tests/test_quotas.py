"""Quotas over all routers: the owner's bucket and the accounts of the routers that serve."""

import random
import threading
import unittest
from types import SimpleNamespace
from unittest import mock

from tests.utils.scheduler_fakes import Clock
from wagtailtrestle.contracts.declaration import TokenQuota
from wagtailtrestle.contracts.outcomes import Executed, Reason
from wagtailtrestle.contracts.quota_messages import QuotaAsk
from wagtailtrestle.quotas import accounts as accounts_module
from wagtailtrestle.quotas.accounts import OWNER_TIMEOUT_S, QuotaAccounts, QuotaCharge, QuotaRefused
from wagtailtrestle.quotas.charging import charge_team
from wagtailtrestle.quotas.owner import ABSENT_ROUTER_RETENTION_S, TAKEOVER_SHARE, QuotaOwner, Tolerance

TICK_S = 0.1
QUOTA = TokenQuota(rate_per_s=1000.0, burst=2000.0, counts_tokens=True)


class Fleet:
    """Routers with one owner; messages arrive without delay unless the connection is cut."""

    def __init__(self, *, peers=2, quota=QUOTA, tolerance=None):
        self.clock = Clock()
        self.threads = []
        self.present = peers
        self.cut = set()
        self.owner = QuotaOwner(
            clock=self.clock, members=lambda: self.present, tolerance=lambda: tolerance or Tolerance()
        )
        self.owner.set_quotas({"club": quota})
        self.peers = [self._make_accounts(number) for number in range(peers)]
        for router_accounts in self.peers:
            router_accounts.set_quotas({"club": quota})

    def _make_accounts(self, number):
        def send(request):
            if number not in self.cut:
                self.peers[number].on_grant(self.owner.grant(request))

        # ``acquire`` holds its lock while it calls this, so that the callback must run in another thread; as on
        # the loop, each callback starts when the previous one has ended.
        def soon(callback):
            earlier = self.threads[-1:]

            def run():
                for thread in earlier:
                    thread.join()
                callback()

            self.threads.append(threading.Thread(target=run))
            self.threads[-1].start()

        return QuotaAccounts(clock=self.clock, call_soon=soon, send_ask=send, members=lambda: len(self.peers))

    def advance(self, seconds):
        """Advance the clock once all messages are answered."""
        for thread in self.threads:
            thread.join()
        self.threads.clear()
        self.clock.now += seconds
        for router_accounts in self.peers:
            router_accounts.tick()

    def use_up(self, seconds, *, units=100, tick_s=0.1, peers=None):
        """Acquire as many units as possible for some time; returns how many were admitted."""
        used = 0
        for _ in range(round(seconds / tick_s)):
            self.clock.now += tick_s
            for number in peers if peers is not None else range(len(self.peers)):
                router_accounts = self.peers[number]
                router_accounts.tick()
                while isinstance(charge := router_accounts.acquire("club", units), QuotaCharge):
                    used += units
                assert isinstance(charge, QuotaRefused)
        return used


class QuotaTest(unittest.TestCase):
    def test_all_routers_together_keep_to_the_quota(self):
        # One team floods two routers. If each router applied the quota by itself, twice the quota
        # would be admitted.
        used = Fleet().use_up(10.0)
        self.assertLessEqual(used, 10.0 * QUOTA.rate_per_s + QUOTA.burst + 200)
        self.assertGreater(used, 0.9 * 10.0 * QUOTA.rate_per_s)

    def test_one_router_may_use_the_whole_quota(self):
        # All callers of a team use one router. A fixed share per router would refuse what the quota allows.
        used = Fleet(peers=5).use_up(10.0, peers=[0])
        self.assertGreater(used, 0.9 * 10.0 * QUOTA.rate_per_s)

    def test_a_refusal_reports_the_time_until_retry(self):
        fleet = Fleet(peers=1)
        fleet.use_up(0.1)
        refused = fleet.peers[0].acquire("club", 500)
        self.assertIsInstance(refused, QuotaRefused)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertLess(refused.retry_after_s, 1.0)

    def test_a_request_that_did_not_run_gives_back(self):
        fleet = Fleet(peers=1)
        charge = fleet.peers[0].acquire("club", 2000)
        self.assertIsInstance(charge, QuotaCharge)
        charge.refund()
        charge.refund()
        self.assertIsInstance(fleet.peers[0].acquire("club", 2000), QuotaCharge)
        self.assertIsInstance(fleet.peers[0].acquire("club", 100), QuotaRefused)

    def test_credits_in_hand_count_for_a_request_that_needs_more(self):
        # Guards against a 429 for a team whose quota is untouched. A refunded request left 2,000 units, of which the
        # next tick returned 800 to the owner and kept 1,200. The next request of 2,000 was sent to the owner
        # without the balance of 1,200, and the owner, which had 800, refused it.
        fleet = Fleet(peers=1)
        fleet.peers[0].acquire("club", 2000).refund()
        fleet.advance(0.0)
        self.assertIsInstance(fleet.peers[0].acquire("club", 2000), QuotaCharge)

    def test_credits_in_hand_are_not_counted_twice(self):
        fleet = Fleet(peers=1)
        fleet.peers[0].acquire("club", 2000).refund()
        fleet.advance(0.0)
        fleet.peers[0].acquire("club", 2000)
        self.assertIsInstance(fleet.peers[0].acquire("club", 100), QuotaRefused)

    def test_a_router_partitioned_from_the_owner_uses_its_share(self):
        # The connection to the owner is cut. Refusing everything would fail the team's callers here;
        # admitting everything would exceed the quota, since the owner grants the rest elsewhere.
        fleet = Fleet(peers=4)
        fleet.use_up(1.0, peers=[3])
        fleet.cut = {3}
        fleet.clock.now += OWNER_TIMEOUT_S
        # No answer arrives, so that a shorter wait changes only the duration of the test.
        with mock.patch.object(accounts_module, "MAX_WAIT_S", 0.05):
            used = fleet.use_up(10.0, peers=[3])
        self.assertGreater(used, 0.5 * 10.0 * QUOTA.rate_per_s / 4)
        self.assertLess(used, 1.3 * 10.0 * QUOTA.rate_per_s / 4)

    def test_the_owner_withholds_the_share_of_routers_that_vanished(self):
        fleet = Fleet(peers=4)
        fleet.use_up(2.0)
        fleet.present = 2
        fleet.clock.now += 0.1
        used = fleet.use_up(10.0)
        self.assertLess(used, 1.2 * 10.0 * QUOTA.rate_per_s / 2)
        fleet.clock.now += ABSENT_ROUTER_RETENTION_S
        self.assertGreater(fleet.use_up(10.0), 0.9 * 10.0 * QUOTA.rate_per_s)

    def test_part_of_the_tolerance_is_granted(self):
        tolerance = Tolerance(window_s=8.0, share=0.1, units=4000.0)
        used = Fleet(peers=1, tolerance=tolerance).use_up(8.0)
        strict = 8.0 * QUOTA.rate_per_s + QUOTA.burst
        self.assertGreater(used, strict)
        self.assertLess(used, 1.1 * strict + 4000.0)

    def test_a_lower_quota_applies_immediately(self):
        fleet = Fleet(peers=1)
        fleet.use_up(1.0)
        lower = TokenQuota(rate_per_s=100.0, burst=100.0, counts_tokens=True)
        fleet.owner.set_quotas({"club": lower})
        fleet.peers[0].set_quotas({"club": lower})
        self.assertLess(fleet.use_up(10.0, units=10), 100.0 * 10.0 + 1000.0)

    def test_a_team_without_a_quota_is_not_counted(self):
        self.assertIsNone(Fleet().peers[0].acquire("others", 10**9))

    def test_the_owner_answers_for_a_team_it_does_not_know(self):
        # The owner's configuration is older than the requesting router's. Without an answer that router
        # would refuse the team until the owner has its quota.
        grant = Fleet().owner.grant(QuotaAsk(team="new", needed=(5,), ahead=3))
        self.assertEqual((grant.units, grant.retry_after_s), (8, 0.0))


class FewLargeRequestsTest(unittest.TestCase):
    """A team with few large requests at many routers: the pattern of long documents.

    A request is several times what the team may use within the prefetch time, and each reaches another router.
    Units that a router keeps as its balance, or is granted for a part of a request, are missing for the next
    request. Rate, burst and sizes are those of a large team of a language service.
    """

    RATE_PER_S = 13_500.0
    BURST = 89_000.0
    SIZES = (4_700, 7_100, 9_800, 14_600)
    WINDOW_S = 8.0

    def run_load(self, *, routers, share, seconds, seed=5):
        """Request ``share`` of the rate; returns the fleet, the units admitted, and the refusals with their sizes."""
        quota = TokenQuota(rate_per_s=self.RATE_PER_S, burst=self.BURST, counts_tokens=True)
        fleet = Fleet(peers=routers, quota=quota)
        rng = random.Random(seed)
        admitted, refused = 0, []
        gap_s = sum(self.SIZES) / len(self.SIZES) / (share * self.RATE_PER_S)
        due = fleet.clock.now
        for _ in range(round(seconds / TICK_S)):
            fleet.advance(TICK_S)
            while due <= fleet.clock.now:
                due += gap_s * rng.uniform(0.5, 1.5)
                units = rng.choice(self.SIZES)
                charge = rng.choice(fleet.peers).acquire("club", units)
                if isinstance(charge, QuotaCharge):
                    admitted += units
                else:
                    refused.append((units, charge))
        return fleet, admitted, refused

    def test_requests_within_the_quota_are_admitted_at_any_router(self):
        # Requests of half a second's rate each reach different routers. Credits granted for a part of a
        # request that was refused, or prefetched where no further request came, were lost to the team, so
        # that it was refused at half of its rate.
        for routers in (20, 200):
            with self.subTest(routers=routers):
                _, _, refused = self.run_load(routers=routers, share=0.95, seconds=30.0)
                self.assertEqual(refused, [])

    def test_requests_beyond_the_quota_are_refused_and_the_rest_admitted(self):
        for routers in (20, 200):
            with self.subTest(routers=routers):
                _, admitted, refused = self.run_load(routers=routers, share=2.0, seconds=30.0)
                allowed = 30.0 * self.RATE_PER_S + self.BURST
                self.assertLessEqual(admitted, allowed)
                self.assertGreater(admitted, 0.93 * allowed)
                self.assertGreater(len(refused), 10)

    def test_a_request_passes_after_the_reported_retry_time(self):
        fleet, _, _ = self.run_load(routers=20, share=3.0, seconds=20.0)
        units = max(self.SIZES)
        while isinstance(refusal := fleet.peers[0].acquire("club", units), QuotaCharge):
            pass
        fleet.advance(refusal.retry_after_s + TICK_S)
        self.assertIsInstance(fleet.peers[3].acquire("club", units), QuotaCharge)

    def test_a_small_request_passes_where_a_large_one_does_not_fit(self):
        # Units prefetched for more small requests are returned within a second and serve another router.
        quota = TokenQuota(rate_per_s=10.0, burst=2000.0, counts_tokens=True)
        fleet = Fleet(peers=2, quota=quota)
        self.assertIsInstance(fleet.peers[0].acquire("club", 1500), QuotaCharge)
        self.assertIsInstance(fleet.peers[0].acquire("club", 800), QuotaRefused)
        self.assertIsInstance(fleet.peers[0].acquire("club", 300), QuotaCharge)
        fleet.advance(1.1)
        self.assertIsInstance(fleet.peers[1].acquire("club", 190), QuotaCharge)

    def test_returned_units_serve_another_router(self):
        # A request was charged and then refused for lack of a free slot; the team's next request reaches
        # another router.
        quota = TokenQuota(rate_per_s=10.0, burst=2000.0, counts_tokens=True)
        fleet = Fleet(peers=2, quota=quota)
        fleet.peers[0].acquire("club", 2000).refund()
        fleet.advance(1.1)
        self.assertIsInstance(fleet.peers[1].acquire("club", 1900), QuotaCharge)

    def test_a_request_larger_than_the_burst_passes_a_full_bucket_and_delays_others(self):
        # The request is within what the quota allows in the operator's window, but a bucket never holds that much.
        quota = TokenQuota(rate_per_s=1000.0, burst=2000.0, counts_tokens=True)
        fleet = Fleet(peers=1, quota=quota, tolerance=Tolerance(window_s=8.0))
        self.assertIsInstance(fleet.peers[0].acquire("club", 5000), QuotaCharge)
        fleet.advance(2.0)
        self.assertIsInstance(fleet.peers[0].acquire("club", 100), QuotaRefused)
        fleet.advance(1.5)
        self.assertIsInstance(fleet.peers[0].acquire("club", 100), QuotaCharge)
        self.assertIsInstance(fleet.peers[0].acquire("club", 20_000), QuotaRefused)


class OwnersChangeTest(unittest.TestCase):
    def owner(self, clock):
        owner = QuotaOwner(clock=clock, members=lambda: 3)
        owner.set_quotas({"club": QUOTA})
        return owner

    def test_an_idle_team_gets_its_full_burst(self):
        # There was no request for ten seconds and no other owner: the bucket is full.
        clock = Clock()
        owner = self.owner(clock)
        owner.grant(QuotaAsk(team="club", needed=(2000,)))
        clock.now += 10.0
        self.assertEqual(owner.grant(QuotaAsk(team="club", needed=(2000,))).units, 2000)

    def test_a_new_owner_does_not_grant_the_burst_again(self):
        clock = Clock()
        owner = self.owner(clock)
        owner.mark_owned_elsewhere("club")
        self.assertEqual(owner.grant(QuotaAsk(team="club", ahead=2000)).units, QUOTA.burst * TAKEOVER_SHARE)

    def test_an_owner_that_regains_a_team_starts_with_the_takeover_share(self):
        clock = Clock()
        owner = self.owner(clock)
        owner.grant(QuotaAsk(team="club", needed=(100,)))
        owner.drop_unowned(lambda team: False)
        owner.drop_unowned(lambda team: True)
        self.assertEqual(owner.grant(QuotaAsk(team="club", ahead=2000)).units, QUOTA.burst * TAKEOVER_SHARE)


class ChargingTest(unittest.TestCase):
    def test_a_request_beyond_the_quota_is_refused_as_not_run_with_its_cause(self):
        fleet = Fleet()
        team = SimpleNamespace(name="club", quota=QUOTA)
        refusal = charge_team(accounts=fleet.peers[0], team=team, tokens=50_000)
        self.assertEqual((refusal.reason, refusal.executed), (Reason.QUOTA, Executed.NO))
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertEqual(
            refusal.cause,
            "team club: a request of 50000 units, quota 1000 a second, burst 2000; "
            "its owner had 2000 left 0.00 s ago, 0 held here",
        )

    def test_what_fits_is_charged_and_no_quota_charges_nothing(self):
        fleet = Fleet()
        team = SimpleNamespace(name="club", quota=QUOTA)
        self.assertIsInstance(charge_team(accounts=fleet.peers[0], team=team, tokens=100), QuotaCharge)
        for free in (None, SimpleNamespace(name="club", quota=None)):
            self.assertIsNone(charge_team(accounts=fleet.peers[0], team=free, tokens=100))


if __name__ == "__main__":
    unittest.main()
