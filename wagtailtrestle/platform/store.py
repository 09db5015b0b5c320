"""The users' object store as a ``RevisionStore``."""

import json
from http import HTTPStatus
from urllib.parse import quote, urlsplit

from loguru import logger

from wagtailtrestle.configuration.epoch_store import RevisionAnswer
from wagtailtrestle.contracts.outcomes import (
    StoreAbsent,
    StoreConflict,
    StoreDone,
    StoreHistoryGone,
    StoreUnavailable,
    StoreUnknown,
)
from wagtailtrestle.declarations.argument_types import HostPort, InvalidValue
from wagtailtrestle.membership.vm_list import vm_from_json
from wagtailtrestle.peers.codec import is_encodable
from wagtailtrestle.platform.headers import STORE_ERA
from wagtailtrestle.platform.kinds import ROLLOUT_KIND, ROUTER_KIND
from wagtailtrestle.store.threaded_http import ThreadedHttpClient, describe_answer
from wagtailtrestle.store.tolerant_json import is_too_deep

WATCH_THREADS = 3
CALL_THREADS = 4
CONNECT_TIMEOUT_S = 0.5
"""A healthy store accepts a connection within a few round trips of some milliseconds."""
READ_TIMEOUT_S = 1.0
"""About 250 times the latency of a healthy store; a slower one is treated as unavailable."""
WATCH_MARGIN_S = 0.7
"""How long after its own timeout a watch may be answered before the connection counts as unresponsive."""
MS_PER_S = 1000.0
VM_FIELDS = ("role", "address", "zone", "admin")
"""Fields of a router's announcement that must be strings."""
MAX_PAGES = 100
"""Limit on the pages of one list, so that a list without end does not block its reader."""
NOT_APPLIED_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.BAD_REQUEST)
"""Statuses by which the store reports that nothing was applied."""


class PlatformStore:
    """``RevisionStore`` over the users' store.

    An object's value is its specification in the platform's terms. The value of a rollout order, whose
    status this system writes, holds both specification and status.

    Parameters
    ----------
    url : str
        ``http://HOST:PORT``.
    """

    def __init__(self, *, url):
        self._url = urlsplit(url)
        self._calls = None
        self._watches = None

    def start(self):
        """Start the threads; connections are opened by the first calls."""
        self._calls = self._make_client(threads=CALL_THREADS, name="store")
        self._watches = self._make_client(threads=WATCH_THREADS, name="watch")

    def close(self):
        """Cancel all calls in flight and stop the threads."""
        self._calls.close()
        self._watches.close()

    async def get(self, *, kind, name):
        """Read one object."""
        answer = await self._call("GET", _path(kind, name))
        match answer.status:
            case HTTPStatus.OK if _is_object(answer.body):
                return _with_epoch(answer, StoreDone(version=_revision(answer.body), value=_value(kind, answer.body)))
            case HTTPStatus.NOT_FOUND:
                return _with_epoch(answer, StoreAbsent())
        return _unavailable(answer)

    async def list(self, *, kind):
        """Read all objects of a kind: ``value`` maps name to ``(revision, value)``."""
        return await self._list(kind, may_be_stale=False)

    async def create(self, *, kind, name, value):
        """Create an object that must not exist yet."""
        body = {"metadata": {"name": name}, "specification": value}
        return _write_outcome(await self._call("POST", _path(kind), body=body))

    async def update(self, *, kind, name, value, if_revision):
        """Replace an object that must be at ``if_revision``."""
        body = {"metadata": {"name": name, "revision": if_revision}, "specification": value}
        return _write_outcome(await self._call("PUT", _path(kind, name), body=body))

    async def update_status(self, *, kind, name, value, if_revision):
        """Replace the status of an object that must be at ``if_revision``."""
        body = {"metadata": {"name": name, "revision": if_revision}, "status": value}
        return _write_outcome(await self._call("PUT", f"{_path(kind, name)}/status", body=body))

    async def delete(self, *, kind, name, if_revision):
        """Delete an object that must be at ``if_revision``."""
        return _write_outcome(await self._call("DELETE", f"{_path(kind, name)}?revision={if_revision}"))

    async def watch(self, *, kind, from_revision, timeout_s):
        """Wait for changes after ``from_revision``; a deleted object's value is ``None``."""
        path = f"{_path(kind)}?watch={from_revision}&wait_ms={int(timeout_s * MS_PER_S)}"
        answer = await self._watches.call(method="GET", path=path, wait_s=timeout_s + WATCH_MARGIN_S)
        match answer.status:
            case HTTPStatus.OK if _is_list(answer.body, "events"):
                events = tuple(_event(kind, event) for event in answer.body["events"] if _is_event(event))
                return _with_epoch(answer, StoreDone(version=answer.body["store_revision"], value=events))
            case HTTPStatus.GONE:
                return _with_epoch(answer, StoreHistoryGone())
        return _unavailable(answer)

    async def vms(self):
        """Read the announced routers; the list may be seconds old, at a tenth of the cost."""
        answer = await self._list(ROUTER_KIND, may_be_stale=True)
        outcome = answer.outcome
        if not isinstance(outcome, StoreDone):
            return answer
        vms = tuple(_vm(name, value) for name, (_, value) in sorted(outcome.value.items()) if _is_vm(name, value))
        return RevisionAnswer(outcome=StoreDone(version=outcome.version, value=vms), epoch=answer.epoch)

    async def _list(self, kind, *, may_be_stale):
        by_name = {}
        after = ""
        epoch = first_revision = None
        for _ in range(MAX_PAGES):
            answer = await self._call("GET", _path(kind) + _query(after=after, may_be_stale=may_be_stale))
            if answer.status != HTTPStatus.OK or not _is_list(answer.body, "items"):
                return _unavailable(answer)
            if after and _epoch(answer) != epoch:
                # The store was restored from a backup between two pages, so they do not form one list.
                return _with_epoch(answer, StoreUnavailable(detail="two pages of a list are of different epochs"))
            epoch = _epoch(answer)
            if first_revision is None:
                # An object of an earlier page may change before the last page is read. Only a watch from the
                # revision of the first page returns such a change.
                first_revision = answer.body["store_revision"]
            items = [item for item in answer.body["items"] if _is_object(item)]
            by_name.update((_name(item), (_revision(item), _value(kind, item))) for item in items)
            if not answer.body.get("has_more"):
                return _with_epoch(answer, StoreDone(version=first_revision, value=by_name))
            if not items:
                return _with_epoch(answer, StoreUnavailable(detail="a page of a list has no readable object"))
            # The parameter is called `after_revision` but takes the name of the last object read.
            after = _name(items[-1])
        return RevisionAnswer(outcome=StoreUnavailable(detail=f"the list of {kind} has over {MAX_PAGES} pages"))

    async def _call(self, method, path, *, body=None):
        encoded = None if body is None else json.dumps(body).encode()
        headers = {} if body is None else {"Content-Type": "application/json"}
        return await self._calls.call(method=method, path=path, wait_s=READ_TIMEOUT_S, headers=headers, body=encoded)

    def _make_client(self, *, threads, name):
        return ThreadedHttpClient(
            host=self._url.hostname,
            port=self._url.port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            threads=threads,
            name=name,
        )


def _epoch(answer):
    """Return the epoch in an answer's header, or ``None`` without one."""
    text = answer.headers.get(STORE_ERA, "")
    return int(text) if text.isascii() and text.isdigit() else None


def _with_epoch(answer, outcome):
    return RevisionAnswer(outcome=outcome, epoch=_epoch(answer))


def _unavailable(answer):
    return _with_epoch(answer, StoreUnavailable(detail=describe_answer(answer)))


def _write_outcome(answer):
    """Return the outcome of a write; one without an answer may have taken effect, or do so seconds later."""
    match answer.status:
        case HTTPStatus.OK | HTTPStatus.CREATED if _is_object(answer.body):
            return _with_epoch(answer, StoreDone(version=_revision(answer.body)))
        case HTTPStatus.OK | HTTPStatus.CREATED:
            return _with_epoch(answer, StoreDone(version=0))
        case HTTPStatus.CONFLICT if _is_object(answer.body):
            found = StoreConflict(version=_revision(answer.body), value=answer.body.get("specification"))
            return _with_epoch(answer, found)
        case HTTPStatus.CONFLICT:
            return _with_epoch(answer, StoreConflict())
        case HTTPStatus.NOT_FOUND:
            return _with_epoch(answer, StoreAbsent())
        case status if status in NOT_APPLIED_STATUSES:
            return _unavailable(answer)
    return (
        _with_epoch(answer, StoreUnknown(detail=describe_answer(answer))) if answer.was_sent else _unavailable(answer)
    )


def _event(kind, event):
    """Return name, revision and value of one change."""
    changed = event["object"]
    return _name(changed), _revision(changed), None if event.get("deleted") else _value(kind, changed)


def _is_list(body, name):
    """Whether an answer holds a list in its field ``name``."""
    return isinstance(body, dict) and isinstance(body.get(name), list) and isinstance(body.get("store_revision"), int)


def _is_event(event):
    return isinstance(event, dict) and _is_object(event.get("object"))


def _is_object(body):
    """Whether a value read is an object; others are skipped, as nothing identifies them."""
    metadata = body.get("metadata") if isinstance(body, dict) else None
    if isinstance(metadata, dict) and isinstance(metadata.get("name"), str):
        return isinstance(metadata.get("revision"), int)
    # The content is not logged: it may be a configuration, which holds keys.
    logger.error("skipped an object of the store without a valid name or revision")
    return False


def _is_vm(name, value):
    """Whether a router's announcement is valid; another client may have written it."""
    if not isinstance(value, dict):
        return False
    texts = [name, *(value.get(field) for field in VM_FIELDS)]
    if not all(isinstance(text, str) and is_encodable(text) for text in texts):
        return False
    return not isinstance(HostPort().read(value["address"]), InvalidValue)


def _vm(name, value):
    return vm_from_json({**value, "id": name})


def _name(item):
    return item["metadata"]["name"]


def _revision(item):
    return item["metadata"]["revision"]


def _value(kind, item):
    value = item.get("specification")
    if kind == ROLLOUT_KIND:
        value = {"specification": value, "status": item.get("status")}
    return None if is_too_deep(value) else value


def _path(kind, name=None):
    path = f"/v1/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _query(*, after, may_be_stale):
    fields = []
    if after:
        fields.append(f"after_revision={quote(after, safe='')}")
    if may_be_stale:
        fields.append("stale_ok=1")
    return "?" + "&".join(fields) if fields else ""
