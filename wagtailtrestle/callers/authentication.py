"""Bearer keys: which team a request comes from."""

import hashlib
import hmac

from wagtailtrestle.contracts.declaration import Declaration, Team
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal

SCHEME = "bearer"
MAX_KEY_CHARACTERS = 512
BUCKET_CHARACTERS = 8


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
    if team is not None:
        return team
    return Refusal(
        status=401,
        reason=Reason.UNAUTHENTICATED,
        executed=Executed.NO,
        detail="Send the team's key as 'Authorization: Bearer KEY'.",
    )
