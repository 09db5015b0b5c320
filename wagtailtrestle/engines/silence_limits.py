"""Timeouts after which the entry abandons a granted run that stays silent."""

from wagtailtrestle.contracts.messages import Granted

MIN_PROGRESS_DEADLINE_S = 1.0
"""Minimum timeout between tokens."""

MIN_FIRST_TOKEN_DEADLINE_S = 2.0
"""Minimum timeout of the first token."""

SILENCE_TOLERANCE_FACTOR = 8.0
"""Timeouts as a multiple of the predicted time."""

INTERLEAVED_PREFILL_TOKENS = 1024
"""Prompt tokens of other runs that an engine may prefill between two tokens of a run."""


def granted_message(grant, engine, *, retries_used_up=False):
    """Build the message that grants an entry a slot on the engine, with the timeouts of the run."""
    model = engine.model
    first_token_s = model.predict_first_token_s(
        uncached_tokens=grant.prefill_tokens,
        concurrency=engine.slots,
        pending_prefill_tokens=engine.pending_prefill_tokens,
    )
    step_s = model.step_s(engine.slots) + model.prefill_s(INTERLEAVED_PREFILL_TOKENS)
    return Granted(
        request_id=grant.request_id,
        attempt=grant.request.attempt,
        engine=grant.engine,
        progress_deadline_s=max(MIN_PROGRESS_DEADLINE_S, SILENCE_TOLERANCE_FACTOR * step_s),
        first_token_deadline_s=max(MIN_FIRST_TOKEN_DEADLINE_S, SILENCE_TOLERANCE_FACTOR * first_token_s),
        limit_age_s=engine.rate_limit.age_s,
        retries_used_up=retries_used_up,
        limits_rejections=engine.rejection_limit.in_force,
        version=engine.version,
    )
