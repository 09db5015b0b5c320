"""Plans the arrivals of a load in advance, from a fixed seed."""

import math
import random

MIN_TOKENS = 4
MAX_PROMPT_TOKENS = 20_000
MAX_OUTPUT_TOKENS = 1_000
SHARED_PREFIX_TOKENS = 128
BYTES_PER_TOKEN = 4


class PlannedRequest:
    """One request of a plan: when it is sent, and its content.

    Parameters
    ----------
    number : int
    at_s : float
        Send time in seconds after the start of the load.
    kind : RequestKind
    caller_request_id : str
        Unique within the load; engines record it.
    prompt : str
    output_tokens : int
        Length limit sent in the request.
    actual_output_tokens : int
        Length of the answer if it is shorter than ``output_tokens``; only the stand-in reads it.
    """

    __slots__ = ("number", "at_s", "kind", "caller_request_id", "prompt", "output_tokens", "actual_output_tokens")

    def __init__(self, *, number, at_s, kind, caller_request_id, prompt, output_tokens, actual_output_tokens=0):
        self.actual_output_tokens = actual_output_tokens
        self.number = number
        self.at_s = at_s
        self.kind = kind
        self.caller_request_id = caller_request_id
        self.prompt = prompt
        self.output_tokens = output_tokens


def make_plan(*, kinds, rate, duration_s, seed):
    """Plan Poisson arrivals of ``rate`` requests per second over ``duration_s``."""
    rng = random.Random(seed)
    weights = [kind.share for kind in kinds]
    planned = []
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        kind = rng.choices(kinds, weights)[0]
        planned.append(_request(rng, len(planned), at_s, kind, seed))
        at_s += rng.expovariate(rate)
    return planned


def _request(rng, number, at_s, kind, seed):
    prompt_tokens = _length(rng, kind.prompt_tokens, kind.spread, MAX_PROMPT_TOKENS)
    return PlannedRequest(
        number=number,
        at_s=at_s,
        kind=kind,
        caller_request_id=f"load-{seed}-{number}",
        prompt=_prompt(rng, kind, prompt_tokens),
        output_tokens=_length(rng, kind.output_tokens, kind.spread / 2, MAX_OUTPUT_TOKENS),
    )


def _length(rng, median, spread, limit):
    if not median:
        return 0
    length = median * math.exp(rng.gauss(0, spread))
    return int(min(max(length, MIN_TOKENS), limit))


def _prompt(rng, kind, tokens):
    """Return a prompt of about ``tokens`` tokens that starts with a prefix shared by all requests of its kind."""
    head = (f"{kind.name} instructions " * SHARED_PREFIX_TOKENS)[: SHARED_PREFIX_TOKENS * BYTES_PER_TOKEN]
    body_bytes = tokens * BYTES_PER_TOKEN
    return head[: body_bytes // 2] + rng.randbytes(body_bytes // 2 // 2 + 1).hex()[: body_bytes - body_bytes // 2]
