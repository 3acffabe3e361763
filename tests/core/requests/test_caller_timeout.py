from __future__ import annotations

from collections.abc import Callable
from typing import TypeAlias

import pytest

from marlramp.core.configuration import fleet
from marlramp.core.requests import caller_timeout

MakeRoute: TypeAlias = Callable[..., fleet.Route]


@pytest.mark.parametrize(
    ("objective_ms", "pause_ms", "gap_ms"),
    [(400.0, 400.0, 3_200.0), (600.0, 250.0, 2_400.0), (100.0, 50.0, 2_000.0)],
)
def test_callers_leave_after_the_longest_of_three_gaps(
    objective_ms: float, pause_ms: float, gap_ms: float, make_route: MakeRoute
) -> None:
    route = make_route(
        kind=fleet.RouteKind.STREAMING,
        objective_ms=objective_ms,
        pause_objective_ms=pause_ms,
    )
    assert caller_timeout.gap_timeout_ms(route) == gap_ms
    assert caller_timeout.may_have_left(route, gap_ms - 100.0)
    assert not caller_timeout.may_have_left(route, gap_ms / 2)


def test_callers_of_plain_requests_stay(make_route: MakeRoute) -> None:
    assert not caller_timeout.may_have_left(make_route(), 60_000.0)
