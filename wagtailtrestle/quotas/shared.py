"""One router's part in quotas shared by all routers: its accounts, and the buckets that it owns."""

from loguru import logger

from wagtailtrestle.capacity.features import all_off
from wagtailtrestle.contracts.quota_messages import QuotaAsk, QuotaGrant
from wagtailtrestle.peers.placement import Placement
from wagtailtrestle.quotas.accounts import QuotaAccounts
from wagtailtrestle.quotas.owner import QuotaOwner


class SharedQuotas:
    """Connects this router's accounts with the owners of the teams' buckets, here and at peers.

    Parameters
    ----------
    name : str
        This router.
    peers : Peers
    membership : Membership
    loop : asyncio.AbstractEventLoop
    tolerance : callable
        Returns the present ``Tolerance``.
    features : callable, optional
        Returns the ``Features`` in force.

    Attributes
    ----------
    accounts : QuotaAccounts
        Accounts to which requests are charged.
    """

    __slots__ = ("accounts", "_name", "_peers", "_membership", "_loop", "_owner", "_placement", "_is_by_capacity")

    def __init__(self, *, name, peers, membership, loop, tolerance, features=all_off):
        self._name = name
        self._peers = peers
        self._membership = membership
        self._loop = loop
        self._placement = Placement(membership=membership, features=features)
        self._is_by_capacity = False
        self._owner = QuotaOwner(
            clock=loop.time, members=self._count_members, fleet_size=membership.fleet_size, tolerance=tolerance
        )
        self.accounts = QuotaAccounts(
            clock=loop.time,
            call_soon=loop.call_soon_threadsafe,
            send_ask=self._send_ask,
            members=self._count_members,
        )
        membership.on_view_change(lambda view: self._owner.drop_unowned(self._is_owner))
        membership.on_trusted(self._on_trusted_again)
        peers.on(QuotaAsk, self._on_request)
        peers.on(QuotaGrant, lambda peer, grant, cell: self.accounts.on_grant(grant))

    def set_declaration(self, declaration):
        """Apply the quotas of a declaration, and the features that it switched on or off."""
        quotas = {team.name: team.quota for team in declaration.teams_by_name.values() if team.quota is not None}
        for team, quota in sorted(quotas.items()):
            logger.bind(team=team, rate_per_s=quota.rate_per_s, burst=quota.burst).info("quota in force")
        if self._placement.by_capacity != self._is_by_capacity:
            self._is_by_capacity = self._placement.by_capacity
            # Most owners change, and the new ones don't know what the former ones granted.
            self._owner.mark_all_owned_elsewhere()
        self._owner.set_quotas(quotas)
        self.accounts.set_quotas(quotas)

    def tick(self):
        """Request the credits that will soon be needed from their owners."""
        self.accounts.tick()

    def dump(self):
        """Return the state as a plain dict."""
        return self.accounts.dump()

    def _count_members(self):
        return len(self._membership.view.all_members)

    def _on_request(self, peer, request, cell):
        self._peers.send(peer, self._owner.grant(request))

    def _owner_of(self, team):
        return self._placement.choose(f"quota/{team}")

    def _is_owner(self, team):
        return self._owner_of(team) == self._name

    def _on_trusted_again(self):
        # This process was paused and other routers may have owned its teams meanwhile, while its own
        # buckets would refill for the whole time.
        self._owner.drop_unowned(lambda team: False)

    def _send_ask(self, request):
        """Send a request to the team's owner; returns whether it could be sent."""
        owner = self._owner_of(request.team)
        if owner == self._name:
            self._loop.call_soon(lambda: self.accounts.on_grant(self._owner.grant(request)))
            return True
        self._owner.mark_owned_elsewhere(request.team)
        return owner is not None and self._peers.send(owner, request)
