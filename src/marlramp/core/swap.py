"""Permits to stop serving for a version swap, given out by each entry.

An agent whose engine cannot hold two versions must stop serving to swap. It
first asks every entry that it hears from, and swaps only when all permit it.
Each entry permits only so many of the agents linked to it at once, and never
the last one ready. The entries need not agree on anything among themselves.

Permits end by time on both sides. The agent counts from before its first
question, and uses a permit in the first half of its life only; the entry
counts from when a question came. So the agent's end is always the earlier one,
and half of the life is left for the news that the agent has stopped.
"""

from __future__ import annotations

import collections
import enum

import msgspec

from marlramp import clock
from marlramp import ids

HOLD_MIN_MS = 3_000.0
HOLD_MAX_MS = 48_000.0
"""Shortest and longest life of a permit; late answers make it longer."""

USABLE_FRACTION = 0.5
"""Part of a permit's life in which the agent may begin its swap."""

ASK_AGAIN_FRACTION = 0.25
"""Part of a permit's life after which an entry without an answer is asked
again, since the question or its answer may be lost."""

HOLD_MARGIN = 1.5
"""Permits may be used for this many times as long as answers took."""

ROUNDS_KEPT = 256
"""Rounds whose begin is kept, so that late answers can be dated."""

RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 800.0
"""An agent that got only some permits gives them back and waits for a time
drawn between these, so that two agents do not refuse each other for ever."""


class Standing(enum.Enum):
    """How an agent's attempt to collect permits stands."""

    WAITING = "waiting"
    PERMITTED = "permitted"
    REFUSED = "refused"
    OVER = "over"


class Replica(msgspec.Struct, frozen=True):
    """A replica of a service as an entry sees it.

    Attributes:
      vm_id: its VM.
      ready: whether it serves and was heard from lately.
    """

    vm_id: ids.VmId
    ready: bool


class Question(msgspec.Struct, frozen=True):
    """An agent's question for a permit.

    Attributes:
      vm_id: its VM.
      service_id: its service.
      incarnation: the start of the agent that asks.
      number: number of its round.
      hold_ms: life of the permit that it asks for.
    """

    vm_id: ids.VmId
    service_id: ids.ServiceId
    incarnation: ids.Incarnation
    number: int
    hold_ms: float


class _Permit(msgspec.Struct, frozen=True):
    """A permit and when it ends."""

    question: Question
    until_ms: float


class PermitDesk:
    """One entry's permits."""

    def __init__(self, started_ms: clock.Millis) -> None:
        """Starts with no permit; an earlier process may have given some."""
        self._permits: dict[ids.VmId, _Permit] = {}
        self._opens_ms = started_ms + HOLD_MIN_MS

    def ask(
        self,
        question: Question,
        replicas: list[Replica],
        out_fraction: float,
        *,
        allow_sole: bool,
        now_ms: clock.Millis,
    ) -> bool:
        """Decides whether an agent may stop serving.

        Args:
          question: what the agent asks.
          replicas: all replicas of its service.
          out_fraction: part of the replicas that may be out at once.
          allow_sole: whether a sole replica may stop.
          now_ms: the entry's time.
        """
        self._expire(now_ms)
        if now_ms < self._opens_ms:
            return False
        vm_id = question.vm_id
        others = [r for r in replicas if r.vm_id != vm_id]
        staying = [
            r for r in others if r.ready and r.vm_id not in self._permits
        ]
        unseen = self._unseen(question, others)
        if not staying:
            return allow_sole and not others and not unseen
        out_max = max(1, int(out_fraction * len(replicas)))
        out = len(others) - len(staying) + unseen
        if vm_id not in self._permits and out >= out_max:
            return False
        hold_ms = min(question.hold_ms, HOLD_MAX_MS)
        self._permits[vm_id] = _Permit(question, now_ms + hold_ms)
        return True

    def release(
        self, vm_id: ids.VmId, incarnation: ids.Incarnation, number: int
    ) -> None:
        """Takes back the permit of a round, or of one before it."""
        permit = self._permits.get(vm_id)
        if permit is None or permit.question.incarnation != incarnation:
            return
        if permit.question.number <= number:
            del self._permits[vm_id]

    def drop(self, vm_id: ids.VmId) -> None:
        """Takes back a permit once the agent serves again, or has ended."""
        self._permits.pop(vm_id, None)

    def _unseen(self, question: Question, others: list[Replica]) -> int:
        """Returns how many permits replicas hold whose link is lost.

        They may live and use it, so that only time ends it.
        """
        seen = {question.vm_id, *(r.vm_id for r in others)}
        return sum(
            vm_id not in seen
            and permit.question.service_id == question.service_id
            for vm_id, permit in self._permits.items()
        )

    def _expire(self, now_ms: clock.Millis) -> None:
        for vm_id, permit in list(self._permits.items()):
            if permit.until_ms <= now_ms:
                del self._permits[vm_id]


class PermitRound:
    """One agent's attempts to collect a permit from each entry."""

    def __init__(self, hold_max_ms: float = HOLD_MAX_MS) -> None:
        """Starts without a round; permits live for `hold_max_ms` at most."""
        self._hold_max_ms = hold_max_ms
        self._number = 0
        self._open = False
        self._refused = False
        self._hold_ms = HOLD_MIN_MS
        self._slowest_ms = 0.0
        self._begun_ms: collections.OrderedDict[int, clock.Millis] = (
            collections.OrderedDict()
        )
        self._asked_ms: dict[ids.VmId, clock.Millis] = {}
        self._usable_until_ms: dict[ids.VmId, float] = {}

    @property
    def number(self) -> int:
        """The number of the last round, for questions."""
        return self._number

    @property
    def hold_ms(self) -> float:
        """The life of the permits to ask for."""
        return self._hold_ms

    @property
    def asked(self) -> list[ids.VmId]:
        """The entries asked in the last round."""
        return list(self._asked_ms)

    def begin(self, now_ms: clock.Millis) -> None:
        """Starts a round."""
        self._number += 1
        self._open = True
        self._refused = False
        self._slowest_ms = 0.0
        self._begun_ms[self._number] = now_ms
        if len(self._begun_ms) > ROUNDS_KEPT:
            self._begun_ms.popitem(last=False)
        self._asked_ms.clear()
        self._usable_until_ms.clear()

    def to_ask(
        self, entry_ids: list[ids.VmId], now_ms: clock.Millis
    ) -> list[ids.VmId]:
        """Returns the entries to ask now, and takes them as asked."""
        horizon_ms = now_ms - ASK_AGAIN_FRACTION * self._hold_ms
        found = [
            entry_id
            for entry_id in entry_ids
            if entry_id not in self._usable_until_ms
            and self._asked_ms.get(entry_id, float("-inf")) <= horizon_ms
        ]
        for entry_id in found:
            self._asked_ms[entry_id] = now_ms
        return found

    def answered(
        self,
        entry_id: ids.VmId,
        number: int,
        granted: bool,
        ttl_ms: float,
        now_ms: clock.Millis,
    ) -> bool:
        """Records an entry's answer; a permit counts from its round's begin.

        Returns:
          Whether the answer is a permit to give back, as its round is over.
        """
        begun_ms = self._begun_ms.get(number)
        if begun_ms is None:
            return granted
        taken_ms = now_ms - begun_ms
        if number != self._number or not self._open:
            self._hold_ms = max(self._hold_ms, self._hold_for(taken_ms))
            return granted
        self._slowest_ms = max(self._slowest_ms, taken_ms)
        if granted:
            until_ms = begun_ms + USABLE_FRACTION * min(ttl_ms, self._hold_ms)
            self._usable_until_ms[entry_id] = until_ms
        else:
            self._refused = True
        return False

    def standing(
        self, entry_ids: list[ids.VmId], now_ms: clock.Millis
    ) -> Standing:
        """Returns how the round stands with the entries heard from."""
        if self._refused:
            return Standing.REFUSED
        if not self._open or self._over(now_ms):
            return Standing.OVER
        if entry_ids and self._usable_until_ms.keys() >= set(entry_ids):
            return Standing.PERMITTED
        return Standing.WAITING

    def end(self) -> None:
        """Ends the round; its permits are used or given back."""
        if self._open and self._usable_until_ms and not self._refused:
            hold_ms = self._hold_for(self._slowest_ms)
            self._hold_ms = max(hold_ms, self._hold_ms / 2)
        self._open = False

    def _over(self, now_ms: clock.Millis) -> bool:
        begun_ms = self._begun_ms[self._number]
        ends_ms = [
            begun_ms + USABLE_FRACTION * self._hold_ms,
            *self._usable_until_ms.values(),
        ]
        return now_ms >= min(ends_ms)

    def _hold_for(self, taken_ms: float) -> float:
        """Returns the life of permits whose answers take so long."""
        hold_ms = HOLD_MARGIN * taken_ms / USABLE_FRACTION
        return min(max(hold_ms, HOLD_MIN_MS), self._hold_max_ms)
