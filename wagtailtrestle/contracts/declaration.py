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
    tier : str
        Tier of all its requests, whatever their route says; empty where the route decides.
    quota : TokenQuota or None
        What it may use over all routers; ``None`` for no limit.
    """

    __slots__ = ("name", "key_sha256", "share", "tier", "quota")

    def __init__(self, *, name, key_sha256, share=1.0, tier="", quota=None):
        self.name = name
        self.key_sha256 = key_sha256
        self.share = share
        self.tier = tier
        self.quota = quota


class TokenQuota:
    """A team's allowance: a bucket of ``burst`` units that fills at ``rate_per_s``.

    Parameters
    ----------
    rate_per_s, burst : float
        In tokens if ``counts_tokens``, else in requests.
    counts_tokens : bool
        Whether a request counts as its prompt and largest output, or as one.
    tokens_if_unsized : int
        What a request that tells no sizes counts as, in tokens.
    """

    __slots__ = ("rate_per_s", "burst", "counts_tokens", "tokens_if_unsized")

    def __init__(self, *, rate_per_s, burst, counts_tokens=False, tokens_if_unsized=1):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.counts_tokens = counts_tokens
        self.tokens_if_unsized = tokens_if_unsized

    def cost(self, *, tokens):
        """Units of a request with ``tokens`` in all, ``None`` where it tells no sizes."""
        if not self.counts_tokens:
            return 1
        return self.tokens_if_unsized if tokens is None else tokens


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


class HostRoute:
    """A route found by host and path, which may be split over several services.

    Parameters
    ----------
    name, host : str
    prefix : str
        Begins and ends with a slash.
    weight_by_service : dict of str to float
        Shares of the requests.
    tier : str
    timeout_ms : int
        Longest time for the whole answer.
    target_ms : int
        Time to the answer, or to its first event, that callers hope for.
    pause_ms : int
        Longest pause between two events of a stream that callers hope for; 0 if it does not matter.
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
    resumable : bool
        Whether another engine may go on with a stream after its last event.
    max_runs : int
        Engines that one request may run on.
    public : bool
        Whether no key is needed.
    """

    __slots__ = (
        "name",
        "host",
        "prefix",
        "weight_by_service",
        "tier",
        "timeout_ms",
        "target_ms",
        "pause_ms",
        "repeatable",
        "streaming",
        "resumable",
        "max_runs",
        "public",
    )

    def __init__(
        self,
        *,
        name,
        host,
        prefix,
        weight_by_service,
        tier,
        timeout_ms,
        target_ms,
        repeatable,
        pause_ms=0,
        streaming=False,
        resumable=False,
        max_runs=1,
        public=False,
    ):
        self.name = name
        self.host = host
        self.prefix = prefix
        self.weight_by_service = weight_by_service
        self.tier = tier
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.pause_ms = pause_ms
        self.repeatable = repeatable
        self.streaming = streaming
        self.resumable = resumable
        self.max_runs = max_runs
        self.public = public


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
    cancellable : bool, optional
        Whether a run can be stopped midway; by default only a language engine's.
    attachable : bool, optional
        Whether a lost stream of a run can be taken up again at the same engine.
    preemptable : bool, optional
        Whether runs may be stopped for a higher tier.
    passes_errors : bool, optional
        Whether an engine's own error is the caller's answer; by default a plain service's.
    tokens_per_event : int
        Tokens that one event of a stream holds.
    """

    __slots__ = (
        "name",
        "kind",
        "routes_by_name",
        "prefill_weight",
        "cancellable",
        "attachable",
        "preemptable",
        "passes_errors",
        "tokens_per_event",
    )

    def __init__(
        self,
        *,
        name,
        kind,
        routes_by_name,
        prefill_weight=0.5,
        cancellable=None,
        attachable=None,
        preemptable=None,
        passes_errors=None,
        tokens_per_event=1,
    ):
        is_language = kind == LANGUAGE
        self.name = name
        self.kind = kind
        self.routes_by_name = routes_by_name
        self.prefill_weight = prefill_weight
        self.cancellable = is_language if cancellable is None else cancellable
        self.attachable = is_language if attachable is None else attachable
        self.preemptable = is_language if preemptable is None else preemptable
        self.passes_errors = (not is_language) if passes_errors is None else passes_errors
        self.tokens_per_event = tokens_per_event


class DeclaredEngine:
    """One upstream.

    Parameters
    ----------
    name, service, zone, hardware : str
    cell : str
        Group of engines of one service whose admission one scheduler decides.
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
    start_ms : int
        When it started, Unix milliseconds, where engines tell: one that starts again under its name
        holds nothing of before. 0 where they don't.
    version : str
        Version of what it runs, where engines tell; roll-outs move a service from one to another.
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
        "start_ms",
        "version",
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
        start_ms=0,
        version="",
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
        self.start_ms = start_ms
        self.version = version


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
        0 for a deployment whose callers send no idempotency keys.
    ledger_retention_s : float
        How long a claim is remembered after it was made.
    host_routes : tuple of HostRoute
        Routes found by host and path, beside those of the services.
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
        "host_routes",
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
        host_routes=(),
    ):
        self.organisation = organisation
        self.zones_by_region = zones_by_region
        self.tiers_by_name = tiers_by_name
        self.teams_by_name = teams_by_name
        self.services_by_name = services_by_name
        self.engines_by_name = engines_by_name
        self.ledger_shards = ledger_shards
        self.ledger_retention_s = ledger_retention_s
        self.host_routes = host_routes

    def with_engines(self, engines_by_name):
        """The same declaration with other engines, for deployments where engines list themselves.

        An engine of a service that is not declared is left out: whatever asked for its service would fail.
        """
        engines_by_name = {
            name: engine for name, engine in engines_by_name.items() if engine.service in self.services_by_name
        }
        return Declaration(
            organisation=self.organisation,
            zones_by_region=self.zones_by_region,
            tiers_by_name=self.tiers_by_name,
            teams_by_name=self.teams_by_name,
            services_by_name=self.services_by_name,
            engines_by_name=engines_by_name,
            ledger_shards=self.ledger_shards,
            ledger_retention_s=self.ledger_retention_s,
            host_routes=self.host_routes,
        )
