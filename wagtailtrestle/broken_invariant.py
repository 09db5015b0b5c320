"""Stops the process when an invariant is violated.

Expected outcomes are returned as values. An exception that ends one of our tasks is therefore a
bug, and continuing would serve callers from an undefined state.
"""

import asyncio

from loguru import logger

BROKEN_INVARIANT = "broken_invariant"
"""Key of the exception-handler context that marks a task whose failure stops the process."""


def stop_on_broken_invariant(loop, stop):
    """Install a handler that calls ``stop()`` if a marked task fails; other loop errors are only logged."""

    def handle(_, context):
        error = context.get("exception")
        logger.opt(exception=error).error("{}", context.get("message", "error in the event loop"))
        if context.get(BROKEN_INVARIANT):
            stop()

    loop.set_exception_handler(handle)


def create_watched_task(coroutine, message):
    """Start a task that ends by cancellation only; an exception in it stops the process instead of its work alone."""
    task = asyncio.get_running_loop().create_task(coroutine)
    task.add_done_callback(lambda ended: report_failed_task(ended, message))
    return task


def report_failed_task(task, message):
    """Done-callback body for a task that may end only by cancellation."""
    if task.cancelled() or task.exception() is None:
        return
    context = {"message": message, "exception": task.exception(), BROKEN_INVARIANT: True}
    asyncio.get_running_loop().call_exception_handler(context)
