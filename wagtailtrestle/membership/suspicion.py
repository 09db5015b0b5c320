"""Suspicion of unreachable routers, and the time they have to refute it before they are declared dead."""

from loguru import logger

from wagtailtrestle.contracts.peer_messages import MemberState

REFUTE_S = 0.25
REFUTE_UNSUPPORTED_S = 3.0
SUSPECT_AGAIN_S = 0.1
BACKOFF_FIRST_S = 1.0
BACKOFF_MAX_S = 30.0
STABLE_AFTER_S = 60.0


class Suspicions:
    """Suspects routers that cannot be reached, and declares them dead if they do not refute it in time.

    Parameters
    ----------
    table : MemberTable
    loop : asyncio event loop
    gossip : callable
        ``(event)``: sends the event to all routers.
    on_change : callable
        ``()``: called after a router was declared dead.
    ran_continuously : callable
        ``() -> bool``: false if this process was paused, in which case ``restart`` has been called.
    """

    __slots__ = ("_gossip", "_ran_continuously", "_loop", "_on_change", "_table", "_timers_by_name")

    def __init__(self, *, table, loop, gossip, on_change, ran_continuously):
        self._table = table
        self._loop = loop
        self._gossip = gossip
        self._on_change = on_change
        self._ran_continuously = ran_continuously
        self._timers_by_name = {}

    def suspect(self, member, detail):
        """Suspect a router on first-hand evidence: it can't be reached, even on a new connection."""
        now = self._loop.time()
        if not member.present or member.own_suspicion or now < member.suspect_again_at:
            return
        # A router that only this router cannot reach refutes each suspicion through the others. Notifying all
        # routers after every failed connection would load all of them because of a single bad link.
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
        """Start the time to refute, which is longer without first-hand evidence or a report of the death."""
        if member.state is not MemberState.SUSPECT:
            return
        timer = self._timers_by_name.pop(member.name, None)
        if timer is not None:
            timer.cancel()
        is_supported = member.own_suspicion or member.reported_dead
        delay_s = REFUTE_S if is_supported else REFUTE_UNSUPPORTED_S
        self._set_timer(member, max(0.0, member.state_since + delay_s - self._loop.time()))

    def on_sign_of_life(self, member):
        """Clear a suspicion after a message from the suspect. The next failed connection may raise it again."""
        now = self._loop.time()
        member.set_state(MemberState.ALIVE, now)
        member.suspect_again_at = min(member.suspect_again_at, now + SUSPECT_AGAIN_S)

    def restart(self):
        """Discard the evidence against all suspects and restart their timers, after a pause of this process."""
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
        if not self._ran_continuously():
            # The time to refute elapsed while this process was stopped and could not receive a refutation.
            self.watch(member)
            return
        now = self._loop.time()
        if (member.incarnation, member.version) != suspected:
            self.watch(member)
        elif member.own_suspicion or member.reported_dead:
            self._declare_dead(member, now)
        else:
            # The router that raised the suspicion never declared the suspect dead: either it received a refutation
            # that was lost on the way to this router, or it died itself. If the suspect is dead too, its other
            # partners detect that.
            member.set_state(MemberState.ALIVE, now)

    def _declare_dead(self, member, now):
        logger.warning("router {} is declared dead", member.name)
        is_own_suspicion = member.own_suspicion
        member.set_state(MemberState.DEAD, now)
        if is_own_suspicion:
            self._gossip(member.event())
        self._on_change()
