"""Explicit-state model checker that uses breadth-first search.

A model is a set of guarded actions on hashable states. The search visits each
reachable state once and checks the invariants of states and of transitions, so
it finds a shortest counterexample.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Generic
from typing import TypeVar

S = TypeVar("S", bound=Hashable)


@dataclasses.dataclass(frozen=True)
class Action(Generic[S]):
    """A guarded transition of a model.

    Attributes:
      name: unique in its model.
      enabled: guard; returns whether the action may be taken in a state.
      apply: returns the successor state; called only if enabled.
    """

    name: str
    enabled: Callable[[S], bool]
    apply: Callable[[S], S]


@dataclasses.dataclass(frozen=True)
class Model(Generic[S]):
    """A state machine and its invariants.

    Attributes:
      init: initial state.
      actions: possible transitions.
      invariants: predicates that hold in each reachable state, by name.
      edge_invariants: predicates that hold for each transition, by name;
        called with the state before it, the action's name and the state
        after it.
    """

    init: S
    actions: Sequence[Action[S]]
    invariants: Mapping[str, Callable[[S], bool]]
    edge_invariants: Mapping[str, Callable[[S, str, S], bool]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True)
class Step(Generic[S]):
    """An action of a trace and the state that it leads to."""

    action: str
    state: S


@dataclasses.dataclass(frozen=True)
class Result(Generic[S]):
    """Result of a check.

    Attributes:
      states: number of states visited.
      broken: name of the first violated property, "" if all hold.
      trace: shortest path from the initial state to the violation.
    """

    states: int
    broken: str = ""
    trace: tuple[Step[S], ...] = ()


class TooManyStatesError(Exception):
    """A model has more reachable states than the limit."""


class _Search(Generic[S]):
    """Breadth-first search that records how each state was first reached."""

    def __init__(self, model: Model[S], states_max: int) -> None:
        self._model = model
        self._states_max = states_max
        self._reached_by: dict[S, tuple[S, str] | None] = {model.init: None}

    @property
    def states(self) -> int:
        return len(self._reached_by)

    def edges(self) -> Iterator[tuple[S, str, S]]:
        """Yields each transition, in breadth-first order of its source."""
        waiting = collections.deque([self._model.init])
        while waiting:
            before = waiting.popleft()
            for action in self._model.actions:
                if not action.enabled(before):
                    continue
                after = action.apply(before)
                if after not in self._reached_by:
                    self._reached_by[after] = (before, action.name)
                    waiting.append(after)
                    self._check_size()
                yield before, action.name, after

    def path_to(self, state: S) -> tuple[Step[S], ...]:
        """Returns a shortest path from the initial state."""
        steps: list[Step[S]] = []
        reached = self._reached_by[state]
        while reached is not None:
            before, action = reached
            steps.append(Step(action, state))
            state = before
            reached = self._reached_by[state]
        return tuple(reversed(steps))

    def _check_size(self) -> None:
        if self.states > self._states_max:
            raise TooManyStatesError(
                f"the model has more than {self._states_max} states"
            )


def check(model: Model[S], states_max: int) -> Result[S]:
    """Checks all reachable states, up to the first violation.

    Raises:
      TooManyStatesError: if more than `states_max` states are reachable.
    """
    search = _Search(model, states_max)
    broken = _violated_in_state(model, model.init)
    if broken:
        return Result(1, broken)
    for before, action, after in search.edges():
        broken = _violated_by_step(model, before, action, after)
        if broken or (broken := _violated_in_state(model, after)):
            trace = (*search.path_to(before), Step(action, after))
            return Result(search.states, broken, trace)
    return Result(search.states)


def traces(model: Model[S], states_max: int) -> Iterator[tuple[Step[S], ...]]:
    """Yields a shortest trace through each transition.

    Raises:
      TooManyStatesError: if more than `states_max` states are reachable.
    """
    search = _Search(model, states_max)
    for before, action, after in search.edges():
        yield (*search.path_to(before), Step(action, after))


def _violated_in_state(model: Model[S], state: S) -> str:
    for name, holds in model.invariants.items():
        if not holds(state):
            return name
    return ""


def _violated_by_step(model: Model[S], before: S, action: str, after: S) -> str:
    for name, holds in model.edge_invariants.items():
        if not holds(before, action, after):
            return name
    return ""
