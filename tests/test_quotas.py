"""Quotas over all routers: the owner's bucket and the credits of those who serve."""

import threading
import unittest
from types import SimpleNamespace

from tests.utils.steward_fakes import Clock
from wagtailtrestle.contracts.declaration import TokenQuota
from wagtailtrestle.contracts.outcomes import Executed, Reason
from wagtailtrestle.contracts.quota_messages import QuotaAsk
from wagtailtrestle.quotas.book import SILENT_S, QuotaBook, QuotaCharge, QuotaRefused
from wagtailtrestle.quotas.charging import charge_team
from wagtailtrestle.quotas.owner import ABSENT_KEPT_S, QuotaOwner, Tolerance

QUOTA = TokenQuota(rate_per_s=1000.0, burst=2000.0, counts_tokens=True)


class Fleet:
    """Routers that share one owner; asks arrive at once unless the way is cut."""

    def __init__(self, *, books=2, quota=QUOTA, tolerance=None):
        self.clock = Clock()
        self.present = books
        self.cut = set()
        self.owner = QuotaOwner(
            clock=self.clock, members=lambda: self.present, tolerance=lambda: tolerance or Tolerance()
        )
        self.owner.set_quotas({"club": quota})
        self.books = [self._book(number) for number in range(books)]
        for book in self.books:
            book.set_quotas({"club": quota})

    def _book(self, number):
        def send(ask):
            if number not in self.cut:
                self.books[number].on_grant(self.owner.grant(ask))

        # ``take`` holds its lock while it asks, as the loop's thread would wait for it: a thread carries it.
        def soon(callback):
            threading.Thread(target=callback).start()

        return QuotaBook(clock=self.clock, call_soon=soon, send_ask=send, members=lambda: len(self.books))

    def spend(self, seconds, *, units=100, tick_s=0.1, books=None):
        """Take as much as there is for some time; the units that went through."""
        used = 0
        for _ in range(round(seconds / tick_s)):
            self.clock.now += tick_s
            for number in books if books is not None else range(len(self.books)):
                book = self.books[number]
                book.tick()
                while isinstance(charge := book.take("club", units), QuotaCharge):
                    used += units
                assert isinstance(charge, QuotaRefused)
        return used


class QuotaTest(unittest.TestCase):
    def test_all_routers_together_keep_to_the_quota(self):
        # Two routers are flooded by one team. Each by itself keeping to the quota would let
        # twice as much through.
        used = Fleet().spend(10.0)
        self.assertLessEqual(used, 10.0 * QUOTA.rate_per_s + QUOTA.burst + 200)
        self.assertGreater(used, 0.9 * 10.0 * QUOTA.rate_per_s)

    def test_one_router_may_use_all_of_it(self):
        # A team's callers all reach one router. A fixed share would refuse what the quota allows.
        used = Fleet(books=5).spend(10.0, books=[0])
        self.assertGreater(used, 0.9 * 10.0 * QUOTA.rate_per_s)

    def test_a_refusal_says_when_there_is_room(self):
        fleet = Fleet(books=1)
        fleet.spend(0.1)
        refused = fleet.books[0].take("club", 500)
        self.assertIsInstance(refused, QuotaRefused)
        self.assertGreater(refused.retry_after_s, 0.0)
        self.assertLess(refused.retry_after_s, 1.0)

    def test_a_request_that_did_not_run_gives_back(self):
        fleet = Fleet(books=1)
        charge = fleet.books[0].take("club", 2000)
        self.assertIsInstance(charge, QuotaCharge)
        charge.refund()
        charge.refund()
        self.assertIsInstance(fleet.books[0].take("club", 2000), QuotaCharge)
        self.assertIsInstance(fleet.books[0].take("club", 100), QuotaRefused)

    def test_a_router_cut_off_from_the_owner_goes_on_with_its_share(self):
        # The way to the owner is cut. Refusing everything would fail the team's callers here;
        # serving freely would exceed the quota beside the owner, who gives out the rest.
        fleet = Fleet(books=4)
        fleet.spend(1.0, books=[3])
        fleet.cut = {3}
        fleet.clock.now += SILENT_S
        used = fleet.spend(10.0, books=[3])
        self.assertGreater(used, 0.5 * 10.0 * QUOTA.rate_per_s / 4)
        self.assertLess(used, 1.3 * 10.0 * QUOTA.rate_per_s / 4)

    def test_the_owner_leaves_out_the_share_of_who_vanished(self):
        fleet = Fleet(books=4)
        fleet.spend(2.0)
        fleet.present = 2
        fleet.clock.now += 0.1
        used = fleet.spend(10.0)
        self.assertLess(used, 1.2 * 10.0 * QUOTA.rate_per_s / 2)
        fleet.clock.now += ABSENT_KEPT_S
        self.assertGreater(fleet.spend(10.0), 0.9 * 10.0 * QUOTA.rate_per_s)

    def test_a_part_of_the_tolerance_is_given_out(self):
        tolerance = Tolerance(window_s=8.0, share=0.1, units=4000.0)
        used = Fleet(books=1, tolerance=tolerance).spend(8.0)
        strict = 8.0 * QUOTA.rate_per_s + QUOTA.burst
        self.assertGreater(used, strict)
        self.assertLess(used, 1.1 * strict + 4000.0)

    def test_a_lower_quota_holds_at_once(self):
        fleet = Fleet(books=1)
        fleet.spend(1.0)
        lower = TokenQuota(rate_per_s=100.0, burst=100.0, counts_tokens=True)
        fleet.owner.set_quotas({"club": lower})
        fleet.books[0].set_quotas({"club": lower})
        self.assertLess(fleet.spend(10.0, units=10), 100.0 * 10.0 + 1000.0)

    def test_a_team_without_a_quota_is_not_counted(self):
        self.assertIsNone(Fleet().books[0].take("others", 10**9))

    def test_the_owner_answers_for_a_team_it_does_not_know(self):
        # Its configuration is older than the asker's. Without an answer the asker would refuse
        # the team until the owner has heard of it.
        grant = Fleet().owner.grant(QuotaAsk(team="new", needed=5, ahead=3))
        self.assertEqual((grant.units, grant.retry_after_s), (8, 0.0))


class ChargingTest(unittest.TestCase):
    def test_a_request_beyond_the_quota_is_refused_as_not_run_with_its_cause(self):
        fleet = Fleet()
        team = SimpleNamespace(name="club", quota=QUOTA)
        refusal = charge_team(book=fleet.books[0], team=team, tokens=50_000)
        self.assertEqual((refusal.reason, refusal.executed), (Reason.QUOTA, Executed.NO))
        self.assertGreater(refusal.retry_after_s, 0.0)
        self.assertEqual(refusal.cause, "team club asks 50000 of 1000 a second, burst 2000")

    def test_what_fits_is_charged_and_no_quota_charges_nothing(self):
        fleet = Fleet()
        team = SimpleNamespace(name="club", quota=QUOTA)
        self.assertIsInstance(charge_team(book=fleet.books[0], team=team, tokens=100), QuotaCharge)
        for free in (None, SimpleNamespace(name="club", quota=None)):
            self.assertIsNone(charge_team(book=fleet.books[0], team=free, tokens=100))


if __name__ == "__main__":
    unittest.main()
