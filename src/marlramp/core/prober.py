"""Finds out which entries are down, at a cost that does not grow with them.

Each entry asks a few others in turn whether they are there. One that does not
answer is asked through others, since the way to it alone may be cut, and is
suspected only if they get no answer either. All entries together ask each of
them several times a second, however many there are.
"""

from __future__ import annotations

from collections.abc import Collection
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core import members
from marlramp.core import roster

PROBE_MS = 400.0
"""Between two rounds of questions."""

NEAR_PROBES = 2
"""Entries of the own region asked in a round: each of them is then asked five
times a second in all, so that a silent one is noticed within 0.2 s."""

FAR_PROBES = 1
"""Entries of other regions asked in every second round: they find a region
that is cut off, and compare rosters across regions."""

EXTRA_PROBES_MAX = 8
"""More entries asked in a round while some do not answer: when many go at once
the few that are left would need seconds to find out about all of them."""

CONFIRM_MS = 300.0
"""A suspected entry that did not contradict for this long is asked by each
entry itself, before that takes it as down."""

LOOK_FOR_MS = 1_000.0
"""Between two questions to entries that are down, which may be back."""

DIRECT_MS = 400.0
"""Time to answer before others are asked: a link on which packets wait that
long serves no callers in time either."""

INDIRECT_MS = 400.0
"""Time in which others are to get an answer."""

HELPERS = 3
"""Entries through which a silent one is asked."""

PAUSED_MS = 1_000.0
"""Two looks this far apart show that this process itself stood still; what it
waited for then proves nothing."""

DOUBTED_MAX = 16
"""Entries that are down here but not to others and are asked in one look."""


class Ask(msgspec.Struct, frozen=True):
    """Ask an entry whether it is there."""

    vm_id: str


class AskThrough(msgspec.Struct, frozen=True):
    """Have others ask a silent entry."""

    vm_id: str
    helpers: list[str]


class Suspect(msgspec.Struct, frozen=True):
    """Suspect an entry that nobody reaches."""

    vm_id: str


Action: TypeAlias = Ask | AskThrough | Suspect


class _Open(msgspec.Struct):
    """A question without an answer yet."""

    asked_ms: float
    through_others: bool = False


class Prober:
    """Decides whom to ask, and whom to suspect."""

    def __init__(
        self,
        known: roster.Roster,
        near: Collection[str],
        rng: random.Random,
    ) -> None:
        """Asks entries in `known`.

        Args:
          known: the roster.
          near: data centres of the own region.
          rng: draws the order.
        """
        self._roster = known
        self._near = near
        self._rng = rng
        self._open: dict[str, _Open] = {}
        self._confirming: dict[str, float] = {}
        self._unanswered = 0
        self._turns: dict[bool, list[str]] = {True: [], False: []}
        self._rounds = 0
        self._round_ms = float("-inf")
        self._looked_for_ms = float("-inf")
        self._tick_ms = float("-inf")

    def vouched(self, vm_id: str) -> None:
        """Takes another entry's word that one is there."""
        self._open.pop(vm_id, None)

    def tick(self, now_ms: clock.Millis) -> list[Action]:
        """Returns what to do now."""
        if now_ms - self._tick_ms > PAUSED_MS:
            self._open.clear()
        self._tick_ms = now_ms
        actions = self._follow_up(now_ms)
        targets = self._doubted() + self._unconfirmed(now_ms)
        if now_ms - self._round_ms >= PROBE_MS:
            self._round_ms = now_ms
            self._rounds += 1
            targets.extend(self._next_targets(now_ms))
        if now_ms - self._looked_for_ms >= LOOK_FOR_MS:
            self._looked_for_ms = now_ms
            targets.extend(self._lost())
        for vm_id in targets:
            if vm_id not in self._open:
                self._open[vm_id] = _Open(now_ms)
                actions.append(Ask(vm_id))
        return actions

    def _follow_up(self, now_ms: clock.Millis) -> list[Action]:
        """Ends questions that were answered or waited for long enough."""
        actions: list[Action] = []
        for vm_id, question in list(self._open.items()):
            record = self._roster.get(vm_id)
            if record is None or record.heard_ms >= question.asked_ms:
                del self._open[vm_id]
                continue
            waited_ms = now_ms - question.asked_ms
            if waited_ms >= DIRECT_MS and not question.through_others:
                self._unanswered += 1
            if waited_ms >= DIRECT_MS + INDIRECT_MS:
                del self._open[vm_id]
                actions.append(Suspect(vm_id))
            elif waited_ms >= DIRECT_MS and not question.through_others:
                question.through_others = True
                helpers = self._helpers(vm_id)
                if helpers:
                    actions.append(AskThrough(vm_id, helpers))
        return actions

    def _next_targets(self, now_ms: clock.Millis) -> list[str]:
        """Returns the entries whose turn it is; near ones make up for far."""
        extra = min(EXTRA_PROBES_MAX, self._unanswered)
        self._unanswered = 0
        near_count = NEAR_PROBES + extra // 2
        near = self._take(near_count, now_ms, near=True)
        far_count = FAR_PROBES if self._rounds % 2 else 0
        far_count += near_count - len(near) + extra // 2
        return near + self._take(far_count, now_ms, near=False)

    def _take(
        self, count: int, now_ms: clock.Millis, *, near: bool
    ) -> list[str]:
        """Takes entries in turn, without those just heard."""
        taken: list[str] = []
        turns = self._turns[near]
        refilled = False
        while len(taken) < count:
            if not turns:
                if refilled:
                    break
                refilled = True
                turns.extend(self._candidates(near=near))
                self._rng.shuffle(turns)
                continue
            vm_id = turns.pop()
            record = self._roster.get(vm_id)
            if record is None or vm_id in taken:
                continue
            if record.update.state is members.MemberState.DOWN:
                continue
            if now_ms - record.heard_ms >= PROBE_MS:
                taken.append(vm_id)
        return taken

    def _candidates(self, *, near: bool) -> list[str]:
        return [
            record.update.vm_id
            for record in self._entries()
            if record.update.state is not members.MemberState.DOWN
            and (record.update.member.data_centre in self._near) is near
        ]

    def _doubted(self) -> list[str]:
        doubted = sorted(self._roster.disputed)[:DOUBTED_MAX]
        self._roster.disputed.difference_update(doubted)
        return doubted

    def _unconfirmed(self, now_ms: clock.Millis) -> list[str]:
        """Returns suspects that are to be asked once before they are down."""
        suspects = {
            record.update.vm_id: record.since_ms
            for record in self._entries()
            if record.update.state is members.MemberState.SUSPECT
            and now_ms - record.since_ms >= CONFIRM_MS
        }
        new = [
            vm_id
            for vm_id, since_ms in suspects.items()
            if self._confirming.get(vm_id) != since_ms
        ]
        self._confirming = suspects
        return new

    def _lost(self) -> list[str]:
        """Returns one entry that is down, to find it when it is back."""
        lost = [
            record.update.vm_id
            for record in self._entries()
            if record.update.state is members.MemberState.DOWN
        ]
        return [self._rng.choice(lost)] if lost else []

    def _helpers(self, vm_id: str) -> list[str]:
        others = [
            record.update.vm_id
            for record in self._entries()
            if record.update.vm_id != vm_id
            and record.update.vm_id not in self._open
            and record.update.state is members.MemberState.READY
        ]
        return self._rng.sample(others, min(HELPERS, len(others)))

    def _entries(self) -> list[roster.Record]:
        return [
            record
            for record in self._roster.records()
            if record.update.member.kind is members.MemberKind.ENTRY
        ]
