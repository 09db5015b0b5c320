"""Runs one router until it is asked to stop."""

import asyncio
import signal

from loguru import logger

from wagtailtrestle.broken_invariant import stop_on_broken_invariant
from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.router import Router


def run_router(*, settings, environment):
    """Run a router until SIGTERM or SIGINT, then drain it; return the exit status."""
    try:
        return asyncio.run(_run(settings))
    except OSError as error:
        environment.complain(f"The router could not listen: {error}. Check the addresses in its settings.")
        return ExitStatus.CHECK_FAILED


async def _run(settings):
    loop = asyncio.get_running_loop()
    asked_to_stop = asyncio.Event()
    broken = asyncio.Event()
    stop_on_broken_invariant(loop, lambda: (broken.set(), asked_to_stop.set()))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked_to_stop.set)
    router = Router(settings=settings, loop=loop)
    await router.start()
    await asked_to_stop.wait()
    logger.info("asked to stop, draining")
    await router.drain()
    await router.close()
    logger.info("router stopped")
    return ExitStatus.CHECK_FAILED if broken.is_set() else ExitStatus.DONE
