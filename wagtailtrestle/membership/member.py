"""State of one router as another sees it, and the order of precedence between events about it."""

from wagtailtrestle.contracts.peer_messages import MemberState, ViewEvent

HOLD_DOWN_FIRST_S = 1.0
HOLD_DOWN_MAX_S = 30.0
STABLE_AFTER_S = 300.0

RANKS_BY_STATE = {MemberState.ALIVE: 0, MemberState.SUSPECT: 1, MemberState.DEAD: 2, MemberState.LEFT: 3}
PRESENT_STATES = (MemberState.ALIVE, MemberState.SUSPECT)


class Member:
    """One router as seen by another.

    Only the router itself increments its ``version``. Within one version a worse state
    overrides a better one, until the router itself refutes it with a higher version.
    """

    __slots__ = (
        "address",
        "cores",
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
        self.cores = 0.0
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
        """Whether it belongs to the view: alive, or suspected and still within the time to refute."""
        return self.state in PRESENT_STATES

    def key(self):
        """Sort key that orders events about this router."""
        state = MemberState.DEAD if self.reported_dead else self.state
        return (self.incarnation, self.version, RANKS_BY_STATE[state])

    def eligible(self, now):
        """Whether it may become scheduler or shard owner."""
        return self.present and not self.draining and not self.listed_leaving and now >= self.hold_down_until

    def set_state(self, state, now):
        """Change the state and its timestamp. A router that returns from ``DEAD`` enters hold-down."""
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
        # Flap damping. A router behind an unreliable link would leave and rejoin the view repeatedly; each time
        # the cells it schedules would move twice and every entry would re-register. A returning router is alive
        # immediately but becomes eligible only after a hold-down, which doubles with each flap.
        if now - self.state_since > STABLE_AFTER_S:
            self.flaps = 0
        self.flaps += 1
        self.hold_down_until = now + min(HOLD_DOWN_MAX_S, HOLD_DOWN_FIRST_S * 2 ** (self.flaps - 1))

    def restart(self, incarnation, now):
        """Reset for a new process of that name, which starts without its predecessor's suspicions and hold-down."""
        self.incarnation = incarnation
        self.version = 0
        self.cores = 0.0
        self.state = MemberState.ALIVE
        self.state_since = now
        self.own_suspicion = self.reported_dead = self.draining = False
        self.suspect_again_at = now
        self.suspect_backoff_s = 0.0
        self.hold_down_until = now

    def learn_cores(self, cores):
        """Store the capacity announced by the present process if it was unknown. Return ``True`` if it was.

        Routers of an earlier version forward events without the capacity, and those may arrive first. The capacity is
        constant within an incarnation, so the first announced value is kept.
        """
        if self.cores or not cores:
            return False
        self.cores = cores
        return True

    def event(self):
        """View event with the state as currently known."""
        return ViewEvent(
            name=self.name,
            zone=self.zone,
            address=self.address,
            incarnation=self.incarnation,
            version=self.version,
            state=self.state,
            draining=self.draining,
            cores=self.cores,
        )

    def dump(self, now):
        """State for the state dump; ages in seconds."""
        return {
            "state": self.state.value,
            "state_age_s": round(now - self.state_since, 3),
            "zone": self.zone,
            "address": self.address,
            "cores": self.cores,
            "incarnation": self.incarnation,
            "version": self.version,
            "generation": self.generation,
            "draining": self.draining,
            "listed_leaving": self.listed_leaving,
            "held_s": round(max(0.0, self.hold_down_until - now), 3),
            "flaps": self.flaps,
        }


def event_key(event):
    """Sort key of an event, comparable with ``Member.key``."""
    return (event.incarnation, event.version, RANKS_BY_STATE[event.state])
