"""Single-use grants, kept by the agent that runs the work.

A grant has a number and belongs to one incarnation of one agent. It expires on
the agent's clock and is consumed at most once. A request that is delivered
twice, or that a resumed entry sends late, therefore runs at most once. The
ledger keeps outstanding grants and runs in progress, and for `RUN_RETENTION_MS`
also ended runs and voided grants. It reports any other number as unknown.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp import ids

RUN_RETENTION_MS = 120_000.0
"""Time for which the outcome of an ended run can be queried."""

RECORDS_MAX = 65_536
"""Most ended runs, and most voided grants, that are recorded; the oldest are
reported as unknown."""

RESERVED_MAX = 4096
"""Most reserved grants that one agent has outstanding."""

USABLE_FRACTION = 0.6
"""Fraction of a grant's TTL after which a fresh grant replaces it."""


class RunState(enum.Enum):
    """State of a grant and of the run that it permits."""

    NOT_STARTED = "not_started"
    RUNNING = "running"
    SUCCEEDED = "succeeded"
    FAILED = "failed"
    VOID = "void"
    UNKNOWN = "unknown"


class Grant(msgspec.Struct, frozen=True):
    """Permission for one entry to run one request.

    Attributes:
      number: number within the incarnation.
      entry_id: the entry that the grant is issued to.
      expires_ms: time on the agent's clock from which the grant is void.
      reserved: whether the grant backs a run token and holds no capacity.
    """

    number: ids.GrantNumber
    entry_id: ids.VmId
    expires_ms: float
    reserved: bool


class Refusal(msgspec.Struct, frozen=True):
    """Why a grant could not be consumed, and whether its request ever ran."""

    kind: errors.ErrorKind
    ran: errors.Ran


class Run(msgspec.Struct):
    """A run that consumed a grant."""

    number: ids.GrantNumber
    entry_id: ids.VmId
    state: RunState
    ended_ms: float | None = None


class GrantLedger:
    """Issues grants within the capacity and lets each be consumed once."""

    def __init__(
        self,
        incarnation: ids.Incarnation,
        capacity: int,
        grant_ttl_ms: float,
        reserved_ttl_ms: float,
    ) -> None:
        """Creates a closed ledger; call `open` once the upstream is ready.

        Args:
          incarnation: random number of this start of the agent.
          capacity: most requests that the upstream runs at once.
          grant_ttl_ms: TTL of an ordinary grant.
          reserved_ttl_ms: TTL of a grant that backs a run token.
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
        """Sets the TTL of run tokens that are issued from now on."""
        self._reserved_ttl_ms = reserved_ttl_ms

    @property
    def is_open(self) -> bool:
        """Whether grants are issued."""
        return self._open

    @property
    def running_count(self) -> int:
        """Number of runs in progress."""
        return len(self._running)

    def open(self) -> None:
        """Allows grants to be issued."""
        self._open = True

    def close(self, now_ms: clock.Millis) -> None:
        """Voids every outstanding grant and stops issuing grants."""
        self._open = False
        for number in list(self._outstanding):
            self._void(number, now_ms)

    def usable_count(
        self, now_ms: clock.Millis, entry_id: ids.VmId | None = None
    ) -> int:
        """Returns the number of ordinary grants that are still worth using.

        Args:
          now_ms: time on the agent's clock.
          entry_id: the entry whose grants are counted, None for all entries.
        """
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
        """Issues grants until the entry holds `target`, capacity permitting.

        Args:
          entry_id: the entry that receives the grants.
          target: total number of runs and grants that the entry should hold.
          now_ms: time on the agent's clock.

        Returns:
          The numbers of the issued grants, oldest first.
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
        """Issues a grant that backs a run token.

        Returns:
          The grant's number, None if the ledger is closed or `RESERVED_MAX`
          reserved grants are outstanding.
        """
        self.expire(now_ms)
        reserved = sum(1 for g in self._outstanding.values() if g.reserved)
        if not self._open or reserved >= RESERVED_MAX:
            return None
        return self._issue_one(entry_id, now_ms, reserved=True)

    def consume(
        self,
        incarnation: ids.Incarnation,
        number: ids.GrantNumber,
        entry_id: ids.VmId,
        now_ms: clock.Millis,
        *,
        from_token: bool = False,
    ) -> Refusal | None:
        """Consumes a grant and starts its run.

        Args:
          incarnation: incarnation that the grant belongs to.
          number: the grant's number.
          entry_id: the entry that sends the request.
          now_ms: time on the agent's clock.
          from_token: whether the grant backs a run token, so that an earlier
            message may have named the grant.

        Returns:
          None if the run may start, else the reason for the refusal. A refused
          message starts no run. For a run token, the refusal also says
          whether an earlier message started the run.
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
        """Records how a run ended; ignores numbers of runs not in progress."""
        run = self._running.pop(number, None)
        if run is None:
            return
        run.state = state
        run.ended_ms = now_ms
        self._ended[number] = run
        if len(self._ended) > RECORDS_MAX:
            del self._ended[next(iter(self._ended))]

    def cancel(
        self,
        incarnation: ids.Incarnation,
        number: ids.GrantNumber,
        now_ms: clock.Millis,
    ) -> RunState:
        """Voids an unused grant, even if the request arrives only later.

        Returns:
          VOID if the grant has started no run and can start none, else the
          state of the grant's run.
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
        """Returns the state of a grant, UNKNOWN if the ledger has no record."""
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
        """Voids expired grants and removes records past the retention time."""
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
        if len(self._voided_ms) > RECORDS_MAX:
            del self._voided_ms[next(iter(self._voided_ms))]


def divide_capacity(
    capacity: int, demand: dict[ids.VmId, int]
) -> dict[ids.VmId, int]:
    """Divides capacity among entries by demand.

    Each entry gets at least one slot while the capacity suffices, so that a
    request that arrives at an idle entry does not wait for a heartbeat.

    Args:
      capacity: slots to divide.
      demand: requests running and waiting for this agent by entry.

    Returns:
      Slots by entry; the sum is at most `capacity`.
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
