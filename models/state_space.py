"""Searches all states that a model can reach, breadth first.

A model is a set of guarded actions on hashable states. The search visits each
reachable state once, checks what must hold in it and over each step to it, and
so finds a shortest way to a fault.
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
    """A step that a model may take.

    Attributes:
      name: unique in its model.
      enabled: whether it may be taken in a state.
      apply: the state after it; called only where it is enabled.
    """

    name: str
    enabled: Callable[[S], bool]
    apply: Callable[[S], S]


@dataclasses.dataclass(frozen=True)
class Model(Generic[S]):
    """States, steps, and what must hold.

    Attributes:
      init: the first state.
      actions: the steps.
      invariants: what must hold in each reachable state, by name.
      edge_invariants: what must hold over each step, by name; called with the
        state before it, its action's name and the state after it.
    """

    init: S
    actions: Sequence[Action[S]]
    invariants: Mapping[str, Callable[[S], bool]]
    edge_invariants: Mapping[str, Callable[[S, str, S], bool]] = (
        dataclasses.field(default_factory=dict)
    )


@dataclasses.dataclass(frozen=True)
class Step(Generic[S]):
    """An action taken, and the state that it leads to."""

    action: str
    state: S


@dataclasses.dataclass(frozen=True)
class Result(Generic[S]):
    """Outcome of a search.

    Attributes:
      states: how many states were visited.
      broken: name of the first property that does not hold, "" if all do.
      trace: a shortest way from the first state to where it does not hold.
    """

    states: int
    broken: str = ""
    trace: tuple[Step[S], ...] = ()


class TooManyStatesError(Exception):
    """A model has more states than may be searched."""


class _Search(Generic[S]):
    """The states found so far, and how each was first reached."""

    def __init__(self, model: Model[S], states_max: int) -> None:
        self._model = model
        self._states_max = states_max
        self._reached_by: dict[S, tuple[S, str] | None] = {model.init: None}

    @property
    def states(self) -> int:
        return len(self._reached_by)

    def edges(self) -> Iterator[tuple[S, str, S]]:
        """Yields each step of each reachable state, nearest states first."""
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

    def way_to(self, state: S) -> tuple[Step[S], ...]:
        """Returns a shortest way from the first state."""
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
            raise TooManyStatesError(f"over {self._states_max} states")


def check(model: Model[S], states_max: int) -> Result[S]:
    """Searches all states; stops at the first property that does not hold.

    Raises:
      TooManyStatesError: if there are more than `states_max` states.
    """
    search = _Search(model, states_max)
    broken = _broken_in(model, model.init)
    if broken:
        return Result(1, broken)
    for before, action, after in search.edges():
        broken = _broken_over(model, before, action, after)
        if broken or (broken := _broken_in(model, after)):
            trace = (*search.way_to(before), Step(action, after))
            return Result(search.states, broken, trace)
    return Result(search.states)


def traces(model: Model[S], states_max: int) -> Iterator[tuple[Step[S], ...]]:
    """Yields, for each step of each reachable state, a shortest way through it.

    Raises:
      TooManyStatesError: if there are more than `states_max` states.
    """
    search = _Search(model, states_max)
    for before, action, after in search.edges():
        yield (*search.way_to(before), Step(action, after))


def _broken_in(model: Model[S], state: S) -> str:
    for name, holds in model.invariants.items():
        if not holds(state):
            return name
    return ""


def _broken_over(model: Model[S], before: S, action: str, after: S) -> str:
    for name, holds in model.edge_invariants.items():
        if not holds(before, action, after):
            return name
    return ""
