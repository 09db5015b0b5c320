"""Which engines of a service no request may be sent to because of their version."""

from collections import Counter

from wagtailtrestle.contracts.rollout_messages import RolloutState


def reserved_names(engines, *, target, state, is_shifting, unread_versions, untested_versions, stopped_names):
    """Names of the engines to hold back.

    Parameters
    ----------
    engines : list of DeclaredEngine
        Those of one service.
    target : str or None
        Version that was ordered.
    state : RolloutState or None
        How that order stands; ``None`` without one.
    is_shifting : bool
        Whether all requests go to the target though the roll-out has not ended.
    unread_versions : set of str
        Versions that appeared since the orders were read last.
    untested_versions : set of str
        Targets of earlier orders that were not completed; rolled back, or given up for a newer order.
    stopped_names : frozenset of str
        Engines that stop without a drain, for their roll-out is completed.

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


def _unread(engines, unread_versions):
    """Engines of versions that may have been ordered without anybody here having read it.

    Without orders at hand the version with the most engines counts as the one in use. Used at once, an untested
    version would get its full part of all requests until its order is read.
    """
    count_by_version = Counter(engine.version for engine in engines)
    if len(count_by_version) < 2:
        return set()
    in_use = min(count_by_version, key=lambda version: (-count_by_version[version], version))
    held = unread_versions - {in_use}
    return {engine.name for engine in engines if engine.version in held}
