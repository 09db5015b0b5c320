"""The native HTTP interface: authenticates, reads, validates and routes callers' requests."""

import time
from collections.abc import Callable

from wagtailtrestle.callers.answer import BufferedAnswer, PlainAnswer, StreamedAnswer
from wagtailtrestle.callers.authentication import KeyIndex, authenticate
from wagtailtrestle.callers.body import body_digest, parse_language
from wagtailtrestle.callers.body_reader import BodyReader
from wagtailtrestle.callers.connection_watcher import ConnectionWatcher
from wagtailtrestle.callers.dialect import IncomingRequest, ModelList, PreparedRequest
from wagtailtrestle.callers.headers import (
    caller_headers,
    caller_request_id,
    effective_timeout_s,
    forwarded_headers,
    requested_timeout_s,
)
from wagtailtrestle.callers.limits import ReceiveLimit
from wagtailtrestle.callers.problem import problem_bytes, problem_headers
from wagtailtrestle.callers.prompt_shape import PromptShape
from wagtailtrestle.callers.route_match import (
    CHAT_PATH,
    LANGUAGE_PATHS,
    MODELS_PATH,
    match_language,
    match_plain,
    may_use,
    method_not_allowed,
    services_of,
)
from wagtailtrestle.callers.stream import EventWriter, model_list
from wagtailtrestle.contracts.declaration import LANGUAGE, PLAIN
from wagtailtrestle.contracts.exchange import CallerRequest
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal
from wagtailtrestle.engines.native_call import NativeCall

EMPTY_PROMPT = PromptShape(tokens=0)
RETRY_ELSEWHERE_S = 0.1
"""Retry delay of a router that accepts no requests: short, since others do, and above 0 to prevent a busy loop."""


class NativeDialect:
    """The ``CallerDialect`` of the native interface; called from worker threads, holds no per-request state.

    Parameters
    ----------
    directory : callable
        Returns the configuration in force or ``None``.
    now : callable
        The event loop's clock.
    watch : ConnectionWatcher
    receive_limit : ReceiveLimit
    max_deadline_s : float
    """

    __slots__ = ("_directory", "_now", "_bodies", "_max_deadline_s", "_keys")

    def __init__(
        self,
        *,
        directory,
        now: Callable[[], float],
        watch: ConnectionWatcher,
        receive_limit: ReceiveLimit,
        max_deadline_s: float,
    ):
        self._directory = directory
        self._now = now
        self._bodies = BodyReader(watch=watch, limit=receive_limit)
        self._max_deadline_s = max_deadline_s
        self._keys = (None, None)

    def request_id(self, environ):
        """Return the request id sent by the caller, or a generated one."""
        return caller_request_id(environ)

    def caller_timeout_s(self, environ):
        """Return the deadline requested by the caller, in seconds, or ``None``."""
        return requested_timeout_s(environ)

    def problem(self, refusal, request_id):
        """Return status, headers and body of a refusal as a problem document."""
        body = problem_bytes(refusal=refusal, request_id=request_id)
        return refusal.status, problem_headers(refusal=refusal, request_id=request_id, length=len(body)), body

    def prepare(self, incoming: IncomingRequest) -> PreparedRequest | ModelList | Refusal:
        """Authenticate, read and validate one request."""
        in_force = self._directory()
        if in_force is None:
            return not_accepting(Reason.NOT_READY)
        environ = incoming.environ
        index = self._key_index(in_force.declaration)
        team = authenticate(header=environ.get("HTTP_AUTHORIZATION", ""), index=index)
        if isinstance(team, Refusal):
            return team
        headers = caller_headers(environ)
        if isinstance(headers, Refusal):
            return headers
        if environ["PATH_INFO"] == MODELS_PATH:
            return _list_models(environ=environ, declaration=in_force.declaration, team=team)
        body = self._read(environ, declaration=in_force.declaration, team=team)
        if isinstance(body, Refusal):
            return body
        context = _RequestContext(incoming=incoming, in_force=in_force, team=team, headers=headers, body=body)
        if environ["PATH_INFO"] in LANGUAGE_PATHS:
            return self._language(context)
        return self._plain(context)

    def _key_index(self, declaration):
        # One tuple, replaced atomically: two threads that see a new declaration at the same time
        # must not leave the new declaration paired with the keys of the old one.
        indexed, index = self._keys
        if indexed is not declaration:
            index = KeyIndex(declaration=declaration)
            self._keys = (declaration, index)
        return index

    def _read(self, environ, *, declaration, team):
        return self._bodies.read(environ, highest=_has_highest_tier(declaration=declaration, team=team))

    def _language(self, context):
        environ = context.incoming.environ
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] != "POST":
            return method_not_allowed(["POST"])
        parsed = parse_language(body=context.body, path=path)
        if isinstance(parsed, Refusal):
            return parsed
        matched = match_language(
            declaration=context.in_force.declaration,
            team=context.team,
            path=path,
            model=parsed.model,
            route_name=context.headers.route,
            tier_name=context.headers.tier,
        )
        if isinstance(matched, Refusal):
            return matched
        call = NativeCall(
            kind=LANGUAGE,
            method="POST",
            path=path,
            document=parsed.fields,
            caller_request_id=context.incoming.response.request_id,
        )
        answer = _language_answer(response=context.incoming.response, parsed=parsed, chat=path == CHAT_PATH)
        return self._prepared(
            context, matched, call, answer, shape=parsed.shape, output_tokens=parsed.output_tokens, target=path
        )

    def _plain(self, context):
        environ = context.incoming.environ
        method = environ["REQUEST_METHOD"]
        matched = match_plain(
            declaration=context.in_force.declaration,
            team=context.team,
            method=method,
            path=environ["PATH_INFO"],
            route_name=context.headers.route,
            tier_name=context.headers.tier,
        )
        if isinstance(matched, Refusal):
            return matched
        target = environ["REQUEST_URI"]
        path, _, query = target.partition("?")
        call = NativeCall(
            kind=PLAIN,
            method=method,
            path=path,
            query=query,
            headers=forwarded_headers(environ),
            body=context.body,
            caller_request_id=context.incoming.response.request_id,
        )
        answer = PlainAnswer(response=context.incoming.response)
        return self._prepared(context, matched, call, answer, shape=EMPTY_PROMPT, output_tokens=0, target=target)

    def _prepared(self, context, matched, call, answer, *, shape, output_tokens, target):
        route = matched.route
        headers = context.headers
        allowed_s = effective_timeout_s(headers=headers, default_ms=route.deadline_ms, max_s=self._max_deadline_s)
        elapsed_s = time.monotonic() - context.incoming.at
        request = CallerRequest(
            request_id=context.incoming.request_id,
            service=matched.service.name,
            team=context.team.name,
            route=route.name,
            tier=matched.tier.rank,
            repeatable=route.repeatable,
            at_most_once=route.at_most_once,
            idempotency_key=headers.idempotency_key,
            body_digest=body_digest(method=call.method, path=target, body=context.body),
            prompt_tokens=shape.tokens,
            output_tokens=output_tokens,
            prefix_blocks=shape.prefix_blocks,
            deadline=self._now() + allowed_s - elapsed_s,
        )
        return PreparedRequest(
            request=request,
            call=call,
            answer=answer,
            body_bytes=len(context.body),
            tier_name=matched.tier.name,
            generation=context.in_force.generation,
        )


class _RequestContext:
    """A request that was authenticated and read, with the configuration it is handled under."""

    __slots__ = ("incoming", "in_force", "team", "headers", "body")

    def __init__(self, *, incoming, in_force, team, headers, body):
        self.incoming = incoming
        self.in_force = in_force
        self.team = team
        self.headers = headers
        self.body = body


def not_accepting(reason: Reason) -> Refusal:
    """Return the refusal of a router that currently accepts no requests."""
    return Refusal(
        status=503,
        reason=reason,
        executed=Executed.NO,
        detail="This router takes no requests now; send it again and another one will.",
        retry_after_s=RETRY_ELSEWHERE_S,
    )


def _list_models(*, environ, declaration, team):
    if environ["REQUEST_METHOD"] != "GET":
        return method_not_allowed(["GET"])
    return ModelList(body=model_list([service.name for service in services_of(declaration=declaration, team=team)]))


def _has_highest_tier(*, declaration, team):
    routes = (route for service in declaration.services_by_name.values() for route in service.routes_by_name.values())
    return any(declaration.tiers_by_name[r.tier].rank == 0 and may_use(route=r, team=team) for r in routes)


def _language_answer(*, response, parsed, chat):
    if not parsed.stream:
        return BufferedAnswer(response=response, model=parsed.model, chat=chat)
    events = EventWriter(
        request_id=response.request_id, model=parsed.model, chat=chat, include_usage=parsed.include_usage
    )
    return StreamedAnswer(response=response, events=events, model=parsed.model, chat=chat)
