"""Declared data: tiers, teams, services, routes and engines of one deployment.

Instances are built by :mod:`wagtailtrestle.declarations.check` from a YAML file
that passed every check; nothing here validates.
"""

LANGUAGE = "language"
PLAIN = "plain"


class Tier:
    """One level of the order in which callers are served; rank 0 is the highest."""

    __slots__ = ("name", "rank")

    def __init__(self, *, name, rank):
        self.name = name
        self.rank = rank


class Team:
    """A group of callers that share keys and a share of capacity within a tier.

    Parameters
    ----------
    name : str
    key_sha256 : tuple of str
        Hex digests of the bearer keys that name this team.
    share : float
        Weight against other teams of the same tier.
    """

    __slots__ = ("name", "key_sha256", "share")

    def __init__(self, *, name, key_sha256, share=1.0):
        self.name = name
        self.key_sha256 = key_sha256
        self.share = share


class Route:
    """One kind of request to a service, with the promises that hold for it.

    Parameters
    ----------
    name : str
    method : str
        HTTP method, upper case.
    path : str
        For a language service one of the two completion paths; for a plain
        service a prefix below ``/{service}/``.
    tier : str
    deadline_ms : int
        Default time for the whole answer.
    repeatable : bool
        Whether a run may be cancelled and run again; ``False`` means at most
        one dispatch for ever.
    at_most_once : bool
        Whether re-sends with the same ``Idempotency-Key`` are recognised through the
        ledger; only with ``repeatable`` false.
    teams : tuple of str
        Teams that may use the route; empty means every team.
    """

    __slots__ = ("name", "method", "path", "tier", "deadline_ms", "repeatable", "at_most_once", "teams")

    def __init__(self, *, name, method, path, tier, deadline_ms, repeatable, at_most_once=False, teams=()):
        self.name = name
        self.method = method
        self.path = path
        self.tier = tier
        self.deadline_ms = deadline_ms
        self.repeatable = repeatable
        self.at_most_once = at_most_once
        self.teams = teams


class Service:
    """What callers reach: a kind, its routes, and how its capacity is weighed.

    Parameters
    ----------
    name : str
    kind : {"language", "plain"}
    routes_by_name : dict of str to Route
        In declared order.
    prefill_weight : float
        From 0 (only goodput by tier counts) to 1 (only wasted prefill counts).
    """

    __slots__ = ("name", "kind", "routes_by_name", "prefill_weight")

    def __init__(self, *, name, kind, routes_by_name, prefill_weight=0.5):
        self.name = name
        self.kind = kind
        self.routes_by_name = routes_by_name
        self.prefill_weight = prefill_weight


class DeclaredEngine:
    """One upstream.

    Parameters
    ----------
    name, service, zone, hardware : str
    cell : str
        Group of engines of one service whose admission one steward decides.
    address : str
        ``host:port`` of its HTTP interface.
    slots : int
        Largest number of runs it batches at once.
    step_ms : float
        Nominal decode step with one run; a prior that measurement replaces.
    prefill_tokens_per_s : float
        Nominal prefill rate; a prior that measurement replaces.
    checks_fencing : bool
        Whether it refuses an order that carries an old fencing number.
    leaving : bool
        Whether it takes no new work.
    """

    __slots__ = (
        "name",
        "service",
        "cell",
        "zone",
        "hardware",
        "address",
        "slots",
        "step_ms",
        "prefill_tokens_per_s",
        "checks_fencing",
        "leaving",
    )

    def __init__(
        self,
        *,
        name,
        service,
        cell,
        zone,
        hardware,
        address,
        slots,
        step_ms,
        prefill_tokens_per_s,
        checks_fencing=False,
        leaving=False,
    ):
        self.name = name
        self.service = service
        self.cell = cell
        self.zone = zone
        self.hardware = hardware
        self.address = address
        self.slots = slots
        self.step_ms = step_ms
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.checks_fencing = checks_fencing
        self.leaving = leaving


class Declaration:
    """One whole declaration, as accepted by the checks.

    Parameters
    ----------
    organisation : str
    zones_by_region : dict of str to tuple of str
    tiers_by_name : dict of str to Tier
        Highest first.
    teams_by_name : dict of str to Team
    services_by_name : dict of str to Service
    engines_by_name : dict of str to DeclaredEngine
    ledger_shards : int
        Number of ledger objects over which claims are spread.
    ledger_retention_s : float
        How long a claim is remembered after it was made.
    """

    __slots__ = (
        "organisation",
        "zones_by_region",
        "tiers_by_name",
        "teams_by_name",
        "services_by_name",
        "engines_by_name",
        "ledger_shards",
        "ledger_retention_s",
    )

    def __init__(
        self,
        *,
        organisation,
        zones_by_region,
        tiers_by_name,
        teams_by_name,
        services_by_name,
        engines_by_name,
        ledger_shards=16,
        ledger_retention_s=3600.0,
    ):
        self.organisation = organisation
        self.zones_by_region = zones_by_region
        self.tiers_by_name = tiers_by_name
        self.teams_by_name = teams_by_name
        self.services_by_name = services_by_name
        self.engines_by_name = engines_by_name
        self.ledger_shards = ledger_shards
        self.ledger_retention_s = ledger_retention_s
