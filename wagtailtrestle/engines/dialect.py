"""Interface of engine dialects: the request that is sent for a run, and the parsing of its answer."""

from dataclasses import field
from typing import Protocol

from wagtailtrestle.contracts.messages import EngineNotice
from wagtailtrestle.contracts.outcomes import RunOutcome
from wagtailtrestle.record import record


@record
class CallHead:
    """One HTTP request; ``target`` is the path with the query."""

    method: str
    target: str
    headers: dict = field(default_factory=dict)
    body: bytes | None = None


class EngineDialect(Protocol):
    """One caller's request as it is sent to engines; one object serves all runs of the request.

    Attributes
    ----------
    is_streamed : bool
        Whether the answer arrives in chunks that are passed on as they arrive.
    """

    is_streamed: bool

    def head(self, command, received) -> CallHead:
        """Return the HTTP request for the run of ``command``; ``received`` holds the answer of earlier runs."""

    def read(self, exchange) -> RunOutcome:
        """Read the answer on an open ``RunExchange`` to its end.

        Raises
        ------
        TimeoutError, OSError, urllib3.exceptions.HTTPError
            Raised by the connection; the exchange turns them into outcomes.
        """

    def notice(self, exchange) -> EngineNotice | None:
        """Return the notice in the answer's head; ``None`` unless the answer certainly comes from the run's engine."""

    def cancel_path(self, run_id: str) -> str | None:
        """Return the path to cancel a run; ``None`` if a run can only be cancelled by closing its connection."""
