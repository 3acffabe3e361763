"""Single-use grants of work, kept by the agent that runs the work.

A grant is numbered and belongs to one incarnation of one agent. It expires on
the agent's clock and is taken at most once, so a request carried twice, or by
an entry that woke late, runs at most once. The ledger remembers only grants
that are outstanding and runs that ended recently: any other number is void.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp import ids

RUN_RETENTION_MS = 120_000.0
"""How long the outcome of an ended run can be asked for."""

RESERVED_MAX = 4096
"""Most reserved grants outstanding at one agent."""

USABLE_FRACTION = 0.6
"""Part of a grant's lifetime after which a fresh one replaces it."""


class RunState(enum.Enum):
    """What became of a grant."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    VOID = "void"
    UNKNOWN = "unknown"


class Grant(msgspec.Struct, frozen=True):
    """Permission for one entry to have one request run.

    Attributes:
      number: number within the incarnation.
      entry_id: the entry it was issued to.
      expires_ms: agent clock reading after which it is void.
      reserved: whether it backs a run token and holds no capacity.
    """

    number: ids.GrantNumber
    entry_id: ids.VmId
    expires_ms: float
    reserved: bool


class Refusal(msgspec.Struct, frozen=True):
    """Why a grant could not be taken, and whether its request ever ran."""

    kind: errors.ErrorKind
    ran: errors.Ran


class Run(msgspec.Struct):
    """A run that a grant was taken for."""

    number: ids.GrantNumber
    entry_id: ids.VmId
    state: RunState
    ended_ms: float | None = None


class GrantLedger:
    """Issues grants within the capacity and takes each at most once."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        capacity: int,
        grant_ttl_ms: float,
        reserved_ttl_ms: float,
    ) -> None:
        """Starts closed; call `open` once the upstream is ready.

        Args:
          incarnation: number drawn at process start.
          capacity: most requests the upstream runs at once.
          grant_ttl_ms: lifetime of an ordinary grant.
          reserved_ttl_ms: lifetime of a grant behind a run token.
        """
        self.incarnation = incarnation
        self.capacity = capacity
        self._grant_ttl_ms = grant_ttl_ms
        self._reserved_ttl_ms = reserved_ttl_ms
        self._next_number = 1
        self._open = False
        self._outstanding: dict[ids.GrantNumber, Grant] = {}
        self._running: dict[ids.GrantNumber, Run] = {}
        self._ended: dict[ids.GrantNumber, Run] = {}
        self._voided_ms: dict[ids.GrantNumber, float] = {}

    def set_reserved_ttl(self, reserved_ttl_ms: float) -> None:
        """Applies a changed lifetime to run tokens issued from now on."""
        self._reserved_ttl_ms = reserved_ttl_ms

    @property
    def is_open(self) -> bool:
        """Whether grants are issued and taken."""
        return self._open

    @property
    def running_count(self) -> int:
        """Number of runs in progress."""
        return len(self._running)

    def open(self) -> None:
        """Allows grants to be issued and taken."""
        self._open = True

    def close(self, now_ms: clock.Millis) -> None:
        """Voids every outstanding grant and issues no more."""
        self._open = False
        for number in list(self._outstanding):
            self._void(number, now_ms)

    def usable_count(
        self, now_ms: clock.Millis, entry_id: ids.VmId | None = None
    ) -> int:
        """Number of ordinary grants worth using, at one entry or at all."""
        rest_ms = (1.0 - USABLE_FRACTION) * self._grant_ttl_ms
        return sum(
            1
            for grant in self._outstanding.values()
            if not grant.reserved
            and entry_id in (None, grant.entry_id)
            and grant.expires_ms - rest_ms > now_ms
        )

    def issue(
        self, entry_id: ids.VmId, target: int, now_ms: clock.Millis
    ) -> list[ids.GrantNumber]:
        """Issues grants until the entry holds `target`, capacity allowing.

        Args:
          entry_id: the entry to grant to.
          target: runs and grants the entry should hold in all.
          now_ms: the agent's time.

        Returns:
          The numbers issued, oldest first.
        """
        if not self._open:
            return []
        self.expire(now_ms)
        held = self.usable_count(now_ms, entry_id) + sum(
            1 for run in self._running.values() if run.entry_id == entry_id
        )
        free = self.capacity - self.usable_count(now_ms) - len(self._running)
        count = max(0, min(target - held, free))
        return [
            self._issue_one(entry_id, now_ms, reserved=False)
            for _ in range(count)
        ]

    def reserve(
        self, entry_id: ids.VmId, now_ms: clock.Millis
    ) -> ids.GrantNumber | None:
        """Issues a grant for a run token, or None when that is not possible."""
        self.expire(now_ms)
        reserved = sum(1 for g in self._outstanding.values() if g.reserved)
        if not self._open or reserved >= RESERVED_MAX:
            return None
        return self._issue_one(entry_id, now_ms, reserved=True)

    def take(
        self,
        incarnation: ids.Incarnation,
        number: ids.GrantNumber,
        entry_id: ids.VmId,
        now_ms: clock.Millis,
        *,
        from_token: bool = False,
    ) -> Refusal | None:
        """Takes a grant for a run.

        Args:
          incarnation: incarnation that the grant belongs to.
          number: the grant.
          entry_id: the entry that asks.
          now_ms: the agent's time.
          from_token: whether the grant is behind a run token, so that another
            message may have named it before.

        Returns:
          None when the run may start, else why it may not. Every refusal
          means that this message starts no run; for a run token it also says
          whether an earlier message did.
        """
        unknown = Refusal(errors.ErrorKind.GRANT_VOID, errors.Ran.NO)
        if from_token:
            unknown = Refusal(
                errors.ErrorKind.RUN_TOKEN_VOID, errors.Ran.UNKNOWN
            )
        state = self.state(incarnation, number, now_ms)
        if state is RunState.UNKNOWN:
            return unknown
        if state is RunState.VOID:
            return Refusal(errors.ErrorKind.GRANT_VOID, errors.Ran.NO)
        if state is not RunState.NOT_STARTED:
            return Refusal(errors.ErrorKind.RUN_ALREADY_STARTED, errors.Ran.YES)
        grant = self._outstanding[number]
        if grant.reserved and len(self._running) >= self.capacity:
            return Refusal(errors.ErrorKind.UPSTREAM_BUSY, errors.Ran.NO)
        del self._outstanding[number]
        self._running[number] = Run(number, entry_id, RunState.RUNNING)
        return None

    def finish(
        self,
        number: ids.GrantNumber,
        state: RunState,
        now_ms: clock.Millis,
    ) -> None:
        """Records how a run ended; unknown numbers are ignored."""
        run = self._running.pop(number, None)
        if run is None:
            return
        run.state = state
        run.ended_ms = now_ms
        self._ended[number] = run

    def cancel(
        self,
        incarnation: ids.Incarnation,
        number: ids.GrantNumber,
        now_ms: clock.Millis,
    ) -> RunState:
        """Voids a grant that was not taken, also before its run arrives.

        Returns:
          VOID when the grant cannot start a run any more and never has,
          else the state of its run.
        """
        if incarnation != self.incarnation:
            return RunState.UNKNOWN
        state = self.state(incarnation, number, now_ms)
        if state is RunState.NOT_STARTED:
            self._void(number, now_ms)
            return RunState.VOID
        return state

    def state(
        self,
        incarnation: ids.Incarnation,
        number: ids.GrantNumber,
        now_ms: clock.Millis,
    ) -> RunState:
        """Returns what became of a grant, UNKNOWN when it is forgotten."""
        if incarnation != self.incarnation:
            return RunState.UNKNOWN
        self.expire(now_ms)
        run = self._running.get(number) or self._ended.get(number)
        if run is not None:
            return run.state
        if number in self._outstanding:
            return RunState.NOT_STARTED
        if number in self._voided_ms:
            return RunState.VOID
        return RunState.UNKNOWN

    def expire(self, now_ms: clock.Millis) -> None:
        """Voids expired grants and forgets runs that ended long ago."""
        for grant in list(self._outstanding.values()):
            if grant.expires_ms <= now_ms:
                self._void(grant.number, now_ms)
        horizon_ms = now_ms - RUN_RETENTION_MS
        for number, run in list(self._ended.items()):
            if run.ended_ms is None or run.ended_ms > horizon_ms:
                break
            del self._ended[number]
        for number, voided_ms in list(self._voided_ms.items()):
            if voided_ms > horizon_ms:
                break
            del self._voided_ms[number]

    def _issue_one(
        self, entry_id: ids.VmId, now_ms: clock.Millis, *, reserved: bool
    ) -> ids.GrantNumber:
        number = ids.GrantNumber(self._next_number)
        self._next_number += 1
        ttl_ms = self._reserved_ttl_ms if reserved else self._grant_ttl_ms
        self._outstanding[number] = Grant(
            number, entry_id, now_ms + ttl_ms, reserved
        )
        return number

    def _void(self, number: ids.GrantNumber, now_ms: clock.Millis) -> None:
        del self._outstanding[number]
        self._voided_ms[number] = now_ms


def divide_capacity(
    capacity: int, demand: dict[ids.VmId, int]
) -> dict[ids.VmId, int]:
    """Divides capacity among entries by demand.

    Each entry gets at least one grant while there is one to give, so that a
    request that arrives at an idle entry need not wait for a heartbeat.

    Args:
      capacity: slots to divide.
      demand: requests running and waiting for this agent by entry.

    Returns:
      Slots by entry; their sum is at most `capacity`.
    """
    entries = sorted(demand)
    shares = {entry: 0 for entry in entries}
    left = capacity
    for entry in entries[:capacity]:
        shares[entry] = 1
        left -= 1
    if left <= 0:
        return shares
    total = sum(demand.values())
    if total == 0:
        weights = dict.fromkeys(entries, 1.0 / max(1, len(entries)))
    else:
        weights = {entry: demand[entry] / total for entry in entries}
    pool = left
    for entry in entries:
        extra = int(pool * weights[entry])
        shares[entry] += extra
        left -= extra
    by_weight = sorted(entries, key=lambda entry: (-weights[entry], entry))
    for entry in by_weight[:left]:
        shares[entry] += 1
    return shares
