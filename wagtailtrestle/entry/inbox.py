"""Messages to one task of the event loop, with a time limit for waiting."""

import asyncio
from collections import deque


class Inbox:
    """Messages that one task takes in the order of their arrival.

    ``asyncio.Queue`` with ``asyncio.timeout_at`` made 30 calls for each message of a request's task, which
    receives about five. One task waits here at a time, so that neither a list of waiters nor a context for
    nested time limits is needed.
    """

    __slots__ = ("_messages", "_waiter")

    def __init__(self):
        self._messages = deque()
        self._waiter = None

    @property
    def is_empty(self):
        """Whether no message waits."""
        return not self._messages

    def put(self, message):
        """Add a message."""
        self._messages.append(message)
        if self._waiter is not None:
            _wake(self._waiter)

    async def get(self, *, until):
        """Return the next message, or ``None`` once ``until`` (loop time, or ``None`` without a limit) has passed."""
        if not self._messages:
            await self._wait(until)
        return self._messages.popleft() if self._messages else None

    async def _wait(self, until):
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None if until is None else loop.call_at(until, _wake, waiter)
        try:
            await waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()


def _wake(waiter):
    if not waiter.done():
        waiter.set_result(None)
