"""Distinguishes the crash of a replica from the loss of a connection.

A connection that ends before its answer may have been reset, cut, or broken by
a replica that keeps running. Only a replica that no longer accepts connections
has crashed. All requests of this entry that were in flight there are suspects
of the crash.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core import crash_ledger
from marlramp.core import crash_record
from marlramp.core import fleet
from marlramp.core import replica_view
from marlramp.shell import address_probe

PROBE_WAIT_MAX_MS = 50.0
"""Longest time that a request that is already suspected waits for the probe of
a replica before the entry decides whether to send the request again."""

PENDING_MAX_MS = 10_000.0
"""Longest time that a lost attempt at an unreachable replica waits for the
replica list to show that the replica is gone."""


class Probe(Protocol):
    """Checks whether a process listens at an address."""

    async def __call__(self, address: str) -> address_probe.Presence:
        """Probes an address of the form "host:port"."""
        ...


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection to a replica was lost.

    Attributes:
      fingerprint: the request's fingerprint.
      replica_id: the replica's id.
      crash_id: the crash that the request is a suspect of if the replica
        crashed.
      begun: whether a part of the answer had arrived.
      lost_ms: clock reading when the connection was lost.
    """

    fingerprint: ids.Fingerprint
    replica_id: str
    crash_id: ids.CrashId
    begun: bool
    lost_ms: float


class CrashDetector:
    """Detects crashes, and restricts the requests that are suspects of them."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        probe: Probe,
        on_crash: Callable[[], None],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Creates a detector without lost connections.

        Args:
          record: stores crashes and their suspects.
          probe: checks whether a replica still listens.
          on_crash: called when `record` has changed.
          totals: counters.
          time: the clock.
        """
        self._record = record
        self._probe = probe
        self._on_crash = on_crash
        self._totals = totals
        self._clock = time
        self._probes: dict[
            ids.CrashId, asyncio.Task[address_probe.Presence]
        ] = {}
        self._lost_tasks: set[asyncio.Task[None]] = set()
        self._pending: list[LostAttempt] = []

    # Restrictions of suspects.

    def is_blocked(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request must not run again."""
        return self._record.is_blocked(fingerprint)

    def runs_alone(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request must run isolated.

        It then goes to the replica with the fewest other requests.
        """
        return self._record.runs_alone(fingerprint)

    def runs_once(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request may run at one replica at most."""
        return self._record.runs_once(fingerprint)

    # Ends of attempts and replicas.

    def record_success(self, fingerprint: ids.Fingerprint) -> None:
        """Records that a request ran without a crash."""
        self._record.record_success(fingerprint, self._clock.now_ms())

    async def handle_loss(
        self,
        fingerprint: ids.Fingerprint,
        view: replica_view.ReplicaView,
        *,
        begun: bool,
    ) -> None:
        """Handles the loss of a request's connection to a replica.

        For a request that is already suspected, returns after the probe of the
        replica, or after `PROBE_WAIT_MAX_MS`. For others, returns at once, so
        that the few suspects do not delay them.

        Args:
          fingerprint: the request's fingerprint.
          view: the replica.
          begun: whether a part of the answer had arrived.
        """
        if view.replica.state is not fleet.ReplicaState.HEALTHY:
            # A replica that leaves may exit before its last requests end.
            return
        lost = LostAttempt(
            fingerprint,
            view.replica.replica_id,
            crash_ledger.crash_id(view.replica.replica_id, view.born_ms),
            begun,
            self._clock.now_ms(),
        )
        lost_task = asyncio.create_task(
            self._probe_replica(lost, view.replica.address)
        )
        self._lost_tasks.add(lost_task)
        lost_task.add_done_callback(self._lost_tasks.discard)
        if self._record.runs_alone(fingerprint):
            timeout_s = PROBE_WAIT_MAX_MS / clock.MILLIS_PER_SECOND
            await asyncio.wait([lost_task], timeout=timeout_s)

    def handle_gone(self, replica_ids: Iterable[str]) -> None:
        """Records crashes at replicas that are gone or were restarted."""
        gone = set(replica_ids)
        horizon_ms = self._clock.now_ms() - PENDING_MAX_MS
        pending, self._pending = self._pending, []
        for lost in pending:
            if lost.lost_ms < horizon_ms:
                continue
            if lost.replica_id in gone:
                self._record_suspect(lost)
            else:
                self._pending.append(lost)

    async def _probe_replica(self, lost: LostAttempt, address: str) -> None:
        task = self._probes.get(lost.crash_id)
        if task is None:
            task = asyncio.create_task(self._probe(address))
            self._probes[lost.crash_id] = task
            task.add_done_callback(lambda _: self._forget_probe(lost.crash_id))
        match await task:
            case address_probe.Presence.GONE:
                self._record_suspect(lost)
            case address_probe.Presence.UNKNOWN:
                self._totals.add(counters.CounterName.CRASHES, "not_judged")
                self._pending.append(lost)
            case address_probe.Presence.THERE:
                self._totals.add(counters.CounterName.CRASHES, "no_crash")

    def _forget_probe(self, crash: ids.CrashId) -> None:
        del self._probes[crash]

    def _record_suspect(self, lost: LostAttempt) -> None:
        self._totals.add(counters.CounterName.CRASHES, "suspect")
        self._record.add_suspect(
            lost.crash_id,
            lost.fingerprint,
            begun=lost.begun,
            now_ms=self._clock.now_ms(),
        )
        self._on_crash()
        logs.log(
            "crash_suspected",
            replica=lost.replica_id,
            fingerprint=lost.fingerprint,
            begun=lost.begun,
            strikes=self._record.ledger.strikes(lost.fingerprint),
        )
