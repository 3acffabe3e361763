"""Pool of the grants that one entry holds, by agent."""

from __future__ import annotations

import collections

import msgspec

from marlramp import clock
from marlramp import ids

HELD_MAX = 4_096
"""Most grants of one agent that are held; the oldest are dropped."""


class HeldGrant(msgspec.Struct, frozen=True):
    """A grant as the entry that holds it sees it.

    Attributes:
      vm_id: the agent's VM.
      incarnation: the agent's incarnation.
      number: the grant's number.
      expires_ms: time on the entry's clock from which the grant is not used.
    """

    vm_id: ids.VmId
    incarnation: ids.Incarnation
    number: ids.GrantNumber
    expires_ms: float


class GrantPool:
    """Holds grants until they are used or expire.

    The expiry only avoids messages that the agent would refuse; the agent's
    ledger decides whether a grant is valid.
    """

    def __init__(self) -> None:
        """Creates an empty pool."""
        self._held: dict[ids.VmId, collections.deque[HeldGrant]] = {}

    def add(
        self,
        vm_id: ids.VmId,
        incarnation: ids.Incarnation,
        numbers: list[ids.GrantNumber],
        expires_ms: float,
    ) -> None:
        """Adds grants of an agent and drops those of another incarnation."""
        held = self._held.setdefault(vm_id, collections.deque())
        if held and held[0].incarnation != incarnation:
            held.clear()
        for number in numbers:
            held.append(HeldGrant(vm_id, incarnation, number, expires_ms))
        while len(held) > HELD_MAX:
            held.popleft()

    def count(self, vm_id: ids.VmId, now_ms: clock.Millis) -> int:
        """Returns how many usable grants of an agent the pool holds."""
        held = self._held.get(vm_id)
        if held is None:
            return 0
        while held and held[0].expires_ms <= now_ms:
            held.popleft()
        return len(held)

    def use(self, vm_id: ids.VmId, now_ms: clock.Millis) -> HeldGrant | None:
        """Removes and returns the oldest usable grant, or None."""
        if self.count(vm_id, now_ms) == 0:
            return None
        return self._held[vm_id].popleft()

    def drop(self, vm_id: ids.VmId) -> None:
        """Drops all grants of an agent."""
        self._held.pop(vm_id, None)
