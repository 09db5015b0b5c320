"""Polls engines for their load and cache events, and hands the reports to the loop.

A few threads do the blocking calls. An engine that does not answer is asked from threads
of its own kind, so that a handful of dead engines can't hold up reports of living ones.
"""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import urllib3
from loguru import logger
from urllib3.exceptions import HTTPError, NewConnectionError

from wagtailtrestle.report_messages import CacheEvents, EngineReport, LoadReport, LoadUnreachable

POLL_THREADS = 4
SUSPECT_THREADS = 2
CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 0.5
CACHE_POLL_EVERY = 2
SHORTEST_WAIT_S = 0.001
# One call at a time to each engine, so that a failed call leaves no other old connection.
CONNECTIONS_PER_ENGINE = 1
OK = 200


class PolledEngine:
    """One engine that is asked for reports.

    Attributes
    ----------
    due_at : float
        When to ask next, on the monotonic clock.
    asking : bool
        A call is under way; a second one is not begun.
    answered : bool
        The last call was answered.
    polls : int
    next_event : int
        Number of the first cache event not yet seen.
    epoch : str or None
        Which numbering of cache events that is; a restarted engine begins another.
    tells_cache : bool
    """

    __slots__ = ("name", "address", "due_at", "asking", "answered", "polls", "next_event", "epoch", "tells_cache")

    def __init__(self, *, name, address, due_at):
        self.name = name
        self.address = address
        self.due_at = due_at
        self.asking = False
        self.answered = True
        self.polls = 0
        self.next_event = 1
        self.epoch = None
        self.tells_cache = True


class EngineReports:
    """Asks each engine for its load every ``interval_s``.

    Parameters
    ----------
    interval_s : float
    loop : asyncio.AbstractEventLoop
        Where ``on_report`` runs.
    on_report : callable
        Takes ``LoadReport``, ``LoadUnreachable`` and ``CacheEvents``.
    """

    def __init__(self, *, interval_s, loop, on_report: Callable[[EngineReport], None]):
        self._interval_s = interval_s
        self._loop = loop
        self._on_report = on_report
        self._engines_by_name = {}
        self._changed = threading.Condition()
        self._closing = False
        self._pool = urllib3.PoolManager(num_pools=256, maxsize=CONNECTIONS_PER_ENGINE, retries=False)
        self._threads = ThreadPoolExecutor(max_workers=POLL_THREADS, thread_name_prefix="reports")
        self._suspect_threads = ThreadPoolExecutor(max_workers=SUSPECT_THREADS, thread_name_prefix="suspects")
        self._scheduler = threading.Thread(target=self._schedule, name="report-times", daemon=True)

    def start(self):
        """Begin to ask."""
        self._scheduler.start()

    def close(self):
        """Stop asking; a call under way ends by its timeout and is not reported."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        self._scheduler.join()
        self._threads.shutdown(wait=False, cancel_futures=True)
        self._suspect_threads.shutdown(wait=False, cancel_futures=True)
        self._pool.clear()

    def set_engines(self, address_by_name):
        """Ask just these engines from now on; what is known of those that stay is kept."""
        with self._changed:
            now = time.monotonic()
            engines = {}
            for number, (name, address) in enumerate(address_by_name.items()):
                present = self._engines_by_name.get(name)
                if present is not None and present.address == address:
                    engines[name] = present
                    continue
                # Spread over the interval, so that calls don't come in bursts.
                due_at = now + self._interval_s * number / len(address_by_name)
                engines[name] = PolledEngine(name=name, address=address, due_at=due_at)
            self._engines_by_name = engines
            self._changed.notify()

    def dump(self) -> dict:
        """Return what is asked and who answers, for a state dump."""
        with self._changed:
            return {
                engine.name: {"address": engine.address, "answered": engine.answered, "polls": engine.polls}
                for engine in self._engines_by_name.values()
            }

    def _schedule(self):
        with self._changed:
            while not self._closing:
                now = time.monotonic()
                for engine in self._engines_by_name.values():
                    if engine.due_at <= now and not engine.asking:
                        self._begin(engine, now)
                idle = [engine.due_at for engine in self._engines_by_name.values() if not engine.asking]
                wait_s = min(idle, default=now + self._interval_s) - now
                self._changed.wait(max(wait_s, SHORTEST_WAIT_S))

    def _begin(self, engine, now):
        engine.asking = True
        engine.due_at = now + self._interval_s
        threads = self._threads if engine.answered else self._suspect_threads
        threads.submit(self._ask, engine)

    def _ask(self, engine):
        try:
            self._ask_load(engine)
            if engine.answered and engine.tells_cache and engine.polls % CACHE_POLL_EVERY == 0:
                self._ask_cache_events(engine)
        except Exception:
            # A report in a shape nobody expected must not end the polling of this engine.
            logger.exception("report of engine {} could not be read", engine.name)
        finally:
            with self._changed:
                engine.asking = False
                engine.polls += 1
                self._changed.notify()

    def _ask_load(self, engine):
        began_at = time.monotonic()
        values, problem = self._get(engine, "/load")
        engine.answered = values is not None
        if values is None:
            self._deliver(engine, LoadUnreachable(engine=engine.name, detail=problem))
            return
        took_s = time.monotonic() - began_at
        self._deliver(engine, load_report(engine.name, values, took_s=took_s))

    def _ask_cache_events(self, engine):
        values, _ = self._get(engine, f"/cache/events?from={engine.next_event}")
        if values is None or "events" not in values:
            # A plain service has no cache; it is not asked again until it is declared anew.
            engine.tells_cache = False
            return
        restarted = values["epoch"] != engine.epoch and engine.epoch is not None
        expected = 1 if restarted else engine.next_event
        report = cache_events(engine.name, values, expected=expected, restarted=restarted)
        engine.epoch = values["epoch"]
        engine.next_event = values["next"]
        if report.stored or report.removed or report.gap or report.restarted:
            self._deliver(engine, report)

    def _get(self, engine, path):
        values, problem = self._get_once(engine, path)
        if values is None and engine.answered and problem != NewConnectionError.__name__:
            # The pooled connection may have gone silent, or been closed while it was idle,
            # while new ones work. It was dropped from the pool by its failure, so a second
            # try connects anew; only that one's failure says something about the engine.
            values, problem = self._get_once(engine, path)
        return values, problem

    def _get_once(self, engine, path):
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        try:
            response = self._pool.request("GET", f"http://{engine.address}{path}", timeout=timeout, retries=False)
            if response.status != OK:
                return None, f"HTTP status {response.status}"
            return response.json(), ""
        except (HTTPError, OSError, ValueError) as error:
            return None, type(error).__name__

    def _deliver(self, engine, report):
        if self._closing or self._engines_by_name.get(engine.name) is not engine:
            return
        try:
            self._loop.call_soon_threadsafe(self._on_report, report)
        except RuntimeError:
            # The loop closed between the check above and this call; nobody reads reports now.
            self._closing = True


def load_report(name, values, *, took_s) -> LoadReport:
    """Build a report from the engine's JSON; the time of the call may be part of its age."""
    return LoadReport(
        engine=name,
        age_s=float(values["age_s"]) + took_s / 2,
        running=int(values["running"]),
        waiting=int(values["waiting"]),
        step_s=float(values["step_s"]),
        leaving=bool(values["leaving"]),
    )


def cache_events(name, values, *, expected, restarted) -> CacheEvents:
    """Build a message from the engine's JSON, and tell gaps by the events' numbers."""
    events = values["events"]
    numbers = [event["number"] for event in events]
    return CacheEvents(
        engine=name,
        stored=tuple(block for event in events for block in event["stored"]),
        removed=tuple(block for event in events for block in event["removed"]),
        gap=numbers != list(range(expected, expected + len(numbers))),
        restarted=restarted,
    )
