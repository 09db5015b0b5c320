"""Messages between a router that serves a team and the owner of that team's quota."""

from wagtailtrestle.record import record


@record
class QuotaAsk:
    """Asks for credits of a team.

    Parameters
    ----------
    needed : int
        Units that requests wait for now.
    ahead : int
        Units beyond them, for the requests of the next moment.
    """

    team: str
    needed: int
    ahead: int


@record
class QuotaGrant:
    """Answers :class:`QuotaAsk`.

    Parameters
    ----------
    units : int
        Credits granted; fewer than needed if the quota is used up.
    retry_after_s : float
        When what is missing will be there; 0 if nothing is missing.
    """

    team: str
    units: int
    retry_after_s: float
