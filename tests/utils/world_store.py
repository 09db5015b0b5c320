"""Stand-in for the users' store, with simulated outages and restores from a backup."""

import json
import threading
import time
from urllib.parse import parse_qs, urlsplit

from tests.utils.world_server import Server


class Backup:
    """The store's contents at one revision."""

    def __init__(self, *, revision, objects, log):
        self.revision = revision
        self.objects = objects
        self.log = log


class Store(Server):
    """Objects by kind and name, with revisions, watches, and outages and restores on request.

    Attributes
    ----------
    down : bool
    refused_kinds : frozenset of str
        Kinds of objects of which it answers reads only.
    epoch : int
        Sent in each answer; 0 for a store that sends none.
    """

    def __init__(self):
        self.down = False
        self.refused_kinds = frozenset()
        self.epoch = 0
        self.calls = 0
        self._objects = {}
        self._log = []
        self._revision = 10
        self._changed = threading.Condition()
        super().__init__()

    def put(self, kind, name, value):
        """Write an object as an operator or an engine would."""
        with self._changed:
            self._write(kind, name, value)

    def delete(self, kind, name):
        with self._changed:
            self._write(kind, name, None)

    def objects(self, kind):
        with self._changed:
            return {name: item["specification"] for (of, name), item in self._objects.items() if of == kind}

    def status(self, kind, name):
        """Return the status that the system wrote to an object."""
        with self._changed:
            item = self._objects.get((kind, name))
            return item["status"] if item else None

    def backup(self):
        """Return a backup of the current contents."""
        with self._changed:
            return Backup(revision=self._revision, objects=dict(self._objects), log=list(self._log))

    def restore(self, backup):
        """Restore a backup: later writes are lost, and their revisions are assigned again."""
        with self._changed:
            self._objects, self._log, self._revision = dict(backup.objects), list(backup.log), backup.revision
            self.epoch += 1
            self.down = False
            self._changed.notify_all()

    def restore_after_outage(self, backup, *, away_s=0.5):
        """Be unavailable for ``away_s``, then restore a backup."""
        self.down = True
        with self._changed:
            self._changed.notify_all()
        time.sleep(away_s)
        self.restore(backup)

    def _write(self, kind, name, value, status=None):
        self._revision += 1
        item = {
            "metadata": {"name": name, "revision": self._revision, "created": 1, "finalizers": [], "deleting": False},
            "specification": value,
            "status": status,
        }
        if value is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = item
        self._log.append((self._revision, kind, {"object": item, "deleted": value is None}))
        self._changed.notify_all()
        return item

    def serve(self, handler):
        self.calls += 1
        if self.down:
            handler.close_connection = True
            return
        epoch = self.epoch
        parts = urlsplit(handler.path)
        _, _, _, kind, *rest = parts.path.split("/")
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        name = rest[0] if rest else None
        if kind in self.refused_kinds and handler.command != "GET":
            self.reply(handler, 503, b"{}")
            return
        with self._changed:
            if rest[1:] == ["status"]:
                status, body = self._put_status(kind, name, handler.body)
            else:
                status, body = getattr(self, f"_{handler.command.lower()}")(kind, name, query, handler.body)
        answer_headers = [("Content-Type", "application/json")]
        if self.epoch:
            answer_headers.append(("Store-Era", str(epoch)))
        self.reply(handler, status, json.dumps(body).encode(), answer_headers)

    def _get(self, kind, name, query, body):
        if name is not None:
            item = self._objects.get((kind, name))
            return (200, item) if item else (404, {"error": "absent"})
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), float(query["wait_ms"]) / 1000.0)
        items = [item for (of, _), item in sorted(self._objects.items()) if of == kind]
        return 200, {"items": items, "has_more": False, "store_revision": self._revision}

    def _watch(self, kind, revision, wait_s):
        until = time.monotonic() + wait_s
        epoch = self.epoch
        while True:
            if self.epoch != epoch or revision > self._revision:
                return 410, {"error": "gone"}
            events = [event for at, of, event in self._log if of == kind and at > revision]
            left_s = until - time.monotonic()
            if events or left_s <= 0 or self.down:
                return 200, {"events": events, "store_revision": self._revision}
            self._changed.wait(left_s)

    def _post(self, kind, name, query, body):
        document = json.loads(body)
        name = document["metadata"]["name"]
        if (kind, name) in self._objects:
            return 409, self._objects[kind, name]
        return 200, self._write(kind, name, document["specification"])

    def _put(self, kind, name, query, body):
        document = json.loads(body)
        item = self._objects.get((kind, name))
        if item is None:
            return 404, {"error": "absent"}
        if document["metadata"].get("revision", item["metadata"]["revision"]) != item["metadata"]["revision"]:
            return 409, item
        return 200, self._write(kind, name, document["specification"])

    def _put_status(self, kind, name, body):
        document = json.loads(body)
        item = self._objects.get((kind, name))
        if item is None:
            return 404, {"error": "absent"}
        if document["metadata"].get("revision", item["metadata"]["revision"]) != item["metadata"]["revision"]:
            return 409, item
        return 200, self._write(kind, name, item["specification"], status=document["status"])

    def _delete(self, kind, name, query, body):
        item = self._objects.get((kind, name))
        if item is None:
            return 404, {"error": "absent"}
        if int(query.get("revision", item["metadata"]["revision"])) != item["metadata"]["revision"]:
            return 409, item
        self._write(kind, name, None)
        return 200, item
