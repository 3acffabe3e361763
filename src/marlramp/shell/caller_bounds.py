"""Bounds what the connections of all callers of a process hold.

A caller that behaves sends a request, waits for its answer and reads it. One
that does not may stop before the end of a body, read no answer, open
connections that it does not use, or send chunks of one byte. Each of these is
within the limits of one connection, but many together exceed the memory or the
sockets of the VM, or take up the event loop. Connections that have held most
for longest are then refused or closed first, so that short requests are served
beside them, and long ones are parsed in turns.
"""

from __future__ import annotations

from typing import Protocol

from marlramp import clock
from marlramp import counters
from marlramp.settings import node
from marlramp.shell import shared_bytes
from marlramp.shell import turns

PROCESS_BYTES = 50_000_000
"""Memory of the program on the direct path and of its state of the fleet."""

CALLERS_SHARE = 0.5
"""Part of the other memory for callers. The rest is for answers of replicas,
links to other members, and what the allocator can't use."""

CALLERS_BYTES_MIN = 8_388_608
"""Least memory for callers: a body of the default limit fits."""

LARGE_BYTES = 65_536
"""Bytes from which on a connection is a large one."""

LARGE_SHARE = 0.75
"""Part of the memory for callers that large connections may hold. The rest is
left to small requests while bodies that can't be refused any more fill it."""

EVICT_TO_SHARE = 0.97
"""Part of a limit down to which connections are evicted beyond it, so that not
each received byte looks for one."""

EVICT_LARGE_TO_SHARE = 0.9
"""The same for the limit of large connections."""

SOCKETS_SHARE = 0.5
"""Part of the sockets for callers. The rest is for replicas, which need as many
as requests run, and for other members."""

CLOSE_TO_SHARE = 0.9
"""Part of these sockets down to which unused connections are closed."""

NEWCOMER_MS = 1_000.0
"""Time after which a connection without any request is closed before others."""


class CallerConnection(Protocol):
    """A connection of a caller."""

    @property
    def held_bytes(self) -> int:
        """Memory that the connection takes."""
        ...

    @property
    def evictable_bytes(self) -> int:
        """Part of it that is not needed by a request that may run."""
        ...

    @property
    def progress_ms(self) -> clock.Millis:
        """Clock reading when what it holds was last of use to the caller."""
        ...

    @property
    def serving(self) -> bool:
        """Whether a request is handled or its answer is sent."""
        ...

    @property
    def has_served(self) -> bool:
        """Whether a request was ever answered on the connection."""
        ...

    def shed(self) -> None:
        """Refuses requests that have not begun to run, or closes."""
        ...

    def drop(self) -> None:
        """Closes the connection at once, without an answer."""
        ...


class CallerBounds:
    """Bounds on the memory and the sockets of all callers' connections.

    Attributes:
      turns: divides the processor time for what callers send.
    """

    def __init__(
        self,
        limits: node.VmLimits,
        totals: counters.Counters,
        time: clock.Clock,
        process_bytes: int = PROCESS_BYTES,
    ) -> None:
        """Starts without connections.

        Args:
          limits: what the process may use.
          totals: counters.
          time: the clock.
          process_bytes: memory of the program and of its state of the fleet.
        """
        self._process_bytes = process_bytes
        self._totals = totals
        self._clock = time
        self.turns = turns.Turns(time)
        self._connections: dict[CallerConnection, None] = {}
        self._sockets_max = 0
        self._held = self._memory(_held_bytes, EVICT_TO_SHARE)
        self._large = self._memory(_large_bytes, EVICT_LARGE_TO_SHARE)
        self.set_limits(limits)

    def set_limits(self, limits: node.VmLimits) -> None:
        """Sets what the process may use."""
        free_bytes = limits.memory_bytes - self._process_bytes
        held_max = max(CALLERS_BYTES_MIN, int(free_bytes * CALLERS_SHARE))
        self._held.set_limit(held_max)
        self._large.set_limit(int(held_max * LARGE_SHARE))
        self._sockets_max = max(1, int(limits.sockets_max * SOCKETS_SHARE))
        if len(self._connections) > self._sockets_max:
            self._close_unused()

    def admit(self, connection: CallerConnection) -> None:
        """Adds a new connection; closes others, or it, if it is too many."""
        self._connections[connection] = None
        if len(self._connections) > self._sockets_max:
            self._close_unused(connection)
        self.record(connection)

    def record(self, connection: CallerConnection) -> None:
        """Records that a connection holds more or less than before."""
        if connection not in self._connections:
            return
        self._large.record(connection)
        self._held.record(connection)

    def forget(self, connection: CallerConnection) -> None:
        """Forgets a connection that is closed."""
        self._connections.pop(connection, None)
        self._large.forget(connection)
        self._held.forget(connection)

    def may_hold(self, size_bytes: int) -> bool:
        """Returns whether an announced body fits beside requests that run."""
        return size_bytes < LARGE_BYTES or self._large.fits_beside(
            size_bytes, _fixed_bytes
        )

    def _memory(
        self,
        measure: shared_bytes.Measure[CallerConnection],
        evict_to_share: float,
    ) -> shared_bytes.SharedBytes[CallerConnection]:
        return shared_bytes.SharedBytes(
            0, measure, self._shed, self._memory_rank, evict_to_share
        )

    def _memory_rank(self, connection: CallerConnection) -> float:
        """Returns the bytes times the time for which they were held."""
        evictable_bytes = connection.evictable_bytes
        if not evictable_bytes:
            return shared_bytes.NOT_EVICTABLE
        held_ms = self._clock.now_ms() - connection.progress_ms
        return evictable_bytes * max(1.0, held_ms)

    def _shed(self, connection: CallerConnection) -> None:
        self._totals.add(counters.CounterName.CONNECTIONS_EVICTED, "memory")
        connection.shed()

    def _close_unused(self, newcomer: CallerConnection | None = None) -> None:
        """Closes connections on which no request runs.

        Args:
          newcomer: the connection that is closed only if there is no other.
        """
        unused = [
            each
            for each in self._connections
            if each is not newcomer and not each.serving
        ]
        unused.sort(key=self._use)
        kept_max = int(self._sockets_max * CLOSE_TO_SHARE)
        excess = len(self._connections) - max(1, kept_max)
        closed = unused[:excess]
        if newcomer is not None and not closed:
            closed = [newcomer]
        for connection in closed:
            self._totals.add(
                counters.CounterName.CONNECTIONS_EVICTED, "sockets"
            )
            self.forget(connection)
            connection.drop()

    def _use(self, connection: CallerConnection) -> tuple[bool, float]:
        """Returns a key that is lowest for the connection of least use."""
        idle_ms = self._clock.now_ms() - connection.progress_ms
        is_unused = not connection.has_served and idle_ms >= NEWCOMER_MS
        return (not is_unused, connection.progress_ms)


def _held_bytes(connection: CallerConnection) -> int:
    return connection.held_bytes


def _large_bytes(connection: CallerConnection) -> int:
    held_bytes = connection.held_bytes
    return held_bytes if held_bytes > LARGE_BYTES else 0


def _fixed_bytes(connection: CallerConnection) -> int:
    return connection.held_bytes - connection.evictable_bytes
