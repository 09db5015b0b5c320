"""Helpers that start stand-in engines and services in this process and send runs to them."""

import threading

from wagtailtrestle.contracts.exchange import StartRun
from wagtailtrestle.engines.answer_check import ReceivedAnswer
from wagtailtrestle.engines.client import EngineClient
from wagtailtrestle.engines.native_call import CANCEL_CALL, NativeCall
from wagtailtrestle.standins.engine import EngineStandin
from wagtailtrestle.standins.service import ServiceStandin
from wagtailtrestle.standins.standin_settings import ENGINE_DEFAULTS, SERVICE_DEFAULTS, StandinSettings

COMPLETION_DEADLINE_S = 2.0
"""Silence deadline of a run that is expected to complete. A VM with five times as many busy threads as cores has
stopped this process for 0.28 s; tests that must detect silence set their own deadline."""
PROMPT = "When may we fly at the beach of Gijon?"


def start_engine(test, **settings):
    """Start a stand-in engine that the test stops."""
    fast_settings = {"base_step_ms": 1.0, "threads": 24, "drain_linger_ms": 0.0, "drain_grace_ms": 0.0}
    standin = EngineStandin(settings=StandinSettings(by_name={**ENGINE_DEFAULTS, **fast_settings, **settings}))
    standin.start()
    test.addCleanup(standin.close)
    return standin


def start_service(test, **settings):
    """Start a stand-in plain service that the test stops."""
    fast_settings = {"service_ms": 1.0, "threads": 12, "drain_linger_ms": 0.0, "drain_grace_ms": 0.0}
    standin = ServiceStandin(settings=StandinSettings(by_name={**SERVICE_DEFAULTS, **fast_settings, **settings}))
    standin.start()
    test.addCleanup(standin.close)
    return standin


def address_of(standin):
    return standin.addresses()["address"]


def chat_call(*, prompt=PROMPT, output_tokens=20):
    document = {"model": "asistente", "messages": [{"role": "user", "content": prompt}], "max_tokens": output_tokens}
    return NativeCall(
        kind="language", method="POST", path="/v1/chat/completions", document=document, caller_request_id="caller-1"
    )


def plain_call(*, method="POST", path="/reservas/charge", **fields):
    return NativeCall(kind="plain", method=method, path=path, caller_request_id="caller-1", **fields)


class RunSender:
    """Sends the runs of one request in sequence, and records their events, tokens and outcome."""

    def __init__(self, *, call):
        self.call = call
        self.client = EngineClient(connect_timeout_s=0.5, ended_call=CANCEL_CALL)
        self.received = ReceivedAnswer()
        self.events = []
        self.tokens = []
        self.ended = None
        self.first_token = threading.Event()

    def send(
        self,
        address,
        *,
        run_id="r.1",
        attach=False,
        first_s=COMPLETION_DEADLINE_S,
        progress_s=COMPLETION_DEADLINE_S,
        overall_s=5.0,
    ):
        command = StartRun(
            run_id=run_id,
            engine="engine",
            address=address,
            attach=attach,
            first_token_deadline_s=first_s,
            progress_deadline_s=progress_s,
            overall_s=overall_s,
        )
        self.ended = self.client.run(
            command=command,
            request=self.call,
            received=self.received,
            on_event=self.events.append,
            on_token=self._record_token,
        )
        return self.ended.outcome

    def send_in_thread(self, address, **options):
        thread = threading.Thread(target=self.send, args=(address,), kwargs=options, daemon=True)
        thread.start()
        return thread

    def _record_token(self, index, text):
        self.tokens.append((index, text))
        self.first_token.set()
