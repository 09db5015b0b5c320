"""HTTP dialect of the platform's engines and plain services: encodes requests and decodes answers."""

from wagtailtrestle.contracts.outcomes import RunDone, RunFailed, RunNotSent, RunRejected
from wagtailtrestle.contracts.report_messages import LoadReport
from wagtailtrestle.engines.answer_memory import MAX_ANSWER_BYTES
from wagtailtrestle.engines.dialect import CallHead
from wagtailtrestle.engines.notices import read_notice
from wagtailtrestle.engines.run_exchange import MAX_FAILURE_BYTES
from wagtailtrestle.platform import headers as names
from wagtailtrestle.platform.engine_entries import DRAINING, InvalidField, read_integer, start_ms
from wagtailtrestle.platform.events import MAX_PARTIAL_BYTES, EventFault, EventSplitter

MS_PER_S = 1000.0
MISDIRECTED = 421
UNAVAILABLE = 503
FIRST_ERROR_STATUS = 400
FIRST_FAILURE_STATUS = 500
NO_BODY_STATUSES = frozenset({204, 304})
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell a caller that its request was not run. They must not be forwarded from an engine
that does not state this explicitly."""
SKIP_HEADER = "@@@SKIP_HEADER@@@"
"""Value by which urllib3 is told not to add a header by itself."""


class PlatformReceived:
    """The part of a request's answer received so far, over all of its runs.

    Attributes
    ----------
    status, headers, body
        Those of the run that brought the first event, or of the last run; a stream resumed on another engine keeps
        them.
    events : int
        Number of complete events forwarded.
    last_event_id : int or None
    hold : AnswerHold or None
        The memory of ``body``, and of an event that is incomplete.
    """

    __slots__ = (
        "hold",
        "status",
        "headers",
        "body",
        "events",
        "last_event_id",
        "prompt_tokens",
        "cached_tokens",
        "_tokens_per_event",
    )

    def __init__(self, *, tokens_per_event, prompt_tokens=0):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.hold = None
        self.events = 0
        self.last_event_id = None
        self.prompt_tokens = prompt_tokens
        self.cached_tokens = 0
        self._tokens_per_event = tokens_per_event

    @property
    def output_tokens(self):
        """Tokens received so far."""
        return self.events * self._tokens_per_event


class PlatformCall:
    """One request in the form in which it is sent to the platform's engines.

    Parameters
    ----------
    method, target : str
        As sent by the caller.
    headers : dict of str to str
        The caller's headers that are forwarded.
    body : bytes
    request_id, team : str
    is_streamed : bool
    """

    __slots__ = ("method", "target", "headers", "body", "request_id", "team", "is_streamed")

    def __init__(self, *, method, target, headers, body, request_id, team, is_streamed):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.team = team
        self.is_streamed = is_streamed

    def cancel_path(self, run_id):
        """Return ``None``: these engines cancel a run when its connection closes."""
        return None

    def head(self, command, received):
        """Return the request head for one run; an interrupted stream resumes after its last event."""
        headers = {name: value for name, value in self.headers.items() if name.lower() not in names.SET_BY_ROUTER}
        headers["Accept-Encoding"] = SKIP_HEADER
        if not any(name.lower() == "user-agent" for name in headers):
            headers["User-Agent"] = SKIP_HEADER
        headers[names.DEADLINE_MS] = str(max(1, int(command.overall_s * MS_PER_S)))
        # An address is soon reused after its engine terminates. The header makes another engine at that
        # address refuse the request, which it would otherwise run although it may serve another service.
        headers[names.EXPECTED_ENGINE] = command.engine
        if self.team:
            headers[names.TEAM] = self.team
        if received.last_event_id is not None:
            for name in [name for name in headers if name.lower() == names.LAST_EVENT_ID.lower()]:
                del headers[name]
            headers[names.LAST_EVENT_ID] = str(received.last_event_id)
        return CallHead(method=self.method, target=self.target, headers=headers, body=self.body or None)

    def notice(self, exchange):
        """Return the engine's notice in the response head, or ``None`` if another engine or request is answered."""
        response = exchange.response
        if response.status == MISDIRECTED or response.headers.get(names.REQUEST_ID) != self.request_id:
            return None
        return read_notice(
            exchange.command,
            limit=response.headers.get(names.RATE_LIMIT),
            max_rejections=response.headers.get(names.MAX_REJECTIONS),
            leaving=response.headers.get(names.LEAVING) == names.LEAVING_YES,
            retry_after=response.headers.get(names.RETRY_AFTER) if response.status == UNAVAILABLE else None,
        )

    def read(self, exchange):
        """Read the answer to its end."""
        response = exchange.response
        if response.status == MISDIRECTED or names.NOT_RUN in response.headers:
            return RunNotSent(detail=f"the engine did not run it, status {response.status}", arrived=True)
        fault = self._head_problem(response)
        if fault is not None:
            exchange.reached = True
            return exchange.cut(fault)
        exchange.reached = True
        if response.status >= FIRST_ERROR_STATUS:
            return self._read_failure(exchange)
        if self.is_streamed:
            return self._read_stream(exchange)
        return self._read_complete(exchange)

    def _head_problem(self, response):
        if response.headers.get(names.REQUEST_ID) != self.request_id:
            return "crossed: the answer does not carry this request's id"
        if response.headers.get("Content-Encoding"):
            return "the answer is compressed, so it is not the engine's"
        if response.status < FIRST_ERROR_STATUS and not response.headers.get(names.SIGNATURE):
            return "the answer is not signed"
        if response.status in NOT_RUN_STATUSES:
            return f"status {response.status} without a statement on whether the request ran"
        return None

    def _read_failure(self, exchange):
        self._store_answer(exchange)
        status = exchange.response.status
        return RunFailed(status=status) if status >= FIRST_FAILURE_STATUS else RunRejected(status=status)

    def _read_complete(self, exchange):
        exchange.progress.begin()
        self._store_answer(exchange)
        return RunDone()

    def _store_answer(self, exchange):
        body = self._body(exchange)
        exchange.received.status = exchange.response.status
        exchange.received.headers = dict(exchange.response.headers)
        exchange.received.body = body

    def _body(self, exchange):
        response = exchange.response
        if self.method == "HEAD" or response.status in NO_BODY_STATUSES:
            exchange.mark_end()
            return b""
        length = response.headers.get("Content-Length", "")
        has_length = length.isdecimal() and not response.chunked
        max_bytes = MAX_ANSWER_BYTES if response.status < FIRST_ERROR_STATUS else MAX_FAILURE_BYTES
        return exchange.read_body(int(length) if has_length else None, max_bytes=max_bytes)

    def _read_stream(self, exchange):
        received = exchange.received
        if not received.events:
            # The head is sent with the first event. That of a run that failed before belongs to another answer.
            received.status = exchange.response.status
            received.headers = dict(exchange.response.headers)
            received.body = b""
        splitter = EventSplitter(after_id=received.last_event_id)
        length = exchange.response.headers.get("Content-Length", "")
        left = int(length) if length.isdecimal() and not exchange.response.chunked else None
        for data in exchange.chunks():
            left = None if left is None else left - len(data)
            events = splitter.feed(data)
            if isinstance(events, EventFault):
                return exchange.cut(events.detail)
            if events.data:
                received.events += events.count
                received.last_event_id = splitter.last_id
                # The begin of a run is reported first, so that the caller can't resume a stream that is not recorded.
                exchange.progress.update()
                exchange.on_token(received.events, events.data)
            exchange.reserve(splitter.partial_bytes, max_bytes=MAX_PARTIAL_BYTES)
            exchange.set_read_timeout(exchange.progress.time_left_for_token_s())
        if splitter.has_partial_event or left:
            return exchange.cut("the stream ended inside an event")
        return exchange.done()


class PlatformReports:
    """Location and format of an engine's load report."""

    load_path = "/v1/report"
    cache_path = None
    assumed_age_s = 0.2
    """Reports are some hundred milliseconds old and do not state their age."""

    def load(self, engine, values, *, took_s):
        """Build a report from the engine's JSON.

        Raises
        ------
        InvalidField
            If a field is missing or invalid.
        """
        if not isinstance(values, dict):
            raise InvalidField("the report has no fields")
        return LoadReport(
            engine=engine,
            age_s=self.assumed_age_s + took_s / 2,
            running=read_integer(values, "running"),
            waiting=read_integer(values, "waiting"),
            step_s=0.0,
            leaving=values.get("state") == DRAINING,
            start_ms=start_ms(values),
        )
