"""How long a message to a peer may wait to be batched with others, and how soon a response is expected.

A message that takes or frees a slot is sent immediately. One that only informs the scheduler
waits for a batch that is sent anyway: at full size a router sends requests to some thirty
schedulers, half a request per second to each, and a batch costs far more than an item in one.
"""

from wagtailtrestle.contracts.messages import Granted, RunFinished, RunProgress, RunStarted
from wagtailtrestle.contracts.peer_messages import EnginesAnswer, EnginesAsk, Heartbeat, Pong
from wagtailtrestle.contracts.stream_messages import StreamVersion
from wagtailtrestle.record import record


@record
class Delay:
    """Batching delay and response timeout of a message type.

    Parameters
    ----------
    ride_after_s : float
        Age from which it is included in any batch that is sent.
    leave_within_s : float
        Age at which it is sent even without other items.
    is_replaceable : bool
        Whether a later message about the same request supersedes it.
    patience_s : float or None
        Time after sending from which the peer's silence counts (``LinkWatch``); ``None`` if the message
        expects no response.
    """

    ride_after_s: float = 0.0
    leave_within_s: float = 0.0
    is_replaceable: bool = False
    patience_s: float | None = 0.0


IMMEDIATE = Delay()

DELAY_BY_TYPE = {
    # The scheduler counts the prompt as not yet prefilled until this arrives: needed soon, not immediately.
    RunStarted: Delay(leave_within_s=0.1, patience_s=None),
    # The scheduler extrapolates from the last one by the clock; only the cost of preemption, the tokens it would
    # discard, is out of date meanwhile.
    RunProgress: Delay(ride_after_s=4.0, leave_within_s=8.0, is_replaceable=True, patience_s=None),
    # Usually answered by the first token before this time. The entry itself watches a request it has just sent.
    Granted: Delay(patience_s=0.5),
    # If it is lost on a silent connection, a free slot stays marked as taken. At full size two routers exchange
    # some message within about a second anyway; a ping for each finished run would double their number.
    RunFinished: Delay(patience_s=2.0),
    # Partners watch each other's heartbeats, and replace a connection on which these stop.
    Heartbeat: Delay(patience_s=None),
    # The requester has a short timeout of its own.
    EnginesAsk: Delay(patience_s=None),
    EnginesAnswer: Delay(patience_s=None),
    # Needed once the stream is interrupted, which may be soon after it began.
    StreamVersion: Delay(leave_within_s=0.02, patience_s=None),
    # If a pong expected a response, both ends would ping each other forever.
    Pong: Delay(patience_s=None),
}


def delay_of(message):
    """Return the delay of a message's type."""
    return DELAY_BY_TYPE.get(type(message), IMMEDIATE)
