"""State that this router keeps for one peer."""

from wagtailtrestle.peers.outbox import Outbox

BACKOFF_FIRST_S = 0.05
BACKOFF_MAX_S = 0.5


class PeerState:
    """Address, outgoing queue, current link and dialing state of a peer.

    Attributes
    ----------
    kept : bool
        Whether its link stays open while idle.
    recover_until : float
        Loop time until which a lost connection is reopened even if nothing is queued.
    unreachable_since : float or None
        When connections to it began to fail.
    used_at : float
        When a message other than a ping or pong was last sent or received.
    """

    __slots__ = (
        "address",
        "backoff_s",
        "dialing",
        "failures",
        "incarnation",
        "kept",
        "last_error",
        "link",
        "name",
        "outbox",
        "overflows",
        "reconnects",
        "recover_until",
        "stale_dropped",
        "unreachable_since",
        "used_at",
    )

    def __init__(self, *, name, loop):
        self.name = name
        self.address = None
        self.incarnation = 0
        self.outbox = Outbox(loop=loop)
        self.link = None
        self.dialing = None
        self.kept = False
        self.backoff_s = BACKOFF_FIRST_S
        self.failures = 0
        self.overflows = 0
        self.reconnects = 0
        self.stale_dropped = 0
        self.last_error = ""
        self.unreachable_since = None
        self.recover_until = self.used_at = loop.time()

    def set_link(self, link):
        """Set the new link and reset the failure state."""
        self.link = link
        self.incarnation = link.hello.incarnation
        self.address = link.hello.address or self.address
        self.backoff_s = BACKOFF_FIRST_S
        self.unreachable_since = None
        self.last_error = ""
        self.reconnects += 1

    def record_failure(self, error, now):
        """Record a failed attempt to connect."""
        self.failures += 1
        self.last_error = error
        if self.unreachable_since is None:
            self.unreachable_since = now

    def next_backoff_s(self):
        """Maximum wait before the next attempt, doubled each time."""
        backoff_s = self.backoff_s
        self.backoff_s = min(BACKOFF_MAX_S, backoff_s * 2)
        return backoff_s

    def needs_link(self, now):
        """Whether a connection should be opened if there is none."""
        return self.kept or bool(len(self.outbox)) or now < self.recover_until

    def dump(self):
        """State for the state dump."""
        return {
            "address": self.address,
            "incarnation": self.incarnation,
            "kept": self.kept,
            "queued_items": len(self.outbox),
            "queued_bytes": self.outbox.queued_bytes,
            "connections": self.reconnects,
            "failures": self.failures,
            "overflows": self.overflows,
            "stale_dropped": self.stale_dropped,
            "last_error": self.last_error,
            "link": self.link.dump() if self.link is not None else None,
        }
