"""The users' object store as an ``ObjectStore``."""

import json
from http import HTTPStatus
from urllib.parse import quote, urlsplit

from loguru import logger

from wagtailtrestle.configuration.store_epoch import epoch_of, revision_of, version_in
from wagtailtrestle.contracts.outcomes import (
    StoreAbsent,
    StoreConflict,
    StoreDone,
    StoreHistoryGone,
    StoreUnavailable,
    StoreUnknown,
)
from wagtailtrestle.membership.vm_list import vm_from_json
from wagtailtrestle.platform.headers import STORE_ERA
from wagtailtrestle.platform.kinds import ROLLOUT_KIND, ROUTER_KIND
from wagtailtrestle.store.http_lane import Answer, Lane, describe

WATCH_THREADS = 3
CALL_THREADS = 4
CONNECT_TIMEOUT_S = 0.5
"""A sound store takes a connection within a few round trips of some milliseconds."""
READ_TIMEOUT_S = 1.0
"""Some 250 times a sound answer; a store as slow as this is as good as out."""
WATCH_MARGIN_S = 0.7
"""How much later than its own limit a watch may be answered before it counts as silent."""
MS_PER_S = 1000.0
VM_FIELDS = ("role", "address", "zone", "admin")
"""What a router's announcement holds as text."""
MOST_PAGES = 100
"""Pages read of one list, so that a store that never ends a list can't hold its reader."""
NOT_TAKEN_UP = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.BAD_REQUEST)
"""Statuses by which the store says that nothing was done."""


class PlatformStore:
    """``ObjectStore`` over the users' store.

    An object's version is the store's revision at which it last changed, within the store's epoch; its value
    is what the platform calls its specification; that of an order, which has a status of ours, is both.

    Parameters
    ----------
    url : str
        ``http://HOST:PORT``.
    epoch : StoreEpoch
        Told of each answer; versions of an earlier one are never sent.
    """

    def __init__(self, *, url, epoch):
        self._url = urlsplit(url)
        self._epoch = epoch
        self._calls = None
        self._watches = None

    def start(self):
        """Make the threads; connections are made by the first calls."""
        self._calls = self._make_lane(threads=CALL_THREADS, name="store")
        self._watches = self._make_lane(threads=WATCH_THREADS, name="watch")

    def close(self):
        """End every call in flight and the threads."""
        self._calls.close()
        self._watches.close()

    async def get(self, *, kind, name, unless_version=None):
        """Read one object; ``value`` is ``None`` if it is still at ``unless_version``."""
        answer = await self._call("GET", _path(kind, name))
        match answer.status:
            case HTTPStatus.OK if _is_object(answer.body):
                version = self._version(answer.body)
                value = None if version == unless_version else _value(kind, answer.body)
                return StoreDone(version=version, value=value)
            case HTTPStatus.NOT_FOUND:
                return StoreAbsent()
        return StoreUnavailable(detail=describe(answer))

    async def list(self, *, kind):
        """Read all objects of a kind: ``value`` maps name to ``(version, value)``."""
        return await self._list(kind, is_stale_enough=False)

    async def create(self, *, kind, name, value):
        """Create an object that must not exist yet."""
        body = {"metadata": {"name": name}, "specification": value}
        return self._write_outcome(await self._call("POST", _path(kind), body=body))

    async def update(self, *, kind, name, value, if_version):
        """Replace an object that must be at ``if_version``."""
        if self._is_of_former_epoch(if_version):
            return StoreConflict()
        body = {"metadata": {"name": name, "revision": revision_of(if_version)}, "specification": value}
        return self._write_outcome(await self._call("PUT", _path(kind, name), body=body))

    async def update_status(self, *, kind, name, value, if_version):
        """Replace the status of an object that must be at ``if_version``."""
        if self._is_of_former_epoch(if_version):
            return StoreConflict()
        body = {"metadata": {"name": name, "revision": revision_of(if_version)}, "status": value}
        return self._write_outcome(await self._call("PUT", f"{_path(kind, name)}/status", body=body))

    async def delete(self, *, kind, name, if_version):
        """Delete an object that must be at ``if_version``."""
        if self._is_of_former_epoch(if_version):
            return StoreConflict()
        path = f"{_path(kind, name)}?revision={revision_of(if_version)}"
        return self._write_outcome(await self._call("DELETE", path))

    async def watch(self, *, kind, from_version, timeout_s):
        """Wait for changes after ``from_version``; a deleted object's value is ``None``."""
        if self._is_of_former_epoch(from_version):
            return StoreHistoryGone()
        path = f"{_path(kind)}?watch={revision_of(from_version)}&wait_ms={int(timeout_s * MS_PER_S)}"
        answer = self._told(await self._watches.call(method="GET", path=path, wait_s=timeout_s + WATCH_MARGIN_S))
        # The revision may have been given out again while the watch waited; what came before it is then unknown.
        if self._is_of_former_epoch(from_version):
            return StoreHistoryGone()
        match answer.status:
            case HTTPStatus.OK if _is_list(answer.body, "events"):
                events = tuple(self._event(kind, event) for event in answer.body["events"] if _is_event(event))
                return StoreDone(version=self._store_version(answer.body), value=events)
            case HTTPStatus.GONE:
                return StoreHistoryGone()
        return StoreUnavailable(detail=describe(answer))

    async def vms(self, *, unless_version=None):
        """Read the routers that announced themselves; seconds old at a tenth of the price."""
        outcome = await self._list(ROUTER_KIND, is_stale_enough=True)
        if not isinstance(outcome, StoreDone):
            return outcome
        vms = tuple(_vm(name, value) for name, (_, value) in sorted(outcome.value.items()) if _is_vm(value))
        return StoreDone(version=outcome.version, value=vms)

    async def _list(self, kind, *, is_stale_enough):
        by_name = {}
        after = ""
        epoch = self._epoch.number
        for _ in range(MOST_PAGES):
            answer = await self._call("GET", _path(kind) + _query(after=after, is_stale_enough=is_stale_enough))
            if after and epoch != self._epoch.number:
                return StoreUnavailable(detail="the store came back from a copy between two pages of a list")
            epoch = self._epoch.number
            if answer.status != HTTPStatus.OK or not _is_list(answer.body, "items"):
                return StoreUnavailable(detail=describe(answer))
            items = [item for item in answer.body["items"] if _is_object(item)]
            by_name.update((_name(item), (self._version(item), _value(kind, item))) for item in items)
            if not answer.body.get("has_more") or not items:
                return StoreDone(version=self._store_version(answer.body), value=by_name)
            # Named a revision on the wire, but it takes the name of the last object read.
            after = _name(items[-1])
        return StoreUnavailable(detail=f"the list of {kind} did not end after {MOST_PAGES} pages")

    async def _call(self, method, path, *, body=None):
        encoded = None if body is None else json.dumps(body).encode()
        headers = {} if body is None else {"Content-Type": "application/json"}
        call = self._calls.call(method=method, path=path, wait_s=READ_TIMEOUT_S, headers=headers, body=encoded)
        return self._told(await call)

    # Epochs.

    def _told(self, answer):
        """Take in the epoch that an answer bears; one of a former epoch counts as none."""
        number = _era(answer)
        if number is None or self._epoch.observe(number):
            return answer
        # Acknowledged before the store came back: what it says was read may have changed since, and what it says
        # was written may be lost.
        return Answer(detail="an answer from before the store came back from a copy")

    def _is_of_former_epoch(self, version):
        return version != 0 and epoch_of(version) != self._epoch.number

    def _version(self, item):
        return version_in(self._epoch.number, item["metadata"]["revision"])

    def _store_version(self, body):
        return version_in(self._epoch.number, body["store_revision"])

    def _event(self, kind, event):
        """Name, version and value of one change."""
        changed = event["object"]
        return _name(changed), self._version(changed), None if event.get("deleted") else _value(kind, changed)

    def _write_outcome(self, answer):
        """Outcome of a write: without an answer it may have taken effect, or do so seconds later."""
        match answer.status:
            case HTTPStatus.OK | HTTPStatus.CREATED if _is_object(answer.body):
                return StoreDone(version=self._version(answer.body))
            case HTTPStatus.OK | HTTPStatus.CREATED:
                return StoreDone(version=0)
            case HTTPStatus.CONFLICT:
                if not _is_object(answer.body):
                    return StoreConflict()
                return StoreConflict(version=self._version(answer.body), value=answer.body.get("specification"))
            case HTTPStatus.NOT_FOUND:
                return StoreAbsent()
            case status if status in NOT_TAKEN_UP:
                return StoreUnavailable(detail=describe(answer))
        if answer.was_sent:
            return StoreUnknown(detail=describe(answer))
        return StoreUnavailable(detail=describe(answer))

    def _make_lane(self, *, threads, name):
        return Lane(
            host=self._url.hostname,
            port=self._url.port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            threads=threads,
            name=name,
        )


def _era(answer):
    """The epoch that an answer bears, or ``None`` where it bears none."""
    text = answer.headers.get(STORE_ERA, "")
    return int(text) if text.isascii() and text.isdigit() else None


def _is_list(body, name):
    """Whether an answer is a list of the store's: ``name`` is the field that holds it."""
    return isinstance(body, dict) and isinstance(body.get(name), list) and isinstance(body.get("store_revision"), int)


def _is_event(event):
    return isinstance(event, dict) and _is_object(event.get("object"))


def _is_object(body):
    """Whether something read is an object; what isn't is passed over, as it can't be told whose it is."""
    metadata = body.get("metadata") if isinstance(body, dict) else None
    if isinstance(metadata, dict) and isinstance(metadata.get("name"), str):
        return isinstance(metadata.get("revision"), int)
    # Without what it holds: that may be a configuration, with keys.
    logger.error("an object of the store without a sound name or revision is passed over")
    return False


def _is_vm(value):
    """Whether a router's announcement can be read; it may come from another writer."""
    return isinstance(value, dict) and all(isinstance(value.get(name), str) for name in VM_FIELDS)


def _vm(name, value):
    return vm_from_json({**value, "id": name})


def _name(item):
    return item["metadata"]["name"]


def _value(kind, item):
    if kind == ROLLOUT_KIND:
        return {"specification": item.get("specification"), "status": item.get("status")}
    return item.get("specification")


def _path(kind, name=None):
    path = f"/v1/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _query(*, after, is_stale_enough):
    fields = []
    if after:
        fields.append(f"after_revision={quote(after, safe='')}")
    if is_stale_enough:
        fields.append("stale_ok=1")
    return "?" + "&".join(fields) if fields else ""
