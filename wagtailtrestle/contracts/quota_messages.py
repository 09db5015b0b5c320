"""Messages between a router that serves a team and the router that owns that team's quota."""

from wagtailtrestle.record import record


@record
class QuotaAsk:
    """Request to the quota's owner for credits of a team, or return of unused ones.

    Parameters
    ----------
    needed : tuple of int
        Units needed by each waiting request. Each is granted in full or not at all: a part is of no use to
        the request, and would be missing elsewhere.
    ahead : int
        Units requested in advance for the next requests, beyond those needed now.
    returned : int
        Units granted earlier that the router no longer needs, or that are too few for what it needs; the owner
        credits them before it grants.
    """

    team: str
    needed: tuple = ()
    ahead: int = 0
    returned: int = 0


@record
class QuotaGrant:
    """Answer to :class:`QuotaAsk`.

    Parameters
    ----------
    units : int
        Credits granted.
    retry_after_s : float
        Time until the smallest request that was not granted will fit; 0 if all were granted.
    refused_units : int
        Units of that request; a smaller one may fit earlier.
    left : int
        Units that the owner can still grant; negative while the bucket refills after a request larger
        than the whole burst.
    """

    team: str
    units: int
    retry_after_s: float = 0.0
    refused_units: int = 0
    left: int = 0
