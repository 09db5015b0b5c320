"""The platform's lagging list of live and leaving VMs, polled and kept through outages."""


class VM:
    """One VM on the platform's list.

    Parameters
    ----------
    id : str
    role : str
        ``router`` or ``engine``.
    zone : str
    address : str
        ``host:port`` of the peers' listener (router) or of the engine.
    admin : str
        URL of the admin HTTP, empty where there is none.
    leaving : bool
    """

    __slots__ = ("id", "role", "zone", "address", "admin", "leaving")

    def __init__(self, *, id, role, zone, address, admin, leaving):
        self.id = id
        self.role = role
        self.zone = zone
        self.address = address
        self.admin = admin
        self.leaving = leaving

    def __eq__(self, other):
        return isinstance(other, VM) and self._fields() == other._fields()

    def __hash__(self):
        return hash(self._fields())

    def __repr__(self):
        return f"VM(id={self.id!r}, role={self.role!r}, address={self.address!r}, leaving={self.leaving})"

    def _fields(self):
        return tuple(getattr(self, name) for name in self.__slots__)


def vm_from_json(item):
    """Build a VM from one entry of the platform's answer."""
    return VM(
        id=item["id"],
        role=item["role"],
        zone=item.get("zone", ""),
        address=item["address"],
        admin=item.get("admin", ""),
        leaving=item.get("state") == "leaving",
    )
