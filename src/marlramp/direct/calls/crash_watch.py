"""Tells a replica that crashed from a connection that was lost.

A connection that ends before its answer did may have been reset, cut, or spoilt
by a replica that goes on. Only a replica that takes no connection any more has
crashed, and all own requests that were under way there are suspects.
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

SETTLE_MAX_MS = 50.0
"""How long a request that is suspected already waits for the verdict on a lost
replica before it is decided whether it is sent again."""

PENDING_MAX_MS = 10_000.0
"""How long the loss of a replica that can't be reached waits for the list to
tell that it is gone."""


class Probe(Protocol):
    """Finds out whether anything listens at an address."""

    async def __call__(self, address: str) -> address_probe.Presence:
        """Probes "host:port"."""
        ...


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection to a replica was lost.

    Attributes:
      fingerprint: the request.
      replica_id: the replica.
      crash_id: what it is a suspect of if the replica crashed.
      begun: whether it had brought a part of its answer.
      lost_ms: when its connection was lost.
    """

    fingerprint: ids.Fingerprint
    replica_id: str
    crash_id: ids.CrashId
    begun: bool
    lost_ms: float


class CrashWatch:
    """Judges lost connections, and holds requests back by what is known."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        probe: Probe,
        on_crash: Callable[[], None],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Watches connections to replicas.

        Args:
          record: takes crashes and their suspects.
          probe: finds out whether a replica still listens.
          on_crash: hears that `record` has changed.
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
        self._judging: set[asyncio.Task[None]] = set()
        self._pending: list[LostAttempt] = []

    # What is held against a request.

    def is_condemned(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is not to be run again."""
        return self._record.is_blocked(fingerprint)

    def runs_alone(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request goes where the fewest others run."""
        return self._record.runs_alone(fingerprint)

    def runs_once(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is sent to one replica at most."""
        return self._record.runs_once(fingerprint)

    # What happened to it.

    def note_good(self, fingerprint: ids.Fingerprint) -> None:
        """Takes a run that ended without a crash."""
        self._record.record_success(fingerprint, self._clock.now_ms())

    async def note_lost(
        self,
        fingerprint: ids.Fingerprint,
        view: replica_view.ReplicaView,
        *,
        begun: bool,
    ) -> None:
        """Takes a request whose connection to a replica was lost.

        Returns once the replica is judged, or at once for a request that is no
        suspect yet: it is not held up for the sake of the few that are.
        """
        if view.replica.state is not fleet.ReplicaState.HEALTHY:
            # A replica that leaves may end before its last requests do.
            return
        lost = LostAttempt(
            fingerprint,
            view.replica.replica_id,
            crash_ledger.crash_id(view.replica.replica_id, view.born_ms),
            begun,
            self._clock.now_ms(),
        )
        judging = asyncio.create_task(self._judge(lost, view.replica.address))
        self._judging.add(judging)
        judging.add_done_callback(self._judging.discard)
        if self._record.runs_alone(fingerprint):
            timeout_s = SETTLE_MAX_MS / clock.MILLIS_PER_SECOND
            await asyncio.wait([judging], timeout=timeout_s)

    def note_gone(self, replica_ids: Iterable[str]) -> None:
        """Takes replicas that are gone, or started again."""
        gone = set(replica_ids)
        horizon_ms = self._clock.now_ms() - PENDING_MAX_MS
        pending, self._pending = self._pending, []
        for lost in pending:
            if lost.lost_ms < horizon_ms:
                continue
            if lost.replica_id in gone:
                self._note_crash(lost)
            else:
                self._pending.append(lost)

    async def _judge(self, lost: LostAttempt, address: str) -> None:
        task = self._probes.get(lost.crash_id)
        if task is None:
            task = asyncio.create_task(self._probe(address))
            self._probes[lost.crash_id] = task
            task.add_done_callback(lambda _: self._forget(lost.crash_id))
        match await task:
            case address_probe.Presence.GONE:
                self._note_crash(lost)
            case address_probe.Presence.UNKNOWN:
                self._totals.add(counters.CounterName.CRASHES, "not_judged")
                self._pending.append(lost)
            case address_probe.Presence.THERE:
                self._totals.add(counters.CounterName.CRASHES, "no_crash")

    def _forget(self, crash: ids.CrashId) -> None:
        del self._probes[crash]

    def _note_crash(self, lost: LostAttempt) -> None:
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
