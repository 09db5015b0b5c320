"""The list of engines that register in the platform's store, maintained through the store's outages.

A full read and a watch keep the list up to date. The store's answers are applied as they are, with one
exception: entries expire during a store outage although their engines live. After an outage a missing
entry is kept for a grace period and removed if it is still missing then. Until then, the version that
other routers are told stays before the removal that is held back.
"""

import asyncio
import hashlib
import math
import random

from loguru import logger

from wagtailtrestle.broken_invariant import create_watched_task
from wagtailtrestle.configuration.engine_relay import EngineUpdate, RelayLimits
from wagtailtrestle.configuration.entry_versions import EntryVersions
from wagtailtrestle.configuration.pre_restore_engines import PreRestoreEngines
from wagtailtrestle.configuration.store_epoch import epoch_of
from wagtailtrestle.contracts.outcomes import StoreDone, StoreHistoryGone

WATCH_TIMEOUT_S = 2.0
"""Longest wait of one watch, and so the main part of the delay until a silent connection is detected. With the
store's margin and a full read the delay stays under three seconds; each second less costs a call."""
RELIST_INTERVAL_S = 8.0
"""Interval between two full reads, which find changes that a silent watch missed."""
RETRY_S = 0.1
MAX_RETRY_S = 1.0
MIN_RELIST_INTERVAL_S = 0.5
"""If the history is gone again within this time of a full read, the next read is delayed: each reader would otherwise
query a store that keeps no history a hundred times a second."""
DEFAULT_RETURN_GRACE_S = 2.0
"""How long engines need after an outage to write their entries again."""
DIGEST_BYTES = 8
MIN_WATCH_S = 0.05
TIMEOUT_TOLERANCE_S = 0.001
"""Resolution of a watch's timeout in the store's interface."""
MIN_OUTAGE_S = 0.8
"""Without an answer for this long beyond a watch, the store may have let entries expire."""


class EngineList:
    """Engines by name, as the store lists them.

    Parameters
    ----------
    store : ObjectStore
    kind : str
    read_entry : callable
        ``read_entry(name, value)`` returns a ``DeclaredEngine``, or ``None`` if the entry is invalid.
    on_change : callable
        ``on_change(by_name)``, called on the loop after each change.
    clock : callable
        Returns the event loop's time in seconds.
    return_grace_s : float
        How long after an outage missing entries are kept.
    jitter : random.Random, optional
    relay : EngineRelay, optional
        Queried before the store, where routers relay engine entries to each other.
    running_s : callable, optional
        Returns the time for which this process ran, in seconds; ``clock`` by default.

    Attributes
    ----------
    by_name : dict of str to DeclaredEngine
    is_known : bool
        Whether the list has been read at least once.
    """

    def __init__(
        self,
        *,
        store,
        kind,
        read_entry,
        on_change,
        clock,
        return_grace_s=DEFAULT_RETURN_GRACE_S,
        jitter=None,
        relay=None,
        running_s=None,
    ):
        self._relay = relay
        self._running_s = running_s or clock
        self.by_name = {}
        self.is_known = False
        self._store = store
        self._kind = kind
        self._read_entry = read_entry
        self._on_change = on_change
        self._clock = clock
        self._return_grace_s = return_grace_s
        limits = RelayLimits() if relay is None else relay.limits
        self._propagation_limit_s = limits.propagation_limit_s
        self._jitter = jitter or random.Random()
        self._pre_restore = PreRestoreEngines(clock=clock)
        self._version = 0
        self._entry_versions = EntryVersions()
        self._complete_version = 0
        self._digest = 0
        self._holds_removals = False
        self._was_silent = False
        self._first_version = 0
        self._listed_at = None
        self._answered_at = None
        self._answered_running_s = None
        self._missing_kept_until = None
        self._proved_at = -math.inf
        self._is_reported_unproved = False
        self._task = None

    @property
    def proof_age_s(self):
        """Time since the store itself is known to have had this list; infinite before the first one."""
        return self._clock() - self._proved_at

    def check_proof(self):
        """Log when the list becomes older than the time in which a draining engine has to be known, and its end."""
        is_unproved = self.is_known and self.proof_age_s > self._propagation_limit_s
        if is_unproved and not self._is_reported_unproved:
            logger.bind(version=self._version, proof_age_s=round(self.proof_age_s, 3)).warning(
                "the list of engines is not proved any more; requests are sent by the last one"
            )
        elif self._is_reported_unproved and not is_unproved:
            logger.bind(version=self._version).info("the list of engines is proved again")
        self._is_reported_unproved = is_unproved

    def start(self):
        """Start the task that follows the list; must be called on the running event loop."""
        self._task = create_watched_task(self._follow(), "the task that follows the list of engines ended")

    async def close(self):
        """Stop the task; the last list stays readable."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def dump(self):
        """Return the state as a plain dict."""
        now = self._clock()
        return {
            "engines": {
                name: {"service": engine.service, "address": engine.address, "leaving": engine.leaving}
                for name, engine in sorted(self.by_name.items())
            },
            "version": self._version,
            "complete_version": self._complete_version,
            "listed_age_s": None if self._listed_at is None else round(now - self._listed_at, 3),
            "answered_age_s": None if self._answered_at is None else round(now - self._answered_at, 3),
            "keeps_missing_entries": self._missing_kept_until is not None,
            "relay": None if self._relay is None else self._relay.dump(),
        }

    async def _follow(self):
        retry_s = RETRY_S
        while True:
            if await self._step():
                retry_s = RETRY_S
            else:
                await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)

    async def _step(self):
        """Apply one answer from a reader or from the store; ``False`` if there was none."""
        update = await self._query_relay()
        if update is None:
            update = await self._query_store()
        if update is None:
            if self._relay is not None:
                self._relay.readers.pause_self()
            return False
        self._record_answer()
        self._apply_update(update)
        return True

    async def _query_relay(self):
        """Return a reader's update, or ``None`` where this router has to query the store."""
        if self._relay is None or not self.is_known or self._missing_kept_until is not None:
            return None
        update = await self._relay.fetch_update(self._version)
        if update is not None:
            # If the readers stop answering, the store is read in full immediately.
            self._listed_at = None
        return update

    async def _query_store(self):
        """List or watch once; ``None`` if the store didn't answer."""
        if self._is_list_due():
            return await self._read_full_list()
        began_at = self._clock()
        watch_s = self._watch_s()
        outcome = await self._store.watch(kind=self._kind, from_version=self._version, timeout_s=watch_s)
        if isinstance(outcome, StoreHistoryGone) and began_at - self._listed_at > MIN_RELIST_INTERVAL_S:
            return await self._read_full_list()
        if not isinstance(outcome, StoreDone):
            # No answer or a refusal: only a full read shows what was missed.
            self._listed_at = None
            return None
        value_by_name = {name: value for name, _, value in outcome.value}
        version_by_name = {name: version for name, version, _ in outcome.value}
        # A watch without events is answered at its timeout and proves the list up to that moment. Any other answer may
        # have been under way since the request, delayed by lost packets or by this process.
        elapsed_s = self._clock() - began_at
        is_timeout = not value_by_name and elapsed_s > watch_s - TIMEOUT_TOLERANCE_S
        age_s = max(0.0, elapsed_s - watch_s) if is_timeout else elapsed_s
        return EngineUpdate(
            version=outcome.version,
            value_by_name=value_by_name,
            version_by_name=version_by_name,
            is_whole=False,
            age_s=age_s,
        )

    async def _read_full_list(self):
        began_at = self._clock()
        self._listed_at = None
        outcome = await self._store.list(kind=self._kind)
        if not isinstance(outcome, StoreDone):
            return None
        self._listed_at = self._clock()
        return EngineUpdate(
            version=outcome.version,
            value_by_name={name: value for name, (_, value) in outcome.value.items()},
            version_by_name={name: version for name, (version, _) in outcome.value.items()},
            is_whole=True,
            # The list is valid as of the request; a delay in transit adds to its age.
            age_s=self._listed_at - began_at,
            written_names=self._written_since_restore(outcome),
        )

    def _written_since_restore(self, outcome):
        """Names of the entries in a full list that are certainly newer than the backup the store was restored from."""
        if epoch_of(outcome.version) != epoch_of(self._first_version):
            return frozenset()
        return frozenset(name for name, (version, _) in outcome.value.items() if version > self._first_version)

    def _is_list_due(self):
        now = self._clock()
        if self._listed_at is None or now - self._listed_at > RELIST_INTERVAL_S:
            return True
        return self._missing_kept_until is not None and now >= self._missing_kept_until

    def _watch_s(self):
        max_watch_s = WATCH_TIMEOUT_S if self._relay is None else self._relay.limits.watch_s
        # Answers with changes prove the list as of their requests only, so the proof may already have an age.
        watch_s = max_watch_s - self.proof_age_s
        if self._missing_kept_until is not None:
            watch_s = min(watch_s, self._missing_kept_until - self._clock())
        return max(MIN_WATCH_S, min(max_watch_s, watch_s))

    def _record_answer(self):
        # A process that was stopped itself hears nothing either, while the store is well and its removals are meant.
        now, running_s = self._clock(), self._running_s()
        silent_s = 0.0 if self._answered_running_s is None else running_s - self._answered_running_s
        if silent_s > WATCH_TIMEOUT_S + MIN_OUTAGE_S:
            logger.warning("the store answered nothing for {:.1f} s; missing engines are kept", silent_s)
            self._missing_kept_until = now + self._return_grace_s
            self._was_silent = True
        self._answered_at, self._answered_running_s = now, running_s

    def _apply_update(self, update):
        if update.is_whole and update.version < self._version:
            return  # A full list older than the version known here.
        unproved_s = self.proof_age_s
        self._proved_at = max(self._proved_at, self._clock() - update.age_s)
        if epoch_of(update.version) != epoch_of(self._version):
            self._begin_epoch(update)
        self._version = max(self._version, update.version)
        newer = self._entry_versions.record(update)
        gone = {name for name, value in newer.items() if value is None}
        read = {name: self._read_entry(name, value) for name, value in newer.items() if value is not None}
        listed = {name: engine for name, engine in read.items() if engine is not None}
        invalid = read.keys() - listed.keys()
        self._pre_restore.record_written(update.written_names & newer.keys() if update.is_whole else listed.keys())
        listed = self._pre_restore.corrected(listed)
        by_name = self._from_full_list(listed, update) if update.is_whole else self._from_changes(listed, gone)
        # An invalid entry was overwritten by another writer and no longer describes its engine. The
        # engine is listed again once it writes its entry itself.
        by_name = {name: engine for name, engine in by_name.items() if name not in invalid}
        self.is_known = True
        self._update_complete_version(update)
        self._publish(by_name, update, unproved_s)

    def _begin_epoch(self, update):
        """Handle a restore of the store: engines started since the backup need time to write their entries again."""
        self._first_version = update.version
        if not self.is_known:
            return
        self._pre_restore.begin(self.by_name)
        if not update.is_relayed:
            # Only readers of the store wait for them; they relay the engines they keep to the others.
            self._missing_kept_until = self._clock() + self._return_grace_s

    def _from_full_list(self, listed, update):
        """The engines after a full list; entries that expired in an outage are kept for the grace period."""
        later = {name: engine for name, engine in self.by_name.items() if self._is_later(name, update)}
        if self._missing_kept_until is not None and self._clock() < self._missing_kept_until:
            self._holds_removals = bool(self.by_name.keys() - listed.keys() - later.keys())
            return {**self.by_name, **listed}
        self._missing_kept_until = None
        self._holds_removals = False
        self._was_silent = False
        return {**later, **listed}

    def _is_later(self, name, update):
        """Whether an engine is known here at a version later than that in a full list."""
        return self._entry_versions.is_later(name, update.version_by_name.get(name, update.version))

    def _from_changes(self, listed, gone):
        """The engines after incremental changes."""
        by_name = {**self.by_name, **listed}
        if self._missing_kept_until is None:
            for name in gone:
                by_name.pop(name, None)
        elif gone & by_name.keys():
            self._holds_removals = True
        return by_name

    def _update_complete_version(self, update):
        """Tell other routers no version beyond a removal that is held back: they would never ask for it."""
        if not self._holds_removals:
            self._complete_version = self._version
        elif epoch_of(self._complete_version) != epoch_of(self._version):
            self._complete_version = update.version - 1

    def _hides_removals(self):
        """Whether removals are held back for a reason that only this router has.

        The store may have been away for this router alone. Routers that were in touch with it all the while have to
        hear of a removal at once, and must not take this list for proved. After a restore, which concerns all, they
        rely on their readers to keep the engines that the backup lacks.
        """
        return self._holds_removals and self._was_silent

    def _publish(self, by_name, update, unproved_s):
        self._pre_restore.record_departed(self.by_name.keys() - by_name.keys())
        known, facts = _compared_fields(self.by_name), _compared_fields(by_name)
        changed = {name for name in known.keys() | facts.keys() if known.get(name) != facts.get(name)}
        self._digest = self._digest if self._digest and not changed else _digest_of(facts)
        removed = self.by_name.keys() - by_name.keys()
        self._entry_versions.record_removals(removed, version=update.version, listed=by_name.keys())
        if self._relay is not None:
            values = {name: update.value_by_name[name] if name in by_name else None for name in changed}
            self._relay.record_update(
                version=self._complete_version,
                age_s=math.inf if self._hides_removals() else update.age_s,
                changed={name: (self._entry_versions[name], value) for name, value in values.items()},
                digest=0 if self._holds_removals or self._pre_restore.counts else self._digest,
            )
            self._relay.compare(update)
        if not changed:
            return
        self._log_changes(by_name, update, unproved_s)
        self.by_name = by_name
        self._on_change(by_name)

    def _log_changes(self, by_name, update, unproved_s):
        """Log engines that join, drain and leave, and by which answer this router learned of it.

        A change may be as old as the former proof of the list. Requests may have been sent to an engine that left
        earlier than routers have to know, so that is a warning.
        """
        source = logger.bind(
            version=update.version,
            source=update.source,
            is_whole=update.is_whole,
            age_s=round(update.age_s, 3),
            unproved_s=None if math.isinf(unproved_s) else round(unproved_s, 3),
        )
        departure_level = "WARNING" if self._propagation_limit_s < unproved_s < math.inf else "INFO"
        for name in sorted(set(self.by_name) - set(by_name)):
            source.log(departure_level, "engine {} is no longer listed", name)
        for name, engine in sorted(by_name.items()):
            known = self.by_name.get(name)
            if known is None or known.leaving != engine.leaving:
                state, level = ("leaving", departure_level) if engine.leaving else ("ready", "INFO")
                source.log(level, "engine {} of {} at {} is {}", name, engine.service, engine.address, state)


def _digest_of(facts):
    """Return a number by which two routers tell whether they know the same engines; never 0."""
    text = repr(sorted(facts.items()))
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).digest(), "big") or 1


def _compared_fields(by_name):
    """The engines' fields whose change is reported to ``on_change``; entries also change in other fields."""
    return {
        name: (
            engine.service,
            engine.address,
            engine.zone,
            engine.slots,
            engine.leaving,
            engine.start_ms,
            engine.version,
        )
        for name, engine in by_name.items()
    }
