"""Charges a request to its team's quota, or refuses it."""

from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal
from wagtailtrestle.entry.final_answers import refusal_of
from wagtailtrestle.quotas.accounts import QuotaCharge, QuotaRefused


def charge_team(*, accounts, team, tokens) -> QuotaCharge | Refusal | None:
    """Charge a request's units to its team's quota.

    Parameters
    ----------
    accounts : QuotaAccounts
    team : Team or None
    tokens : int or None
        Prompt and expected output together; ``None`` if the caller gave no sizes.

    Returns
    -------
    QuotaCharge or Refusal or None
        ``None`` where there is no quota to charge.
    """
    if team is None or team.quota is None:
        return None
    units = team.quota.cost(tokens=tokens)
    charge = accounts.acquire(team.name, units)
    if not isinstance(charge, QuotaRefused):
        return charge
    return refusal_of(
        Reason.QUOTA,
        executed=Executed.NO,
        retry_after_s=charge.retry_after_s,
        cause=_cause(team=team, units=units, refused=charge),
    )


def _cause(*, team, units, refused):
    """Describe the reason: the request's size, the quota, and what its owner had left."""
    quota = f"{team.quota.rate_per_s:g} a second, burst {team.quota.burst:g}"
    description = f"team {team.name}: a request of {units:g} units, quota {quota}"
    if refused.left is None:
        return f"{description}; the quota's owner did not answer, {refused.held} held here"
    return f"{description}; its owner had {refused.left} left {refused.left_age_s:.2f} s ago, {refused.held} held here"
