"""Checks a model, its seeded bugs and its replay, and prints the results."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Hashable
import time
from typing import Generic
from typing import Protocol
from typing import TypeVar

import msgspec

from models import state_space

S = TypeVar("S", bound=Hashable)
StateT = TypeVar("StateT", bound=Hashable, covariant=True)

STATES_MAX = 400_000


class SeededBug(msgspec.Struct, Generic[S], frozen=True):
    """A model with one bug, and the property that must detect it."""

    name: str
    model: state_space.Model[S]
    caught_by: str


class Specification(msgspec.Struct, Generic[S], frozen=True):
    """One protocol's model, seeded bugs and replay against the core.

    Attributes:
      name: the protocol.
      model: the correct model.
      bugs: variants of the model with one bug each.
      replay: replays the model's traces on the core objects and returns the
        number of traces; raises AssertionError on a difference.
    """

    name: str
    model: state_space.Model[S]
    bugs: list[SeededBug[S]]
    replay: Callable[[], int]


class Real(Protocol[StateT]):
    """Adapter that replays a model's trace on the core objects."""

    def step(self, action: str) -> None:
        """Executes one action of the model."""
        ...

    def project(self) -> StateT:
        """Returns the model state that corresponds to the objects."""
        ...


class ModelFailedError(Exception):
    """A property is violated, or a seeded bug was not detected."""


def run(specification: Specification[S]) -> None:
    """Checks one specification and prints one line per result.

    Raises:
      ModelFailedError: if a property is violated or a bug not detected.
    """
    started = time.perf_counter()
    result = state_space.check(specification.model, STATES_MAX)
    taken_s = time.perf_counter() - started
    if result.broken:
        raise ModelFailedError(f"{specification.name}: {result}")
    properties = [
        *specification.model.invariants,
        *specification.model.edge_invariants,
    ]
    print(
        f"{specification.name}: {', '.join(properties)}: hold in "
        f"{result.states} states, {taken_s:.2f} s"
    )
    for bug in specification.bugs:
        _run_bug(specification.name, bug)
    print(f"{specification.name}: {specification.replay()} traces replayed")


def _run_bug(name: str, bug: SeededBug[S]) -> None:
    result = state_space.check(bug.model, STATES_MAX)
    if result.broken != bug.caught_by:
        raise ModelFailedError(
            f"{name}: seeded bug {bug.name!r} not caught by "
            f"{bug.caught_by}: {result}"
        )
    steps = len(result.trace)
    print(
        f"{name}: bug {bug.name!r} caught by {bug.caught_by} in {steps} steps"
    )


def replay(
    model: state_space.Model[S], initial: S, make: Callable[[], Real[S]]
) -> int:
    """Replays traces covering every edge of a model on new core objects.

    Returns:
      The number of traces.

    Raises:
      AssertionError: if the objects and the model reach different states.
    """
    count = 0
    for trace in state_space.traces(model, STATES_MAX):
        _replay_one(trace, initial, make())
        count += 1
    return count


def _replay_one(
    trace: tuple[state_space.Step[S], ...], initial: S, real: Real[S]
) -> None:
    assert real.project() == initial
    for number, step in enumerate(trace):
        real.step(step.action)
        reached = real.project()
        if reached != step.state:
            actions = [taken.action for taken in trace[: number + 1]]
            raise AssertionError(
                f"the code differs from the model after {actions}: "
                f"got {reached}, expected {step.state}"
            )
