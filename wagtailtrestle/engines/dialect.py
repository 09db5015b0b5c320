"""What varies between kinds of engines: what is sent for a run, and how its answer reads."""

from dataclasses import field
from typing import Protocol

from wagtailtrestle.contracts.messages import EngineNotice
from wagtailtrestle.contracts.outcomes import RunOutcome
from wagtailtrestle.record import record


@record
class CallHead:
    """One HTTP request; ``target`` is the path with its query."""

    method: str
    target: str
    headers: dict = field(default_factory=dict)
    body: bytes | None = None


class EngineDialect(Protocol):
    """One request as an engine is sent it; the same object serves every run of the request.

    Attributes
    ----------
    is_streamed : bool
        Whether the answer comes in pieces that are passed on as they come.
    """

    is_streamed: bool

    def head(self, command, received) -> CallHead:
        """What to send for the run that ``command`` starts, after what earlier runs ``received``."""

    def read(self, exchange) -> RunOutcome:
        """Read the answer on an open ``RunExchange`` to its end.

        Raises
        ------
        TimeoutError, OSError, urllib3.exceptions.HTTPError
            As the connection does; the exchange turns them into outcomes.
        """

    def notice(self, exchange) -> EngineNotice | None:
        """What the head of the answer says of its engine; ``None`` unless it is surely that engine's."""

    def cancel_path(self, run_id: str) -> str | None:
        """Where the engine is told to cancel a run; ``None`` where closing the connection is all there is."""
