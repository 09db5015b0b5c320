"""Declared data: tiers, teams, services, routes and engines of one deployment.

Instances are built by :mod:`wagtailtrestle.declarations.check` from a YAML file
that passed every check; these classes do not validate.
"""

LANGUAGE = "language"
PLAIN = "plain"


class Tier:
    """A priority level of requests; rank 0 is the highest."""

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
        Hex digests of the team's bearer keys.
    share : float
        Weight against other teams of the same tier.
    tier : str
        Tier of all the team's requests, overriding their route's; empty if the route decides.
    quota : TokenQuota or None
        Quota over all routers; ``None`` for no limit.
    """

    __slots__ = ("name", "key_sha256", "share", "tier", "quota")

    def __init__(self, *, name, key_sha256, share=1.0, tier="", quota=None):
        self.name = name
        self.key_sha256 = key_sha256
        self.share = share
        self.tier = tier
        self.quota = quota


class TokenQuota:
    """A team's quota: a token bucket of ``burst`` units that refills at ``rate_per_s``.

    Parameters
    ----------
    rate_per_s, burst : float
        In tokens if ``counts_tokens``, else in requests.
    counts_tokens : bool
        Whether a request costs the tokens of its prompt and largest output, or one unit.
    tokens_if_unsized : int
        Cost in tokens of a request that states no sizes.
    """

    __slots__ = ("rate_per_s", "burst", "counts_tokens", "tokens_if_unsized")

    def __init__(self, *, rate_per_s, burst, counts_tokens=False, tokens_if_unsized=1):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.counts_tokens = counts_tokens
        self.tokens_if_unsized = tokens_if_unsized

    def cost(self, *, tokens):
        """Return the units that a request of ``tokens`` costs; ``None`` for a request that states no sizes."""
        if not self.counts_tokens:
            return 1
        return self.tokens_if_unsized if tokens is None else tokens


class Route:
    """One kind of request to a service, with its guarantees.

    Parameters
    ----------
    name : str
    method : str
        HTTP method, upper case.
    path : str
        For a language service one of the two completion paths; for a plain service
        a prefix below ``/{service}/``.
    tier : str
    deadline_ms : int
        Default time limit for the complete answer.
    repeatable : bool
        Whether a run may be cancelled and run again; if ``False``, the request is
        dispatched at most once.
    at_most_once : bool
        Whether repeated requests with the same ``Idempotency-Key`` are detected through the
        ledger; only if ``repeatable`` is false.
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
    """A route matched by host and path, whose requests may be split over several services.

    Parameters
    ----------
    name, host : str
    prefix : str
        Begins and ends with a slash.
    weight_by_service : dict of str to float
        Each service's share of the requests.
    tier : str
    timeout_ms : int
        Time limit for the complete answer.
    target_ms : int
        Target time to the answer, or to its first event.
    pause_ms : int
        Target for the longest pause between two events of a stream; 0 for no target.
    repeatable : bool
        Whether a request may run more than once.
    streaming : bool
    resumable : bool
        Whether another engine can continue a stream after the last event received.
    max_runs : int
        Number of engines that one request may run on.
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
    """A service that callers send requests to: its kind, its routes and how its capacity is scheduled.

    Parameters
    ----------
    name : str
    kind : {"language", "plain"}
    routes_by_name : dict of str to Route
        In declared order.
    prefill_weight : float
        Objective of scheduling, from 0 (only goodput by tier) to 1 (only wasted prefill).
    cancellable : bool, optional
        Whether a run can be cancelled; by default only for a language service.
    attachable : bool, optional
        Whether a run's stream can be resumed on the same engine after its connection is lost; by default only
        for a language service.
    preemptable : bool, optional
        Whether runs may be cancelled in favour of a higher tier; by default only for a language service.
    passes_errors : bool, optional
        Whether an engine's error answer is passed on to the caller; by default only for a plain service.
    tokens_per_event : int
        Tokens per event of a stream.
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
    """One upstream of a service.

    Parameters
    ----------
    name, service, zone, hardware : str
    cell : str
        Group of engines of one service whose admission is decided by one scheduler.
    address : str
        ``host:port`` of the engine's HTTP interface.
    slots : int
        Largest number of runs in its batch.
    step_ms : float
        Nominal duration of a decode step with one run; a prior that measurements replace.
    prefill_tokens_per_s : float
        Nominal prefill rate; a prior that measurements replace.
    checks_fencing : bool
        Whether it rejects a command with an outdated fencing number.
    leaving : bool
        Whether the engine is draining and accepts no new runs.
    start_ms : int
        When the engine started, in Unix milliseconds; 0 where engines don't report it. An engine that
        restarts under its name has lost its earlier runs and cache.
    version : str
        Version of what the engine runs, where engines report it; a rollout moves a service from one to another.
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
    """One complete declaration, as accepted by the checks.

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
        Number of ledger objects over which claims are distributed;
        0 for a deployment whose callers send no idempotency keys.
    ledger_retention_s : float
        How long a claim is kept after it was made.
    host_routes : tuple of HostRoute
        Routes matched by host and path, in addition to those of the services.
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
        """Return this declaration with other engines, for deployments where engines register themselves.

        An engine of an undeclared service is omitted, as looking up its service would fail.
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
