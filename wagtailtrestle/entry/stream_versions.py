"""The software versions that began streams, known to the routers at which callers may resume them.

What two versions of a service's software write does not fit together, so a stream may go on only at the version that
began it. The router that delivers a stream remembers its version. While the service has several versions, that router
also tells three others, chosen by hashing the stream's name, which the router that resumes the stream asks, and one
that writes the versions to the store for the case that all of them are lost. A version that is neither remembered nor
stored is never guessed.
"""

import asyncio
import hashlib
from collections import OrderedDict
from enum import StrEnum
from itertools import groupby

from loguru import logger

from wagtailtrestle.contracts.stream_messages import StreamVersion, StreamVersionAsk
from wagtailtrestle.entry.stream_store import part_of
from wagtailtrestle.peers.rendezvous import Rendezvous

HOLDERS = 3
"""Other routers that remember a stream's version."""

MORE_ASKED = 5
"""Routers, next in the ranking, that are asked if no holder knows the version: they may have been holders before."""

SHARDS = 32
"""Groups of streams with the same holders. They bound the connections and the rankings of a large fleet. Streams of a
shard are in the same part of the store."""

ASK_TIMEOUT_S = 0.25
FIRST_ANSWER_TIMEOUT_S = 1.0
"""Time for the answer of any holder, as without one the version can't be told. A holder that died leaves the view well
before."""

STORE_ASK_TIMEOUT_S = 1.0
"""Time for the answer of a router that may have to read the store."""
MAX_LIST_AGE_S = 5.0
"""Age up to which this router's list of engines, with that of another router that answers, tells which versions there
are. An older one may lack a version that routers served which are gone by now."""
MAX_NOTE_AGE_S = 0.25
"""The same for the note in the store, where the list doesn't tell."""
MAX_STREAMS = 16_384
"""Streams remembered, some 200 bytes each; the oldest are dropped first."""

MAX_STREAMS_PER_MESSAGE = 512


class Source(StrEnum):
    """How the version of a resumed stream was found; the values are metric labels."""

    OWN = "own"
    PEER = "peer"
    STORE = "store"
    ONLY_VERSION = "only_version"
    UNKNOWN = "unknown"


class _Record:
    """The version that began one stream, and when this router last learned of it."""

    __slots__ = ("version", "service", "at")

    def __init__(self, *, version, service, at):
        self.version = version
        self.service = service
        self.at = at


class _Answers:
    """What other routers answered to a query for a stream's version.

    Attributes
    ----------
    version : str or None
    answered : bool
        Whether any router answered.
    known_versions : set of str
        Versions of the service that the routers have seen recently.
    """

    __slots__ = ("version", "answered", "known_versions")

    def __init__(self):
        self.version = None
        self.answered = False
        self.known_versions = set()

    def add(self, answer):
        """Add the outcome of one query."""
        if not isinstance(answer, StreamVersion):
            return
        self.version = self.version or answer.version or None
        self.answered = self.answered or not answer.is_unread
        self.known_versions.update(answer.known_versions)


class StreamVersions:
    """Remembers and finds the versions that began streams, on this router and with the others.

    Parameters
    ----------
    name : str
        This router.
    peers : Peers
    members : callable
        Returns the names of all routers in the view, as a tuple.
    clock : callable
        Returns the loop's time in seconds.
    retention_s : callable
        Returns the time for which a stream's version is remembered.
    history : VersionHistory
    note : VersionNote
        Tells a router whose own history is too short whether a service has had one version.
    store : StreamStore
    list_age_s : callable
        Returns the time since the store is known to have had this router's list of engines.
    count : callable
        ``count(name, **labels)`` counts an event.
    """

    __slots__ = (
        "_name",
        "_peers",
        "_members",
        "_clock",
        "_retention_s",
        "_history",
        "_note",
        "_store",
        "_list_age_s",
        "_count",
        "_rendezvous",
        "_own_by_key",
        "_told_by_key",
        "_receivers_by_shard",
        "_services_with_several",
    )

    def __init__(self, *, name, peers, members, clock, retention_s, history, note, store, list_age_s, count):
        self._name = name
        self._peers = peers
        self._members = members
        self._clock = clock
        self._retention_s = retention_s
        self._history = history
        self._note = note
        self._store = store
        self._list_age_s = list_age_s
        self._count = count
        self._rendezvous = Rendezvous()
        self._own_by_key = OrderedDict()
        self._told_by_key = OrderedDict()
        self._receivers_by_shard = {}
        self._services_with_several = frozenset()
        peers.on(StreamVersion, self._on_told)
        peers.on(StreamVersionAsk, self._on_ask)
        peers.on_reconnect(self._tell_again)

    def record(self, *, service, stream_id, version):
        """Remember the version of a stream whose first event is about to be delivered, or that goes on here."""
        key = stream_key(service=service, stream_id=stream_id)
        _put(self._own_by_key, key, _Record(version=version, service=service, at=self._clock()))
        if service in self._services_with_several:
            self._tell(key, version)

    async def find(self, *, service, stream_id):
        """Find the version that began a stream.

        Returns
        -------
        str or None
            ``None`` if it is not known for certain.
        """
        key = stream_key(service=service, stream_id=stream_id)
        others = self._ranked_others(key)
        version, source = await self._find(service, key, others)
        self._count("stream_resumes", source=str(source))
        log = logger.bind(service=service, stream=stream_id, version=version or "", source=str(source))
        if source is Source.UNKNOWN:
            versions = sorted(self._history.versions(service))
            log.bind(holders=others[:HOLDERS], writer=self._writer(key), versions=versions).warning(
                "a stream can't be resumed: the software version that began it is not known"
            )
        else:
            log.info("a stream is resumed")
        return version

    def update_services(self, services):
        """Apply the services of a new list of engines, already applied to the history."""
        several = frozenset(service for service in services if len(self._history.versions(service)) > 1)
        added = several - self._services_with_several
        self._services_with_several = several
        if added:
            # Streams that began while the service had one version are known here alone.
            self._tell_all(lambda key, record: self._receivers(key) if record.service in added else ())
            self._store_all()

    def update_members(self):
        """Tell routers that hold or store other streams since the view has changed."""
        if not self._services_with_several:
            self._receivers_by_shard = {}
            return
        before, self._receivers_by_shard = self._receivers_by_shard, {}
        self._tell_all(
            lambda key, record: [peer for peer in self._receivers(key) if peer not in before.get(_shard(key), ())]
        )
        self._store_all()

    def dump(self):
        """Return plain data for the state dump."""
        return {
            "own": len(self._own_by_key),
            "told": len(self._told_by_key),
            "services_with_several": sorted(self._services_with_several),
            "stored": self._store.dump(),
        }

    # Search.

    async def _find(self, service, key, others):
        version = self._remembered(key)
        if version:
            return version, Source.OWN
        ask = StreamVersionAsk(stream=key, service=service)
        answers = await self._ask_holders(others, ask)
        if not answers.answered and (others_now := self._ranked_others(key)) != others:
            # The holders have left the view, and others have taken their place.
            others = others_now
            answers = await self._ask_holders(others, ask)
        if answers.version:
            return answers.version, Source.PEER
        # Whoever delivered the stream may have seen a version that this router does not see yet. That is ruled out if
        # a holder answers and knows no other version either, and without any other router by a note that names none.
        # The answer alone proves nothing: by an old view it may come from a router that was never told of the stream.
        if (answers.answered or not others) and (
            version := await self._only_version(service, answers.known_versions, is_alone=not others)
        ):
            return version, Source.ONLY_VERSION
        more = await self._ask(others[HOLDERS : HOLDERS + MORE_ASKED], ask, ASK_TIMEOUT_S)
        if more.version:
            return more.version, Source.PEER
        version = await self._find_stored(key, others if answers.answered or more.answered else [])
        return (version, Source.STORE) if version else (None, Source.UNKNOWN)

    async def _find_stored(self, key, others):
        """Find the version in the store; few routers read it, as many streams are resumed after all have restarted.

        This router reads it itself if no router is left in ``others`` that answers.
        """
        writer = self._writer(key)
        if writer == self._name or not others:
            return await self._store.find(key)
        readers = list(dict.fromkeys([name for name in (writer, *others[:1]) if name is not None]))
        ask = StreamVersionAsk(stream=key, reads_store=True)
        answers = await self._ask(readers, ask, STORE_ASK_TIMEOUT_S)
        # Without the answer of a router that read the store, this one does, as the store may reject single routers.
        return answers.version if answers.answered else await self._store.find(key)

    async def _only_version(self, service, known_versions, *, is_alone):
        versions = self._history.versions(service) | known_versions
        if len(versions) != 1:
            return None
        (version,) = versions
        if is_alone or self._list_age_s() > MAX_LIST_AGE_S:
            is_noted = await self._note.confirms(service=service, version=version, max_age_s=MAX_NOTE_AGE_S)
            return version if is_noted else None
        if self._history.covers_retention or await self._note.confirms(service=service, version=version):
            return version
        return None

    def _ask_holders(self, others, ask):
        return self._ask(others[:HOLDERS], ask, ASK_TIMEOUT_S, first_answer_s=FIRST_ANSWER_TIMEOUT_S)

    async def _ask(self, routers, message, timeout_s, *, first_answer_s=0.0):
        """Ask routers for a version; wait for ``timeout_s``, and for ``first_answer_s`` while none has answered.

        Returns
        -------
        _Answers
        """
        longest_s = max(timeout_s, first_answer_s)
        pending = {asyncio.ensure_future(self._peers.query(peer, message, longest_s)) for peer in routers}
        until = self._clock() + timeout_s
        answers = _Answers()
        try:
            while pending and not answers.version and not (answers.answered and self._clock() >= until):
                left_s = max(0.0, until - self._clock()) if answers.answered else None
                done, pending = await asyncio.wait(pending, timeout=left_s, return_when=asyncio.FIRST_COMPLETED)
                for ask in done:
                    answers.add(ask.result())
        finally:
            for ask in pending:
                ask.cancel()
        return answers

    def _remembered(self, key):
        horizon = self._clock() - self._retention_s()
        for records in (self._own_by_key, self._told_by_key):
            record = records.get(key)
            if record is not None and record.at >= horizon:
                return record.version
        return ""

    # Messages.

    def _on_told(self, peer, message, cell):
        now = self._clock()
        for key in message.streams:
            _put(self._told_by_key, key, _Record(version=message.version, service="", at=now))
            self._store_if_writer(key, message.version)
        self._drop_expired(self._told_by_key)

    def _on_ask(self, peer, message, cell):
        version = self._remembered(message.stream)
        if message.reads_store and not version:
            return self._answer_from_store(message.stream)
        return StreamVersion(version=version, known_versions=tuple(sorted(self._history.versions(message.service))))

    async def _answer_from_store(self, key):
        version = await self._store.find(key)
        return StreamVersion(version=version or "", is_unread=version is None)

    def _tell(self, key, version):
        for peer in self._receivers(key):
            self._peers.send(peer, StreamVersion(version=version, streams=(key,)))
        self._store_if_writer(key, version)

    def _store_if_writer(self, key, version):
        if self._writer(key) == self._name:
            self._store.add(key, version)

    def _store_all(self):
        """Store the streams whose part this router writes since a second version or a change of the view."""
        for key, record in self._own_by_key.items():
            if record.service in self._services_with_several:
                self._store_if_writer(key, record.version)
        for key, record in self._told_by_key.items():
            self._store_if_writer(key, record.version)

    def _tell_again(self, peer):
        # A router that restarted has forgotten what it held.
        if self._services_with_several:
            self._tell_all(lambda key, record: (peer,) if peer in self._receivers(key) else ())

    def _tell_all(self, receivers_of):
        """Send the records of services with several versions to the routers that ``receivers_of`` names."""
        self._drop_expired(self._own_by_key)
        told = sorted(
            (peer, record.version, key)
            for key, record in self._own_by_key.items()
            if record.service in self._services_with_several
            for peer in receivers_of(key, record)
        )
        for (peer, version), group in groupby(told, key=lambda entry: entry[:2]):
            keys = tuple(key for _, _, key in group)
            for start in range(0, len(keys), MAX_STREAMS_PER_MESSAGE):
                self._peers.send(
                    peer, StreamVersion(version=version, streams=keys[start : start + MAX_STREAMS_PER_MESSAGE])
                )

    # Holders and writers.

    def _ranked_others(self, key):
        ranked = self._rendezvous.ranked(key=f"streams/{_shard(key)}", members=self._members())
        return [name for name in ranked if name != self._name]

    def _writer(self, key):
        """Return the router that writes the part of a stream to the store, or ``None`` if no member is known."""
        return self._rendezvous.choose(key=f"streams/part/{part_of(key)}", members=self._members())

    def _receivers(self, key):
        """Return the other routers that are told of a stream: its holders, and the writer of its part."""
        shard = _shard(key)
        receivers = self._receivers_by_shard.get(shard)
        if receivers is None:
            names = dict.fromkeys([*self._ranked_others(key)[:HOLDERS], self._writer(key)])
            receivers = tuple(name for name in names if name is not None and name != self._name)
            self._receivers_by_shard[shard] = receivers
        return receivers

    def _drop_expired(self, records):
        horizon = self._clock() - self._retention_s()
        while records and next(iter(records.values())).at < horizon:
            records.popitem(last=False)


def stream_key(*, service, stream_id):
    """Return the 64-bit key of a service's stream."""
    digest = hashlib.blake2b(f"{service}\0{stream_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _shard(key):
    return key % SHARDS


def _put(records, key, record):
    records[key] = record
    records.move_to_end(key)
    while len(records) > MAX_STREAMS:
        records.popitem(last=False)
