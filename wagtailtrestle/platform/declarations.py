"""Decodes the operator's configuration in the users' store into a ``Declaration``."""

import hashlib
import json

from loguru import logger

from wagtailtrestle.configuration.applying import Accepted
from wagtailtrestle.contracts.declaration import (
    LANGUAGE,
    PLAIN,
    Declaration,
    HostRoute,
    Service,
    Team,
    Tier,
    TokenQuota,
)
from wagtailtrestle.declarations.yaml_source import Fault
from wagtailtrestle.platform.kinds import DECLARATION_KIND, DECLARATION_NAME

IDEMPOTENT = "idempotent"
STREAMING = "streaming"
TOKENS = "tokens"
ROUTE_RANKS = 16
"""Number of route ranks within each team rank."""


class InvalidConfiguration:
    """A configuration that can't be decoded, with its faults."""

    __slots__ = ("faults",)

    def __init__(self, *, faults):
        self.faults = faults


class PlatformDeclarations:
    """Location of the declaration in the users' store, and its format."""

    kind = DECLARATION_KIND
    name = DECLARATION_NAME
    reads_are_linearizable = True
    """Plain reads of this store are never stale, so no confirming read is needed."""

    def parse_accepted(self, *, version, value):
        """Return the configuration in a stored object, or ``None`` if it is not one."""
        if not isinstance(value, dict) or not isinstance(value.get("version"), int):
            return None
        return Accepted(
            version=version,
            generation=value["version"],
            apply_id="",
            applied_at=0.0,
            text=json.dumps(value, separators=(",", ":")),
            ids_by_generation={},
        )

    def parse(self, text):
        """Decode a configuration's text into a ``Declaration``, or return an ``InvalidConfiguration``."""
        try:
            return read_configuration(json.loads(text))
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            problem = f"{type(error).__name__}: {error}"
            logger.error("a configuration can't be read, the one in force stays: {}", problem)
            fault = Fault(file=f"{self.kind}/{self.name}", line=0, field="", problem=problem, allowed="")
            return InvalidConfiguration(faults=(fault,))


def read_configuration(document):
    """Build a ``Declaration`` without engines from the operator's document.

    Raises
    ------
    KeyError, TypeError, ValueError
        If a required field is missing or has the wrong type.
    """
    routes = tuple(_route(item) for item in document["routes"])
    teams = [_team(item) for item in document.get("tenants") or ()]
    return Declaration(
        organisation="",
        zones_by_region={},
        tiers_by_name={str(rank): Tier(name=str(rank), rank=rank) for rank in _ranks(routes, teams)},
        teams_by_name={team.name: team for team in teams},
        services_by_name={item["name"]: _service(item) for item in document["services"]},
        engines_by_name={},
        ledger_shards=0,
        host_routes=routes,
    )


def tier_of(*, route, team):
    """Return the tier of a team's request: by the team's rank first, then by the route's."""
    if team is None or not team.tier:
        return route.tier
    return str(int(team.tier) * ROUTE_RANKS + int(route.tier))


def _ranks(routes, teams):
    route_ranks = {int(route.tier) for route in routes}
    team_ranks = {int(team.tier) for team in teams if team.tier}
    both = {team * ROUTE_RANKS + route for team in team_ranks for route in route_ranks}
    return sorted(route_ranks | both)


def _route(item):
    is_streaming = item["kind"] == STREAMING
    is_resumable = is_streaming and bool(item.get("resumable"))
    timeout_ms = int(item["timeout_ms"])
    return HostRoute(
        name=item["name"],
        host=item["host"].lower(),
        prefix=item["path_prefix"],
        weight_by_service=_weights(item),
        # A rank on the wire, 0 being the highest; used here as the name of the tier of that rank.
        tier=str(int(item.get("priority", 0))),
        timeout_ms=timeout_ms,
        target_ms=int(item.get("target_latency_ms") or timeout_ms),
        pause_ms=int(item.get("gap_target_ms") or 0) if is_streaming else 0,
        repeatable=item["kind"] == IDEMPOTENT or is_resumable,
        streaming=is_streaming,
        resumable=is_resumable,
        max_runs=max(1, int(item.get("max_attempts") or 1)),
        public=bool(item.get("public")),
    )


def _weights(item):
    split = item.get("traffic_split")
    if split:
        return {part["service"]: float(part["weight"]) for part in split}
    return {item["service"]: 1.0}


def _service(item):
    engine = item.get("engine")
    return Service(
        name=item["name"],
        kind=LANGUAGE if engine else PLAIN,
        routes_by_name={},
        cancellable=True,
        attachable=False,
        preemptable=False,
        passes_errors=True,
        # `stride` is the number of tokens that the engine puts into one event of a stream.
        tokens_per_event=int((engine or {}).get("stride") or 1),
    )


def _team(item):
    rate_per_s = float(item.get("rate_per_s") or 0)
    quota = None
    if rate_per_s:
        quota = TokenQuota(
            rate_per_s=rate_per_s,
            burst=float(item.get("burst") or 0),
            counts_tokens=item.get("unit") == TOKENS,
            tokens_if_unsized=int(item.get("plain_tokens") or 1),
        )
    keys = tuple(hashlib.sha256(key.encode()).hexdigest() for key in item.get("api_keys") or ())
    tier = item.get("priority")
    return Team(name=item["name"], key_sha256=keys, tier="" if tier is None else str(int(tier)), quota=quota)
