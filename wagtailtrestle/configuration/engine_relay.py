"""Relays engine entries among routers, so that few of them query the store.

Every router that watches the store by itself costs it a call every second or two, even without changes:
with 72 routers these calls are the fleet's largest cost. Instead, a few routers (readers), chosen from the
view, read the store; the others query a reader, which answers when something changes. A router accepts an
answer only if its data was proved against the store recently, and otherwise reads the store itself. A wrong
choice of readers, or two views that differ, therefore cost calls and nothing else.
"""

import asyncio
import json
import math
from collections import deque

from loguru import logger

from wagtailtrestle.configuration.boot_clock import boot_time_s
from wagtailtrestle.configuration.store_epoch import epoch_of
from wagtailtrestle.contracts.peer_messages import EngineEntry, EnginesAnswer, EnginesAsk

DEFAULT_PROPAGATION_LIMIT_S = 2.0
MAX_PROPAGATION_LIMIT_S = 6.0
"""Above this limit, an engine that was cut off would get requests for longer than callers wait."""
WATCH_SHARE = 0.35
WAIT_SHARE = 0.2
MAX_AGE_SHARE = 0.5
ANSWER_TIMEOUT_S = 0.2
"""Time for an answer beyond the wait: a hundred times the delay between two zones."""
MAX_HISTORY = 512
"""Changes kept for requesters: they span minutes, while each requester queries every half second."""
UNREADABLE = "unreadable"
"""Value of a relayed entry that can't be read; no engine's entry is a string."""
MIN_RESYNC_DELAY_S = 0.5
MAX_RESYNC_DELAY_S = 8.0
STORE = "store"
"""Source of an update that was read from the store."""
MAX_REQUESTED_WAIT_S = 5.0
"""Longest wait that a requester may demand, so that a faulty one can't keep requests open indefinitely."""


class EngineUpdate:
    """The engines' entries, or the changes to them.

    Parameters
    ----------
    version : int
        The store's version up to which the update is complete.
    value_by_name : dict of str to object
        The store's value for each engine; ``None`` for a deleted entry.
    version_by_name : dict of str to int
        The store's version of each entry, which may be later than ``version``.
    is_whole : bool
        Whether the update holds all entries instead of the changed ones.
    age_s : float
        Seconds since the store itself returned this data.
    written_names : frozenset of str
        In a full list, the engines whose entries were certainly written in the store's present epoch.
    source : str
        Name of the router that sent the update, or ``STORE``.
    digest : int
        Digest of the engines that the sender knows at ``version``; 0 for none.
    """

    __slots__ = (
        "version",
        "value_by_name",
        "version_by_name",
        "is_whole",
        "age_s",
        "written_names",
        "source",
        "digest",
    )

    def __init__(
        self,
        *,
        version,
        value_by_name,
        version_by_name,
        is_whole,
        age_s=0.0,
        written_names=frozenset(),
        source=STORE,
        digest=0,
    ):
        self.digest = digest
        self.version_by_name = version_by_name
        self.source = source
        self.age_s = age_s
        self.written_names = written_names
        self.version = version
        self.value_by_name = value_by_name
        self.is_whole = is_whole

    @property
    def is_relayed(self):
        """Whether another router sent the update."""
        return self.source != STORE


class RelayLimits:
    """Waits and ages with which a draining engine becomes known to all routers in time, as shares of that time.

    Longer waits mean fewer calls to the store and fewer messages, but later detection of a frozen reader. The
    oldest accepted proof, an unanswered request, a second request and a read of the store together take 1.9 s
    of the default limit of 2 s.

    Parameters
    ----------
    propagation_limit_s : float
        Time within which every router has to know that an engine is draining.

    Attributes
    ----------
    propagation_limit_s : float
    watch_s : float
        Longest watch of a reader: each answer, even an empty one, renews the proof of its list.
    wait_s : float
        How long a request waits for a change.
    max_age_s : float
        Maximum age of an accepted proof: a watch, and a slow reader's delays.
    """

    __slots__ = ("propagation_limit_s", "watch_s", "wait_s", "max_age_s")

    def __init__(self, *, propagation_limit_s=DEFAULT_PROPAGATION_LIMIT_S):
        limit_s = self.propagation_limit_s = min(propagation_limit_s, MAX_PROPAGATION_LIMIT_S)
        self.watch_s = WATCH_SHARE * limit_s
        self.wait_s = WAIT_SHARE * limit_s
        self.max_age_s = MAX_AGE_SHARE * limit_s


class EngineRelay:
    """One router's part in the relay of engine entries: queries a reader, and answers other routers.

    Parameters
    ----------
    peers : Peers
    readers : StoreReaders
    limits : RelayLimits, optional
    clock : callable
        Returns seconds, including pauses of the VM.

    Attributes
    ----------
    readers : StoreReaders
    limits : RelayLimits
    """

    def __init__(self, *, peers, readers, limits=None, clock=boot_time_s):
        self._peers = peers
        self.readers = readers
        self.limits = limits or RelayLimits()
        self._clock = clock
        self._version = 0
        self._proved_at = None
        self._entry_by_name = {}
        self._history = deque()
        self._history_from = 0
        self._newest_version = 0
        self._digest = 0
        self._resync_at = None
        self._resync_delay_s = MIN_RESYNC_DELAY_S
        self._changed = asyncio.Event()
        self._changes_total = 0
        self._changes_sent_by_peer = {}
        self.asked_total = 0
        self.failed_total = 0
        self.differences_total = 0
        peers.on(EnginesAsk, lambda peer, request, cell: self._answer(peer, request))

    def dump(self):
        """Return the state as a plain dict."""
        return {
            **self.readers.dump(),
            "version": self._version,
            "proof_age_s": None if self._proved_at is None else round(self._clock() - self._proved_at, 3),
            "asked_total": self.asked_total,
            "failed_total": self.failed_total,
            "differences_total": self.differences_total,
        }

    # Queries to other routers.

    async def fetch_update(self, version):
        """Request from a reader the changes after ``version``.

        Returns
        -------
        EngineUpdate or None
            ``None`` if this router should read the store itself.
        """
        wait_s = self.limits.wait_s
        for reader in self.readers.readers_to_query():
            update = await self._query_reader(reader, version, wait_s)
            if update is not None:
                return update
            # The list held here is aging: the next reader has to answer without a wait.
            wait_s = 0.0
        return None

    async def _query_reader(self, reader, version, wait_s):
        """Query one reader; ``None`` if its answer can't be accepted."""
        self.asked_total += 1
        requested_at = self._clock()
        request = EnginesAsk(version=self._version_to_request(version), wait_s=wait_s)
        answer = await self._peers.query(reader, request, wait_s + ANSWER_TIMEOUT_S)
        # The full transit time counts as age: the age in the answer does not include delays on the link.
        transit_s = max(0.0, self._clock() - requested_at - getattr(answer, "waited_s", 0.0))
        problem = self._rejection_reason(answer, transit_s, version)
        if problem is not None:
            # The reader may be cut off from the store, frozen or gone. It may fail again if queried again,
            # while a draining engine still gets work; another reader, or the store, answers immediately.
            logger.bind(reader=reader, problem=problem).info(
                "rejected the answer of a router that reads the engines' entries"
            )
            self.failed_total += 1
            self.readers.pause(reader)
            return None
        return EngineUpdate(
            version=answer.version,
            value_by_name={entry.name: _read_value(entry.value) for entry in answer.entries},
            version_by_name={entry.name: entry.version or answer.version for entry in answer.entries},
            is_whole=answer.is_whole,
            age_s=answer.age_s + transit_s,
            source=reader,
            digest=answer.digest,
        )

    def compare(self, update):
        """Compare the list here with that of the router that sent an update, after the update was recorded.

        A reader can relay only changes that it has seen. An engine that came and went while it was out of touch with
        the store is in none of them: a router that has seen the engine come would keep it until the next full list.
        """
        is_comparable = update.digest and self._digest and not self._holds_changes()
        if not is_comparable or update.version != self._version:
            return
        if update.digest == self._digest:
            self._resync_at = None
            self._resync_delay_s = MIN_RESYNC_DELAY_S
        elif self._resync_at is None:
            self._resync_at = self._clock()
            self.differences_total += 1
            logger.bind(reader=update.source, version=update.version).warning(
                "the list of engines differs from that of the router that reads it; requesting all entries"
            )

    def _version_to_request(self, version):
        """The version after which to request changes; 0 for all entries if the lists were found to differ."""
        if self._resync_at is None or self._clock() < self._resync_at:
            return version
        # If even the whole lists differ, as between routers of different code, they are not requested all the time.
        self._resync_at = self._clock() + self._resync_delay_s
        self._resync_delay_s = min(MAX_RESYNC_DELAY_S, 2 * self._resync_delay_s)
        return 0

    # Answers to other routers.

    def record_update(self, *, version, age_s, changed, digest=0):
        """Record an update from the store or from a reader.

        Parameters
        ----------
        version : int
            The store's version up to which the list here is complete: no change up to it is held back.
        age_s : float
            Seconds since the store itself returned the data. If the age restarted at each router, two routers
            that query each other would accept each other's list indefinitely without the store.
        changed : dict of str to tuple of (int, object)
            The store's version and value of the entries changed since the last call, ``None`` for a deleted one. A
            change may be later than ``version``, while changes are held back here or at the reader that sent it.
            Recorded under any other version, it would be skipped by routers that already have that version.
        digest : int
            Digest of the engines known here; 0 if they differ from the store's, such as while removals are held back.
        """
        self._digest = digest
        if self._proved_at is None:
            self._history_from = version
            self._proved_at = -math.inf
        self._proved_at = max(self._proved_at, self._clock() - age_s)
        if epoch_of(version) > epoch_of(self._version):
            # A requester with a version of the former epoch may hold changes that the store has lost and that never
            # arrived here: it gets the full list.
            self._history.clear()
            self._history_from = self._newest_version = version
            self._wake_requesters()
        self._version = max(self._version, version)
        for name, (changed_at, value) in changed.items():
            self._record_change(name, value, changed_at)
        self._changes_total += len(changed)
        if not self._holds_changes():
            self._changes_sent_by_peer.clear()
        if changed:
            self._wake_requesters()

    def _wake_requesters(self):
        self._changed.set()
        self._changed = asyncio.Event()

    def _record_change(self, name, value, changed_at):
        entry = EngineEntry(name=name, value="" if value is None else json.dumps(value), version=changed_at)
        if entry.value:
            self._entry_by_name[name] = entry
        else:
            self._entry_by_name.pop(name, None)
        self._newest_version = max(self._newest_version, changed_at)
        self._history.append(entry)
        while len(self._history) > MAX_HISTORY:
            self._history_from = max(self._history_from, self._history.popleft().version)

    def _holds_changes(self):
        """Whether entries are later than the version told, which then can't tell what a requester has got."""
        return self._newest_version > self._version

    def _has_news(self, peer, version):
        if self._holds_changes() and version >= self._version:
            return self._changes_sent_by_peer.get(peer) != self._changes_total
        return bool(self._entries_after(version))

    async def _answer(self, peer, request):
        requested_at = self._clock()
        if self._proved_at is None:
            return EnginesAnswer(version=0, age_s=-1.0, waited_s=0.0, is_whole=False, entries=())
        is_old = requested_at - self._proved_at > self.limits.max_age_s
        if not is_old and not self._has_news(peer, request.version):
            await self._wait_for_change(min(request.wait_s, MAX_REQUESTED_WAIT_S))
        if self._holds_changes():
            self._changes_sent_by_peer[peer] = self._changes_total
        is_whole = request.version < self._history_from
        return EnginesAnswer(
            version=self._version,
            age_s=self._clock() - self._proved_at,
            waited_s=self._clock() - requested_at,
            is_whole=is_whole,
            entries=tuple(self._all_entries() if is_whole else self._entries_after(request.version)),
            digest=0 if self._holds_changes() else self._digest,
        )

    async def _wait_for_change(self, wait_s):
        try:
            async with asyncio.timeout(wait_s):
                await self._changed.wait()
        except TimeoutError:
            return

    def _all_entries(self):
        return [entry for _, entry in sorted(self._entry_by_name.items())]

    def _entries_after(self, version):
        if version < self._history_from:
            return self._all_entries()
        return [entry for entry in self._history if entry.version > version]

    def _rejection_reason(self, answer, transit_s, version):
        """Return why an answer can't be accepted, or ``None``."""
        if not isinstance(answer, EnginesAnswer):
            return getattr(answer, "detail", "no answer")
        if answer.age_s < 0.0:
            return "reader has no list yet"
        if epoch_of(answer.version) < epoch_of(version):
            return "list is from before the store was restored from a backup"
        if answer.age_s + transit_s > self.limits.max_age_s:
            return f"list was last proved {answer.age_s + transit_s:.1f} s ago"
        return None


def _read_value(text):
    """Return the stored value in a relayed entry, ``None`` if the entry was removed.

    A router of another version may have relayed text that can't be read here. It counts as an invalid entry: it must
    neither remove the engine's entry nor end the task that follows the list.
    """
    if not text:
        return None
    try:
        return json.loads(text)
    except (ValueError, RecursionError):
        return UNREADABLE
