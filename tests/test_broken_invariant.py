"""A failed task that must not end stops the process; other errors in the event loop do not."""

import asyncio
import unittest

from wagtailtrestle.broken_invariant import report_failed_task, stop_on_broken_invariant


class BrokenInvariantTest(unittest.TestCase):
    def stops(self, scenario):
        stopped = []

        async def run():
            loop = asyncio.get_running_loop()
            stop_on_broken_invariant(loop, lambda: stopped.append(True))
            await scenario(loop)
            await asyncio.sleep(0.01)

        asyncio.run(run())
        return bool(stopped)

    def test_failed_task_stops_the_process(self):
        # A task that owns state failed, so its state is no longer reliable. The router leaves the
        # balancer and the other routers serve the callers.
        async def scenario(loop):
            task = loop.create_task(_fail())
            task.add_done_callback(lambda ended: report_failed_task(ended, "it failed"))
            await asyncio.wait((task,))

        self.assertTrue(self.stops(scenario))

    def test_cancelled_task_does_not(self):
        async def scenario(loop):
            task = loop.create_task(asyncio.sleep(10))
            task.add_done_callback(lambda ended: report_failed_task(ended, "it failed"))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait((task,))

        self.assertFalse(self.stops(scenario))

    def test_library_error_does_not(self):
        async def scenario(loop):
            loop.call_exception_handler({"message": "a library's stray error", "exception": ValueError()})

        self.assertFalse(self.stops(scenario))


async def _fail():
    raise ValueError("broken")


if __name__ == "__main__":
    unittest.main()
