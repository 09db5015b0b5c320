"""Order of waiting requests: tiers, fair shares of teams, lengths, expiry."""

import unittest
from collections import Counter

from tests.utils.scheduler_fakes import ask
from wagtailtrestle.capacity.grants import WaitingRequest
from wagtailtrestle.capacity.team_queue import AGEING_FACTOR, COMPACT_ABOVE
from wagtailtrestle.capacity.tier_queue import TierQueue


def waiting(request_id, *, tier=1, team="socios", arrived_at=0.0, work_s=1.0, deadline=1000.0):
    return WaitingRequest(
        request=ask(request_id, tier=tier, team=team),
        asked_tokens=100,
        arrived_at=arrived_at,
        deadline=deadline,
        work_s=work_s,
        shortest_run_s=work_s,
    )


def pop_all(queue, count):
    return [queue.pop().request_id for _ in range(count)]


class TierOrderTest(unittest.TestCase):
    def test_tiers_are_strict(self):
        queue = TierQueue()
        for request_id, tier in (("low", 3), ("mid", 2), ("top", 0), ("mid2", 2)):
            queue.push(waiting(request_id, tier=tier))
        self.assertEqual(pop_all(queue, 4), ["top", "mid", "mid2", "low"])
        self.assertIsNone(queue.pop())

    def test_removed_and_expired_are_not_served(self):
        queue = TierQueue()
        queue.push(waiting("withdrawn"))
        queue.push(waiting("late", deadline=5.0))
        queue.push(waiting("kept"))
        queue.remove("withdrawn")
        self.assertEqual([request.request_id for request in queue.pop_expired(4.5)], ["late"])
        self.assertEqual(queue.pop().request_id, "kept")
        self.assertEqual((len(queue), queue.work_by_tier()), (0, {1: 0.0}))

    def test_starved_tier_does_not_grow_without_bound(self):
        # A low tier is not served for hours while its requests arrive and expire. Its heap is never popped, so expired
        # requests must be removed in another way.
        queue = TierQueue()
        for number in range(50 * COMPACT_ABOVE):
            queue.push(waiting(f"r{number}", deadline=number + 2.0))
            queue.pop_expired(float(number))
        team = queue._tiers_by_rank[1].teams_by_name["socios"]
        self.assertLess(max(len(team.heap), len(team.eviction_heap)), 3 * COMPACT_ABOVE)

    def test_lowest_tier_and_flooding_team_are_evicted_first(self):
        queue = TierQueue(share_by_team={"bitacora": 4.0})
        queue.push(waiting("high", tier=0, work_s=50.0))
        for number in range(3):
            queue.push(waiting(f"flood{number}", team="socios", work_s=1.0 + number))
            queue.push(waiting(f"large{number}", team="bitacora", work_s=2.0))
        queue.park(queue.pop(), tried_engines=frozenset({"e1"}))
        evicted = []
        while (last := queue.peek_last()) is not None:
            evicted.append(last.request_id)
            queue.remove(last.request_id)
        self.assertEqual(evicted[:2], ["flood2", "flood1"])
        self.assertEqual((len(evicted), evicted[-1]), (7, "high"))


class FairSharesTest(unittest.TestCase):
    def test_teams_get_work_by_share(self):
        queue = TierQueue(share_by_team={"large": 3.0, "small": 1.0})
        for number in range(200):
            queue.push(waiting(f"large{number}", team="large"))
            queue.push(waiting(f"small{number}", team="small"))
        served = Counter(request_id[:5] for request_id in pop_all(queue, 80))
        self.assertEqual(served, {"large": 60, "small": 20})

    def test_shares_count_work_not_requests(self):
        queue = TierQueue()
        for number in range(100):
            queue.push(waiting(f"long{number}", team="long", work_s=4.0))
            queue.push(waiting(f"brief{number}", team="brief", work_s=1.0))
        served = Counter(request_id[:4] for request_id in pop_all(queue, 50))
        self.assertEqual(served, {"long": 10, "brie": 40})

    def test_idle_team_earns_no_credit(self):
        # One team alone is served for a long time, then another sends a burst. That team gets its half from then on,
        # not everything until it has caught up.
        queue = TierQueue()
        for number in range(100):
            queue.push(waiting(f"steady{number}", team="steady"))
        pop_all(queue, 50)
        for number in range(50):
            queue.push(waiting(f"burst{number}", team="burst"))
        served = Counter(request_id[:5] for request_id in pop_all(queue, 20))
        self.assertEqual(served["burst"], 10)

    def test_parked_request_is_not_charged_to_its_team(self):
        queue = TierQueue()
        for number in range(20):
            queue.push(waiting(f"a{number}", team="a"))
            queue.push(waiting(f"b{number}", team="b"))
        first = [queue.pop() for _ in range(10)]
        for parked in first:
            if parked.request.team == "a":
                queue.park(parked, tried_engines=frozenset({"e1"}))
        queue.unpark({"e1", "e2"})
        self.assertEqual({request_id[0] for request_id in pop_all(queue, 5)}, {"a"})

    def test_flood_of_one_team_does_not_delay_another(self):
        # One team floods the tier. Another team's single request is served after only a fair share of the flood, so its
        # predicted wait must not include all of it.
        queue = TierQueue()
        for number in range(500):
            queue.push(waiting(f"flood{number}", team="flood"))
        self.assertEqual(queue.work_ahead_s(waiting("one", team="other", arrived_at=50.0)), 0.0)
        own = queue.work_ahead_s(waiting("another", team="flood", arrived_at=50.0))
        self.assertEqual(own, 500.0)


class LengthsTest(unittest.TestCase):
    def test_short_work_overtakes_long_work_for_a_bounded_time(self):
        # A report takes a hundred times as long as a question. Questions that arrive soon after it overtake it; those
        # that arrive after its ageing time don't, or a steady stream of questions would delay it until its deadline.
        queue = TierQueue()
        queue.push(waiting("report", work_s=10.0))
        for arrived_at in range(0, 100, 10):
            queue.push(waiting(f"q{arrived_at}", arrived_at=float(arrived_at), work_s=0.1))
        order = pop_all(queue, 11)
        self.assertEqual(order.index("report"), 10.0 * AGEING_FACTOR / 10.0)

    def test_urgent_goes_first(self):
        queue = TierQueue()
        queue.push(waiting("short", work_s=0.1))
        queue.push(waiting("urgent", work_s=10.0, deadline=10.4))
        self.assertEqual(queue.pop().request_id, "urgent")

    def test_first_returns_the_order_without_removing(self):
        queue = TierQueue()
        for number in (3, 1, 2):
            queue.push(waiting(f"r{number}", work_s=float(number)))
        queue.push(waiting("top", tier=0, work_s=9.0))
        self.assertEqual([request.request_id for request in queue.first(3)], ["top", "r1", "r2"])
        self.assertEqual(len(queue), 4)


if __name__ == "__main__":
    unittest.main()
