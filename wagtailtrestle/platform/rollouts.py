"""Strictly decodes the operator's rollout orders and encodes their status."""

from loguru import logger

from wagtailtrestle.contracts.rollout_messages import RolloutOrder, RolloutState

MAX_TEXT_CHARS = 256
MAX_DURATION_S = 86_400.0
STATUS_BY_STATE = {
    RolloutState.RUNNING: "running",
    RolloutState.COMPLETED: "completed",
    RolloutState.ROLLED_BACK: "rolled_back",
}
STATE_BY_STATUS = {status: state for state, status in STATUS_BY_STATE.items()}


def read_rollout(name, version, value):
    """Build an order from a stored object; ``None`` if the object is not a valid order."""
    order = value.get("specification")
    if not isinstance(order, dict) or order.get("service") != name:
        return _log_invalid(name, "its service differs from its name")
    target, duration_s = order.get("target"), order.get("duration_s")
    if not isinstance(target, str) or not 0 < len(target) <= MAX_TEXT_CHARS:
        return _log_invalid(name, "its target is no valid version")
    if not isinstance(duration_s, int | float) or isinstance(duration_s, bool) or not 0 < duration_s <= MAX_DURATION_S:
        return _log_invalid(name, "its duration is no valid time")
    return RolloutOrder(
        service=name,
        target=target,
        duration_s=float(duration_s),
        store_version=version,
        state=_state(value.get("status"), target),
    )


def rollout_status(target, state):
    """Return the status object to store for an order in this state."""
    return {"state": STATUS_BY_STATE[state], "target": target}


def _state(status, target):
    """Return the stored state, or ``None`` if it belongs to an earlier order with another target."""
    if not isinstance(status, dict) or status.get("target") != target:
        return None
    return STATE_BY_STATUS.get(status.get("state"))


def _log_invalid(name, problem):
    logger.error("the order of a roll-out of {} is not followed: {}", repr(name)[:80], problem)
