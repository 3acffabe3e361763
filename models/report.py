"""Runs a model, its seeded bugs and the replay, and prints the outcome."""

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
    """A model with one fault, and the property that must catch it."""

    name: str
    model: state_space.Model[S]
    caught_by: str


class Specification(msgspec.Struct, Generic[S], frozen=True):
    """One protocol's model, seeded bugs and replay against the core.

    Attributes:
      name: the protocol.
      model: the correct model.
      bugs: the same model with one fault each.
      replay: drives the core objects along the model's traces and returns how
        many traces agreed; raises AssertionError where one does not.
    """

    name: str
    model: state_space.Model[S]
    bugs: list[SeededBug[S]]
    replay: Callable[[], int]


class Real(Protocol[StateT]):
    """Core objects that a trace of a model is replayed against."""

    def step(self, action: str) -> None:
        """Does one action of the model."""
        ...

    def project(self) -> StateT:
        """Returns the model state that the objects are in."""
        ...


class ModelFailedError(Exception):
    """A property is broken, or a seeded bug was not caught."""


def run(specification: Specification[S]) -> None:
    """Checks one specification and prints a line per result.

    Raises:
      ModelFailedError: if anything is not as it must be.
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
    """Replays traces that cover every edge of a model on fresh core objects.

    Returns:
      The number of traces.

    Raises:
      AssertionError: if the objects reach another state than the model.
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
                f"{reached}, not {step.state}"
            )
