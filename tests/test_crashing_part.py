"""Prompts that share one part which crashes each engine, while no two of them are alike."""

import itertools
import signal
import threading
import time
import unittest

from tests.utils.crashing_engine import PartCrashingEngine
from tests.utils.platform_world import World

ROUTERS = 3
ENGINES = 8
SOUND_PER_S = 40.0
BAD_PER_S = 3.0
BAD_AFTER_S = 2.0
DURATION_S = 15.0
DOWN_S, EXPIRY_S = 2.0, 1.6
CRASHES = 5
CONTACT_S = 3.0
MAX_AFTER = 3
MIN_SHARE = 0.5
BAD = "bad0bad0"
SYSTEM, TOOL, SESSIONS = "5e5e0001", "70010001", 12


class Sent:
    """One request: when it was sent, through which router, and whether its stream began."""

    def __init__(self, *, at, router, began, status):
        self.at = at
        self.router = router
        self.began = began
        self.status = status


class PromptCallers:
    """Sends prompts at a steady rate through all routers in turn."""

    def __init__(self, *, world, per_s, parts_of, method="POST"):
        self.sent = []
        self._world = world
        self._per_s = per_s
        self._parts_of = parts_of
        self._method = method
        self._numbers = itertools.count()
        self._stop = threading.Event()
        self._senders = []
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def stop(self):
        self._stop.set()
        self._thread.join()
        for sender in self._senders:
            sender.join()
        return self.sent

    def _run(self):
        due = time.monotonic()
        while not self._stop.is_set():
            sender = threading.Thread(target=self._send, args=(next(self._numbers),), daemon=True)
            self._senders.append(sender)
            sender.start()
            due += 1.0 / self._per_s
            time.sleep(max(0.0, due - time.monotonic()))

    def _send(self, number):
        parts = ",".join(f"{part}:100" for part in self._parts_of(number))
        router = number % len(self._world.routers)
        at = time.monotonic()
        began, status = False, 0
        # Prompts without a body are alike in everything but their parts.
        path = "/stream-once/prompts" if self._method == "GET" else f"/stream-once/prompts/{number}"
        try:
            answer = self._world.request(
                self._method,
                path,
                router=router,
                request_id=f"p-{self._per_s}-{number}",
                Prompt_Prefix=parts,
                Token_Counts="400,20",
            )
            began, status = answer.status == 200 and bool(answer.event_ids), answer.status
        except OSError:
            # The connection to a router that was killed.
            status = 0
        self.sent.append(Sent(at=at, router=router, began=began, status=status))


def sound_parts(number):
    return SYSTEM, TOOL, f"5e55{number % SESSIONS:04x}", f"0000{number:08x}"


def second_part(number):
    return SYSTEM, BAD, f"5e55{number % SESSIONS:04x}", f"bbbb{number:08x}"


class CrashingPartTest(unittest.TestCase):
    def play(self, bad_parts_of, *, bad_per_s=BAD_PER_S, engines=ENGINES, method="POST", bad=(BAD,), during=None):
        world = World(
            routers=ROUTERS,
            make_engines=lambda store: {
                f"e-{number}": PartCrashingEngine(
                    name=f"e-{number}",
                    service="assistant",
                    store=store,
                    bad_parts=set(bad),
                    down_s=DOWN_S,
                    expiry_s=EXPIRY_S,
                )
                for number in range(engines)
            },
        )
        self.addCleanup(world.close)
        world.start()
        began_at = time.monotonic()
        sound = PromptCallers(world=world, per_s=SOUND_PER_S, parts_of=sound_parts, method=method).start()
        time.sleep(BAD_AFTER_S)
        guilty = PromptCallers(world=world, per_s=bad_per_s, parts_of=bad_parts_of, method=method).start()
        if during is not None:
            during(world)
        time.sleep(max(0.0, began_at + DURATION_S - time.monotonic()))
        guilty.stop()
        self.check(world, sound.stop(), parts=len(bad))

    def check(self, world, sound, *, parts):
        """Check that few prompts with each bad part reach engines after five crashes, and that sound ones begin."""
        max_crashes, max_after = CRASHES * parts, MAX_AFTER * parts
        crashes = sorted(at for engine in world.engines.values() for at in engine.crashes)
        arrivals = sorted(at for engine in world.engines.values() for at in engine.arrivals_of_poison)
        last = crashes[min(max_crashes, len(crashes)) - 1]
        after = [at for at in arrivals if at > last + CONTACT_S] if len(crashes) >= max_crashes else []
        share_before = self.share(sound, lambda each: each.at < crashes[0] - 0.5)
        share_after = self.share(sound, lambda each: each.at > last + 2 * CONTACT_S)
        print(
            f"{len(crashes)} crashes, {len(after)} arrivals after contact, sound ones {share_before:.2f} before and "
            f"{share_after:.2f} after"
        )
        self.assertLessEqual(len(after), max_after)
        self.assertGreaterEqual(share_after, MIN_SHARE * share_before)

    @staticmethod
    def share(sent, condition):
        chosen = [each.began for each in sent if condition(each)]
        return sum(chosen) / len(chosen)

    # Guards against a part that is in no fingerprint, so that each prompt with it is a suspect of one crash only.
    def test_second_part(self):
        self.play(second_part)

    # Guards against sound callers who are blamed with it, since they have the same target and no body.
    def test_second_part_of_calls_without_a_body(self):
        self.play(second_part, method="GET")

    # Guards against a part that is sought only behind the parts that all prompts share.
    def test_first_part(self):
        self.play(lambda number: (BAD, TOOL, f"5e55{number % SESSIONS:04x}", f"bbbb{number:08x}"))

    # Guards against isolation that keeps one of few engines after the other from sound callers.
    def test_third_part_with_few_engines(self):
        self.play(lambda number: (SYSTEM, TOOL, BAD, f"bbbb{number:08x}"), engines=4, bad_per_s=1.0)

    # Guards against two parts whose crashes are blamed on each other.
    def test_two_parts_at_a_time(self):
        other = "bad1bad1"
        self.play(
            lambda number: (SYSTEM, (BAD, other)[number % 2], f"5e55{number % SESSIONS:04x}", f"bbbb{number:08x}"),
            bad=(BAD, other),
        )

    # Guards against a router that was frozen while the others learned of the part.
    def test_router_that_freezes_meanwhile(self):
        def freeze(world):
            time.sleep(1.0)
            world.routers[2].signal(signal.SIGSTOP)
            time.sleep(4.0)
            world.routers[2].signal(signal.SIGCONT)

        self.play(second_part, during=freeze)

    # Guards against parts of sound prompts that are blamed for engines which lost power at the same time.
    def test_engines_that_fail_for_another_reason(self):
        def fail(world):
            time.sleep(0.5)
            for engine in [engine for engine in world.engines.values() if not engine.is_down][:3]:
                engine.fail()

        self.play(second_part, during=fail)

    # Guards against a router that has just started and knows of no crash.
    def test_router_that_restarts_meanwhile(self):
        def restart(world):
            time.sleep(4.5)
            world.routers[1].kill()
            world.routers[1].start()
            world.routers[1].wait_ready()

        self.play(second_part, during=restart)


if __name__ == "__main__":
    unittest.main()
