"""The engines that list themselves in the platform's store, followed through its outages.

A list read whole and a watch keep it up to date. What the store tells is taken as it comes, but
for one case: entries lapse while the store is out, though their engines live. After an outage an
entry that is missing is kept for a moment, and taken for gone if it is missing still.
"""

import asyncio
import random

from loguru import logger

from wagtailtrestle.contracts.outcomes import StoreDone

WATCH_S = 2.0
"""Longest wait of one watch: a connection gone silent is found so much later, and a little more. With the
store's margin and a whole read it stays under three seconds; each shorter second costs a call."""
RELIST_S = 8.0
"""Between two whole reads: finds what a watch that heard nothing missed."""
RETRY_S = 0.1
MOST_RETRY_S = 1.0
DEFAULT_RETURN_GRACE_S = 2.0
"""How long after an outage engines need to list themselves again."""
OUTAGE_S = 0.8
"""A store that answered nothing for so long may have let entries lapse."""


class EngineList:
    """Engines by name as the store lists them.

    Parameters
    ----------
    store : ObjectStore
    kind : str
    read_entry : callable
        ``read_entry(name, value)`` gives a ``DeclaredEngine``, or ``None`` if it can't.
    on_change : callable
        ``on_change(by_name)``, called on the loop after each change.
    clock : callable
        The loop's time, seconds.
    return_grace_s : float
    jitter : random.Random, optional

    Attributes
    ----------
    by_name : dict of str to DeclaredEngine
    is_known : bool
        Whether the list was ever read.
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
    ):
        self.by_name = {}
        self.is_known = False
        self._store = store
        self._kind = kind
        self._read_entry = read_entry
        self._on_change = on_change
        self._clock = clock
        self._return_grace_s = return_grace_s
        self._jitter = jitter or random.Random()
        self._version = 0
        self._listed_at = None
        self._answered_at = None
        self._kept_until = None
        self._task = None

    def start(self):
        """Begin to follow; must be called on the running event loop."""
        self._task = asyncio.get_running_loop().create_task(self._follow())

    async def close(self):
        """Stop; the last list stays readable."""
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
            "listed_age_s": None if self._listed_at is None else round(now - self._listed_at, 3),
            "answered_age_s": None if self._answered_at is None else round(now - self._answered_at, 3),
            "keeps_missing_entries": self._kept_until is not None,
        }

    async def _follow(self):
        retry_s = RETRY_S
        while True:
            if await self._step():
                retry_s = RETRY_S
            else:
                await asyncio.sleep(retry_s * self._jitter.uniform(0.5, 1.0))
                retry_s = min(MOST_RETRY_S, 2 * retry_s)

    async def _step(self):
        """List or watch once; whether the store answered."""
        if self._is_list_due():
            outcome = await self._store.list(kind=self._kind)
            if not isinstance(outcome, StoreDone):
                return False
            self._note_answer()
            self._take_list(outcome)
            return True
        outcome = await self._store.watch(kind=self._kind, from_version=self._version, timeout_s=self._watch_s())
        if not isinstance(outcome, StoreDone):
            # Silence, a refusal or a lost history: only a whole read tells what was missed.
            self._listed_at = None
            return False
        self._note_answer()
        self._take_changes(outcome)
        return True

    def _is_list_due(self):
        now = self._clock()
        if self._listed_at is None or now - self._listed_at > RELIST_S:
            return True
        return self._kept_until is not None and now >= self._kept_until

    def _watch_s(self):
        if self._kept_until is None:
            return WATCH_S
        return max(0.05, min(WATCH_S, self._kept_until - self._clock()))

    def _note_answer(self):
        now = self._clock()
        if self._answered_at is not None and now - self._answered_at > WATCH_S + OUTAGE_S:
            logger.warning("the store answered nothing for {:.1f} s; missing engines are kept", now - self._answered_at)
            self._kept_until = now + self._return_grace_s
        self._answered_at = now

    def _take_list(self, outcome):
        now = self._clock()
        self._listed_at = now
        self._version = outcome.version
        by_name = {}
        for name, (_, value) in outcome.value.items():
            engine = self._read_entry(name, value)
            if engine is not None:
                by_name[name] = engine
        if self._kept_until is not None and now < self._kept_until:
            by_name = {**self.by_name, **by_name}
        else:
            self._kept_until = None
        self.is_known = True
        self._put(by_name)

    def _take_changes(self, outcome):
        self._version = max(self._version, outcome.version)
        by_name = dict(self.by_name)
        for name, _, value in outcome.value:
            engine = None if value is None else self._read_entry(name, value)
            if engine is not None:
                by_name[name] = engine
            elif value is None and self._kept_until is None:
                by_name.pop(name, None)
        self._put(by_name)

    def _put(self, by_name):
        if _facts(by_name) == _facts(self.by_name):
            return
        for name in sorted(set(self.by_name) - set(by_name)):
            logger.info("engine {} is gone from the list", name)
        for name, engine in sorted(by_name.items()):
            known = self.by_name.get(name)
            if known is None or known.leaving != engine.leaving:
                state = "leaving" if engine.leaving else "ready"
                logger.info("engine {} of {} at {} is {}", name, engine.service, engine.address, state)
        self.by_name = by_name
        self._on_change(by_name)


def _facts(by_name):
    """What of the engines matters to whoever uses them; entries change for less."""
    return {
        name: (engine.service, engine.address, engine.zone, engine.slots, engine.leaving)
        for name, engine in by_name.items()
    }
