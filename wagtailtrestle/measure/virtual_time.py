"""An asyncio loop whose clock advances to the next timer without waiting.

A measured run holds hundreds of thousands of timers and no sockets; see
``docs/design/unlike-engines.md`` for why looptime is not used here.
"""

import asyncio
import selectors


class JumpingSelector(selectors.SelectSelector):
    """Selector that never sleeps: instead of waiting it advances the loop's clock by the timeout."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Advance the clock by ``timeout``; nothing but timers can become ready."""
        if timeout is None:
            raise RuntimeError("the measured run is deadlocked: no timer is left and the main task has not ended")
        if timeout > 0.0:
            self.now += timeout
        return ()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with a virtual clock that starts at 0."""

    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-9

    def time(self):
        """Return the virtual seconds since the loop was created."""
        return self._jumping.now


def run(main):
    """Run the coroutine ``main`` to its end on a new virtual clock and return its result.

    An error in any callback or task invalidates the run, so the first one is raised at the end.
    """
    errors = []
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.get_loop().set_exception_handler(lambda loop, context: errors.append(context))
        result = runner.run(main)
    if errors:
        raise RuntimeError(f"{len(errors)} errors, the first: {errors[0]}") from errors[0].get("exception")
    return result
