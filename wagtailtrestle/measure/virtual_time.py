"""An asyncio loop whose clock jumps to the next timer instead of waiting for it.

A measured run holds hundreds of thousands of timers and no sockets; see
``docs/design/unlike-engines.md`` for why this stands beside looptime.
"""

import asyncio
import selectors


class JumpingSelector(selectors.SelectSelector):
    """Selector that never sleeps: a wait moves its loop's clock forward by as much."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Advance the clock by ``timeout``; nothing but timers can become ready."""
        if timeout is None:
            raise RuntimeError("the measured run is stuck: no timer is left and the main task has not ended")
        if timeout > 0.0:
            self.now += timeout
        return ()


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop under a clock that starts at 0 and costs nothing to advance."""

    def __init__(self):
        self._jumping = JumpingSelector()
        super().__init__(self._jumping)
        self._clock_resolution = 1e-9

    def time(self):
        """Seconds since the loop was made, on its own clock."""
        return self._jumping.now


def run(main):
    """Run the coroutine ``main`` to its end under a fresh clock and return its result.

    An error in any callback or task makes the run worthless, so it is raised at the end.
    """
    errors = []
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        runner.get_loop().set_exception_handler(lambda loop, context: errors.append(context))
        result = runner.run(main)
    if errors:
        raise RuntimeError(f"{len(errors)} errors, the first: {errors[0]}") from errors[0].get("exception")
    return result
