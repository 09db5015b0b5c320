"""A callers' server with scripted fakes instead of the request task and the engines."""

import asyncio
import hashlib
import http.client
import json
import threading
from types import SimpleNamespace

from wagtailtrestle.callers.limits import CallerLimits
from wagtailtrestle.callers.server import CallersServer
from wagtailtrestle.contracts.declaration import Declaration, Route, Service, Team, Tier
from wagtailtrestle.contracts.exchange import AnswerRefusal, AnswerWhole, CallerGone, RunBegan, RunEnded, StartRun
from wagtailtrestle.contracts.outcomes import Executed, Reason, Refusal, RunCancelled, RunDone
from wagtailtrestle.observe.metrics import Metrics

HIGH_KEY = "high-key-0123456789"
LOW_KEY = "low-key-0123456789"
CHAT = "/v1/chat/completions"
WAIT_S = 10.0


def digest(key):
    return hashlib.sha256(key.encode()).hexdigest()


def route(name, path, tier, *, method="POST", teams=(), **more):
    values = {"deadline_ms": 5000, "repeatable": True} | more
    return Route(name=name, method=method, path=path, tier=tier, teams=teams, **values)


def declaration():
    names = ("booking", "question", "tagging")
    asistente = (
        route("question", CHAT, "question", teams=("members",)),
        route("urgent", CHAT, "booking", teams=("members",)),
        route("tagging", CHAT, "tagging"),
        route("text", "/v1/completions", "tagging"),
    )
    reservas = (
        route("book", "/bookings", "booking", teams=("members",), repeatable=False, at_most_once=True),
        route("slots", "/slots", "question", method="GET"),
    )
    services = (
        Service(name="asistente", kind="language", routes_by_name={r.name: r for r in asistente}),
        Service(name="reservas", kind="plain", routes_by_name={r.name: r for r in reservas}),
    )
    return Declaration(
        organisation="cometas",
        zones_by_region={},
        tiers_by_name={name: Tier(name=name, rank=rank) for rank, name in enumerate(names)},
        teams_by_name={
            "members": Team(name="members", key_sha256=(digest(HIGH_KEY),)),
            "logbook": Team(name="logbook", key_sha256=(digest(LOW_KEY),)),
        },
        services_by_name={service.name: service for service in services},
        engines_by_name={},
    )


def refusal(reason, status=503, executed=Executed.NO, retry_after_s=None):
    return AnswerRefusal(
        refusal=Refusal(status=status, reason=reason, executed=executed, detail="so.", retry_after_s=retry_after_s)
    )


def chat_body(**more):
    return {"model": "asistente", "messages": [{"role": "user", "content": "Is it windy?"}]} | more


def start_run(request, number=1):
    return StartRun(
        run_id=f"{request.request_id}.{number}",
        engine="asistente-1",
        address="127.0.0.1:1",
        first_token_deadline_s=1.0,
        progress_deadline_s=1.0,
        overall_s=5.0,
    )


async def serve(request, link, inbox):
    """Start one run, then post the complete answer; like the entry, always post exactly one final answer."""
    link.post(start_run(request))
    while True:
        match await inbox.get():
            case CallerGone():
                link.cancel_run(run_id=f"{request.request_id}.1", engine="asistente-1", address="127.0.0.1:1")
            case RunEnded(outcome=RunDone()):
                return link.post(AnswerWhole())
            case RunEnded():
                return link.post(refusal(Reason.CALLER_GONE, 499, Executed.YES))


async def keep_waiting(request, link, inbox):
    """Wait for a slot that never becomes free, until the caller disconnects."""
    while not isinstance(await inbox.get(), CallerGone):
        pass
    link.post(refusal(Reason.CALLER_GONE, 499))


class FakeEngine:
    """Sends tokens; while ``gate`` is not set, a run doesn't end unless it is cancelled."""

    def __init__(self, tokens=("It ", "is. ")):
        self.tokens = tokens
        self.calls = []
        self.cancelled = set()
        self.gate = threading.Event()
        self.gate.set()
        self.plain = (200, {"Content-Type": "application/json", "X-Request-Id": "run"}, b'{"slot": 3}')

    def close(self):
        """Do nothing: there are no connections."""

    def run(self, *, command, request, received, on_event, on_token):
        self.calls.append(request)
        if request.kind == "plain":
            received.status, received.headers, received.body = self.plain
            return self._ended(command, RunDone(), received)
        for index, text in enumerate(self.tokens, 1):
            received.tokens.append(text)
            on_token(index, text)
            if index == 1:
                on_event(RunBegan(run_id=command.run_id, first_token_s=0.01))
        while not self.gate.wait(0.01):
            if command.run_id in self.cancelled:
                return self._ended(command, RunCancelled(output_tokens=len(self.tokens)), received)
        received.finish_reason = "stop"
        received.prompt_tokens, received.completion_tokens = 3, len(self.tokens)
        return self._ended(command, RunDone(output_tokens=len(self.tokens)), received)

    def cancel(self, *, address, run_id, engine):
        self.cancelled.add(run_id)
        return True

    def _ended(self, command, outcome, received):
        return RunEnded(run_id=command.run_id, outcome=outcome, duration_s=0.01, status=received.status or 200)


class Bench:
    """A callers' server with its own event loop."""

    def __init__(self, *, script=serve, engine=None, held=8, threads=16, ready=lambda: None, **settings):
        self.script = script
        self.engine = engine or FakeEngine()
        self.metrics = Metrics()
        self.limits = CallerLimits(held=held, body_bytes=1_000_000)
        self.in_force = SimpleNamespace(generation=3, declaration=declaration())
        self.requests = []
        self.events = []
        self.loop = asyncio.new_event_loop()
        self._inbox_by_id = {}
        self._tasks = []
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()
        self.server = CallersServer(
            name="router-1",
            address=("127.0.0.1", 0),
            directory=lambda: self.in_force,
            submit=self._submit,
            post=self._post,
            engine_client=self.engine,
            loop=self.loop,
            limits=self.limits,
            metrics=self.metrics,
            ready=ready,
            threads=threads,
            **settings,
        )
        self.server._server.expiration_interval = 0.02  # closing takes this long
        self.server.start()

    def close(self):
        self.server.close()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()

    def connect(self):
        return http.client.HTTPConnection("127.0.0.1", self.server.port, timeout=WAIT_S)

    def send_request(self, method, path, body=None, *, key=HIGH_KEY, headers=None):
        """Send one request on a new connection; return status, headers and the body as bytes."""
        connection = self.connect()
        data = json.dumps(body) if isinstance(body, dict) else body
        connection.request(method, path, data, {"Authorization": f"Bearer {key}"} | (headers or {}))
        response = connection.getresponse()
        answer = response.read()
        connection.close()
        return response.status, response.headers, answer

    def send_request_async(self, *args, **kwargs):
        """Call ``send_request`` in a thread; ``result()`` of the returned object waits for its answer."""
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.send_request(*args, **kwargs)), daemon=True)
        thread.start()

        def result():
            thread.join(WAIT_S)
            return answers[0]

        return SimpleNamespace(result=result, answers=answers)

    def wait_until(self, condition):
        """Wait until ``condition()`` is true."""
        deadline = threading.Event()
        for _ in range(int(WAIT_S / 0.01)):
            if condition():
                return
            deadline.wait(0.01)
        raise AssertionError("the condition was not met in time")

    def _submit(self, request, link):
        self.requests.append(request)
        inbox = self._inbox_by_id[request.request_id] = asyncio.Queue()
        self._tasks.append(self.loop.create_task(self.script(request, link, inbox)))

    def _post(self, request_id, event):
        self.events.append(event)
        self._inbox_by_id[request_id].put_nowait(event)


def problem(answer):
    """Return status, reason and ``executed`` of a problem response."""
    status, headers, body = answer
    document = json.loads(body)
    assert headers["Wagtailtrestle-Executed"] == document["executed"]
    return status, document["reason"], document["executed"]


def stream_data(body):
    """Return the data of each event of a stream."""
    events = body.decode().split("\n\n")
    return [line[6:] for event in events for line in event.split("\n") if line.startswith("data: ")]
