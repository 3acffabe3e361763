"""When an entry asks for a piece that it holds for others, and whom.

Load pattern: the origin's link carries one copy in seconds, and whoever draws
at once shares it. So pieces leave it in their order, each at the time at which
those before it have left; the first pieces are then with the agents while the
last still leave. After a fault of the origin nothing is drawn twice that
another entry already has.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core import origin_turns
from marlramp.core import relay_duty

DRAWS_MAX = 2
"""Pieces that one entry draws at once while they leave the origin in order."""

LATE_DRAWS_MAX = 4
"""The same once all of them should have left: the origin was away, and its link
would stand idle while one entry draws several in turn."""

CONNECTIONS_SHARE = 0.5
"""Part of the connections that the origin takes which all entries together may
open: what is beyond its bound is reset, and tried again later than the rest."""

ASKS_MAX = 4
"""Pieces asked of other entries at once."""

FAR_ASKS_MAX = 2
"""The same of entries of other regions: what all entries of a region ask for at
once waits on one link, and live answers wait behind it."""

TAKEOVER_MS = 500.0
"""Wait per rank before another entry draws a piece: the way of a piece through
the origin's link when it is shared, and of the news of it."""

AWAY_TAKEOVER_MS = 6_000.0
"""The same while the origin answers nobody: those that go first look for it all
the time, and what both draw when it is back comes later to all."""

TURNS_AFTER = 2
"""Draws of a piece in a row without an answer after which the missing pieces
take turns: a connection that the origin reset is tried again sooner."""

NEW_MS = 2_000.0
"""A version named this lately is held by no other entry from before."""

HELLO_MS = 150.0
"""Wait of an entry before it draws a version that others may hold already and
an agent lacks: the way of its question to them and back."""

UNASKED_MS = 3_000.0
"""The same while no agent lacks it: those that hold it have told by then, and
nothing leaves the origin."""

LATE_MS = 700.0
"""A piece that did not come from another entry in this time is asked for
elsewhere."""

SPARED_MS = 1_000.0
"""How long who was late, refused or sent wrong bytes is asked for nothing."""


class AskEntry(msgspec.Struct, frozen=True):
    """Ask another process for a piece."""

    peer: str
    index: int


class Draw(msgspec.Struct, frozen=True):
    """Draw a piece from the origin."""

    index: int


class Cancel(msgspec.Struct, frozen=True):
    """Give up a piece that was asked for."""

    index: int


Action: TypeAlias = AskEntry | Draw | Cancel


class _Ask(msgspec.Struct, frozen=True):
    peer: str
    asked_ms: float


class RelayFetch:
    """The pieces of one version that one entry holds for others."""

    def __init__(
        self,
        piece_ms: float,
        connections: int,
        age_ms: float | None,
        now_ms: clock.Millis,
    ) -> None:
        """Has no duty before `set_duties`.

        Args:
          piece_ms: time in which a piece leaves the origin.
          connections: connections that the origin takes in all.
          age_ms: time since the version was named, None if it is not known.
          now_ms: the time.
        """
        self._piece_ms = piece_ms
        self._connections = connections
        self._named_ms = now_ms if age_ms is None else now_ms - age_ms
        is_new = age_ms is not None and age_ms < NEW_MS
        self._first_draw_ms: float = now_ms + (0.0 if is_new else UNASKED_MS)
        self._entries = 1
        self._duties: Mapping[int, relay_duty.Duty] = {}
        self._held: set[int] = set()
        self._holders: dict[int, set[str]] = {}
        self._asks: dict[int, _Ask] = {}
        self._draws: set[int] = set()
        self._spared_until_ms: dict[str, float] = {}
        self._origin_not_before_ms = float("-inf")
        self._origin_failed_ms = float("-inf")
        self._failures: collections.Counter[int] = collections.Counter()
        self._turns_ms: dict[int, float] = {}
        self._news_ms = float("-inf")

    @property
    def complete(self) -> bool:
        """Whether all pieces of the duties are held."""
        return self._duties.keys() <= self._held

    @property
    def sources(self) -> set[str]:
        """Entries that hold pieces of the duties too."""
        return {s for duty in self._duties.values() for s in duty.sources}

    def hurry(self, now_ms: clock.Millis) -> None:
        """Records that an agent lacks the version."""
        self._first_draw_ms = min(self._first_draw_ms, now_ms + HELLO_MS)

    def set_duties(
        self, found: Mapping[int, relay_duty.Duty], entries: int
    ) -> None:
        """Takes the duties, which change with the members.

        Args:
          found: the duties.
          entries: entries that have duties, this one among them.
        """
        self._duties = found
        self._entries = entries

    def peer_holds(
        self, peer: str, indexes: Collection[int], now_ms: clock.Millis
    ) -> None:
        """Takes pieces that another process holds."""
        for index in indexes:
            holders = self._holders.setdefault(index, set())
            if not holders:
                self._news_ms = now_ms
            holders.add(peer)

    def peer_lost(self, peer: str) -> None:
        """Forgets another process."""
        for holders in self._holders.values():
            holders.discard(peer)
        for index, ask in list(self._asks.items()):
            if ask.peer == peer:
                del self._asks[index]

    def held(self, index: int, now_ms: clock.Millis) -> None:
        """Takes a piece that is held now."""
        self._held.add(index)
        self._asks.pop(index, None)
        self._turns_ms.pop(index, None)
        if index in self._draws:
            self._draws.discard(index)
            self._news_ms = now_ms

    def not_sent(
        self, index: int, peer: str | None, now_ms: clock.Millis
    ) -> None:
        """Records that a piece did not come, or came wrong.

        Args:
          index: the piece.
          peer: who was asked, None for the origin.
          now_ms: the time.
        """
        if peer is None:
            self._draws.discard(index)
            return
        ask = self._asks.get(index)
        if ask is not None and ask.peer == peer:
            del self._asks[index]
        self._spared_until_ms[peer] = now_ms + SPARED_MS
        # It may be gone; if it is there it tells again what it holds.
        self._holders.get(index, set()).discard(peer)

    def origin_failed(
        self,
        index: int,
        retry_after_ms: float,
        now_ms: clock.Millis,
        missing: Sequence[int] = (),
    ) -> None:
        """Records that the origin did not answer a draw.

        Args:
          index: the piece.
          retry_after_ms: pause before it is asked again.
          now_ms: the time.
          missing: pieces that nobody is known to hold, in their order; they
            take turns unless none is given.
        """
        self._draws.discard(index)
        if not self._is_away:
            self._failures.clear()
        self._failures[index] += 1
        self._origin_failed_ms = now_ms
        self._origin_not_before_ms = now_ms + retry_after_ms
        self._turns_ms.pop(index, None)
        if missing:
            self._take_turns(missing)

    def _take_turns(self, missing: Sequence[int]) -> None:
        """Gives pieces that are to be looked for their next turn.

        Those that others draw first get one anew with each failure, since the
        wait of this entry begins with it.
        """
        takes_turns = max(self._failures.values()) > TURNS_AFTER
        for index, duty in self._duties.items():
            if index in self._held:
                continue
            if duty.rank == 0 and (index in self._turns_ms or not takes_turns):
                continue
            self._turns_ms[index] = origin_turns.next_turn_ms(
                index,
                missing,
                self._piece_ms,
                self._named_ms,
                self._origin_not_before_ms + duty.rank * AWAY_TAKEOVER_MS,
                duty.rank,
            )

    def next_actions(
        self, now_ms: clock.Millis, *, may_draw: bool = True
    ) -> list[Action]:
        """Returns what to ask for and to give up now.

        Args:
          now_ms: the time.
          may_draw: whether the version is worth the origin's time.
        """
        actions = self._cancel_late(now_ms)
        for index, duty in self._duties.items():
            if index in self._held or index in self._asks:
                continue
            peer = self._source(index, duty, now_ms)
            if peer is not None:
                if len(self._asks) < ASKS_MAX and index not in self._draws:
                    self._asks[index] = _Ask(peer, now_ms)
                    actions.append(AskEntry(peer, index))
            elif self._holders.get(index):
                # Others have it, and will send it in a moment.
                continue
            elif may_draw and self._may_draw(index, duty, now_ms):
                self._draws.add(index)
                actions.append(Draw(index))
        return actions

    def _cancel_late(self, now_ms: clock.Millis) -> list[Action]:
        late = [
            index
            for index, ask in self._asks.items()
            if now_ms - ask.asked_ms > LATE_MS
        ]
        for index in late:
            self.not_sent(index, self._asks[index].peer, now_ms)
        return [Cancel(index) for index in late]

    def _source(
        self, index: int, duty: relay_duty.Duty, now_ms: clock.Millis
    ) -> str | None:
        """Returns whom to ask for a piece, None if nobody has it."""
        holders = self._holders.get(index, set())
        near = [duty.near] if duty.near in holders else []
        agents = sorted(holders.difference(duty.sources))
        if agents:
            # By turns: each has a narrow link, and holds all pieces.
            first = index % len(agents)
            agents = agents[first:] + agents[:first]
        far = [name for name in duty.far if name in holders]
        if now_ms < self._first_draw_ms or self._far_asks() >= FAR_ASKS_MAX:
            far = []
        for name in [*near, *agents, *far]:
            if self._spared_until_ms.get(name, 0.0) <= now_ms:
                return name
        return None

    def _far_asks(self) -> int:
        """Returns the pieces under way from other regions."""
        return sum(
            ask.peer in self._duties[index].far
            for index, ask in self._asks.items()
            if index in self._duties
        )

    def _may_draw(
        self, index: int, duty: relay_duty.Duty, now_ms: clock.Millis
    ) -> bool:
        if index in self._draws or now_ms < self._origin_not_before_ms:
            return False
        if len(self._draws) >= self._draws_max(now_ms):
            return False
        due_ms = max(
            self._first_draw_ms, self._named_ms + index * self._piece_ms
        )
        turn_ms = self._turns_ms.get(index, due_ms)
        if duty.rank == 0:
            return now_ms >= max(due_ms, turn_ms)
        if self._is_away:
            wait_ms = duty.rank * AWAY_TAKEOVER_MS
            since_ms = max(due_ms, self._origin_failed_ms)
            return now_ms >= max(since_ms + wait_ms, turn_ms)
        since_ms = due_ms
        if self._origin_failed_ms > float("-inf"):
            # Pieces come late after an outage, and those that go first draw.
            since_ms = max(due_ms, self._news_ms)
        return now_ms >= since_ms + duty.rank * TAKEOVER_MS

    @property
    def _is_away(self) -> bool:
        """Whether nothing came from the origin since it failed."""
        return self._origin_failed_ms > self._news_ms

    def _draws_max(self, now_ms: clock.Millis) -> int:
        """Returns how many pieces may be drawn at once."""
        if self._is_away:
            return 1
        last = max(self._duties, default=0)
        last_due_ms = self._named_ms + (last + 1) * self._piece_ms
        usual = LATE_DRAWS_MAX if now_ms > last_due_ms else DRAWS_MAX
        fair = CONNECTIONS_SHARE * self._connections / self._entries
        return max(1, min(usual, int(fair)))
