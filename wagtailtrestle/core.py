"""Runs one router until it receives a stop signal."""

import asyncio
import signal

from loguru import logger

from wagtailtrestle.broken_invariant import stop_on_broken_invariant
from wagtailtrestle.callers.listening import listen_error_message
from wagtailtrestle.declarations.settings_watch import SettingsWatch
from wagtailtrestle.exit_status import ExitStatus
from wagtailtrestle.router import Router


def run_router(*, settings, settings_file, environment, listener=None):
    """Run a router until SIGTERM or SIGINT, then drain it; return the exit status.

    ``listener`` is a socket that already listens for callers, if it was opened before the router started.
    """
    try:
        return asyncio.run(_run(settings, settings_file, listener))
    except OSError as error:
        environment.print_error(listen_error_message(error))
        return ExitStatus.CHECK_FAILED


async def _run(settings, settings_file, listener):
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    broken = asyncio.Event()
    stop_on_broken_invariant(loop, lambda: (broken.set(), stop_requested.set()))
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    router = Router(settings=settings, loop=loop, listener=listener)
    watch = SettingsWatch(path=settings_file, settings=settings)
    # The default action of this signal would kill the process with all requests in flight.
    loop.add_signal_handler(signal.SIGHUP, watch.reload)
    await router.start()
    watch.start()
    await stop_requested.wait()
    logger.info("asked to stop, draining")
    await router.drain()
    await watch.close()
    await router.close()
    logger.info("router stopped")
    return ExitStatus.CHECK_FAILED if broken.is_set() else ExitStatus.DONE
