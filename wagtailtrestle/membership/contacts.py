"""Known router addresses, from seeds, the platform's list and peers, and contact with routers outside the view."""

INITIAL_CONTACTS = 8
# Longer than a partition between regions lasts, so that both sides still retry when the link is restored.
REMOVE_AFTER_S = 7200.0
ROUTER_ROLE = "router"


class Contacts:
    """Addresses of all known routers.

    Parameters
    ----------
    table : MemberTable
    peers : Peers
    loop : asyncio event loop
    jitter : random.Random
    seeds : dict of str to str
        Addresses from the settings, by router name.
    """

    __slots__ = ("_addresses_by_name", "_jitter", "_leaving", "_listed", "_loop", "_peers", "_seeds", "_table")

    def __init__(self, *, table, peers, loop, jitter, seeds):
        self._table = table
        self._peers = peers
        self._loop = loop
        self._jitter = jitter
        self._seeds = {name: address for name, address in seeds.items() if name != table.own.name}
        self._addresses_by_name = dict(self._seeds)
        self._listed = None
        self._leaving = frozenset()

    @property
    def listed(self):
        """Names of the other routers on the platform's list as last read."""
        return self._listed or frozenset()

    def start(self):
        """Contact a few of the seeds."""
        self._peers.set_addresses(self._addresses_by_name)
        self.contact_absent(INITIAL_CONTACTS)

    def observe(self, vms):
        """Apply the platform's list of VMs."""
        routers = [vm for vm in vms if vm.role == ROUTER_ROLE]
        self._leaving = frozenset(vm.id for vm in routers if vm.leaving)
        addresses = {vm.id: vm.address for vm in routers if vm.id != self._table.own.name}
        self._listed = frozenset(addresses)
        new = sorted(self._listed - set(self._addresses_by_name))
        absent = {name: address for name, address in addresses.items() if self._is_absent(name)}
        self._addresses_by_name.update(absent)
        self._peers.set_addresses(absent)
        self._drop_unlisted()
        for name in new[:INITIAL_CONTACTS]:
            self._contact(name)

    def update_address(self, name, address):
        """Set the address that a router reported for itself; it takes precedence over the platform's lagging list."""
        if address:
            self._addresses_by_name[name] = address
            self._peers.set_addresses({name: address})

    def mark_leaving(self):
        """Mark the members that the platform's list shows as leaving."""
        for member in self._table.by_name.values():
            member.listed_leaving = member.name in self._leaving

    def contact_absent(self, count):
        """Contact a few known routers outside the view: they may have restarted, or a partition may have healed."""
        absent = [name for name in sorted(self._addresses_by_name) if self._is_absent(name)]
        for name in self._jitter.sample(absent, min(count, len(absent))):
            self._contact(name)

    def remove_expired(self):
        """Remove routers that are off the platform's list and have been absent for ``REMOVE_AFTER_S``."""
        now = self._loop.time()
        for name, member in list(self._table.by_name.items()):
            is_listed = self._listed is not None and name in self._listed
            if not member.present and not is_listed and now - member.state_since > REMOVE_AFTER_S:
                del self._table.by_name[name]
                self._addresses_by_name.pop(name, None)
                self._peers.remove(name)

    def dump(self):
        """State for the state dump."""
        return {
            "listed": None if self._listed is None else sorted(self._listed),
            "listed_leaving": sorted(self._leaving),
            "addresses_by_name": dict(sorted(self._addresses_by_name.items())),
        }

    def _drop_unlisted(self):
        known = self._listed | set(self._seeds) | set(self._table.by_name)
        for name in set(self._addresses_by_name) - known:
            del self._addresses_by_name[name]
            self._peers.remove(name)

    def _is_absent(self, name):
        member = self._table.by_name.get(name)
        return member is None or not member.present

    def _contact(self, name):
        self._peers.send(name, self._table.own.event())
