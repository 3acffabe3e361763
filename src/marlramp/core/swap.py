"""Permits to stop serving for a version swap, given out by each entry.

An agent whose engine cannot hold two versions must stop serving to swap. It
first asks every entry that it hears from, and swaps only when all permit it.
Each entry permits only so many of the agents linked to it at once, and never
the last one ready. The entries need not agree on anything among themselves.
"""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp import ids

PERMIT_TTL_MS = 3_000.0
"""A permit lapses after this unless the agent asks again."""

RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 800.0
"""An agent that got only some permits gives them back and waits for a time
drawn between these, so that two agents do not refuse each other for ever."""


class Replica(msgspec.Struct, frozen=True):
    """A replica of a service as an entry sees it.

    Attributes:
      vm_id: its VM.
      ready: whether it serves and was heard from lately.
    """

    vm_id: ids.VmId
    ready: bool


class PermitDesk:
    """One entry's permits."""

    def __init__(self) -> None:
        """Starts with no permit."""
        self._permits: dict[ids.VmId, float] = {}

    def ask(
        self,
        vm_id: ids.VmId,
        replicas: list[Replica],
        out_fraction: float,
        *,
        allow_sole: bool,
        now_ms: clock.Millis,
    ) -> bool:
        """Decides whether an agent may stop serving.

        Args:
          vm_id: the agent that asks.
          replicas: all replicas of its service.
          out_fraction: part of the replicas that may be out at once.
          allow_sole: whether a sole replica may stop.
          now_ms: the entry's time.
        """
        self._expire(now_ms)
        others = [r for r in replicas if r.vm_id != vm_id]
        staying = [
            r for r in others if r.ready and r.vm_id not in self._permits
        ]
        if not staying:
            return allow_sole and not others
        out_max = max(1, int(out_fraction * len(replicas)))
        out = len(others) - len(staying)
        if vm_id not in self._permits and out >= out_max:
            return False
        self._permits[vm_id] = now_ms + PERMIT_TTL_MS
        return True

    def release(self, vm_id: ids.VmId) -> None:
        """Takes back a permit once the agent serves again."""
        self._permits.pop(vm_id, None)

    def _expire(self, now_ms: clock.Millis) -> None:
        for vm_id, expires_ms in list(self._permits.items()):
            if expires_ms <= now_ms:
                del self._permits[vm_id]


class PermitRound:
    """One agent's attempt to collect a permit from each entry."""

    def __init__(self) -> None:
        """Starts with no permit."""
        self._number = 0
        self._asked_ms = 0.0
        self._granted_until_ms: dict[ids.VmId, float] = {}

    def begin(self, now_ms: clock.Millis) -> int:
        """Starts a round; returns its number, for the questions."""
        self._number += 1
        self._asked_ms = now_ms
        self._granted_until_ms.clear()
        return self._number

    def answered(
        self, entry_id: ids.VmId, number: int, granted: bool, ttl_ms: float
    ) -> None:
        """Records an entry's answer; the permit counts from the question.

        An answer of an earlier round says nothing: what it permitted was
        given back.
        """
        if number != self._number:
            return
        if granted:
            self._granted_until_ms[entry_id] = self._asked_ms + ttl_ms
        else:
            self._granted_until_ms.pop(entry_id, None)

    def permitted(
        self, entry_ids: list[ids.VmId], now_ms: clock.Millis
    ) -> bool:
        """Returns whether every one of the entries permits the swap now."""
        return bool(entry_ids) and all(
            self._granted_until_ms.get(entry_id, 0.0) > now_ms
            for entry_id in entry_ids
        )

    def reset(self) -> None:
        """Forgets all permits."""
        self._granted_until_ms.clear()
