"""Sends a plan open-loop: requests are sent on time whether or not earlier ones are answered."""

import time
from concurrent.futures import ThreadPoolExecutor

from wagtailtrestle.load.client import make_pool, send

MAX_CALLERS = 600


def run_load(*, urls, plan, callers=MAX_CALLERS):
    """Send every planned request at its planned time, spread over ``urls``, and return the results."""
    pool = make_pool(callers)
    started = time.monotonic()
    pending = []
    with ThreadPoolExecutor(max_workers=callers) as executor:
        for planned in plan:
            _wait_until(started + planned.at_s)
            url = urls[planned.number % len(urls)]
            pending.append(executor.submit(send, pool, url, planned, started))
    pool.clear()
    return [future.result() for future in pending]


def _wait_until(at):
    delay = at - time.monotonic()
    if delay > 0:
        time.sleep(delay)
