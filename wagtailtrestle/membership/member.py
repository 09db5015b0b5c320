"""What one router believes of another, and the order in which statements outweigh each other."""

from wagtailtrestle.contracts.peer_messages import MemberState, ViewEvent

HOLD_DOWN_FIRST_S = 1.0
HOLD_DOWN_MAX_S = 30.0
STABLE_AFTER_S = 300.0

RANKS_BY_STATE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2, MemberState.LEFT: 3}
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class Member:
    """One router as seen from another.

    Only the router itself raises its ``version``; so at one version a worse state
    outweighs a better one until the router itself refutes it with a higher version.
    """

    __slots__ = (
        "address",
        "reported_dead",
        "draining",
        "flaps",
        "generation",
        "hold_down_until",
        "incarnation",
        "listed_leaving",
        "name",
        "own_suspicion",
        "state",
        "state_since",
        "suspect_again_at",
        "suspect_backoff_s",
        "version",
        "zone",
    )

    def __init__(self, *, name, now):
        self.name = name
        self.zone = ""
        self.address = ""
        self.incarnation = 0
        self.version = 0
        self.state = MemberState.DEAD
        self.state_since = now
        self.draining = False
        self.listed_leaving = False
        self.reported_dead = False
        self.own_suspicion = False
        self.suspect_again_at = now
        self.suspect_backoff_s = 0.0
        self.flaps = 0
        self.hold_down_until = now
        self.generation = 0

    @property
    def present(self):
        """Whether it belongs to the view: alive, or suspected and given time to refute."""
        return self.state in PRESENT_STATES

    def key(self):
        """Order of statements about this router."""
        state = MemberState.DEAD if self.reported_dead else self.state
        return (self.incarnation, self.version, RANKS_BY_STATE[state])

    def eligible(self, now):
        """Whether it may be scheduler or shard owner."""
        return self.present and not self.draining and not self.listed_leaving and now >= self.hold_down_until

    def set_state(self, state, now):
        """Change the state; note suspicion's time and count returns from the dead."""
        if state == self.state:
            return
        was_dead = self.state is MemberState.DEAD
        if state is not MemberState.SUSPECT:
            self.own_suspicion = False
            self.reported_dead = False
        if was_dead and state is MemberState.ALIVE:
            self._start_hold_down(now)
        self.state = state
        self.state_since = now

    def _start_hold_down(self, now):
        # A router behind a bad link would go in and out of the view, and each time the cells it is scheduler
        # of move twice and every entry re-registers. Who comes back is alive at once but eligible only after
        # it stayed for a while, longer each time.
        if now - self.state_since > STABLE_AFTER_S:
            self.flaps = 0
        self.flaps += 1
        self.hold_down_until = now + min(HOLD_DOWN_MAX_S, HOLD_DOWN_FIRST_S * 2 ** (self.flaps - 1))

    def restart(self, incarnation, now):
        """Take a new process of that name; it owes nothing for what its predecessor did."""
        self.incarnation = incarnation
        self.version = 0
        self.state = MemberState.ALIVE
        self.state_since = now
        self.own_suspicion = self.reported_dead = self.draining = False
        self.suspect_again_at = now
        self.suspect_backoff_s = 0.0
        self.hold_down_until = now

    def event(self):
        """Statement of what is believed now."""
        return ViewEvent(
            name=self.name,
            zone=self.zone,
            address=self.address,
            incarnation=self.incarnation,
            version=self.version,
            state=self.state,
            draining=self.draining,
        )

    def dump(self, now):
        """State for the dump; ages in seconds."""
        return {
            "state": self.state.value,
            "state_age_s": round(now - self.state_since, 3),
            "zone": self.zone,
            "address": self.address,
            "incarnation": self.incarnation,
            "version": self.version,
            "generation": self.generation,
            "draining": self.draining,
            "listed_leaving": self.listed_leaving,
            "held_s": round(max(0.0, self.hold_down_until - now), 3),
            "flaps": self.flaps,
        }


def event_key(event):
    """Order of statements, as ``Member.key``."""
    return (event.incarnation, event.version, RANKS_BY_STATE[event.state])
