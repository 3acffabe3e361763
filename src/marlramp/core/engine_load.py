"""Predicts when a model engine produces the first token of a request.

An engine works in passes: it reads waiting prompts in order, then makes some
token steps for every running request. A new request waits for the pass under
way, for the prompts before it, for a place among the running ones if all are
taken, and for its own prompt.
"""

from __future__ import annotations

import msgspec

from marlramp.core import fleet


class EngineLoad(msgspec.Struct, frozen=True, kw_only=True):
    """Load of one engine as believed now.

    Attributes:
      running: requests that have a place.
      waiting: requests that wait for a place or to be read.
      unread_tokens: prompt tokens of requests that were not read yet.
      pace: measured slowness, 1 for an engine that keeps its figures.
    """

    running: float
    waiting: float
    unread_tokens: float
    pace: float = 1.0


def pass_ms(spec: fleet.EngineSpec, running: float, context: float) -> float:
    """Returns the time of the token steps of one pass.

    Args:
      spec: the engine.
      running: requests that write.
      context: mean tokens of context per running request.
    """
    step = spec.step_ms + running * (
        spec.per_request_ms + context * spec.per_context_token_ms
    )
    return step * spec.steps_per_pass


def first_token_ms(
    spec: fleet.EngineSpec,
    load: EngineLoad,
    prompt_tokens: int,
    usual_run_ms: float,
) -> float:
    """Returns the predicted time from sending a request to its first token.

    Args:
      spec: the engine.
      load: its load before the request.
      prompt_tokens: tokens of the request's prompt.
      usual_run_ms: mean time that a request keeps its place.
    """
    one_pass_ms = pass_ms(spec, min(load.running, spec.batch), _CONTEXT_TOKENS)
    read_ms = (load.unread_tokens + prompt_tokens) / spec.read_tokens_per_ms
    ahead = load.running + load.waiting + 1 - spec.batch
    place_ms = max(0.0, ahead) * usual_run_ms / spec.batch
    # Half a pass until the engine looks at waiting prompts, and one pass that
    # makes the first event.
    return load.pace * (1.5 * one_pass_ms + read_ms) + place_ms


_CONTEXT_TOKENS = 1_000.0
"""Context of a running request; its effect on a step is under a tenth."""
