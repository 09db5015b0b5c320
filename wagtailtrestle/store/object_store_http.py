"""The platform's object API over HTTP, as an ``ObjectStore`` for the event loop.

Each call runs on a thread of this store's own pools and returns an outcome; the event loop
never waits for a socket. Watches have threads and connections of their own.
"""

import json
from http import HTTPStatus
from urllib.parse import quote, urlsplit

from wagtailtrestle.contracts.outcomes import StoreAbsent, StoreConflict, StoreDone, StoreUnavailable, StoreUnknown
from wagtailtrestle.membership.vm_list import vm_from_json
from wagtailtrestle.store.threaded_http import ThreadedHttpClient, describe_answer

WATCH_THREADS = 4
# The platform answers a watch at its timeout; after this margin it counts as unresponsive.
WATCH_MARGIN_S = 1.0
# Statuses with which the platform rejects a call without applying it.
NOT_APPLIED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class HttpObjectStore:
    """``ObjectStore`` over urllib3.

    Parameters
    ----------
    url : str
        ``http://HOST:PORT`` of the platform.
    connect_timeout_s : float
    read_timeout_s : float
        Longest wait for data on an open connection before the call times out.
    threads : int
        Maximum number of concurrent calls, not counting watches.
    """

    def __init__(self, *, url, connect_timeout_s=1.0, read_timeout_s=2.0, threads=4):
        self._url = urlsplit(url)
        self._connect_timeout_s = connect_timeout_s
        self._read_timeout_s = read_timeout_s
        self._threads = threads
        self._calls = None
        self._watches = None

    def start(self):
        """Create the threads; connections are opened by the first calls."""
        self._calls = self._make_client(threads=self._threads, name="store")
        self._watches = self._make_client(threads=WATCH_THREADS, name="watch")

    def close(self):
        """Abort all calls in flight and stop the threads."""
        self._calls.close()
        self._watches.close()

    async def get(self, *, kind, name, unless_version=None):
        """Read one object; ``value`` is ``None`` if it is still at ``unless_version``."""
        return await self._get(_object_path(kind, name), unless_version)

    async def list(self, *, kind):
        """Read all objects of a kind: ``value`` maps name to ``(version, value)``."""
        outcome = _read_outcome(await self._call("GET", f"/objects/{_quote(kind)}"))
        if not isinstance(outcome, StoreDone):
            return outcome
        by_name = {name: (item["version"], item["value"]) for name, item in outcome.value.items()}
        return StoreDone(version=outcome.version, value=by_name)

    async def create(self, *, kind, name, value):
        """Create an object that must not exist yet."""
        return _write_outcome(await self._call("POST", _object_path(kind, name), body=_encode(value)))

    async def update(self, *, kind, name, value, if_version):
        """Replace an object that must be at ``if_version``."""
        path = f"{_object_path(kind, name)}?if_version={if_version}"
        return _write_outcome(await self._call("PUT", path, body=_encode(value)))

    async def delete(self, *, kind, name, if_version):
        """Delete an object that must be at ``if_version``."""
        path = f"{_object_path(kind, name)}?if_version={if_version}"
        return _write_outcome(await self._call("DELETE", path))

    async def watch(self, *, kind, from_version, timeout_s):
        """Wait for changes after ``from_version``; returns in bounded time even if the connection is unresponsive."""
        path = f"/watch/{_quote(kind)}?from_version={from_version}&timeout_s={timeout_s:.3f}"
        outcome = _read_outcome(await self._watches.call(method="GET", path=path, wait_s=timeout_s + WATCH_MARGIN_S))
        if not isinstance(outcome, StoreDone):
            return outcome
        events = tuple((event["name"], event["version"], event["value"]) for event in outcome.value)
        return StoreDone(version=outcome.version, value=events)

    async def vms(self, *, unless_version=None):
        """Read the lagging list of VMs: a tuple of ``VM``, ``None`` if still at ``unless_version``."""
        outcome = await self._get("/vms", unless_version)
        if not isinstance(outcome, StoreDone) or outcome.value is None:
            return outcome
        return StoreDone(version=outcome.version, value=tuple(vm_from_json(item) for item in outcome.value))

    async def _get(self, path, unless_version):
        headers = {} if unless_version is None else {"If-None-Match": f'"{unless_version}"'}
        answer = await self._call("GET", path, headers=headers)
        if answer.status == HTTPStatus.NOT_MODIFIED:
            return StoreDone(version=unless_version)
        return _read_outcome(answer)

    async def _call(self, method, path, *, headers=None, body=None):
        return await self._calls.call(method=method, path=path, wait_s=self._read_timeout_s, headers=headers, body=body)

    def _make_client(self, *, threads, name):
        return ThreadedHttpClient(
            host=self._url.hostname,
            port=self._url.port,
            connect_timeout_s=self._connect_timeout_s,
            threads=threads,
            name=name,
        )


def _read_outcome(answer):
    """Return the outcome of a read: no answer is equivalent to a refusal, as reads have no effect."""
    match answer.status:
        case HTTPStatus.OK if _has_version(answer.body):
            return StoreDone(version=answer.body["version"], value=answer.body.get("value"))
        case HTTPStatus.NOT_FOUND:
            return StoreAbsent()
    return StoreUnavailable(detail=describe_answer(answer))


def _write_outcome(answer):
    """Return the outcome of a write: without an unambiguous answer it is unknown whether it took effect."""
    match answer.status:
        case HTTPStatus.OK if _has_version(answer.body):
            return StoreDone(version=answer.body["version"])
        case HTTPStatus.CONFLICT:
            return StoreConflict(version=(answer.body or {}).get("version"))
        case HTTPStatus.NOT_FOUND:
            return StoreAbsent()
        case status if status in NOT_APPLIED_STATUSES:
            return StoreUnavailable(detail=describe_answer(answer))
        case HTTPStatus.SERVICE_UNAVAILABLE if (answer.body or {}).get("applied") is False:
            return StoreUnavailable(detail=describe_answer(answer))
    # A 500, or a 503 from a proxy, does not show whether the write was applied.
    if answer.was_sent:
        return StoreUnknown(detail=describe_answer(answer))
    return StoreUnavailable(detail=describe_answer(answer))


def _has_version(body):
    return isinstance(body, dict) and isinstance(body.get("version"), int)


def _object_path(kind, name):
    return f"/objects/{_quote(kind)}/{_quote(name)}"


def _quote(text):
    return quote(text, safe="")


def _encode(value):
    return json.dumps({"value": value}).encode()
