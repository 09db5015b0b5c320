"""Parsing and checks of the section ``engines`` of a declaration."""

from wagtailtrestle.contracts.declaration import PLAIN, DeclaredEngine
from wagtailtrestle.declarations.argument_types import Flag, HostPort, Integer, Name, Number
from wagtailtrestle.declarations.field_reader import REQUIRED
from wagtailtrestle.declarations.names import NameTable

MAX_SLOTS = 100_000
MAX_STEP_MS = 600_000
MAX_PREFILL_TOKENS_PER_S = 100_000_000
# Priors for engines of plain services, whose calls have no decode steps; measurements replace them.
PLAIN_STEP_MS = 10.0
PLAIN_PREFILL_TOKENS_PER_S = 4000.0


def read_engines(root, names):
    """Return the engines by name; faults are added to the reader's list.

    Parameters
    ----------
    root : MappingReader
        Reader of the complete declaration.
    names : DeclaredNames
        Must already contain the declared zones and services.
    """
    section = _EngineSection(names=names)
    engines_by_name = {}
    for reader in root.mappings("engines"):
        engine = section.read(reader)
        engines_by_name[engine.name] = engine
        reader.close()
    section.check_services_served(root)
    return engines_by_name


class _EngineSection:
    """Reads engines one by one and checks that names and addresses are unique and cells hold one service."""

    __slots__ = ("names", "engines", "addresses", "services_by_cell", "served_services")

    def __init__(self, *, names):
        self.names = names
        self.engines = NameTable(kind="engine")
        self.addresses = NameTable(kind="address")
        self.services_by_cell = {}
        self.served_services = set()

    def read(self, reader):
        """Parse one engine."""
        name = reader.value("name", Name())
        self.engines.declare(reader, "name", name)
        service = reader.value("service", Name())
        self.names.services.check_declared(reader, "service", service)
        self.served_services.add(service)
        zone = reader.value("zone", Name())
        self.names.zones.check_declared(reader, "zone", zone)
        address = reader.value("address", HostPort())
        self.addresses.declare(reader, "address", address)
        step_ms, prefill_tokens_per_s = self._read_speed(reader, service=service)
        return DeclaredEngine(
            name=name,
            service=service,
            cell=self._read_cell(reader, service=service),
            zone=zone,
            hardware=reader.value("hardware", Name()),
            address=address,
            slots=reader.value("slots", Integer(minimum=1, maximum=MAX_SLOTS)),
            step_ms=step_ms,
            prefill_tokens_per_s=prefill_tokens_per_s,
            checks_fencing=reader.value("checks_fencing", Flag(), default=False),
            leaving=reader.value("leaving", Flag(), default=False),
        )

    def check_services_served(self, root):
        """Record a fault for each service without engines."""
        for name, line in self.names.services.lines_by_name.items():
            if name not in self.served_services:
                root.faults.add(
                    line=line, field=f"services[{name}]", problem="has no engine", allowed="at least one engine"
                )

    def _read_speed(self, reader, *, service):
        plain = self.names.kinds_by_service.get(service) == PLAIN
        step_ms = reader.value(
            "step_ms", Number(minimum=0.001, maximum=MAX_STEP_MS), default=PLAIN_STEP_MS if plain else REQUIRED
        )
        prefill_tokens_per_s = reader.value(
            "prefill_tokens_per_s",
            Number(minimum=1, maximum=MAX_PREFILL_TOKENS_PER_S),
            default=PLAIN_PREFILL_TOKENS_PER_S if plain else REQUIRED,
        )
        return step_ms, prefill_tokens_per_s

    def _read_cell(self, reader, *, service):
        """Return the engine's cell.

        A cell's scheduler decides admission from one queue: with two services in a cell, requests would be
        sent to engines of the other service.
        """
        cell = reader.value("cell", Name(), default=service)
        if cell is None or service is None:
            return cell
        cell_service = self.services_by_cell.setdefault(cell, service)
        if cell_service != service:
            reader.add_fault(
                "cell",
                f"is {cell}, which already contains engines of {cell_service}",
                "a cell with engines of one service",
            )
        return cell
