"""Runs one router until it is asked to stop."""

import asyncio
import signal

from loguru import logger

from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.router import Router


def run_router(*, settings, environment):
    """Run a router until SIGTERM or SIGINT, then drain it; return the exit status."""
    try:
        asyncio.run(_run(settings))
    except OSError as error:
        environment.complain(f"The router could not listen: {error}. Check the addresses in its settings.")
        return ExitStatus.CHECK_FAILED
    return ExitStatus.DONE


async def _run(settings):
    loop = asyncio.get_running_loop()
    asked_to_stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked_to_stop.set)
    router = Router(settings=settings, loop=loop)
    await router.start()
    await asked_to_stop.wait()
    logger.info("asked to stop, draining")
    await router.drain()
    await router.close()
    logger.info("router stopped")
