"""Selects the engines of a service that get no requests because of their version."""

from collections import Counter

from wagtailtrestle.contracts.rollout_messages import RolloutState


def reserved_names(engines, *, target, state, is_shifting, unread_versions, untested_versions, stopped_names):
    """Return the names of the engines to reserve.

    Parameters
    ----------
    engines : list of DeclaredEngine
        Engines of one service.
    target : str or None
        Version of the current order.
    state : RolloutState or None
        State of that order; ``None`` without an order.
    is_shifting : bool
        Whether all requests go to the target before the rollout has ended.
    unread_versions : set of str
        Versions that appeared since the last read of the orders.
    untested_versions : set of str
        Targets of earlier orders that were rolled back or superseded by a newer order.
    stopped_names : frozenset of str
        Old engines of a completed rollout, which stop without a drain.

    Returns
    -------
    frozenset of str
    """
    held = set(stopped_names) | {engine.name for engine in engines if engine.version in untested_versions}
    if state is RolloutState.RUNNING:
        held |= {engine.name for engine in engines if (engine.version == target) != is_shifting}
    elif state is RolloutState.ROLLED_BACK:
        held |= {engine.name for engine in engines if engine.version == target}
    return frozenset(held | _unread(engines, unread_versions - {target}))


def unproven_names(engines, *, trial_versions):
    """Return the names of the engines that may be reserved, as seen by a router that does not coordinate the rollout.

    Between two versions, only the coordinator knows which one may get requests and how many. The other routers learn
    of the order a moment later, so they regard all engines of a service with several versions as reserved.

    Parameters
    ----------
    engines : list of DeclaredEngine
        Engines of one service.
    trial_versions : set of str
        Versions that may be on trial or about to stop.

    Returns
    -------
    frozenset of str
    """
    versions = {engine.version for engine in engines}
    if len(versions) > 1:
        return frozenset(engine.name for engine in engines)
    return frozenset(engine.name for engine in engines if engine.version in trial_versions)


def _unread(engines, unread_versions):
    """Return the engines of versions whose order may not have been read yet.

    Until the orders are read, the version with the most engines counts as the one in use. Otherwise an untested version
    would get a full share of all requests until its order is read.
    """
    count_by_version = Counter(engine.version for engine in engines)
    if len(count_by_version) < 2:
        return set()
    in_use = min(count_by_version, key=lambda version: (-count_by_version[version], version))
    held = unread_versions - {in_use}
    return {engine.name for engine in engines if engine.version in held}
