from __future__ import annotations

import random
from typing import Any

import pytest

from marlramp import clock
from marlramp import ids
from marlramp import logs
from marlramp.core.weights import swarm
from marlramp.direct.weights import stall_monitor


@pytest.fixture
def lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Fields of the logged lines."""
    found: list[dict[str, Any]] = []
    monkeypatch.setattr(
        logs, "log", lambda event, **fields: found.append(fields)
    )
    return found


def test_missing_pieces_are_listed_with_their_holders(
    lines: list[dict[str, Any]], time: clock.ManualClock, rng: random.Random
) -> None:
    current = swarm.Swarm(
        ids.VmId("vm-1"),
        ["a", "b", "c"],
        {0},
        swarm.SwarmPolicy(1.0, 700.0),
        time.now_ms(),
        rng,
    )
    current.record_holdings(ids.VmId("vm-2"), [1], [])
    watch = stall_monitor.StallMonitor(time)
    watch.check(current)
    time.advance(stall_monitor.STALL_MS - 1.0)
    watch.check(current)
    assert lines == []
    time.advance(1.0)
    watch.check(current)
    assert lines == [{"held": 1, "missing": ["1:1", "2:0"]}]


def test_arriving_pieces_are_no_stall(
    lines: list[dict[str, Any]], time: clock.ManualClock, rng: random.Random
) -> None:
    current = swarm.Swarm(
        ids.VmId("vm-1"),
        ["a", "b", "c"],
        set(),
        swarm.SwarmPolicy(1.0, 700.0),
        time.now_ms(),
        rng,
    )
    watch = stall_monitor.StallMonitor(time)
    for index in range(3):
        watch.check(current)
        time.advance(stall_monitor.STALL_MS / 2)
        current.record_chunk(index, None, valid=True, now_ms=time.now_ms())
    watch.check(current)
    time.advance(stall_monitor.STALL_MS)
    watch.check(current)
    assert lines == []
