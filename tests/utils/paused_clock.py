"""Runs a coroutine on an event loop whose clock skips idle time."""

import asyncio
import functools

import looptime


def on_paused_clock(scenario):
    """Run an async test method with a simulated clock that starts at 0."""

    @functools.wraps(scenario)
    def run(self):
        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as runner:
            runner.run(scenario(self))

    return run


def now():
    """Return the time of the running event loop."""
    return asyncio.get_running_loop().time()
