"""How long a message to a peer may wait for company, and for a sign that it arrived.

What takes or frees a place leaves at once. What only informs the scheduler waits for a batch
that leaves anyway: at full size a router asks some thirty schedulers, half a request a second
each, and a batch of its own costs far more than an item in one.
"""

from wagtailtrestle.contracts.messages import Granted, RunFinished, RunProgress, RunStarted
from wagtailtrestle.contracts.peer_messages import EnginesAnswer, EnginesAsk, Heartbeat, Pong
from wagtailtrestle.record import record


@record
class Delay:
    """What a type of message may wait for.

    Parameters
    ----------
    ride_after_s : float
        Age from which it leaves with any batch.
    leave_within_s : float
        Age at which it leaves on its own.
    is_replaceable : bool
        Whether a later message about the same request makes it void.
    patience_s : float or None
        Time without any sign of the peer after which one is asked for; ``None`` for never.
    """

    ride_after_s: float = 0.0
    leave_within_s: float = 0.0
    is_replaceable: bool = False
    patience_s: float | None = 0.0


IMMEDIATE = Delay()

DELAY_BY_TYPE = {
    # The scheduler counts a prompt as still to be prefilled until this comes: soon, not at once.
    RunStarted: Delay(leave_within_s=0.1, patience_s=None),
    # The scheduler goes on by the clock from the last one; only preemption's price, tokens thrown away, lags.
    RunProgress: Delay(ride_after_s=4.0, leave_within_s=8.0, is_replaceable=True, patience_s=None),
    # The first token answers it, mostly before this. An ask just made is watched by the entry itself.
    Granted: Delay(patience_s=0.5),
    # Lost on a connection gone silent, it leaves a place taken that is free. Between two routers at full size
    # something comes back of itself within about a second; a sign asked for each end of a run would double them.
    RunFinished: Delay(patience_s=2.0),
    # Partners watch each other's heartbeats, and replace a connection on which they stop.
    Heartbeat: Delay(patience_s=None),
    # The asker gives the question up by itself, and soon.
    EnginesAsk: Delay(patience_s=None),
    EnginesAnswer: Delay(patience_s=None),
    # Were a sign of life to ask for one, both ends would go on for ever.
    Pong: Delay(patience_s=None),
}


def delay_of(message):
    """Return the delay of a message's type."""
    return DELAY_BY_TYPE.get(type(message), IMMEDIATE)
