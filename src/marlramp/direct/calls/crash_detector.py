"""Distinguishes the crash of a replica from the loss of a connection.

A connection that ends before its answer may have been reset, cut, or broken by
a replica that keeps running. Only a replica that no longer accepts connections
has crashed. All requests of this entry that were in flight there are suspects
of the crash.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.configuration import fleet
from marlramp.core.crashes import crash_record
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import possible_causes
from marlramp.core.replicas import replica_view
from marlramp.shell import address_probe

PROBE_WAIT_MAX_MS = 50.0
"""Longest time that a request that is already suspected waits for the probe of
a replica before the entry decides whether to send the request again."""

PENDING_MAX_MS = 10_000.0
"""Longest time that a lost attempt at an unreachable replica waits for the
replica list to show that the replica is gone."""

PENDING_MAX = 4_096
"""Most such attempts; the earliest ones are dropped first."""

BEGINNING_MS = 500.0
"""Time after the first event for which a run counts as beginning. A run that a
crash ends later was not ended by a part of its own prompt."""


class Probe(Protocol):
    """Checks whether a process listens at an address."""

    async def __call__(self, address: str) -> address_probe.Presence:
        """Probes an address of the form "host:port"."""
        ...


class LostAttempt(msgspec.Struct, frozen=True):
    """An attempt whose connection to a replica was lost.

    Attributes:
      causes: the request as a suspect.
      replica_id: the replica's id.
      crash_id: the crash that the request is a suspect of if the replica
        crashed.
      writing_ms: time from the first event to the loss, None if no event had
        arrived.
      lost_ms: clock reading when the connection was lost.
    """

    causes: possible_causes.PossibleCauses
    replica_id: str
    crash_id: ids.CrashId
    writing_ms: float | None
    lost_ms: float

    @property
    def begun(self) -> bool:
        """Whether a part of the answer had arrived."""
        return self.writing_ms is not None

    @property
    def beginning(self) -> bool:
        """Whether the run had not begun or was beginning."""
        return self.writing_ms is None or self.writing_ms < BEGINNING_MS


class CrashDetector:
    """Detects crashes, and restricts the requests that are suspects of them."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        probe: Probe,
        on_crash: Callable[[], None],
        makes_trial: Callable[[ids.PartFingerprint], bool],
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Creates a detector without lost connections.

        Args:
          record: stores crashes and their suspects.
          probe: checks whether a replica still listens.
          on_crash: called when `record` has changed.
          makes_trial: returns whether this entry is the one that sends
            requests with a condemned part as trials.
          totals: counters.
          time: the clock.
        """
        self._record = record
        self._probe = probe
        self._on_crash = on_crash
        self._makes_trial = makes_trial
        self._totals = totals
        self._clock = time
        self._probes: dict[
            ids.CrashId, asyncio.Task[address_probe.Presence]
        ] = {}
        self._lost_tasks: set[asyncio.Task[None]] = set()
        self._pending: collections.deque[LostAttempt] = collections.deque(
            maxlen=PENDING_MAX
        )

    # Restrictions of suspects.

    def is_blocked(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a request must not run again."""
        return any(map(self._record.is_blocked, causes))

    def may_try(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a blocked request may run as a trial.

        The trial begins with `begin_trial`.
        """
        return self._part_to_try(causes) is not None

    def begin_trial(self, causes: possible_causes.PossibleCauses) -> bool:
        """Begins a trial with a blocked request.

        Returns:
          False if the request may not run as a trial, or no longer.
        """
        part = self._part_to_try(causes)
        if part is None:
            return False
        self._record.begin_trial(part)
        self._totals.add(counters.CounterName.CRASHES, "trial")
        logs.log("part_trial", part=part, fingerprint=causes.content)
        self._on_crash()
        return True

    def _part_to_try(
        self, causes: possible_causes.PossibleCauses
    ) -> ids.PartFingerprint | None:
        part = self._record.part_to_try(causes, self._clock.now_ms())
        return part if part and self._makes_trial(part) else None

    def runs_alone(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a request must run isolated.

        It then goes to the replica with the fewest other requests.
        """
        return self._record.runs_alone(causes)

    def runs_once(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a request may run at one replica at most."""
        return self._record.runs_once(causes)

    # Ends of attempts and replicas.

    def record_success(self, causes: possible_causes.PossibleCauses) -> None:
        """Records that a request ran without a crash."""
        self._record.record_success(causes.content, self._clock.now_ms())

    def record_survival(
        self, causes: possible_causes.PossibleCauses, begun_ms: clock.Millis
    ) -> None:
        """Records that a run was not ended by a crash as it began.

        Args:
          causes: the request as a suspect.
          begun_ms: clock reading when the run began.
        """
        if causes.parts:
            self._record.record_survival(causes.parts, begun_ms)

    async def answer_is_whole(self, view: replica_view.ReplicaView) -> bool:
        """Returns whether an answer whose end was not marked is whole.

        It ended with its connection, as it also does if the replica crashes.
        Only a replica that still listens shows that it ended the answer itself,
        whatever state it is listed with: one that drains may crash too.

        Args:
          view: the replica.
        """
        crash = _crash_id(view)
        running = self._probes.get(crash)
        if running is not None:
            # It may have found the replica before the answer ended.
            await asyncio.wait([running])
        presence = await self._presence(crash, view.replica.address)
        return presence is address_probe.Presence.THERE

    async def handle_loss(
        self,
        causes: possible_causes.PossibleCauses,
        view: replica_view.ReplicaView,
        *,
        writing_ms: float | None,
    ) -> None:
        """Handles the loss of a request's connection to a replica.

        For a request that is already suspected, returns after the probe of the
        replica, or after `PROBE_WAIT_MAX_MS`. For others, returns at once, so
        that the few suspects do not delay them.

        Args:
          causes: the request as a suspect.
          view: the replica.
          writing_ms: time from the first event to the loss, None if no event
            had arrived.
        """
        if view.replica.state is not fleet.ReplicaState.HEALTHY:
            # A replica that leaves may exit before its last requests end.
            return
        lost = LostAttempt(
            causes,
            view.replica.replica_id,
            _crash_id(view),
            writing_ms,
            self._clock.now_ms(),
        )
        lost_task = asyncio.create_task(
            self._probe_replica(lost, view.replica.address)
        )
        self._lost_tasks.add(lost_task)
        lost_task.add_done_callback(self._lost_tasks.discard)
        if self.runs_alone(causes):
            timeout_s = PROBE_WAIT_MAX_MS / clock.MILLIS_PER_SECOND
            await asyncio.wait([lost_task], timeout=timeout_s)

    def handle_gone(self, replica_ids: Iterable[str]) -> None:
        """Records crashes at replicas that are gone or were restarted."""
        gone = set(replica_ids)
        horizon_ms = self._clock.now_ms() - PENDING_MAX_MS
        pending = list(self._pending)
        self._pending.clear()
        for lost in pending:
            if lost.lost_ms < horizon_ms:
                continue
            if lost.replica_id in gone:
                self._record_suspect(lost)
            else:
                self._pending.append(lost)

    async def _probe_replica(self, lost: LostAttempt, address: str) -> None:
        match await self._presence(lost.crash_id, address):
            case address_probe.Presence.GONE:
                self._record_suspect(lost)
            case address_probe.Presence.UNKNOWN:
                self._totals.add(counters.CounterName.CRASHES, "not_judged")
                self._pending.append(lost)
            case address_probe.Presence.THERE:
                self._totals.add(counters.CounterName.CRASHES, "no_crash")

    async def _presence(
        self, crash: ids.CrashId, address: str
    ) -> address_probe.Presence:
        """Probes a replica once for all answers that end at the same time."""
        task = self._probes.get(crash)
        if task is None:
            task = asyncio.create_task(self._probe(address))
            self._probes[crash] = task
            task.add_done_callback(lambda _: self._forget_probe(crash))
        # Other answers wait for the probe too, also if this caller leaves.
        return await asyncio.shield(task)

    def _forget_probe(self, crash: ids.CrashId) -> None:
        del self._probes[crash]

    def _record_suspect(self, lost: LostAttempt) -> None:
        self._totals.add(counters.CounterName.CRASHES, "suspect")
        content = lost.causes.content
        now_ms = self._clock.now_ms()
        self._record.add_suspect(
            lost.crash_id, content, begun=lost.begun, now_ms=now_ms
        )
        if lost.beginning and lost.causes.parts:
            self._record.add_part_suspects(lost.crash_id, lost.causes, now_ms)
        self._on_crash()
        ledger = self._record.ledger
        logs.log(
            "crash_suspected",
            replica=lost.replica_id,
            fingerprint=content,
            begun=lost.begun,
            strikes=ledger.strikes(content),
            parts=",".join(
                f"{part}:{ledger.parts.strikes(part)}"
                for part in lost.causes.parts
            ),
            beginning=lost.beginning,
        )


def _crash_id(view: replica_view.ReplicaView) -> ids.CrashId:
    return crash_reports.crash_id(view.replica.replica_id, view.born_ms)
