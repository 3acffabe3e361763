from __future__ import annotations

import pytest

from models import state_space

_MAX = 1_000


@pytest.fixture
def counter() -> state_space.Model[int]:
    """Returns a counter up to four in steps of one or two, with a reset."""
    return state_space.Model(
        init=0,
        actions=[
            state_space.Action("one", lambda s: s < 4, lambda s: s + 1),
            state_space.Action("two", lambda s: s < 3, lambda s: s + 2),
            state_space.Action("reset", lambda s: s == 4, lambda s: 0),
        ],
        invariants={"small": lambda s: s <= 4},
    )


def test_all_states_are_visited_once(counter: state_space.Model[int]) -> None:
    assert state_space.check(counter, _MAX) == state_space.Result(5)


def test_shortest_path_to_a_violation_is_found() -> None:
    model = state_space.Model(
        init=0,
        actions=[
            state_space.Action("one", lambda s: True, lambda s: s + 1),
            state_space.Action("two", lambda s: True, lambda s: s + 2),
        ],
        invariants={"under_four": lambda s: s < 4},
    )
    result = state_space.check(model, _MAX)
    assert result.broken == "under_four"
    assert [step.action for step in result.trace] == ["two", "two"]
    assert result.trace[-1].state == 4


def test_initial_state_is_checked() -> None:
    model = state_space.Model(
        init=0, actions=[], invariants={"positive": lambda s: s > 0}
    )
    assert state_space.check(model, _MAX).broken == "positive"


def test_forbidden_step_between_known_states_is_found(
    counter: state_space.Model[int],
) -> None:
    model = state_space.Model(
        init=counter.init,
        actions=counter.actions,
        invariants={},
        edge_invariants={
            "never_falls": lambda before, action, after: after >= before
        },
    )
    result = state_space.check(model, _MAX)
    assert result.broken == "never_falls"
    assert result.trace[-1] == state_space.Step("reset", 0)


def test_traces_take_every_step_of_every_state(
    counter: state_space.Model[int],
) -> None:
    traces = list(state_space.traces(counter, _MAX))
    taken = set()
    for trace in traces:
        before = counter.init
        for step in trace:
            taken.add((before, step.action, step.state))
            before = step.state
    expected = {(n, "one", n + 1) for n in range(4)}
    expected |= {(n, "two", n + 2) for n in range(3)}
    expected |= {(4, "reset", 0)}
    assert taken == expected
    assert len(traces) == len(expected)


def test_model_with_too_many_states_is_rejected() -> None:
    model = state_space.Model(
        init=0,
        actions=[state_space.Action("up", lambda s: True, lambda s: s + 1)],
        invariants={},
    )
    with pytest.raises(state_space.TooManyStatesError):
        state_space.check(model, _MAX)
