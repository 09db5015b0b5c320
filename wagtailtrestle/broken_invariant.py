"""What happens when something that can't be true is: the process says so and stops.

Outcomes that can be expected are values. An exception that ends a task of ours is a fault in
the program: going on would serve callers from a state that nobody understands.
"""

import asyncio

from loguru import logger

BROKEN_INVARIANT = "broken_invariant"
"""Key of an exception-handler context that marks a task whose end stops the process."""


def stop_on_broken_invariant(loop, stop):
    """Have ``stop()`` called when a marked task failed; other loop errors are only logged."""

    def handle(_, context):
        error = context.get("exception")
        logger.opt(exception=error).error("{}", context.get("message", "error in the event loop"))
        if context.get(BROKEN_INVARIANT):
            stop()

    loop.set_exception_handler(handle)


def report_failed_task(task, message):
    """Done-callback body for a task that must only ever end by being cancelled."""
    if task.cancelled() or task.exception() is None:
        return
    context = {"message": message, "exception": task.exception(), BROKEN_INVARIANT: True}
    asyncio.get_running_loop().call_exception_handler(context)
