"""A scheduler under load with simulated engines whose speeds differ fourfold; the clock is simulated too."""

import heapq
import math
import random
from collections import Counter

from tests.utils.scheduler_fakes import Cell, ask, engine, finished
from wagtailtrestle.capacity.features import Features
from wagtailtrestle.contracts.messages import Granted, Preempt, RunProgress, RunStarted
from wagtailtrestle.contracts.report_messages import LoadReport

TICK_S = 0.05
REPORT_S = 1.0
SLOTS = 6
SLOPE = 0.03
FAST_STEP_S, FAST_PREFILL_PER_S = 0.0025, 95_000.0
SLOW_STEP_S, SLOW_PREFILL_PER_S = 0.0108, 21_500.0
DECLARED_STEP_MS, DECLARED_PREFILL_PER_S = 3.4, 61_200.0
LENGTH_SIGMA = 0.7
HINT_SIGMA = math.log(2.0)
EVENT_TOKENS = 9
MAX_TOKENS = 2000

KINDS = {
    "long": dict(tier=0, prompt=6610, output=382, target_s=0.845, deadline_s=12.7),
    "large": dict(tier=0, prompt=6610, output=900, target_s=0.845, deadline_s=12.7),
    "middle": dict(tier=1, prompt=628, output=292, target_s=0.419, deadline_s=10.5),
    "short": dict(tier=2, prompt=1800, output=23, target_s=0.422, deadline_s=3.2),
}


class _Run:
    """A run on a simulated engine."""

    def __init__(self, request_id, tokens, prompt, now, deadline):
        self.request_id = request_id
        self.tokens = tokens
        self.prefill_left = prompt
        self.prompt = prompt
        self.done = 0.0
        self.began_at = now
        self.deadline = deadline
        self.first_token_at = None


class MixedEngines:
    """Plays requests of three kinds against a scheduler.

    Parameters
    ----------
    fast, slow : int
        Numbers of engines.
    features : Features
    rates : dict of str to float
        Requests per second by kind.
    seed : int
    """

    def __init__(self, *, fast, slow, features, rates, seed):
        self._random = random.Random(seed)
        self.cell = Cell(engines=(), features=lambda: features, prefill_weight=0.5)
        names = [f"fast-{number}" for number in range(fast)] + [f"slow-{number}" for number in range(slow)]
        self.cell.scheduler.set_engines({name: self._declared(name) for name in names})
        self._runs_by_engine = {name: [] for name in names}
        self._rates = rates
        self._requests = {}
        self._seen = 0
        self.engine_by_id = {}
        self.done_in_time = set()
        self.on_time = set()
        self.cut_off = set()
        self._arrivals = []

    @staticmethod
    def _declared(name):
        declared = engine(name, slots=SLOTS)
        declared.step_ms = DECLARED_STEP_MS
        declared.prefill_tokens_per_s = DECLARED_PREFILL_PER_S
        return declared

    def play(self, seconds):
        """Play arrivals for this time, and then until all runs have ended."""
        self._plan_arrivals(seconds)
        began = self.cell.clock.now
        tick, last_report = 0, 0.0
        while self.cell.clock.now < began + seconds + 14.0:
            tick += 1
            now = began + tick * TICK_S
            while self._arrivals and self._arrivals[0][0] <= now:
                at, request = heapq.heappop(self._arrivals)
                self.cell.clock.now = max(self.cell.clock.now, at)
                self._requests[request.request_id] = (request, at)
                self.cell.receive(request)
                self._read_answers()
            self.cell.clock.now = now
            self._run_engines(now)
            self.cell.scheduler.tick()
            self._read_answers()
            if now - last_report >= REPORT_S:
                last_report = now
                self._report()

    def kind_of(self, request_id):
        return request_id.split("-")[0]

    def served(self, ids):
        ids = list(ids)
        return sum(name in self.done_in_time for name in ids) / max(1, len(ids))

    def ids(self, kind=None):
        return [name for name in self._requests if kind is None or self.kind_of(name) == kind]

    def largest_tenth(self, kind):
        def size(name):
            return self._requests[name][0].prompt_tokens + 10 * self._true_tokens[name]

        ids = sorted(self.ids(kind), key=size)
        return ids[-max(1, len(ids) // 10) :]

    def granted_on(self, kind):
        return Counter(name.split("-")[0] for id_, name in self.engine_by_id.items() if self.kind_of(id_) == kind)

    def _plan_arrivals(self, seconds):
        self._true_tokens = {}
        began = self.cell.clock.now
        for kind, rate in self._rates.items():
            spec, at, number = KINDS[kind], began, 0
            while (at := at + self._random.expovariate(rate)) < began + seconds:
                number += 1
                request_id = f"{kind}-{number}"
                factor = self._random.lognormvariate(-(LENGTH_SIGMA**2) / 2, LENGTH_SIGMA)
                tokens = max(4, min(MAX_TOKENS, int(spec["output"] * factor)))
                self._true_tokens[request_id] = tokens
                hint = max(1, int(tokens * self._random.lognormvariate(0.0, HINT_SIGMA)))
                request = ask(
                    request_id,
                    tier=spec["tier"],
                    prompt_tokens=int(spec["prompt"] * self._random.uniform(0.6, 1.4)),
                    output_tokens=MAX_TOKENS,
                    hinted_tokens=hint,
                    remaining_s=spec["deadline_s"],
                    first_token_within_s=spec["target_s"],
                    pause_within_s=0.5,
                    event_tokens=EVENT_TOKENS,
                )
                heapq.heappush(self._arrivals, (at, request))

    def _read_answers(self):
        sent = self.cell.entries.sent
        while self._seen < len(sent):
            message = sent[self._seen]
            self._seen += 1
            now = self.cell.clock.now
            if isinstance(message, Granted):
                request, at = self._requests[message.request_id]
                self.engine_by_id[message.request_id] = message.engine
                tokens = self._true_tokens[message.request_id]
                run = _Run(message.request_id, tokens, request.prompt_tokens, now, at + request.remaining_s)
                self._runs_by_engine[message.engine].append(run)
            elif isinstance(message, Preempt):
                self._cancel(message)

    def _cancel(self, message):
        runs = self._runs_by_engine[message.engine]
        for run in [run for run in runs if run.request_id == message.request_id]:
            runs.remove(run)
            self.cell.receive(finished(run.request_id, on=message.engine, result="RunCancelled", duration_s=0.1))

    def _run_engines(self, now):
        for name, runs in self._runs_by_engine.items():
            is_fast = name.startswith("fast")
            step_s = FAST_STEP_S if is_fast else SLOW_STEP_S
            prefill_per_s = FAST_PREFILL_PER_S if is_fast else SLOW_PREFILL_PER_S
            left_s = TICK_S
            ended = []
            while left_s > 1e-9 and runs:
                prefilling = next((run for run in runs if run.prefill_left > 0), None)
                decoding = [run for run in runs if run.prefill_left <= 0 and run.done < run.tokens]
                if prefilling is None and not decoding:
                    break
                at = now - left_s
                chunk = min(1024, prefilling.prefill_left) if prefilling else 0
                used_s = chunk / prefill_per_s + step_s * (1 + SLOPE * (len(decoding) - 1)) * bool(decoding)
                left_s -= used_s
                for run in decoding:
                    run.done += 1
                    if run.done >= run.tokens:
                        ended.append((run, at + used_s))
                if prefilling:
                    prefilling.prefill_left -= chunk
                    if prefilling.prefill_left <= 0:
                        prefilling.first_token_at = at + used_s
                        self.cell.receive(
                            RunStarted(
                                request_id=prefilling.request_id,
                                engine=name,
                                first_token_s=at + used_s - prefilling.began_at,
                                prompt_tokens=prefilling.prompt,
                            )
                        )
            for run, at in ended:
                if run in runs:
                    runs.remove(run)
                    self._end(name, run, at)
            for run in [run for run in runs if now > run.deadline]:
                runs.remove(run)
                self.cut_off.add(run.request_id)
                self.cell.receive(
                    finished(run.request_id, on=name, result="RunCancelled", duration_s=now - run.began_at)
                )
            for run in runs:
                if run.done:
                    self.cell.receive(RunProgress(request_id=run.request_id, output_tokens=int(run.done)))
            self._read_answers()

    def _end(self, name, run, at):
        request, arrived_at = self._requests[run.request_id]
        if at <= run.deadline:
            self.done_in_time.add(run.request_id)
            if run.first_token_at - arrived_at <= request.first_token_within_s:
                self.on_time.add(run.request_id)
        self.cell.receive(
            finished(
                run.request_id,
                on=name,
                duration_s=at - run.began_at,
                first_token_s=run.first_token_at - run.began_at,
                prompt_tokens=run.prompt,
                output_tokens=run.tokens,
            )
        )

    def _report(self):
        for name, runs in self._runs_by_engine.items():
            step_s = FAST_STEP_S if name.startswith("fast") else SLOW_STEP_S
            self.cell.scheduler.on_load_report(
                LoadReport(
                    engine=name,
                    age_s=0.0,
                    running=len(runs),
                    waiting=0,
                    step_s=step_s * (1 + SLOPE * max(0, len(runs) - 1)) if runs else 0.0,
                    leaving=False,
                )
            )


FEATURE_ON = Features(engine_match=True)
FEATURE_OFF = Features()
