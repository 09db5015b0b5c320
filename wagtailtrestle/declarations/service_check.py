"""Parsing and checks of the section ``services`` of a declaration, including routes."""

from wagtailtrestle.callers.route_match import CHAT_PATH, TEXT_PATH
from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN, Route, Service
from wagtailtrestle.declarations.argument_types import Flag, Integer, Name, Number, OneOf, UrlPath
from wagtailtrestle.declarations.names import NameTable

LANGUAGE_PATHS = (CHAT_PATH, TEXT_PATH)
LANGUAGE_METHOD = "POST"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
# The paths of language services begin with this name, so that a plain service of this name would clash with them.
RESERVED_NAME = "v1"
DEFAULT_PREFILL_WEIGHT = 0.5
MAX_DEADLINE_MS = 86_400_000


def read_services(root, names):
    """Return the services by name; faults are added to the reader's list.

    Parameters
    ----------
    root : MappingReader
        Reader of the complete declaration.
    names : DeclaredNames
    """
    services_by_name = {}
    for reader in root.mappings("services"):
        service = _read_service(reader, names)
        services_by_name[service.name] = service
        reader.close()
    return services_by_name


def _read_service(reader, names):
    name = reader.value("name", Name())
    names.services.declare(reader, "name", name)
    if name == RESERVED_NAME:
        reader.add_fault("name", f"is {name}, with which the paths of language services begin", "another name")
    kind = reader.value("kind", OneOf(words=(LANGUAGE, PLAIN)))
    names.kinds_by_service[name] = kind
    prefill_weight = reader.value("prefill_weight", Number(minimum=0, maximum=1), default=DEFAULT_PREFILL_WEIGHT)
    routes_by_name = _read_routes(reader, names, service=name, kind=kind)
    return Service(name=name, kind=kind, routes_by_name=routes_by_name, prefill_weight=prefill_weight)


def _read_routes(service_reader, names, *, service, kind):
    table = NameTable(kind="route")
    default_tiers = _DefaultRouteTiers(names=names)
    routes = []
    for reader in service_reader.mappings("routes"):
        route = _read_route(reader, names, table=table)
        if kind == LANGUAGE:
            _check_language_route(reader, route)
        if kind == PLAIN and route.path is not None:
            _check_plain_route(reader, route, service=service, earlier_routes=routes)
        default_tiers.check(reader, route)
        routes.append(route)
        reader.close()
    return {route.name: route for route in routes}


class _DefaultRouteTiers:
    """Tier of each team's default route for a method and path, the highest tier that the team can use there.

    The team could never use a later route of a higher tier: its calls would wait behind work
    of lower priority, and a call that names the route is rejected.
    """

    __slots__ = ("_names", "_ranks_by_tier", "_ranks_by_call")

    def __init__(self, *, names):
        self._names = names
        self._ranks_by_tier = {name: rank for rank, name in enumerate(names.tiers.lines_by_name)}
        self._ranks_by_call = {}

    def check(self, reader, route):
        """Record a fault if one of the route's teams can never use it."""
        rank = self._ranks_by_tier.get(route.tier)
        if rank is None:
            return
        ranks_by_team = self._ranks_by_call.setdefault((route.method, route.path), {})
        teams = route.teams or self._names.teams.lines_by_name
        excluded_teams = [team for team in teams if ranks_by_team.setdefault(team, rank) > rank]
        if excluded_teams:
            problem = f"is above that of team {excluded_teams[0]}'s default, an earlier route on the same path"
            reader.add_fault("tier", problem, "routes on one path with the highest tier first, for each team")


def _read_route(reader, names, *, table):
    name = reader.value("name", Name())
    table.declare(reader, "name", name)
    tier = reader.value("tier", Name())
    names.tiers.check_declared(reader, "tier", tier)
    teams = reader.values("teams", Name(), required=False)
    for team, node in teams:
        names.teams.check_declared(reader, "teams", team, node=node)
    route = Route(
        name=name,
        method=reader.value("method", OneOf(words=METHODS)),
        path=reader.value("path", UrlPath()),
        tier=tier,
        deadline_ms=reader.value("deadline_ms", Integer(minimum=1, maximum=MAX_DEADLINE_MS)),
        repeatable=reader.value("repeatable", Flag()),
        at_most_once=reader.value("at_most_once", Flag(), default=False),
        teams=tuple(team for team, _ in teams),
    )
    if route.repeatable and route.at_most_once:
        reader.add_fault("at_most_once", "is true on a repeatable route", "true only beside repeatable: false")
    return route


def _check_language_route(reader, route):
    if route.path is not None and route.path not in LANGUAGE_PATHS:
        reader.add_fault("path", f"is {route.path} on a language service", " or ".join(LANGUAGE_PATHS))
    if route.method is not None and route.method != LANGUAGE_METHOD:
        reader.add_fault("method", f"is {route.method} on a language service", LANGUAGE_METHOD)


def _check_plain_route(reader, route, *, service, earlier_routes):
    if service and _is_under_prefix(route.path, f"/{service}"):
        problem = f"is {route.path}, which repeats the service's name"
        reader.add_fault("path", problem, "the part of the path below the service, for instance /bookings")
    for other in earlier_routes:
        if other.method == route.method and other.path is not None:
            _check_not_shadowed(reader, route, other=other)


def _check_not_shadowed(reader, route, *, other):
    """Reject a route that an earlier one shadows, or whose guarantees differ on the same path.

    The first declared route that matches a call is its default. A call that charges a member, shadowed by an
    earlier repeatable route, would be run again after a failure, and the member would be charged twice.
    """
    if not _is_under_prefix(route.path, other.path):
        return
    if not _is_under_prefix(other.path, route.path):
        reader.add_fault(
            "path", f"is {route.path}, shadowed by the earlier route {other.name}", "the longer path first"
        )
    elif (other.repeatable, other.at_most_once) != (route.repeatable, route.at_most_once):
        problem = f"is that of route {other.name}, whose repeatable or at_most_once differs"
        reader.add_fault("path", problem, "the same repeatable and at_most_once for one method and path")


def _is_under_prefix(path, prefix):
    return f"{path.rstrip('/')}/".startswith(f"{prefix.rstrip('/')}/")
