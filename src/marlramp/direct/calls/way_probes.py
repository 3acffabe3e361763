"""Measures the way to replicas at which requests wait on a version that ends.

A request that waits is taken back by the way to its replica, and a link may
fill while it waits. What opening a connection takes is the way behind the same
queues; what it has taken so far is the least that the way can be.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from marlramp import clock
from marlramp.core import replica_view
from marlramp.shell import http1_client

PROBE_MS = 250.0
"""Age of the way measured last after which it is measured again."""


class _Probe(NamedTuple):
    asked_ms: clock.Millis
    task: asyncio.Task[None]


class WayProbes:
    """Opens a connection at a time to each replica whose way is asked for."""

    def __init__(self, time: clock.Clock) -> None:
        """Measures nothing yet."""
        self._clock = time
        self._probes: dict[str, _Probe] = {}

    def look(
        self,
        view: replica_view.ReplicaView,
        pool: http1_client.ConnectionPool,
    ) -> None:
        """Notes what is known of the way now, and measures it if need be.

        Args:
          view: the replica.
          pool: its connections; the one that is opened is kept there.
        """
        now_ms = self._clock.now_ms()
        replica_id = view.replica.replica_id
        probe = self._probes.get(replica_id)
        if probe is not None:
            view.record_latency_at_least(now_ms - probe.asked_ms, now_ms)
        elif view.latency.age_ms(now_ms) > PROBE_MS:
            task = asyncio.create_task(self._open(view, pool, now_ms))
            self._probes[replica_id] = _Probe(now_ms, task)

    async def _open(
        self,
        view: replica_view.ReplicaView,
        pool: http1_client.ConnectionPool,
        asked_ms: clock.Millis,
    ) -> None:
        try:
            connection = await pool.open()
        except OSError:
            return
        finally:
            del self._probes[view.replica.replica_id]
        now_ms = self._clock.now_ms()
        view.record_latency(now_ms - asked_ms, now_ms)
        pool.give_back(connection)
