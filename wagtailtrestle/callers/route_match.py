"""Matching of requests to declared routes, and the tier in which each is served."""

import re
import zlib

from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN, Declaration, HostRoute, Route, Service, Team, Tier
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal
from wagtailtrestle.record import record

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"
MODELS_PATH = "/v1/models"
LANGUAGE_PATHS = frozenset({CHAT_PATH, TEXT_PATH})
ENCODED_SEPARATOR = re.compile(r"%(2f|5c)", re.IGNORECASE)
FORBIDDEN_IN_PATH = re.compile(r"[\x00-\x1f\x7f\\]")


@record
class RouteMatch:
    """The service and route of a request, and its tier after an optional downgrade."""

    service: Service
    route: Route
    tier: Tier


def may_use(*, route: Route, team: Team) -> bool:
    """Return whether ``team`` may use ``route``."""
    return not route.teams or team.name in route.teams


def services_of(*, declaration: Declaration, team: Team) -> list:
    """Return the language services with at least one route that ``team`` may use, in declared order."""
    found = []
    for service in declaration.services_by_name.values():
        usable = any(may_use(route=route, team=team) for route in service.routes_by_name.values())
        if service.kind == LANGUAGE and usable:
            found.append(service)
    return found


def path_error(path: str) -> str | None:
    """Return why ``path`` is not accepted, or ``None``.

    An engine may resolve ``slots/../charge`` or an encoded separator to another call than the one
    matched here, and execute a call that must not be repeated under a route that may be repeated.
    Such paths are always refused; no client library generates them by itself.
    """
    if ENCODED_SEPARATOR.search(path) or FORBIDDEN_IN_PATH.search(path):
        return "The path holds a coded separator or a control character."
    segments = path.split("/")[1:]
    if any(segment in (".", "..") for segment in segments):
        return "The path holds a '.' or '..' segment."
    if any(segment == "" for segment in segments[:-1]):
        return "The path holds an empty segment."
    return None


def match_language(*, declaration, team, path, model, route_name, tier_name) -> RouteMatch | Refusal:
    """Match a completion by its path and the service named in ``model``."""
    service = declaration.services_by_name.get(model)
    if service is None or service.kind != LANGUAGE:
        return _no_route(f"No language service is called {model[:64]!r}.")
    routes = [r for r in service.routes_by_name.values() if r.path == path and r.method == "POST"]
    return _choose_route(
        declaration=declaration,
        team=team,
        service=service,
        routes=routes,
        route_name=route_name,
        tier_name=tier_name,
    )


def match_plain(*, declaration, team, method, path, route_name, tier_name) -> RouteMatch | Refusal:
    """Match a plain service's call by ``/{service}/…`` and the declared prefixes."""
    error = path_error(path)
    if error is not None:
        return _bad_request(error)
    name, _, rest = path.lstrip("/").partition("/")
    service = declaration.services_by_name.get(name)
    if service is None or service.kind != PLAIN:
        return _no_route("No service is reached by this path.")
    on_path = [r for r in service.routes_by_name.values() if _has_prefix(rest=rest, prefix=r.path)]
    routes = [r for r in on_path if r.method == method]
    if on_path and not routes:
        return method_not_allowed([route.method for route in on_path])
    return _choose_route(
        declaration=declaration,
        team=team,
        service=service,
        routes=routes,
        route_name=route_name,
        tier_name=tier_name,
    )


class HostRouteIndex:
    """Routes of one declaration by host, the longest path prefix first.

    Parameters
    ----------
    routes : sequence of HostRoute
    """

    __slots__ = ("_routes_by_host",)

    def __init__(self, *, routes):
        self._routes_by_host = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find(self, *, host, path):
        """Return the route of a request, or ``None``; ``host`` may include a port."""
        name = host.strip().lower().partition(":")[0]
        for route in self._routes_by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


def choose_service(*, route: HostRoute, request_id: str) -> str:
    """Choose a service by the route's weights; the choice is deterministic for a request id."""
    if len(route.weight_by_service) == 1:
        return next(iter(route.weight_by_service))
    total = sum(route.weight_by_service.values())
    point = zlib.crc32(request_id.encode()) / 2**32 * total
    for service, weight in route.weight_by_service.items():
        point -= weight
        if point < 0:
            return service
    return next(iter(route.weight_by_service))


def method_not_allowed(methods: list) -> Refusal:
    """Return a 405 that lists the allowed methods."""
    allowed = ", ".join(sorted(set(methods)))
    return Refusal(
        status=405, reason=Reason.NO_ROUTE, executed=Executed.NO, detail=f"Allowed methods on this path: {allowed}."
    )


def _has_prefix(*, rest, prefix):
    prefix = prefix.strip("/")
    return prefix == "" or rest == prefix or rest.startswith(prefix + "/")


def _choose_route(*, declaration, team, service, routes, route_name, tier_name):
    if not routes:
        return _no_route(f"Service {service.name!r} declares no route for this method and path.")
    usable = [route for route in routes if may_use(route=route, team=team)]
    if not usable:
        return _forbidden(f"Team {team.name!r} may not use this path of {service.name!r}.")
    default = usable[0]
    route = default if not route_name else next((r for r in usable if r.name == route_name), None)
    if route is None:
        return _forbidden(f"No route {route_name[:64]!r} on this path for team {team.name!r}.")
    ceiling = declaration.tiers_by_name[default.tier]
    tier = declaration.tiers_by_name[route.tier]
    if tier.rank < ceiling.rank:
        return _forbidden(f"Route {route.name!r} is of a higher tier than {default.name!r}, the team's own here.")
    return _lower_tier(declaration=declaration, service=service, route=route, tier=tier, tier_name=tier_name)


def _lower_tier(*, declaration, service, route, tier, tier_name):
    if not tier_name:
        return RouteMatch(service=service, route=route, tier=tier)
    requested = declaration.tiers_by_name.get(tier_name)
    if requested is None:
        return _bad_request(f"No tier is called {tier_name[:64]!r}.")
    if requested.rank < tier.rank:
        return _forbidden("A caller may lower its tier, never raise it.")
    return RouteMatch(service=service, route=route, tier=requested)


def _bad_request(detail):
    return Refusal(status=400, reason=Reason.BAD_REQUEST, executed=Executed.NO, detail=detail)


def _forbidden(detail):
    return Refusal(status=403, reason=Reason.FORBIDDEN, executed=Executed.NO, detail=detail)


def _no_route(detail):
    return Refusal(status=404, reason=Reason.NO_ROUTE, executed=Executed.NO, detail=detail)
