"""Choice of the upstream for a request: two random choices by prediction."""

from __future__ import annotations

from collections.abc import Sequence
import random
from typing import Protocol

import msgspec

from marlramp import ids

PANIC_FRACTION = 0.5
"""Breakers are ignored when they exclude more than this part of a service."""

PREFIX_DISCOUNT = 0.5
"""Part of the predicted time saved when the upstream holds the prefix."""

REPORT_HALF_LIFE_MS = 1_000.0
"""Age at which a reported load counts half."""


class Candidate(msgspec.Struct, frozen=True):
    """What an entry knows of one upstream.

    Attributes:
      vm_id: the upstream's VM.
      capacity: most requests it runs at once.
      in_flight: this entry's requests there, a fact.
      reported_load: requests running and queued there as last reported, or
        None for a service that reports nothing.
      report_age_ms: age of that report.
      service_ms: smoothed time to first token seen from here.
      holds_prefix: whether it is believed to cache the request's prefix.
      breaker_allows: whether its circuit breaker lets requests through.
    """

    vm_id: ids.VmId
    capacity: int
    in_flight: int
    reported_load: float | None
    report_age_ms: float
    service_ms: float
    holds_prefix: bool
    breaker_allows: bool


def panics(allowing: int, total: int) -> bool:
    """Returns whether so many breakers are open that they are ignored.

    Args:
      allowing: upstreams of a service whose breaker lets requests through.
      total: all upstreams of the service that take work, free or not.
    """
    return allowing < total * (1.0 - PANIC_FRACTION)


def predicted_ms(candidate: Candidate) -> float:
    """Returns the predicted time to first token, in milliseconds.

    The reported load decays with age towards the entry's own count, which is
    never underestimated.
    """
    load = float(candidate.in_flight)
    if candidate.reported_load is not None:
        trust = 0.5 ** (candidate.report_age_ms / REPORT_HALF_LIFE_MS)
        load = max(load, load + trust * (candidate.reported_load - load))
    wait = (load + 1.0) / max(1, candidate.capacity)
    discount = PREFIX_DISCOUNT if candidate.holds_prefix else 1.0
    return candidate.service_ms * (0.5 * discount + wait)


class Chooser(Protocol):
    """A way to choose an upstream."""

    def __call__(
        self, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the chosen upstream, None if there is none."""
        ...


def choose_random(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses any upstream; a baseline."""
    return rng.choice(candidates) if candidates else None


class RoundRobin:
    """Chooses upstreams in turn; a baseline."""

    def __init__(self) -> None:
        """Starts with the first."""
        self._turn = 0

    def __call__(
        self, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the next upstream."""
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses among upstreams that can take a request now.

    Returns:
      The better of two random candidates, any holder of the prefix counting
      as drawn, or None if there is none.
    """
    allowed = [c for c in candidates if c.breaker_allows]
    if not allowed:
        return None
    drawn = rng.sample(allowed, min(2, len(allowed)))
    drawn.extend(c for c in allowed if c.holds_prefix and c not in drawn)
    return min(drawn, key=lambda c: (predicted_ms(c), c.vm_id))
