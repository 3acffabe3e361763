"""Predicts when a model engine produces the first token of a request.

An engine works in steps. In each engine step it reads waiting prompts in order
and then generates a few tokens for every running request. A new request waits
for the current engine step, for the prompts ahead of it, for a slot in the
batch if all slots are in use, and for its own prompt to be read.
"""

from __future__ import annotations

import msgspec

from marlramp.core.configuration import fleet


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Estimated current load of one engine.

    Attributes:
      running: number of requests that hold a slot in the batch.
      waiting: number of requests that wait for a slot or to be read.
      unread_tokens: prompt tokens that the engine has not read yet.
      pace: measured slowdown factor, 1 for an engine at its specified speed.
    """

    running: float
    waiting: float
    unread_tokens: float
    pace: float = 1.0


def generation_ms(
    spec: fleet.EngineSpec, running: float, context: float
) -> float:
    """Returns the time for generating the tokens of one engine step.

    Args:
      spec: the engine.
      running: number of requests that generate tokens.
      context: mean number of context tokens per running request.
    """
    token_ms = spec.step_ms + running * (
        spec.per_request_ms + context * spec.per_context_token_ms
    )
    return token_ms * spec.steps_per_pass


def first_token_ms(
    spec: fleet.EngineSpec,
    load: EngineLoad,
    prompt_tokens: int,
    mean_run_ms: float,
) -> float:
    """Returns the predicted time from sending a request to its first token.

    Args:
      spec: the engine.
      load: load of the engine before the request.
      prompt_tokens: number of tokens in the request's prompt.
      mean_run_ms: mean time for which a request holds its slot.
    """
    step_ms = generation_ms(
        spec, min(load.running, spec.batch), _CONTEXT_TOKENS
    )
    read_ms = (load.unread_tokens + prompt_tokens) / spec.read_tokens_per_ms
    ahead = load.running + load.waiting + 1 - spec.batch
    slot_wait_ms = max(0.0, ahead) * mean_run_ms / spec.batch
    # On average half an engine step passes before the engine checks for waiting
    # prompts, and one engine step produces the first event.
    return load.pace * (1.5 * step_ms + read_ms) + slot_wait_ms


_CONTEXT_TOKENS = 1_000.0
"""Assumed context of a running request, in tokens. Its share of the time per
token is less than a tenth."""
