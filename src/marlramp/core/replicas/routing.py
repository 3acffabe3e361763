"""Chooses an upstream on the grants path: power of two random choices.

The candidates are compared by their predicted time to the first token.
"""

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
    """State of one upstream as an entry knows it.

    Attributes:
      vm_id: the upstream's VM.
      capacity: most requests that the upstream runs at once.
      in_flight: this entry's requests at the upstream, an exact count.
      reported_load: requests running and queued at the upstream as last
        reported, or None for a service that reports no load.
      report_age_ms: age of that report.
      service_ms: smoothed time to first token, as this entry observed it.
      holds_prefix: whether the upstream is believed to cache the request's
        prompt prefix.
      breaker_allows: whether the circuit breaker lets requests through.
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
      allowing: number of a service's upstreams whose breaker lets requests
        through.
      total: number of the service's upstreams that accept work, busy or not.
    """
    return allowing < total * (1.0 - PANIC_FRACTION)


def predicted_ms(candidate: Candidate) -> float:
    """Returns the predicted time to first token, in milliseconds.

    The reported load decays with its age towards the entry's own count of
    requests in flight. The load is never assumed lower than that count.
    """
    load = float(candidate.in_flight)
    if candidate.reported_load is not None:
        trust = 0.5 ** (candidate.report_age_ms / REPORT_HALF_LIFE_MS)
        load = max(load, load + trust * (candidate.reported_load - load))
    wait = (load + 1.0) / max(1, candidate.capacity)
    discount = PREFIX_DISCOUNT if candidate.holds_prefix else 1.0
    return candidate.service_ms * (0.5 * discount + wait)


class Chooser(Protocol):
    """Strategy that chooses an upstream for a request."""

    def __call__(
        self, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the chosen upstream, None if there is no candidate."""
        ...


def choose_random(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Returns a random upstream; a baseline for experiments."""
    return rng.choice(candidates) if candidates else None


class RoundRobin:
    """Chooses upstreams round-robin; a baseline for experiments."""

    def __init__(self) -> None:
        """Starts before the first choice."""
        self._calls = 0

    def __call__(
        self, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate | None:
        """Returns the next upstream."""
        if not candidates:
            return None
        self._calls += 1
        return candidates[self._calls % len(candidates)]


def choose(
    candidates: Sequence[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses among the upstreams whose circuit breaker lets requests through.

    Returns:
      The upstream with the lowest predicted time among two random candidates
      and all that hold the prefix, or None if no breaker allows a request.
    """
    allowed = [c for c in candidates if c.breaker_allows]
    if not allowed:
        return None
    sampled = rng.sample(allowed, min(2, len(allowed)))
    sampled.extend(c for c in allowed if c.holds_prefix and c not in sampled)
    return min(sampled, key=lambda c: (predicted_ms(c), c.vm_id))
