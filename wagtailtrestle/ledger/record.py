"""Contents of one ledger shard, and how claims and settlements change them.

This module uses neither the store nor a clock, so that the specification's traces can be replayed
against it.
"""

import base64
import hashlib

from wagtailtrestle.contracts.ledger_messages import ClaimAnswer, ClaimAsk, ClaimResult, ClaimState, NonceState

LEDGER_KIND = "ledger"
MAX_BODY_BYTES = 4096
BODIES_LIMIT_BYTES = 256 * 1024
SHARD_LIMIT_BYTES = 768 * 1024
CLOCK_SKEW_MARGIN_S = 60.0
RECORD_OVERHEAD_BYTES = 64
KEY_HEX_DIGITS = 40


def key_hash(*, team, key):
    """Return the hash of team and idempotency key; the length prefix prevents ambiguous concatenations."""
    text = f"{len(team)}:{team}:{key}"
    return hashlib.sha256(text.encode()).hexdigest()[:KEY_HEX_DIGITS]


def shard_name(*, key, shards):
    """Return the name of the shard that holds a key hash."""
    return f"shard-{int(key[:8], 16) % shards:03d}"


class ClaimRecord:
    """One claim as stored; instances are replaced, never modified.

    Parameters
    ----------
    nonce : str
        Id of the request that holds the key.
    entry, incarnation : str
        The router that accepted the request, and its incarnation.
    digest : str
        Digest of the request.
    claimed_at : float
        Wall clock of the writer, seconds.
    state : ClaimState
    status, content_type, body
        The recorded answer; ``body`` is ``None`` if there is none yet, it was too large to keep or it was dropped
        to free space.
    """

    __slots__ = ("nonce", "entry", "incarnation", "digest", "claimed_at", "state", "status", "content_type", "body")

    def __init__(self, *, nonce, entry, incarnation, digest, claimed_at, state, status=0, content_type="", body=None):
        self.nonce = nonce
        self.entry = entry
        self.incarnation = incarnation
        self.digest = digest
        self.claimed_at = claimed_at
        self.state = state
        self.status = status
        self.content_type = content_type
        self.body = body

    @classmethod
    def from_value(cls, value):
        """Parse the list returned by :meth:`to_value`."""
        nonce, entry, incarnation, digest, claimed_at, state, status, content_type, body = value
        return cls(
            nonce=nonce,
            entry=entry,
            incarnation=incarnation,
            digest=digest,
            claimed_at=claimed_at,
            state=ClaimState(state),
            status=status,
            content_type=content_type,
            body=None if body is None else base64.b64decode(body),
        )

    def to_value(self):
        """Return a JSON list; compact, since every write contains all records of the shard."""
        body = None if self.body is None else base64.b64encode(self.body).decode()
        return [
            self.nonce,
            self.entry,
            self.incarnation,
            self.digest,
            self.claimed_at,
            str(self.state),
            self.status,
            self.content_type,
            body,
        ]

    def settled(self, request):
        """Return the record with the result of its ended request."""
        return ClaimRecord(
            nonce=self.nonce,
            entry=self.entry,
            incarnation=self.incarnation,
            digest=self.digest,
            claimed_at=self.claimed_at,
            state=ClaimState(request.state),
            status=request.status,
            content_type=request.content_type,
            body=request.body if request.body_kept and len(request.body) <= MAX_BODY_BYTES else None,
        )

    def without_body(self):
        """Return the record without its answer's body; the claim itself stays."""
        return ClaimRecord(
            nonce=self.nonce,
            entry=self.entry,
            incarnation=self.incarnation,
            digest=self.digest,
            claimed_at=self.claimed_at,
            state=self.state,
            status=self.status,
            content_type=self.content_type,
        )

    def answer(self, result):
        """Return the answer that describes this claim."""
        return ClaimAnswer(
            result=str(result),
            nonce=self.nonce,
            digest=self.digest,
            entry=self.entry,
            incarnation=self.incarnation,
            state=str(self.state),
            status=self.status,
            content_type=self.content_type,
            body=self.body or b"",
            body_kept=self.body is not None,
        )

    def size(self):
        """Return the approximate size of this record in JSON, in bytes."""
        text = len(self.nonce) + len(self.entry) + len(self.incarnation) + len(self.digest) + len(self.content_type)
        return text + KEY_HEX_DIGITS + RECORD_OVERHEAD_BYTES + (len(self.body) * 4 // 3 if self.body else 0)


class ShardContents:
    """All claims of one shard at one store version.

    Parameters
    ----------
    records_by_key : dict of str to ClaimRecord
        In order of their claims.
    """

    __slots__ = ("records_by_key", "changed", "size")

    def __init__(self, *, records_by_key=None, size=None):
        self.records_by_key = records_by_key or {}
        self.changed = False
        self.size = sum(record.size() for record in self.records_by_key.values()) if size is None else size

    @classmethod
    def from_value(cls, value):
        """Parse a shard object's value."""
        records = {key: ClaimRecord.from_value(item) for key, item in value["claims"].items()}
        return cls(records_by_key=records)

    def to_value(self):
        """Return the shard object's value."""
        return {"claims": {key: record.to_value() for key, record in self.records_by_key.items()}}

    def copy(self):
        """Return a copy, marked as unchanged, to apply a batch to."""
        return ShardContents(records_by_key=dict(self.records_by_key), size=self.size)

    def apply(self, request, *, now):
        """Apply one claim or settlement.

        Returns
        -------
        ClaimAnswer or bool
            For a claim its answer; for a settlement whether its claim was found.
        """
        if isinstance(request, ClaimAsk):
            return self._claim(request, now)
        return self._settle(request)

    def prune(self, *, now, retention_s):
        """Drop claims whose retention time is over.

        The writer's clock may be ahead of the one that dated the claim: without a margin a claim
        would be dropped early and its key could run twice. The platform keeps its VMs' clocks
        within half of ``CLOCK_SKEW_MARGIN_S``, so the margin covers the skew of both.
        """
        horizon = now - retention_s - CLOCK_SKEW_MARGIN_S
        for key in [key for key, record in self.records_by_key.items() if record.claimed_at < horizon]:
            self._remove(key)

    def _claim(self, request, now):
        record = self.records_by_key.get(request.key)
        if record is not None and record.nonce == request.nonce:
            # An earlier write of the same claim took effect although its answer was lost.
            return record.answer(ClaimResult.WON)
        # A claim may be replaced only while it still has exactly the nonce that was refused on its
        # own router; any other holder may be running.
        takes_over = record is not None and record.nonce == request.replaces and record.state is ClaimState.CLAIMED
        if record is not None and not takes_over:
            return record.answer(ClaimResult.HELD)
        new_record = ClaimRecord(
            nonce=request.nonce,
            entry=request.entry,
            incarnation=request.incarnation,
            digest=request.digest,
            claimed_at=round(now, 1),
            state=ClaimState.CLAIMED,
        )
        if not takes_over and not self._free_space(new_record.size()):
            return ClaimAnswer(result=str(ClaimResult.UNAVAILABLE), detail="this part of the ledger is full")
        self._put(request.key, new_record)
        return new_record.answer(ClaimResult.WON)

    def _settle(self, request):
        record = self.records_by_key.get(request.key)
        if record is None or record.nonce != request.nonce:
            return False
        if request.state == NonceState.REFUSED:
            self._remove(request.key)
        elif record.state is ClaimState.CLAIMED:
            self._put(request.key, record.settled(request))
            self._drop_bodies(BODIES_LIMIT_BYTES)
        return True

    def _free_space(self, size):
        # Claims are never dropped to free space, since their keys could run twice. Recorded bodies
        # are: a re-send without one is answered that the outcome is unknown.
        if self.size + size > SHARD_LIMIT_BYTES:
            self._drop_bodies(0)
        return self.size + size <= SHARD_LIMIT_BYTES

    def _drop_bodies(self, limit):
        if self.size <= limit:
            return
        for key, record in self.records_by_key.items():
            if record.body:
                self._put(key, record.without_body())
            if self.size <= limit:
                return

    def _put(self, key, record):
        old = self.records_by_key.get(key)
        self.size += record.size() - (old.size() if old else 0)
        self.records_by_key[key] = record
        self.changed = True

    def _remove(self, key):
        self.size -= self.records_by_key.pop(key).size()
        self.changed = True
