"""Runs a coroutine on an event loop whose clock jumps over idle time."""

import asyncio
import functools

import looptime


def on_paused_clock(scenario):
    """Make an async test method run under a clock that starts at 0."""

    @functools.wraps(scenario)
    def run(self):
        with asyncio.Runner(loop_factory=lambda: looptime.new_event_loop(start=0)) as runner:
            runner.run(scenario(self))

    return run


def now():
    """Time of the running loop."""
    return asyncio.get_running_loop().time()
