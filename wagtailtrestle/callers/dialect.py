"""The protocol for HTTP interfaces of callers: how requests are read and how they are refused."""

from dataclasses import field
from typing import Protocol

from wagtailtrestle.callers.answer import Answer, CallerResponse
from wagtailtrestle.contracts.exchange import CallerRequest
from wagtailtrestle.contracts.outcomes import Refusal
from wagtailtrestle.engines.answer_check import ReceivedAnswer
from wagtailtrestle.engines.dialect import EngineDialect
from wagtailtrestle.record import record


class Charge(Protocol):
    """The quota units consumed by a request."""

    def refund(self) -> None:
        """Refund the units, since the request was not executed."""


@record
class PreparedRequest:
    """A validated request, ready to be submitted, with the ``Answer`` that responds to its caller."""

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
    """The response body of ``/v1/models``, which needs no task."""

    body: bytes


@record
class IncomingRequest:
    """One request as received.

    Parameters
    ----------
    environ : dict
        The environ of WSGI.
    response : CallerResponse
    request_id : str
        The router's own id of the request.
    at : float
        ``time.monotonic`` after its headers were read.
    """

    environ: dict
    response: CallerResponse
    request_id: str
    at: float


class CallerDialect(Protocol):
    """An HTTP interface for callers; called from worker threads, holds no per-request state."""

    def request_id(self, environ: dict) -> str | Refusal:
        """Return the request id sent by the caller, or a generated one."""

    def caller_timeout_s(self, environ: dict) -> float | None:
        """Return the time that the caller states it will wait, or ``None``."""

    def prepare(self, incoming: IncomingRequest) -> PreparedRequest | ModelList | Refusal:
        """Authenticate, read and validate one request."""

    def problem(self, refusal: Refusal, request_id: str) -> tuple[int, list, bytes]:
        """Return status, header pairs and body of a refusal in the format of this interface."""
