"""Polls language engines for their load and cache events, and hands the reports to the loop.

Each engine has a thread and a connection of its own: a router polls just the few engines
of the cells it is scheduler of, and one that does not answer can't hold up reports of others.
"""

import http.client
import threading
import time
from collections.abc import Callable

from loguru import logger
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from wagtailtrestle.contracts.report_messages import CacheEvents, EngineReport, LoadReport, LoadUnreachable
from wagtailtrestle.declarations.argument_types import split_address

CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 0.5
LOAD_POLLS_PER_CACHE_POLL = 4
OK = 200
NOT_FOUND_PROBLEM = "HTTP status 404"


class NativeReports:
    """Where the product's own engines tell their load and cache events, and how that reads."""

    load_path = "/load"
    cache_path = "/cache/events"

    def load(self, engine, values, *, took_s):
        """Build a report from an engine's JSON."""
        return load_report(engine, values, took_s=took_s)


class EngineReports:
    """Asks each engine for its load every ``interval_s``.

    Parameters
    ----------
    interval_s : float
    loop : asyncio.AbstractEventLoop
        Where ``on_report`` runs.
    on_report : callable
        Takes ``LoadReport``, ``LoadUnreachable`` and ``CacheEvents``.
    dialect : ReportDialect, optional
        Paths and reading; the product's own by default. A ``cache_path`` of ``None`` asks for no events.
    """

    def __init__(self, *, interval_s, loop, on_report: Callable[[EngineReport], None], dialect=None):
        self._dialect = dialect or NativeReports()
        self._interval_s = interval_s
        self._loop = loop
        self._on_report = on_report
        self._address_by_name = {}
        self._poller_by_name = {}

    def start(self):
        """Do nothing: each engine's polling starts when it is set."""

    def close(self):
        """Stop asking; a call under way ends by its timeout and is not reported."""
        self.set_engines({})

    def set_engines(self, address_by_name):
        """Ask just these engines from now on; what is known of those that stay is kept.

        Language engines only: a plain service would take the call for a request.
        """
        if address_by_name == self._address_by_name:
            return
        for name, address in self._address_by_name.items():
            if address_by_name.get(name) != address:
                self._poller_by_name.pop(name).close()
        for number, (name, address) in enumerate(address_by_name.items()):
            if name not in self._poller_by_name:
                # Spread over the interval, so that calls don't come in bursts.
                initial_delay_s = self._interval_s * number / len(address_by_name)
                self._poller_by_name[name] = self._start_poller(name, address, initial_delay_s)
        self._address_by_name = dict(address_by_name)

    def dump(self) -> dict:
        """Return what is asked and who answers, for a state dump."""
        return {name: poller.dump() for name, poller in self._poller_by_name.items()}

    def _start_poller(self, name, address, initial_delay_s):
        poller = EnginePoller(
            name=name,
            address=address,
            initial_delay_s=initial_delay_s,
            interval_s=self._interval_s,
            deliver=self._deliver,
            dialect=self._dialect,
        )
        poller.start()
        return poller

    def _deliver(self, report):
        try:
            self._loop.call_soon_threadsafe(self._on_report, report)
        except RuntimeError:
            pass  # The loop has closed: the process is ending and nobody reads reports.


class EnginePoller:
    """Polls one engine from a thread that owns the connection to it.

    Parameters
    ----------
    name, address : str
    first_s : float
        Wait before the first call.
    interval_s : float
        From the beginning of one call to the next.
    deliver : callable
        ``deliver(report)``, from the polling thread.
    dialect : ReportDialect
    """

    __slots__ = (
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

    def __init__(self, *, name, address, initial_delay_s, interval_s, deliver, dialect):
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
        """Begin to poll."""
        self._thread.start()

    def close(self):
        """Stop without waiting for a call under way; its report is dropped."""
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
                # Not what an engine tells: it corrects nothing, and the next one may.
                logger.warning("the report of engine {} is not used: {}", self._name, problem)
            except Exception:
                # A report in a shape nobody expected must not end the polling of this engine.
                logger.exception("report of engine {} could not be read", self._name)
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
            # An engine without cache events is not asked again until it is declared anew.
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
            # The kept connection may have gone silent, or been closed while it was idle,
            # while new ones work. Only a new one's failure says something about the engine.
            values, problem = self._get_once(path)
        return values, problem

    def _get_once(self, path):
        try:
            if self._connection is None:
                self._connect()
            self._connection.request("GET", path)
            response = self._connection.getresponse()
            if response.status == OK:
                return response.json(), ""
            problem = f"HTTP status {response.status}"
        except (HTTPError, http.client.HTTPException, OSError, ValueError) as error:
            problem = type(error).__name__
        self._disconnect()
        return None, problem

    def _connect(self):
        host, port = split_address(self._address)
        connection = HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_S)
        connection.connect()
        connection.timeout = READ_TIMEOUT_S
        self._connection = connection

    def _disconnect(self):
        if self._connection is not None:
            self._connection.close()
            self._connection = None


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
