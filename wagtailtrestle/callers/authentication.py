"""Bearer keys: which team a request comes from."""

import hashlib
import hmac

from wagtailtrestle.contracts.declaration import Declaration, Team
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal
from wagtailtrestle.entry.final_answers import refusal_of
from wagtailtrestle.record import record

SCHEME = "bearer"
MAX_KEY_CHARACTERS = 512
BUCKET_CHARACTERS = 8


@record
class KeyProof:
    """How lately the platform showed that the keys known here are the ones that hold.

    Parameters
    ----------
    age_s : float or None
        Time since; ``None`` if it never did.
    limit_s : float
        Age from which no key is used; 0 where keys may be used without a proof.
    """

    age_s: float | None
    limit_s: float

    @property
    def is_fresh(self):
        """Whether keys may be used."""
        return not self.limit_s or (self.age_s is not None and self.age_s < self.limit_s)

    @property
    def cause(self):
        """What a refusal's log line tells."""
        age = "never" if self.age_s is None else f"{self.age_s:.1f} s ago"
        return f"keys proved {age}, limit {self.limit_s:g} s"


class KeyIndex:
    """Teams of one declaration by the digest of their keys.

    Parameters
    ----------
    declaration : Declaration
    """

    __slots__ = ("_keys_by_bucket",)

    def __init__(self, *, declaration: Declaration):
        self._keys_by_bucket = {}
        for team in declaration.teams_by_name.values():
            for digest in team.key_sha256:
                self._add(digest=digest.lower(), team=team)

    def _add(self, *, digest, team):
        bucket = self._keys_by_bucket.setdefault(digest[:BUCKET_CHARACTERS], [])
        bucket.append((digest, team))

    def find(self, *, key: str) -> Team | None:
        """The team that holds ``key``."""
        # Comparing keys byte by byte would let a caller find one by timing its guesses. Here the
        # clock can tell only whether 32 bits of SHA-256(guess) occur in the index: a caller can't
        # steer a digest towards a key it doesn't know, so that tells nothing about the key. The
        # rest is compared in constant time. A scan of all digests would cost about 0.25 ms a
        # request at 1,700 teams and protect nothing more.
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        found = None
        for known, team in self._keys_by_bucket.get(digest[:BUCKET_CHARACTERS], ()):
            if hmac.compare_digest(known, digest):
                found = team
        return found


def bearer_key(header: str) -> str | None:
    """The key in an ``Authorization`` header, or ``None`` if there is none."""
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key or len(key) > MAX_KEY_CHARACTERS:
        return None
    return key


def authenticate(*, header: str, index: KeyIndex) -> Team | Refusal:
    """The team named by an ``Authorization`` header, or the refusal to send.

    One answer serves a missing and an unknown key, so that nothing is learnt from the difference.
    """
    key = bearer_key(header)
    team = index.find(key=key) if key is not None else None
    return team or _unauthenticated("Send the team's key as 'Authorization: Bearer KEY'.")


def team_of_key(*, key: str, index: KeyIndex, proof: KeyProof, hint: str) -> Team | Refusal:
    """The team that holds ``key``, as far as this router can prove it.

    Parameters
    ----------
    key : str
        Empty where the caller sent none.
    hint : str
        One sentence that tells a caller how to send its key.
    """
    # The proof comes first: a router cut off from the platform may not know a key that is good, or still
    # know one that was revoked. Either answer would be a guess.
    if not proof.is_fresh:
        return refusal_of(Reason.KEYS_STALE, executed=Executed.NO, cause=proof.cause)
    team = index.find(key=key) if key else None
    return team or _unauthenticated(hint)


def _unauthenticated(detail):
    return Refusal(status=401, reason=Reason.UNAUTHENTICATED, executed=Executed.NO, detail=detail)
