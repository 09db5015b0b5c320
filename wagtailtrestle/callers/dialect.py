"""What varies between interfaces of callers: how a request is read and how it is refused."""

from dataclasses import field
from typing import Protocol

from wagtailtrestle.callers.answer import Answer, CallerResponse
from wagtailtrestle.contracts.exchange import CallerRequest
from wagtailtrestle.contracts.outcomes import Refusal
from wagtailtrestle.engines.answer_check import ReceivedAnswer
from wagtailtrestle.engines.dialect import EngineDialect
from wagtailtrestle.record import record


class Charge(Protocol):
    """What a request took from its team's quota."""

    def refund(self) -> None:
        """Give it back, since the request was not run."""


@record
class PreparedRequest:
    """A request ready for its task, and how its caller will be answered."""

    request: CallerRequest
    call: EngineDialect
    answer: Answer
    body_bytes: int
    tier_name: str
    generation: int
    received: object = field(default_factory=ReceivedAnswer)
    charge: Charge | None = None


@record
class ModelList:
    """The answer of ``/v1/models``, which needs no task."""

    body: bytes


@record
class IncomingRequest:
    """One request as it came.

    Parameters
    ----------
    environ : dict
        WSGI's.
    response : CallerResponse
    request_id : str
        Ours.
    at : float
        ``time.monotonic`` when its head had been read.
    """

    environ: dict
    response: CallerResponse
    request_id: str
    at: float


class CallerDialect(Protocol):
    """One interface of callers; called from callers' threads, keeps nothing of a request."""

    def request_id(self, environ: dict) -> str | Refusal:
        """The caller's own id of the request, or one made for it."""

    def caller_timeout_s(self, environ: dict) -> float | None:
        """How long the caller says that it will wait, ``None`` where it doesn't."""

    def prepare(self, incoming: IncomingRequest) -> PreparedRequest | ModelList | Refusal:
        """Read and check one request."""

    def problem(self, refusal: Refusal, request_id: str) -> tuple[int, list, bytes]:
        """Status, header pairs and body of a refusal as this interface's callers read it."""
