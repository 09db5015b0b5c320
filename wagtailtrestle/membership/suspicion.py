"""First-hand suspicion of a router, and the time it has to refute before it is held for dead."""

from loguru import logger

from wagtailtrestle.contracts.peer_messages import MemberState

REFUTE_S = 0.25
UNSUPPORTED_S = 3.0
SUSPECT_AGAIN_S = 0.1
BACKOFF_FIRST_S = 1.0
BACKOFF_MAX_S = 30.0
STABLE_AFTER_S = 60.0


class Suspicions:
    """Turns evidence into suspicion, and suspicion that nobody refutes into death.

    Parameters
    ----------
    table : MemberTable
    loop : asyncio event loop
    gossip : callable
        ``(event)``: tells everybody.
    on_change : callable
        ``()``: called after a death.
    is_awake : callable
        ``() -> bool``: false if this process was paused; then ``restart`` has been called.
    """

    __slots__ = ("_gossip", "_is_awake", "_loop", "_on_change", "_table", "_timers_by_name")

    def __init__(self, *, table, loop, gossip, on_change, is_awake):
        self._table = table
        self._loop = loop
        self._gossip = gossip
        self._on_change = on_change
        self._is_awake = is_awake
        self._timers_by_name = {}

    def suspect(self, member, detail):
        """Take first-hand evidence that a router can't be reached, even on a new connection."""
        now = self._loop.time()
        if not member.present or member.own_suspicion or now < member.suspect_again_at:
            return
        # A router that only this one can't reach refutes each time, through the others. Telling everybody
        # again at every failed connection would keep all of them busy with one bad link.
        if now - member.suspect_again_at > STABLE_AFTER_S:
            member.suspect_backoff_s = 0.0
        member.suspect_backoff_s = min(BACKOFF_MAX_S, 2 * member.suspect_backoff_s or BACKOFF_FIRST_S)
        member.suspect_again_at = now + member.suspect_backoff_s
        logger.warning("router {} is suspected: {}", member.name, detail)
        member.set_state(MemberState.SUSPECT, now)
        member.own_suspicion = True
        self._gossip(member.event())
        self.watch(member)

    def watch(self, member):
        """Give a suspect its time to refute, once somebody stands by the suspicion."""
        if member.state is not MemberState.SUSPECT:
            return
        timer = self._timers_by_name.pop(member.name, None)
        if timer is not None:
            timer.cancel()
        is_supported = member.own_suspicion or member.reported_dead
        delay_s = REFUTE_S if is_supported else UNSUPPORTED_S
        self._set_timer(member, max(0.0, member.state_since + delay_s - self._loop.time()))

    def on_sign_of_life(self, member):
        """Drop a suspicion since the suspect was heard; the next failed connection may raise it again."""
        now = self._loop.time()
        member.set_state(MemberState.ALIVE, now)
        member.suspect_again_at = min(member.suspect_again_at, now + SUSPECT_AGAIN_S)

    def restart(self):
        """Give every suspect its whole time anew: this process was paused meanwhile."""
        self.close()
        for member in self._table.by_name.values():
            if member.state is MemberState.SUSPECT:
                member.own_suspicion = member.reported_dead = False
                member.state_since = self._loop.time()
                self.watch(member)

    def close(self):
        """Cancel every timer."""
        for timer in self._timers_by_name.values():
            timer.cancel()
        self._timers_by_name.clear()

    def _set_timer(self, member, delay_s):
        suspected = (member.incarnation, member.version)
        self._timers_by_name[member.name] = self._loop.call_later(delay_s, self._on_timeout, member, suspected)

    def _on_timeout(self, member, suspected):
        self._timers_by_name.pop(member.name, None)
        if member.state is not MemberState.SUSPECT or self._table.by_name.get(member.name) is not member:
            return
        if not self._is_awake():
            # The time to refute passed while this process was stopped and could hear nothing.
            self.watch(member)
            return
        now = self._loop.time()
        if (member.incarnation, member.version) != suspected:
            self.watch(member)
        elif member.own_suspicion or member.reported_dead:
            self._declare_dead(member, now)
        else:
            # Whoever suspected it never called it dead: it saw the refutation that was lost on the way here,
            # or died itself. If the suspect is dead too, its other partners find out.
            member.set_state(MemberState.ALIVE, now)

    def _declare_dead(self, member, now):
        logger.warning("router {} is held for dead", member.name)
        is_own_suspicion = member.own_suspicion
        member.set_state(MemberState.DEAD, now)
        if is_own_suspicion:
            self._gossip(member.event())
        self._on_change()
