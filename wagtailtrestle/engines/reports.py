"""Polls language engines for load reports and cache events, and delivers them to the event loop.

Each engine has its own thread and connection: a router polls only the few engines of the
cells that it schedules, and an engine that does not answer can't delay reports of others.
"""

import http.client
import json
import threading
import time
from collections.abc import Callable

from loguru import logger
from urllib3.exceptions import HTTPError

from wagtailtrestle.contracts.report_messages import CacheEvents, EngineReport, LoadReport, LoadUnreachable
from wagtailtrestle.engines.connector import DirectConnector
from wagtailtrestle.short_response import limit_responses, read_body

CONNECT_TIMEOUT_S = 0.9
"""Time for a connection on the direct path and, failing that, through another router."""
READ_TIMEOUT_S = 0.5
"""Time for a complete answer."""
MAX_REPORT_BYTES = 4 * 1024 * 1024
LOAD_POLLS_PER_CACHE_POLL = 4
OK = 200
NOT_FOUND_PROBLEM = "HTTP status 404"


class NativeReports:
    """Report dialect of native engines: paths of load and cache events, and how to parse them."""

    load_path = "/load"
    cache_path = "/cache/events"

    def load(self, engine, values, *, took_s):
        """Build a load report from an engine's JSON."""
        return load_report(engine, values, took_s=took_s)


class EngineReports:
    """Polls each engine for its load every ``interval_s``.

    Parameters
    ----------
    interval_s : float
    loop : asyncio.AbstractEventLoop
        Loop in which ``on_report`` runs.
    on_report : callable
        Receives ``LoadReport``, ``LoadUnreachable`` and ``CacheEvents``.
    dialect : ReportDialect, optional
        Paths and parsing; native by default. With a ``cache_path`` of ``None``, cache events are not polled.
    connector : Connector, optional
        Opens the connections; direct ones by default.
    """

    def __init__(self, *, interval_s, loop, on_report: Callable[[EngineReport], None], dialect=None, connector=None):
        self._dialect = dialect or NativeReports()
        self._connector = connector or DirectConnector()
        self._interval_s = interval_s
        self._loop = loop
        self._on_report = on_report
        self._address_by_name = {}
        self._poller_by_name = {}

    def start(self):
        """Do nothing: polling of an engine starts in :meth:`set_engines`."""

    def close(self):
        """Stop polling; a call in progress ends by its timeout and is not reported."""
        self.set_engines({})

    def set_engines(self, address_by_name):
        """Poll exactly these engines from now on; pollers of engines that stay are kept.

        Language engines only: a plain service would treat a poll as a request.
        """
        if address_by_name == self._address_by_name:
            return
        for name, address in self._address_by_name.items():
            if address_by_name.get(name) != address:
                self._poller_by_name.pop(name).close()
        for number, (name, address) in enumerate(address_by_name.items()):
            if name not in self._poller_by_name:
                # Spread over the interval, so that polls don't come in bursts.
                initial_delay_s = self._interval_s * number / len(address_by_name)
                self._poller_by_name[name] = self._start_poller(name, address, initial_delay_s)
        self._address_by_name = dict(address_by_name)

    def dump(self) -> dict:
        """Return the polled engines and whether they answer, for a state dump."""
        return {name: poller.dump() for name, poller in self._poller_by_name.items()}

    def _start_poller(self, name, address, initial_delay_s):
        poller = EnginePoller(
            name=name,
            address=address,
            initial_delay_s=initial_delay_s,
            interval_s=self._interval_s,
            deliver=self._deliver,
            dialect=self._dialect,
            connector=self._connector,
        )
        poller.start()
        return poller

    def _deliver(self, report):
        try:
            self._loop.call_soon_threadsafe(self._on_report, report)
        except RuntimeError:
            pass  # The loop has closed: the process is ending.


class EnginePoller:
    """Polls one engine, from a thread with its own connection.

    Parameters
    ----------
    name, address : str
    initial_delay_s : float
        Time before the first poll.
    interval_s : float
        Time between the starts of two polls.
    deliver : callable
        ``deliver(report)``, called in the polling thread.
    dialect : ReportDialect
    connector : Connector
    """

    __slots__ = (
        "_connector",
        "_dialect",
        "_name",
        "_address",
        "_initial_delay_s",
        "_interval_s",
        "_deliver",
        "_closing",
        "_thread",
        "_connection",
        "_answered",
        "_polls",
        "_has_cache_events",
        "_epoch",
        "_next_event",
    )

    def __init__(self, *, name, address, initial_delay_s, interval_s, deliver, dialect, connector):
        self._connector = connector
        self._dialect = dialect
        self._name = name
        self._address = address
        self._initial_delay_s = initial_delay_s
        self._interval_s = interval_s
        self._deliver = deliver
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._poll_forever, name=f"reports-{name}", daemon=True)
        self._connection = None
        self._answered = False
        self._polls = 0
        self._has_cache_events = dialect.cache_path is not None
        self._epoch = None
        self._next_event = 1

    def start(self):
        """Start polling."""
        self._thread.start()

    def close(self):
        """Stop without waiting for a call in progress; its report is dropped."""
        self._closing.set()

    def dump(self) -> dict:
        """Return plain data for a state dump."""
        return {"address": self._address, "answered": self._answered, "polls": self._polls}

    def _poll_forever(self):
        due_at = time.monotonic() + self._initial_delay_s
        while not self._closing.wait(due_at - time.monotonic()):
            due_at = time.monotonic() + self._interval_s
            try:
                self._poll()
            except ValueError as problem:
                # An invalid report changes nothing; the next one may be valid.
                logger.warning("ignored an invalid report of engine {}: {}", self._name, problem)
            except Exception:
                # A report of an unexpected structure must not end the polling of this engine.
                logger.exception("failed to process a report of engine {}", self._name)
        self._disconnect()

    def _poll(self):
        began_at = time.monotonic()
        values, problem = self._get(self._dialect.load_path)
        self._polls += 1
        self._answered = values is not None
        if values is None:
            self._report(LoadUnreachable(engine=self._name, detail=problem))
            return
        self._report(self._dialect.load(self._name, values, took_s=time.monotonic() - began_at))
        if self._has_cache_events and self._polls % LOAD_POLLS_PER_CACHE_POLL == 0:
            self._poll_cache_events()

    def _poll_cache_events(self):
        values, problem = self._get(f"{self._dialect.cache_path}?from={self._next_event}")
        if values is None:
            # An engine without cache events is not polled for them again until it is redeclared.
            self._has_cache_events = problem != NOT_FOUND_PROBLEM
            return
        restarted = self._epoch is not None and values["epoch"] != self._epoch
        expected = 1 if restarted else self._next_event
        events = cache_events(self._name, values, expected=expected, restarted=restarted)
        self._epoch = values["epoch"]
        self._next_event = values["next"]
        if events.stored or events.removed or events.gap or events.restarted:
            self._report(events)

    def _report(self, report):
        if not self._closing.is_set():
            self._deliver(report)

    def _get(self, path):
        kept = self._connection is not None
        values, problem = self._get_once(path)
        if values is None and kept:
            # The kept connection may have gone silent or been closed while idle, while new
            # ones work. Only a failure on a new connection is evidence about the engine.
            values, problem = self._get_once(path)
        return values, problem

    def _get_once(self, path):
        try:
            if self._connection is None:
                self._connect()
            self._connection.request("GET", path, preload_content=False)
            response = self._connection.getresponse()
            body = read_body(response, max_bytes=MAX_REPORT_BYTES)
            if response.status == OK:
                return json.loads(body), ""
            problem = f"HTTP status {response.status}"
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            problem = type(error).__name__
        self._disconnect()
        return None, problem

    def _connect(self):
        connected = self._connector.connect(engine=self._name, address=self._address, timeout_s=CONNECT_TIMEOUT_S)
        connection = connected.http
        connection.timeout = READ_TIMEOUT_S
        limit_responses(connection, max_bytes=MAX_REPORT_BYTES)
        self._connection = connection

    def _disconnect(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def load_report(name, values, *, took_s) -> LoadReport:
    """Build a load report from the engine's JSON; half of the call's duration is added to its age."""
    return LoadReport(
        engine=name,
        age_s=float(values["age_s"]) + took_s / 2,
        running=int(values["running"]),
        waiting=int(values["waiting"]),
        step_s=float(values["step_s"]),
        leaving=bool(values["leaving"]),
    )


def cache_events(name, values, *, expected, restarted) -> CacheEvents:
    """Build a message from the engine's JSON; gaps are detected by the events' numbers."""
    events = values["events"]
    numbers = [event["number"] for event in events]
    return CacheEvents(
        engine=name,
        stored=tuple(block for event in events for block in event["stored"]),
        removed=tuple(block for event in events for block in event["removed"]),
        gap=numbers != list(range(expected, expected + len(numbers))),
        restarted=restarted,
    )
