"""Which connections are refused or closed when callers hold too much."""

from __future__ import annotations

import pytest

from marlramp import clock
from marlramp import counters
from marlramp.settings import node
from marlramp.shell import caller_bounds

MIB = 1_048_576
CALLERS_BYTES = 16 * MIB
LIMITS = node.VmLimits(
    memory_bytes=caller_bounds.PROCESS_BYTES + 2 * CALLERS_BYTES,
    sockets_max=40,
)
CONNECTIONS_MAX = 20


class Connection:
    """A connection that gives up its bytes when it is told to."""

    def __init__(
        self,
        held_bytes: int = 0,
        progress_ms: float = 0.0,
        *,
        serving: bool = False,
        has_served: bool = False,
    ) -> None:
        self.held_bytes = held_bytes
        self.progress_ms = clock.Millis(progress_ms)
        self.serving = serving
        self.has_served = has_served
        self.was_shed = False
        self.was_dropped = False

    @property
    def evictable_bytes(self) -> int:
        return 0 if self.serving else self.held_bytes

    def shed(self) -> None:
        self.was_shed = True
        self.held_bytes = 0

    def drop(self) -> None:
        self.was_dropped = True


@pytest.fixture
def totals() -> counters.Counters:
    return counters.Counters()


@pytest.fixture
def bounds(
    totals: counters.Counters, time: clock.ManualClock
) -> caller_bounds.CallerBounds:
    return caller_bounds.CallerBounds(LIMITS, totals, time)


def admit(
    bounds: caller_bounds.CallerBounds, *connections: Connection
) -> list[bool]:
    for connection in connections:
        bounds.admit(connection)
    return [connection.was_shed for connection in connections]


def test_connection_that_held_most_for_longest_is_refused(
    bounds: caller_bounds.CallerBounds, totals: counters.Counters
) -> None:
    """Guards against an upload that ends with those that never do."""
    shed = admit(
        bounds,
        Connection(4 * MIB, progress_ms=0.0),
        Connection(4 * MIB, progress_ms=900.0),
        Connection(3 * MIB, progress_ms=0.0),
        Connection(2 * MIB, progress_ms=0.0),
    )
    assert shed == [True, False, False, False]
    name = counters.CounterName.CONNECTIONS_EVICTED
    assert totals.total(name, "memory") == 1


def test_small_requests_are_kept_beside_large_ones_that_run(
    bounds: caller_bounds.CallerBounds,
) -> None:
    """Guards against an ordinary request that is refused for a crowd."""
    running = [Connection(4 * MIB, serving=True) for _ in range(3)]
    small = [Connection(32_768) for _ in range(60)]
    assert not any(admit(bounds, *running, *small))
    assert admit(bounds, Connection(MIB)) == [True]
    assert not any(connection.was_shed for connection in small)


def test_announced_body_must_fit_beside_requests_that_run(
    bounds: caller_bounds.CallerBounds,
) -> None:
    admit(bounds, *[Connection(4 * MIB, serving=True) for _ in range(2)])
    admit(bounds, Connection(4 * MIB))
    assert bounds.may_hold(4 * MIB)
    admit(bounds, Connection(MIB, serving=True))
    assert not bounds.may_hold(4 * MIB)
    assert bounds.may_hold(1_000)


def test_bytes_of_a_closed_connection_are_free_again(
    bounds: caller_bounds.CallerBounds,
) -> None:
    running = [Connection(4 * MIB, serving=True) for _ in range(3)]
    admit(bounds, *running)
    for connection in running:
        bounds.forget(connection)
        bounds.record(connection)
    assert bounds.may_hold(12 * MIB)


@pytest.mark.parametrize("memory_bytes", [1_000_000, 80_000_000])
def test_body_of_the_default_limit_fits_on_any_vm(
    memory_bytes: int,
    totals: counters.Counters,
    time: clock.ManualClock,
) -> None:
    limits = node.VmLimits(memory_bytes=memory_bytes)
    bounds = caller_bounds.CallerBounds(limits, totals, time)
    assert bounds.may_hold(4 * MIB)
    assert admit(bounds, Connection(5 * MIB)) == [False]


def test_changed_limits_apply_to_what_is_held_next(
    bounds: caller_bounds.CallerBounds,
) -> None:
    held = Connection(10 * MIB)
    admit(bounds, held)
    bounds.set_limits(node.VmLimits(memory_bytes=1))
    bounds.record(held)
    assert held.was_shed


def test_unused_connections_are_closed_before_those_in_use(
    bounds: caller_bounds.CallerBounds,
    totals: counters.Counters,
    time: clock.ManualClock,
) -> None:
    """Guards against a crowd that closes the connections of other callers."""
    served = [Connection(has_served=True) for _ in range(10)]
    serving = [Connection(serving=True) for _ in range(5)]
    crowd = [Connection(progress_ms=500.0) for _ in range(5)]
    admit(bounds, *served, *serving, *crowd)
    time.advance(1_000.0)
    newcomer = Connection(progress_ms=time.now_ms())
    admit(bounds, newcomer)
    assert sum(connection.was_dropped for connection in crowd) == 3
    kept = [*served, *serving, newcomer]
    assert not any(connection.was_dropped for connection in kept)
    name = counters.CounterName.CONNECTIONS_EVICTED
    assert totals.total(name, "sockets") == 3


def test_newcomers_do_not_close_each_other(
    bounds: caller_bounds.CallerBounds, time: clock.ManualClock
) -> None:
    """Guards against a burst of callers of which each closes the last."""
    now_ms = time.now_ms()
    old = [Connection(has_served=True) for _ in range(CONNECTIONS_MAX)]
    new = [Connection(progress_ms=now_ms) for _ in range(CONNECTIONS_MAX // 2)]
    admit(bounds, *old, *new)
    assert not any(connection.was_dropped for connection in new)


def test_fewer_sockets_apply_to_open_connections(
    bounds: caller_bounds.CallerBounds,
) -> None:
    idle = [Connection() for _ in range(CONNECTIONS_MAX)]
    admit(bounds, *idle)
    bounds.set_limits(node.VmLimits(sockets_max=20))
    assert sum(connection.was_dropped for connection in idle) == 11


def test_newcomer_is_closed_beside_requests_that_run(
    bounds: caller_bounds.CallerBounds,
) -> None:
    running = [Connection(serving=True) for _ in range(CONNECTIONS_MAX)]
    newcomer = Connection()
    admit(bounds, *running, newcomer)
    assert newcomer.was_dropped
    assert not any(connection.was_dropped for connection in running)
