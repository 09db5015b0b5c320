"""An engine is paused for some seconds, like a paused VM, and then resumes its runs."""

import threading
import time
import unittest

from tests.utils.running import QUESTION, PromiseChecks, Running

PAUSED = "asistente-3"
TIME_SCALE = 2.0
INTERVAL_S = 0.1
BEFORE_S = 1.0
QUESTIONS = 20


class PausedEngineTest(PromiseChecks, unittest.TestCase):
    def send_questions_around_pause(self, pause_s):
        running = Running(routers=2, time_scale=TIME_SCALE).start()
        self.addCleanup(running.close)
        seen = []
        pause = threading.Thread(target=self.pause, args=(running, pause_s))
        pause.start()
        senders = []
        for number in range(QUESTIONS):
            router = running.routers[number % len(running.routers)]
            sender = threading.Thread(target=lambda router=router: seen.append(running.send(QUESTION, router=router)))
            senders.append(sender)
            sender.start()
            time.sleep(INTERVAL_S)
        for sender in [*senders, pause]:
            sender.join()
        self.assert_promises(running, seen)
        self.assert_all_complete(seen)

    def pause(self, running, pause_s):
        time.sleep(BEFORE_S)
        running.engine(PAUSED).freeze()
        time.sleep(pause_s)
        running.engine(PAUSED).resume()

    def test_three_seconds(self):
        # The questions that run on the engine are answered late. While paused it confirms nothing on any
        # connection; it answers the second attach and continues.
        self.send_questions_around_pause(3.0)

    def test_longer_than_three_limits_on_silence(self):
        # Guards against 502, engine_lost, 6 s after a question, although the engine resumes half a second later and
        # finishes the run within the caller's 8 s: three silence limits of 2 s made it look like a dead process.
        self.send_questions_around_pause(6.5)


if __name__ == "__main__":
    unittest.main()
