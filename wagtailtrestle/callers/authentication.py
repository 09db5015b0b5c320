"""Authentication by bearer keys, each of which belongs to a team."""

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
    """How recently the platform confirmed that the keys known to this router are current.

    Parameters
    ----------
    age_s : float or None
        Time since the last confirmation; ``None`` if there was none.
    limit_s : float
        Age from which no key is accepted; 0 if keys are accepted without confirmation.
    """

    age_s: float | None
    limit_s: float

    @property
    def is_fresh(self):
        """Whether keys may be accepted or rejected on this confirmation."""
        return not self.limit_s or (self.age_s is not None and self.age_s < self.limit_s)

    @property
    def cause(self):
        """The cause of a refusal for the log."""
        age = "never" if self.age_s is None else f"{self.age_s:.1f} s ago"
        return f"keys proved {age}, limit {self.limit_s:g} s"


class KeyIndex:
    """Index of the teams of one declaration by the digests of their keys.

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
        """Return the team that owns ``key``, or ``None``."""
        # Comparing keys byte by byte would be open to a timing attack. Here the timing reveals only
        # whether the first 32 bits of SHA-256(guess) occur in the index. A caller can't choose a guess
        # whose digest approaches that of an unknown key, so this reveals nothing about the key. The
        # remaining bits are compared in constant time. Scanning all digests would take about 0.25 ms
        # per request with 1,700 teams and give no additional protection.
        digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
        found = None
        for known, team in self._keys_by_bucket.get(digest[:BUCKET_CHARACTERS], ()):
            if hmac.compare_digest(known, digest):
                found = team
        return found


def bearer_key(header: str) -> str | None:
    """Return the key in an ``Authorization`` header, or ``None`` if there is none."""
    scheme, _, key = header.strip().partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key or len(key) > MAX_KEY_CHARACTERS:
        return None
    return key


def authenticate(*, header: str, index: KeyIndex) -> Team | Refusal:
    """Return the team identified by an ``Authorization`` header, or a refusal.

    The refusal is the same for a missing and an unknown key, so that it reveals nothing about keys.
    """
    key = bearer_key(header)
    team = index.find(key=key) if key is not None else None
    return team or _unauthenticated("Send the team's key as 'Authorization: Bearer KEY'.")


def team_of_key(*, key: str, index: KeyIndex, proof: KeyProof, hint: str) -> Team | Refusal:
    """Return the team that owns ``key``, or a refusal; no key is judged without a fresh ``proof``.

    Parameters
    ----------
    key : str
        Empty if the caller sent none.
    hint : str
        The detail of the refusal, one sentence for the caller.
    """
    # The proof is checked first: a router without connection to the platform may not know a valid key,
    # or still know a revoked one, so neither accepting nor rejecting the key would be reliable.
    if not proof.is_fresh:
        return refusal_of(Reason.KEYS_STALE, executed=Executed.NO, cause=proof.cause)
    team = index.find(key=key) if key else None
    return team or _unauthenticated(hint)


def _unauthenticated(detail):
    return Refusal(status=401, reason=Reason.UNAUTHENTICATED, executed=Executed.NO, detail=detail)
