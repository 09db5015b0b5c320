"""YAML text to a :class:`Declaration`, or every fault in it at once.

Each section is read on its own and names are resolved afterwards, so that one
fault never hides another. Nothing here raises, whatever the text.
"""

from dataclasses import dataclass

import yaml

from wagtailtrestle.argument_types import Flag, HostPort, Integer, Name, Number, OneOf, Sha256, UrlPath
from wagtailtrestle.declaration import (
    LANGUAGE,
    PLAIN,
    Declaration,
    DeclaredEngine,
    Route,
    Service,
    Team,
    Tier,
)
from wagtailtrestle.yaml_source import Fault, FaultList, compose, open_mapping, read_scalar

FORMAT = 1
LANGUAGE_PATHS = ("/v1/chat/completions", "/v1/completions")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
RESERVED_SERVICE = "v1"
DAY_MS = 86_400_000
WEEK_S = 604_800
PLAIN_STEP_MS = 10.0
PLAIN_PREFILL_TOKENS_PER_S = 4000.0


@dataclass(slots=True, frozen=True, kw_only=True)
class DeclarationFaults:
    """Everything wrong with a declaration; none of it is applied."""

    faults: tuple[Fault, ...]


def parse_declaration(text, *, file="declaration"):
    """Check a declaration and build it.

    Parameters
    ----------
    text : str or bytes
        At most 1 MB of YAML.
    file : str
        Name of the file, for the faults.

    Returns
    -------
    Declaration or DeclarationFaults
    """
    faults = FaultList(file=file)
    node = compose(text, faults=faults)
    root = open_mapping(node, field="", faults=faults) if node is not None else None
    if root is None:
        return DeclarationFaults(faults=faults.in_order())
    declaration = _DeclarationReader(root=root, faults=faults).read()
    if faults.faults:
        return DeclarationFaults(faults=faults.in_order())
    return declaration


class _Names:
    """Names declared in one section, to find duplicates and dangling references."""

    __slots__ = ("kind", "lines_by_name")

    def __init__(self, *, kind):
        self.kind = kind
        self.lines_by_name = {}

    def declare(self, name, *, node, field, faults):
        """Take a name; ``False`` with a fault if it is taken already."""
        if name in self.lines_by_name:
            problem = f"is the {self.kind} {name} again, as on line {self.lines_by_name[name]}"
            faults.add(node=node, field=field, problem=problem, allowed=f"each {self.kind} once")
            return False
        self.lines_by_name[name] = node.start_mark.line + 1
        return True

    def refer(self, name, *, node, field, faults):
        """Record a fault if nobody declared ``name``."""
        if name is None or name in self.lines_by_name:
            return
        faults.add(
            node=node, field=field, problem=f"is {name}, which is not declared", allowed=f"a declared {self.kind}"
        )


class _DeclarationReader:
    """Reads the sections of one declaration, in the order in which they refer to each other."""

    def __init__(self, *, root, faults):
        self.root = root
        self.faults = faults
        self.zones = _Names(kind="zone")
        self.regions = _Names(kind="region")
        self.tiers = _Names(kind="tier")
        self.teams = _Names(kind="team")
        self.services = _Names(kind="service")
        self.engines = _Names(kind="engine")
        self.addresses = _Names(kind="address")
        self.keys = _Names(kind="key")
        self.kinds_by_service = {}
        self.services_by_cell = {}
        self.services_with_engines = set()

    def read(self):
        """Return the declaration; meaningless if any fault was recorded."""
        root = self.root
        root.value("format", Integer(least=FORMAT, most=FORMAT))
        organisation = root.value("organisation", Name())
        zones_by_region = self._read_regions()
        tiers_by_name = self._read_tiers()
        teams_by_name = self._read_teams()
        services_by_name = self._read_services()
        engines_by_name = self._read_engines()
        self._check_services_have_engines()
        ledger = self._read_ledger()
        root.close()
        return Declaration(
            organisation=organisation,
            zones_by_region=zones_by_region,
            tiers_by_name=tiers_by_name,
            teams_by_name=teams_by_name,
            services_by_name=services_by_name,
            engines_by_name=engines_by_name,
            **ledger,
        )

    def _read_regions(self):
        section = self.root.mapping("regions")
        zones_by_region = {}
        if section is None:
            return zones_by_region
        for key, _ in section.keys():
            name = read_scalar(key, Name(), field="regions", faults=self.faults)
            zones = []
            for zone, node in section.values(key.value, Name()):
                if self.zones.declare(zone, node=node, field=section.path(key.value), faults=self.faults):
                    zones.append(zone)
            zones_by_region[name] = tuple(zones)
        if not self.zones.lines_by_name:
            self.faults.add(node=section.node, field="regions", problem="declares no zone", allowed="at least one zone")
        return zones_by_region

    def _read_tiers(self):
        tiers_by_name = {}
        for name, node in self.root.values("tiers", Name()):
            if self.tiers.declare(name, node=node, field="tiers", faults=self.faults):
                tiers_by_name[name] = Tier(name=name, rank=len(tiers_by_name))
        self._need_some("tiers")
        return tiers_by_name

    def _read_teams(self):
        teams_by_name = {}
        for reader in self.root.mappings("teams"):
            name = self._declared_name(reader, self.teams)
            keys = self._read_keys(reader)
            share = reader.value("share", Number(least=0.001, most=1000), default=1.0)
            reader.close()
            teams_by_name[name] = Team(name=name, key_sha256=keys, share=share)
        self._need_some("teams")
        return teams_by_name

    def _read_keys(self, reader):
        field = reader.path("key_sha256")
        keys = []
        for key, node in reader.values("key_sha256", Sha256()):
            if key in self.keys.lines_by_name:
                # One key for two teams would leave it open whose share and routes a call gets.
                problem = f"has a key that stands on line {self.keys.lines_by_name[key]} too"
                self.faults.add(node=node, field=field, problem=problem, allowed="each key for one team, once")
                continue
            self.keys.lines_by_name[key] = node.start_mark.line + 1
            keys.append(key)
        node = reader.get("key_sha256", required=False)
        if isinstance(node, yaml.SequenceNode) and not node.value:
            self.faults.add(node=node, field=field, problem="names no key", allowed="at least one key")
        return tuple(keys)

    def _read_services(self):
        services_by_name = {}
        for reader in self.root.mappings("services"):
            name = self._declared_name(reader, self.services)
            if name == RESERVED_SERVICE:
                self.faults.add(
                    node=reader.get("name"),
                    field=reader.path("name"),
                    problem=f"is {name}, which the paths of language services begin with",
                    allowed="another name",
                )
            kind = reader.value("kind", OneOf(words=(LANGUAGE, PLAIN)))
            self.kinds_by_service[name] = kind
            services_by_name[name] = Service(
                name=name,
                kind=kind,
                routes_by_name=self._read_routes(reader, service=name, kind=kind),
                prefill_weight=reader.value("prefill_weight", Number(least=0, most=1), default=0.5),
            )
            reader.close()
        self._need_some("services")
        return services_by_name

    def _read_routes(self, service_reader, *, service, kind):
        names = _Names(kind="route")
        routes_by_name = {}
        for reader in service_reader.mappings("routes"):
            route = self._read_route(reader, names=names)
            self._check_route_path(reader, route, service=service, kind=kind)
            if kind == PLAIN and route.path is not None:
                self._check_not_hidden(reader, route, earlier=routes_by_name.values())
            routes_by_name[route.name] = route
        self._need_some("routes", reader=service_reader)
        return routes_by_name

    def _read_route(self, reader, *, names):
        tier = reader.value("tier", Name())
        self.tiers.refer(tier, node=reader.get("tier"), field=reader.path("tier"), faults=self.faults)
        teams = reader.values("teams", Name(), required=False)
        for team, node in teams:
            self.teams.refer(team, node=node, field=reader.path("teams"), faults=self.faults)
        route = Route(
            name=self._declared_name(reader, names),
            method=reader.value("method", OneOf(words=METHODS)),
            path=reader.value("path", UrlPath()),
            tier=tier,
            deadline_ms=reader.value("deadline_ms", Integer(least=1, most=DAY_MS)),
            repeatable=reader.value("repeatable", Flag()),
            at_most_once=reader.value("at_most_once", Flag(), default=False),
            teams=tuple(team for team, _ in teams),
        )
        if route.repeatable and route.at_most_once:
            self.faults.add(
                node=reader.get("at_most_once"),
                field=reader.path("at_most_once"),
                problem="is true on a repeatable route",
                allowed="at_most_once: true only with repeatable: false",
            )
        reader.close()
        return route

    def _check_route_path(self, reader, route, *, service, kind):
        if kind == LANGUAGE:
            if route.path is not None and route.path not in LANGUAGE_PATHS:
                self._route_fault(reader, "path", f"is {route.path} on a language service", " or ".join(LANGUAGE_PATHS))
            if route.method is not None and route.method != "POST":
                self._route_fault(reader, "method", f"is {route.method} on a language service", "POST")
        if kind == PLAIN and route.path is not None and service and f"{route.path}/".startswith(f"/{service}/"):
            problem = f"is {route.path}, which names the service again"
            self._route_fault(reader, "path", problem, "the part of the path below the service, for instance /bookings")

    def _check_not_hidden(self, reader, route, *, earlier):
        """Refuse a route that an earlier one answers for, or contradicts.

        The first declared route that fits a call is its default. A call that charges, hidden by a
        repeatable route above it, would be run again after a failure: the member pays twice.
        """
        for other in earlier:
            if other.method != route.method or other.path is None:
                continue
            same = other.path.rstrip("/") == route.path.rstrip("/")
            if not same and f"{route.path}/".startswith(other.path.rstrip("/") + "/"):
                problem = f"is {route.path}, hidden by route {other.name} above it"
                self._route_fault(reader, "path", problem, "the longer path before the shorter")
            elif same and (other.repeatable, other.at_most_once) != (route.repeatable, route.at_most_once):
                problem = f"is {route.path}, where route {other.name} promises something else about repeats"
                self._route_fault(reader, "path", problem, "one promise on one method and path")

    def _route_fault(self, reader, name, problem, allowed):
        self.faults.add(node=reader.get(name), field=reader.path(name), problem=problem, allowed=allowed)

    def _read_engines(self):
        engines_by_name = {}
        for reader in self.root.mappings("engines"):
            engine = self._read_engine(reader)
            engines_by_name[engine.name] = engine
            self.services_with_engines.add(engine.service)
        self._need_some("engines")
        return engines_by_name

    def _read_engine(self, reader):
        service = reader.value("service", Name())
        self.services.refer(service, node=reader.get("service"), field=reader.path("service"), faults=self.faults)
        zone = reader.value("zone", Name())
        self.zones.refer(zone, node=reader.get("zone"), field=reader.path("zone"), faults=self.faults)
        address = reader.value("address", HostPort())
        if address is not None:
            node = reader.get("address")
            self.addresses.declare(address, node=node, field=reader.path("address"), faults=self.faults)
        plain = self.kinds_by_service.get(service) == PLAIN
        prior = Number(least=0.001, most=10_000_000)
        engine = DeclaredEngine(
            name=self._declared_name(reader, self.engines),
            service=service,
            cell=self._read_cell(reader, service=service),
            zone=zone,
            hardware=reader.value("hardware", Name()),
            address=address,
            slots=reader.value("slots", Integer(least=1, most=100_000)),
            step_ms=reader.value("step_ms", prior, **({"default": PLAIN_STEP_MS} if plain else {})),
            prefill_tokens_per_s=reader.value(
                "prefill_tokens_per_s", prior, **({"default": PLAIN_PREFILL_TOKENS_PER_S} if plain else {})
            ),
            checks_fencing=reader.value("checks_fencing", Flag(), default=False),
            leaving=reader.value("leaving", Flag(), default=False),
        )
        reader.close()
        return engine

    def _read_cell(self, reader, *, service):
        cell = reader.value("cell", Name(), default=service)
        owner = self.services_by_cell.setdefault(cell, service)
        if cell is not None and service is not None and owner != service:
            self.faults.add(
                node=reader.get("cell", required=False) or reader.node,
                field=reader.path("cell"),
                problem=f"is {cell}, which holds engines of {owner}",
                allowed="a cell with engines of one service only",
            )
        return cell

    def _check_services_have_engines(self):
        for name, line in self.services.lines_by_name.items():
            if name not in self.services_with_engines:
                self.faults.add_at(
                    line=line, field=f"services[{name}]", problem="has no engine", allowed="at least one engine"
                )

    def _read_ledger(self):
        reader = self.root.mapping("ledger", required=False)
        if reader is None:
            return {}
        ledger = {
            "ledger_shards": reader.value("shards", Integer(least=1, most=4096), default=16),
            "ledger_retention_s": reader.value("retention_s", Number(least=1, most=WEEK_S), default=3600.0),
        }
        reader.close()
        return ledger

    def _declared_name(self, reader, names):
        name = reader.value("name", Name())
        if name is not None:
            names.declare(name, node=reader.get("name"), field=reader.path("name"), faults=self.faults)
        return name

    def _need_some(self, section, *, reader=None):
        reader = reader or self.root
        node = reader.get(section, required=False)
        if isinstance(node, yaml.SequenceNode) and not node.value:
            self.faults.add(node=node, field=reader.path(section), problem="is empty", allowed="at least one")
