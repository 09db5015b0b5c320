"""All that one router believes of the others, and how it takes in statements about them."""

from wagtailtrestle.contracts.peer_messages import MemberState
from wagtailtrestle.membership.member import RANKS_BY_STATE, Member, event_key
from wagtailtrestle.membership.view import View, digest_of

# Long enough for the news of a death to have reached everybody who can be reached.
REVIVE_AFTER_S = 10.0


class MemberTable:
    """Members by name, this router's own record included.

    Parameters
    ----------
    name, zone : str
    incarnation : int
    now : float
        Loop time, seconds.
    """

    __slots__ = ("by_name", "own")

    def __init__(self, *, name, zone, incarnation, now):
        self.own = Member(name=name, now=now)
        self.own.zone = zone
        self.own.restart(incarnation, now)
        self.by_name = {name: self.own}

    def get_or_add(self, name, now):
        """The record of a router, made if it is new."""
        member = self.by_name.get(name)
        if member is None:
            member = self.by_name[name] = Member(name=name, now=now)
        return member

    def present(self):
        """Records of the routers in the view."""
        return [member for member in self.by_name.values() if member.present]

    def apply(self, event, now):
        """Take in a statement about another router; ``True`` if it was news."""
        member = self.by_name.get(event.name)
        if member is None:
            if event.state in (MemberState.DEAD, MemberState.LEFT):
                return False
            member = self.get_or_add(event.name, now)
        if event_key(event) <= member.key():
            return False
        if event.incarnation > member.incarnation:
            member.restart(event.incarnation, now)
        elif event.version > member.version:
            # It spoke for itself since the last suspicion, whatever is said of it now.
            member.set_state(MemberState.ALIVE, now)
        member.zone = event.zone or member.zone
        member.address = event.address or member.address
        member.version = event.version
        member.draining = event.draining
        self._apply_state(member, event.state, now)
        return True

    def _apply_state(self, member, state, now):
        if state is not MemberState.DEAD:
            member.set_state(state, now)
            return
        # Somebody else's word that a router is dead is treated as a suspicion: after a partition heals both
        # sides call each other dead, and believing it at once would empty every view. Who lives refutes it.
        if member.state is MemberState.ALIVE:
            member.set_state(MemberState.SUSPECT, now)
        if member.state is MemberState.SUSPECT:
            member.reported_dead = True

    def merge(self, events, now, *, trust_peer):
        """Take in all that a peer knows.

        Parameters
        ----------
        events : iterable of ViewEvent
        now : float
        believe : bool
            Whether this router doubts its own view (it starts, or was paused), so that the peer's counts more.

        Returns
        -------
        news : list of ViewEvent
        doubted : list of str
            Routers that the peer calls dead and this one alive.
        """
        applied, disputed = [], []
        for event in events:
            member = self.by_name.get(event.name)
            if member is self.own:
                continue
            if member is not None and self._revives(member, event, now):
                member.set_state(MemberState.ALIVE, now)
            elif member is not None and self._reports_dead(member, event):
                if trust_peer:
                    member.version = event.version
                    member.set_state(MemberState.DEAD, now)
                else:
                    disputed.append(event.name)
            elif self.apply(event, now):
                applied.append(event)
        return applied, disputed

    def _revives(self, member, event, now):
        # After a partition both sides hold the other's routers for dead. One router that came back refutes
        # that for itself; this lets a whole side return without each of its routers telling everybody.
        return (
            member.state is MemberState.DEAD
            and event.state in (MemberState.ALIVE, MemberState.SUSPECT)
            and (event.incarnation, event.version) == (member.incarnation, member.version)
            and now - member.state_since > REVIVE_AFTER_S
        )

    def _reports_dead(self, member, event):
        return (
            member.present
            and event.state is MemberState.DEAD
            and event.incarnation == member.incarnation
            and event_key(event) > member.key()
        )

    def refute(self, event, now):
        """Answer a statement about this router itself; ``True`` if there was something to refute."""
        own = self.own
        if event.incarnation != own.incarnation or event.version < own.version or not RANKS_BY_STATE[event.state]:
            return False
        if event.state is MemberState.DEAD:
            # It was out of the others' views, which hold it back for a while; so does it itself.
            own.set_state(MemberState.DEAD, now)
            own.set_state(MemberState.ALIVE, now)
        own.version = event.version + 1
        return True

    def view(self, now):
        """The view that follows from the records."""
        present = self.present()
        return View(
            members=[member.name for member in present if member.eligible(now)],
            draining=[member.name for member in present if not member.eligible(now)],
            incarnations_by_name={member.name: member.incarnation for member in present},
        )

    def next_hold_down_end(self, now):
        """When the next member that is held back becomes eligible, or ``None``."""
        ends = [
            member.hold_down_until
            for member in self.by_name.values()
            if member.present and member.hold_down_until > now
        ]
        return min(ends, default=None)

    def digest(self):
        """Equal for routers that believe the same, whatever they hold back."""
        facts = [(member.name, member.incarnation, member.draining) for member in self.present()]
        return digest_of(sorted(facts))
