"""Table of all members known to one router, and how events about them are applied."""

from wagtailtrestle.contracts.peer_messages import MemberState
from wagtailtrestle.membership.member import RANKS_BY_STATE, Member, event_key
from wagtailtrestle.membership.view import View, digest_of

# Long enough for a death to have been reported to every reachable router.
REVIVE_AFTER_S = 10.0


class MemberTable:
    """Members by name, including this router's own record.

    Parameters
    ----------
    name, zone : str
    incarnation : int
    now : float
        Loop time, seconds.
    cores : float
        Processor capacity of this router; 0 if unknown.
    """

    __slots__ = ("by_name", "own")

    def __init__(self, *, name, zone, incarnation, now, cores=0.0):
        self.own = Member(name=name, now=now)
        self.own.zone = zone
        self.own.restart(incarnation, now)
        self.own.cores = cores
        self.by_name = {name: self.own}

    def get_or_add(self, name, now):
        """Record of a router, created if missing."""
        member = self.by_name.get(name)
        if member is None:
            member = self.by_name[name] = Member(name=name, now=now)
        return member

    def present(self):
        """Records of the routers in the view."""
        return [member for member in self.by_name.values() if member.present]

    def apply(self, event, now):
        """Apply an event about another router. Return ``True`` if it changed anything."""
        member = self.by_name.get(event.name)
        if member is None:
            if event.state in (MemberState.DEAD, MemberState.LEFT):
                return False
            member = self.get_or_add(event.name, now)
        if event_key(event) <= member.key():
            return event.incarnation == member.incarnation and member.learn_cores(event.cores)
        if event.incarnation > member.incarnation:
            member.restart(event.incarnation, now)
        elif event.version > member.version:
            # Only the router itself raises its version, so it has been alive since the last suspicion.
            member.set_state(MemberState.ALIVE, now)
        member.zone = event.zone or member.zone
        member.address = event.address or member.address
        member.learn_cores(event.cores)
        member.version = event.version
        member.draining = event.draining
        self._apply_state(member, event.state, now)
        return True

    def _apply_state(self, member, state, now):
        if state is not MemberState.DEAD:
            member.set_state(state, now)
            return
        # A report from another router that a member is dead counts only as a suspicion: after a partition heals
        # both sides report each other dead, and applying that immediately would empty every view. Routers that
        # are alive refute it.
        if member.state is MemberState.ALIVE:
            member.set_state(MemberState.SUSPECT, now)
        if member.state is MemberState.SUSPECT:
            member.reported_dead = True

    def merge(self, events, now, *, trust_peer):
        """Merge a peer's complete view.

        Parameters
        ----------
        events : iterable of ViewEvent
        now : float
        trust_peer : bool
            Whether the peer's view takes precedence, as this router has just started or was paused.

        Returns
        -------
        applied : list of ViewEvent
            Events that were new to this table, except for revived members and deaths accepted by ``trust_peer``.
        disputed : list of str
            Routers that the peer reports dead and this router considers alive.
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
        # After a partition each side considers the other's routers dead. A single router that returns refutes
        # that itself; this lets a whole side return without each of its routers notifying all others.
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
        """Refute an event about this router itself. Return ``False`` if there is nothing to refute."""
        own = self.own
        if event.incarnation != own.incarnation or event.version < own.version or not RANKS_BY_STATE[event.state]:
            return False
        if event.state is MemberState.DEAD:
            # The other routers removed it from their views and put it into hold-down; it applies the same to itself.
            own.set_state(MemberState.DEAD, now)
            own.set_state(MemberState.ALIVE, now)
        own.version = event.version + 1
        return True

    def view(self, now):
        """View derived from the records."""
        present = self.present()
        return View(
            members=[member.name for member in present if member.eligible(now)],
            draining=[member.name for member in present if not member.eligible(now)],
            incarnations_by_name={member.name: member.incarnation for member in present},
            cores_by_name={member.name: member.cores for member in present if member.cores},
        )

    def next_hold_down_end(self, now):
        """Time at which the next hold-down ends, or ``None``."""
        ends = [
            member.hold_down_until
            for member in self.by_name.values()
            if member.present and member.hold_down_until > now
        ]
        return min(ends, default=None)

    def digest(self):
        """Digest of the present members, equal on routers that agree on them. Hold-downs are not part of it."""
        present = self.present()
        facts = [(member.name, member.incarnation, member.draining) for member in present]
        cores = sorted((member.name, member.cores) for member in present if member.cores)
        # Without capacities the digest equals that of earlier versions, whose views would be pulled otherwise.
        return digest_of(sorted(facts), cores) if cores else digest_of(sorted(facts))
