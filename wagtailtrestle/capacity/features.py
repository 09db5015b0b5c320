"""Optional scheduling behaviour for deployments with tight targets; see docs/design/tight-targets.md."""

from wagtailtrestle.record import record

MS_PER_S = 1000.0
CAPACITY_PLACEMENT = "capacity"


@record
class Features:
    """The optional behaviour in force; by default all of it is off.

    Parameters
    ----------
    placement_by_capacity : bool
        Whether schedulers and quota owners are chosen among the routers with most processor capacity.
    tier_floor : float
        Share of the work granted in a cell that each lower tier with waiting requests is entitled to; 0 for none.
    late_service : bool
        Whether requests that miss their target may wait on while their callers do.
    engine_match : bool
        Whether a request takes only engines on which it is predicted to finish in time.
    zone_cost_s : float
        Cost of an engine in another zone than the entry's, in the comparison of engines.
    direct_after_s : float
        Time after which an entry dispatches a plain call without its silent scheduler; 0 for never.
    """

    placement_by_capacity: bool = False
    tier_floor: float = 0.0
    late_service: bool = False
    engine_match: bool = False
    zone_cost_s: float = 0.0
    direct_after_s: float = 0.0


ALL_OFF = Features()


def all_off():
    """Return features of which none is in force."""
    return ALL_OFF


def features_in_force(settings, declaration):
    """Return the features that the settings switch on for this declaration.

    Parameters
    ----------
    settings : RouterSettings
    declaration : Declaration

    Returns
    -------
    Features
        All off unless a streaming route has a target to its first token of at most ``settings.tight_target_ms``.
    """
    if not _has_tight_targets(declaration, settings.tight_target_ms):
        return ALL_OFF
    return Features(
        placement_by_capacity=settings.placement == CAPACITY_PLACEMENT,
        tier_floor=settings.tier_floor,
        late_service=settings.late_service,
        engine_match=settings.engine_match,
        zone_cost_s=settings.zone_cost_ms / MS_PER_S,
        direct_after_s=settings.direct_after_ms / MS_PER_S,
    )


def _has_tight_targets(declaration, limit_ms):
    return any(route.streaming and 0 < route.target_ms <= limit_ms for route in declaration.host_routes)
