"""Tests of the order in which engines load a version."""

from __future__ import annotations

import pytest

from marlramp import clock
from marlramp.core.weights import swap_schedule

KEY = "m@2"
VMS = ["agent-0", "agent-1", "agent-2"]


@pytest.fixture
def orders() -> dict[str, swap_schedule.LoadingOrder]:
    """Returns the loading order of each VM; all engines are present."""
    orders = {vm_id: swap_schedule.LoadingOrder(vm_id) for vm_id in VMS}
    for vm_id, order in orders.items():
        order.set_peers(
            [peer for peer in VMS if peer != vm_id], clock.Millis(0)
        )
    return orders


def positions(
    orders: dict[str, swap_schedule.LoadingOrder], now_ms: float
) -> list[float]:
    now = clock.Millis(now_ms)
    return sorted(
        order.position(KEY, now, peers_known=True) for order in orders.values()
    )


def test_engines_that_fall_silent_together_do_not_load_together(
    orders: dict[str, swap_schedule.LoadingOrder],
) -> None:
    for order in orders.values():
        order.set_peers([], clock.Millis(1_000))

    assert positions(orders, 2_500) == [0.0, 0.5, 1.0]


def test_engine_that_is_gone_loses_its_position(
    orders: dict[str, swap_schedule.LoadingOrder],
) -> None:
    order = orders["agent-0"]
    order.set_peers([], clock.Millis(1_000))

    gone_ms = clock.Millis(1_000 + swap_schedule.LOST_PEER_MS)
    for key in (KEY, "m@3"):
        assert order.position(key, gone_ms, peers_known=True) == 0.0


def test_engine_that_returns_is_counted_once_and_may_be_lost_again(
    orders: dict[str, swap_schedule.LoadingOrder],
) -> None:
    for order in orders.values():
        order.set_peers([], clock.Millis(1_000))
    for vm_id, order in orders.items():
        order.set_peers([p for p in VMS if p != vm_id], clock.Millis(2_000))
    assert positions(orders, 60_000) == [0.0, 0.5, 1.0]

    for order in orders.values():
        order.set_peers([], clock.Millis(60_000))

    lost_ms = 60_000 + swap_schedule.LOST_PEER_MS
    assert positions(orders, lost_ms - 1) == [0.0, 0.5, 1.0]
    assert positions(orders, lost_ms) == [0.0, 0.0, 0.0]


def test_agents_that_have_just_started_do_not_load_together() -> None:
    names = [f"agent-{number}" for number in range(200)]
    now_ms = clock.Millis(0)
    starts = [
        swap_schedule.LoadingOrder(name).position(
            KEY, now_ms, peers_known=False
        )
        for name in names
    ]

    assert all(0.0 <= start <= 1.0 for start in starts)
    tenths = [
        sum(n <= 10 * start < n + 1 for start in starts) for n in range(10)
    ]
    assert all(5 <= count <= 40 for count in tenths)
    known = [swap_schedule.order_position(name, names, KEY) for name in names]
    by_likely = sorted(names, key=lambda name: starts[names.index(name)])
    by_known = sorted(names, key=lambda name: known[names.index(name)])
    assert by_likely == by_known
