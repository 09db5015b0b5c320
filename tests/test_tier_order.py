"""A flood of repeatable low-tier requests never prevents a higher tier from being served."""

import itertools
import threading
import time
import unittest

from tests.utils.running import QUESTION, TAGGING, PromiseChecks, Running, wait_until

LONG_ANSWER = 700
QUESTIONS = 10
PAUSE_S = 0.15
RETRY_S = 0.2
TIME_SCALE = 2.0
FEW_THREADS = 12


class Flood:
    """Callers of the lowest tier, each of which sends its next request as soon as it is answered."""

    def __init__(self, *, running, callers):
        self.seen = []
        self._running = running
        self._stopping = threading.Event()
        self._threads = [threading.Thread(target=self._send_repeatedly, args=(number,)) for number in range(callers)]

    def start(self):
        """Start sending requests."""
        for thread in self._threads:
            thread.start()
        return self

    def stop(self):
        """Stop sending and wait for the outstanding answers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _send_repeatedly(self, number):
        routers = self._running.routers
        while not self._stopping.is_set():
            router = routers[number % len(routers)]
            self.seen.append(self._running.send(TAGGING, router=router, output_tokens=LONG_ANSWER))
            if not self.seen[-1].result.complete:
                self._stopping.wait(RETRY_S)


class FloodCase(PromiseChecks, unittest.TestCase):
    """A deployment under a flood that starts before the test and is cut off after it."""

    CALLERS = 60
    SETTINGS = {}

    def setUp(self):
        self.running = Running(time_scale=TIME_SCALE, **self.SETTINGS).start()
        self.flood = Flood(running=self.running, callers=self.CALLERS).start()

    def tearDown(self):
        # Close the deployment first: the flood's last runs would take many seconds and show nothing more.
        self.running.close()
        self.flood.stop()

    def send_questions(self, routers):
        """Send overlapping questions, ``PAUSE_S`` apart, through the routers in turn; return the observations."""
        seen = []
        senders = [
            threading.Thread(target=lambda router=router: seen.append(self.running.send(QUESTION, router=router)))
            for router in itertools.islice(itertools.cycle(routers), QUESTIONS)
        ]
        for sender in senders:
            sender.start()
            time.sleep(PAUSE_S)
        for sender in senders:
            sender.join()
        return seen

    def check(self, questions, what):
        flood = list(self.flood.seen)
        self.assert_promises(self.running, [*flood, *questions])
        self.assert_all_complete(questions)
        slowest_s = max(each.result.total_s for each in questions)
        print(f"{what}: slowest question {slowest_s:.2f} s")


class FloodedEnginesTest(FloodCase):
    SETTINGS = {"routers": 3}

    def is_full(self):
        state = self.running.state(self.running.scheduler_of())["stewards"].get("asistente")
        if state is None:
            return False
        running = sum(engine["running"] for engine in state["engines"].values())
        return bool(state["waiting_by_tier"]) and running >= sum(
            engine["limit"] for engine in state["engines"].values()
        )

    def cancelled(self):
        deployment = self.running.deployment
        return sum(deployment.get(f"{url}/record")["totals"]["cancelled"] for url in deployment.engine_urls())

    def test_questions_while_tagging_fills_every_engine(self):
        # Guards against questions refused or late while tagging fills every engine with runs longer than a
        # question can wait, and more tagging is queued: runs of tagging must be cancelled. It repeats the
        # questions after the scheduler is killed, when routers briefly disagree on which router is scheduler;
        # none of them may refuse a question on an assumption.
        running = self.running
        wait_until(self.is_full, "engines full of tagging")
        self.assertEqual(self.cancelled(), 0)
        questions = self.send_questions(running.routers)
        self.assertGreater(self.cancelled(), 0)
        self.check(questions, f"flooded engines ({self.cancelled()} runs of tagging cancelled)")
        scheduler = running.scheduler_of()
        running.router(scheduler).kill()
        questions = self.send_questions([name for name in running.routers if name != scheduler])
        self.check(questions, "flooded engines, scheduler killed")


class FewThreadsTest(FloodCase):
    CALLERS = 40
    SETTINGS = {"routers": 2, "router_settings": {"caller_threads": FEW_THREADS}}

    def is_full(self):
        limits = [self.running.state(name)["callers"]["limits"] for name in self.running.routers]
        return all(limit["held"] >= limit["held_limit"] for limit in limits)

    def test_questions_while_tagging_holds_every_thread(self):
        # Guards against questions refused because tagging holds every thread of every router while the
        # engines have free slots. A question must displace a tagging request instead.
        wait_until(self.is_full, "routers full of tagging")
        questions = self.send_questions(self.running.routers)
        displaced = sum(
            self.running.state(name)["callers"]["limits"]["displaced_total"] for name in self.running.routers
        )
        self.assertGreater(displaced, 0)
        self.check(questions, f"flooded routers ({displaced} tagging requests displaced)")


if __name__ == "__main__":
    unittest.main()
