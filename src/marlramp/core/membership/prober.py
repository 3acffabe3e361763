"""Detects failed entries at a cost that does not grow with the fleet.

Each entry probes a few other entries in rotation. An entry that does not answer
is probed indirectly, through other entries, because only the path from this
entry to it may be interrupted. It is suspected only if the indirect probes get
no answer either. All entries together probe each entry several times a second,
whatever the number of entries.
"""

from __future__ import annotations

from collections.abc import Collection
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core.membership import members
from marlramp.core.membership import roster

PROBE_INTERVAL_MS = 400.0
"""Time between two cycles of probes."""

NEAR_PROBES = 2
"""Entries of the own region that are probed in a cycle. Each entry then gets
five probes a second in all, so that a silent entry is noticed within 0.2 s."""

FAR_PROBES = 1
"""Entries of other regions that are probed in every second cycle. These probes
detect a region that is cut off, and compare rosters across regions."""

EXTRA_PROBES_MAX = 8
"""Additional entries that are probed in a cycle while some do not answer. When
many entries fail at once, the few that are left would otherwise need seconds to
detect all failures."""

CONFIRM_MS = 300.0
"""Time without a contradiction from a suspected entry after which every other
entry probes it directly, before treating it as down."""

DOWN_PROBE_INTERVAL_MS = 1_000.0
"""Time between two probes of entries that are down, to detect recoveries."""

DIRECT_TIMEOUT_MS = 400.0
"""Time without an answer to a direct probe after which indirect probes start. A
link on which packets wait this long does not serve callers in time either."""

INDIRECT_TIMEOUT_MS = 400.0
"""Time within which an indirect probe must be answered."""

HELPERS_MAX = 3
"""Number of entries through which a silent entry is probed."""

PROCESS_PAUSE_MS = 1_000.0
"""Time between two ticks that shows that this process itself was paused. Probes
that were pending during the pause then prove nothing and are discarded."""

DISPUTED_MAX = 16
"""Maximum number of entries probed in one tick because this entry considers
them down and others do not."""


class DirectProbe(msgspec.Struct, frozen=True):
    """Probe an entry directly."""

    vm_id: str


class IndirectProbe(msgspec.Struct, frozen=True):
    """Probe a silent entry through other entries.

    Attributes:
      vm_id: VM of the silent entry.
      helpers: VMs of the entries that are to probe it.
    """

    vm_id: str
    helpers: list[str]


class Suspect(msgspec.Struct, frozen=True):
    """Suspect an entry that answered neither direct nor indirect probes."""

    vm_id: str


Action: TypeAlias = DirectProbe | IndirectProbe | Suspect


class _PendingProbe(msgspec.Struct):
    """A probe that has not been answered yet."""

    sent_ms: float
    indirect: bool = False


class Prober:
    """Decides which entries to probe and which to suspect."""

    def __init__(
        self,
        known: roster.Roster,
        near: Collection[str],
        rng: random.Random,
    ) -> None:
        """Starts without pending probes.

        Args:
          known: roster of the entries to probe.
          near: data centres of the own region.
          rng: randomises the order of the probes.
        """
        self._roster = known
        self._near = near
        self._rng = rng
        self._pending: dict[str, _PendingProbe] = {}
        self._confirming: dict[str, float] = {}
        self._unanswered = 0
        self._rotations: dict[bool, list[str]] = {True: [], False: []}
        self._cycles = 0
        self._cycle_ms = float("-inf")
        self._down_probe_ms = float("-inf")
        self._tick_ms = float("-inf")

    def record_indirect_answer(self, vm_id: str) -> None:
        """Records that an indirect probe of an entry was answered."""
        self._pending.pop(vm_id, None)

    def tick(self, now_ms: clock.Millis) -> list[Action]:
        """Returns the probes to send and the entries to suspect now."""
        if now_ms - self._tick_ms > PROCESS_PAUSE_MS:
            self._pending.clear()
        self._tick_ms = now_ms
        actions = self._follow_up(now_ms)
        targets = self._disputed() + self._unconfirmed(now_ms)
        if now_ms - self._cycle_ms >= PROBE_INTERVAL_MS:
            self._cycle_ms = now_ms
            self._cycles += 1
            targets.extend(self._next_targets(now_ms))
        if now_ms - self._down_probe_ms >= DOWN_PROBE_INTERVAL_MS:
            self._down_probe_ms = now_ms
            targets.extend(self._down_entry())
        for vm_id in targets:
            if vm_id not in self._pending:
                self._pending[vm_id] = _PendingProbe(now_ms)
                actions.append(DirectProbe(vm_id))
        return actions

    def _follow_up(self, now_ms: clock.Millis) -> list[Action]:
        """Ends answered probes, and escalates those without an answer."""
        actions: list[Action] = []
        for vm_id, probe in list(self._pending.items()):
            record = self._roster.get(vm_id)
            if record is None or record.heard_ms >= probe.sent_ms:
                del self._pending[vm_id]
                continue
            waited_ms = now_ms - probe.sent_ms
            if waited_ms >= DIRECT_TIMEOUT_MS and not probe.indirect:
                self._unanswered += 1
            if waited_ms >= DIRECT_TIMEOUT_MS + INDIRECT_TIMEOUT_MS:
                del self._pending[vm_id]
                actions.append(Suspect(vm_id))
            elif waited_ms >= DIRECT_TIMEOUT_MS and not probe.indirect:
                probe.indirect = True
                helpers = self._helpers(vm_id)
                if helpers:
                    actions.append(IndirectProbe(vm_id, helpers))
        return actions

    def _next_targets(self, now_ms: clock.Millis) -> list[str]:
        """Returns the next entries to probe.

        If there are fewer entries to probe in the own region than planned,
        entries of other regions are probed instead.
        """
        extra = min(EXTRA_PROBES_MAX, self._unanswered)
        self._unanswered = 0
        near_count = NEAR_PROBES + extra // 2
        near = self._next_in_rotation(near_count, now_ms, near=True)
        far_count = FAR_PROBES if self._cycles % 2 else 0
        far_count += near_count - len(near) + extra // 2
        return near + self._next_in_rotation(far_count, now_ms, near=False)

    def _next_in_rotation(
        self, count: int, now_ms: clock.Millis, *, near: bool
    ) -> list[str]:
        """Returns entries in rotation, without those heard from recently."""
        selected: list[str] = []
        rotation = self._rotations[near]
        refilled = False
        while len(selected) < count:
            if not rotation:
                if refilled:
                    break
                refilled = True
                rotation.extend(self._candidates(near=near))
                self._rng.shuffle(rotation)
                continue
            vm_id = rotation.pop()
            record = self._roster.get(vm_id)
            if record is None or vm_id in selected:
                continue
            if record.update.state is members.MemberState.DOWN:
                continue
            if now_ms - record.heard_ms >= PROBE_INTERVAL_MS:
                selected.append(vm_id)
        return selected

    def _candidates(self, *, near: bool) -> list[str]:
        return [
            record.update.vm_id
            for record in self._entries()
            if record.update.state is not members.MemberState.DOWN
            and (record.update.member.data_centre in self._near) is near
        ]

    def _disputed(self) -> list[str]:
        """Returns entries that are down here but not to others."""
        disputed = sorted(self._roster.disputed)[:DISPUTED_MAX]
        self._roster.disputed.difference_update(disputed)
        return disputed

    def _unconfirmed(self, now_ms: clock.Millis) -> list[str]:
        """Returns suspects to probe once before they are treated as down."""
        suspects = {
            record.update.vm_id: record.since_ms
            for record in self._entries()
            if record.update.state is members.MemberState.SUSPECT
            and now_ms - record.since_ms >= CONFIRM_MS
        }
        unprobed = [
            vm_id
            for vm_id, since_ms in suspects.items()
            if self._confirming.get(vm_id) != since_ms
        ]
        self._confirming = suspects
        return unprobed

    def _down_entry(self) -> list[str]:
        """Returns one entry that is down, to detect its recovery."""
        down = [
            record.update.vm_id
            for record in self._entries()
            if record.update.state is members.MemberState.DOWN
        ]
        return [self._rng.choice(down)] if down else []

    def _helpers(self, vm_id: str) -> list[str]:
        others = [
            record.update.vm_id
            for record in self._entries()
            if record.update.vm_id != vm_id
            and record.update.vm_id not in self._pending
            and record.update.state is members.MemberState.READY
        ]
        return self._rng.sample(others, min(HELPERS_MAX, len(others)))

    def _entries(self) -> list[roster.Record]:
        return [
            record
            for record in self._roster.records()
            if record.update.member.kind is members.MemberKind.ENTRY
        ]
