"""Measures the path latency to replicas whose requests are withdrawn soon.

A request that waits for an old version of the weights is withdrawn before a
newer version becomes mandatory. The withdrawal needs the path latency to reach
the replica, and the link may become congested while the request waits. Opening
a connection measures the latency, since its packets wait in the network queues
that the withdrawal passes. While the connection is being opened, the time that
it has taken is a lower bound of the latency.
"""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from marlramp import clock
from marlramp.core.replicas import replica_view
from marlramp.shell import http1_client

LATENCY_AGE_MAX_MS = 250.0
"""Age of the last measured path latency above which it is measured again."""


class _Probe(NamedTuple):
    started_ms: clock.Millis
    task: asyncio.Task[None]


class LatencyProbes:
    """Measures path latencies, with one connection at a time to a replica."""

    def __init__(self, time: clock.Clock) -> None:
        """Creates an object without probes."""
        self._clock = time
        self._probes: dict[str, _Probe] = {}

    def check(
        self,
        view: replica_view.ReplicaView,
        pool: http1_client.ConnectionPool,
    ) -> None:
        """Records a lower bound of the path latency, or starts a measurement.

        A measurement starts if none is in progress and the last one is older
        than `LATENCY_AGE_MAX_MS`.

        Args:
          view: the replica.
          pool: connections to the replica; keeps the connection that is
            opened.
        """
        now_ms = self._clock.now_ms()
        replica_id = view.replica.replica_id
        probe = self._probes.get(replica_id)
        if probe is not None:
            view.record_latency_at_least(now_ms - probe.started_ms, now_ms)
        elif view.latency.age_ms(now_ms) > LATENCY_AGE_MAX_MS:
            task = asyncio.create_task(self._open(view, pool, now_ms))
            self._probes[replica_id] = _Probe(now_ms, task)

    async def _open(
        self,
        view: replica_view.ReplicaView,
        pool: http1_client.ConnectionPool,
        started_ms: clock.Millis,
    ) -> None:
        try:
            connection = await pool.open()
        except OSError:
            return
        finally:
            del self._probes[view.replica.replica_id]
        now_ms = self._clock.now_ms()
        view.record_latency(now_ms - started_ms, now_ms)
        pool.give_back(connection)
