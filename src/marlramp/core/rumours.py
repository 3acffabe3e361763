"""News on their way to all entries, by epidemic spread.

Each entry passes news that are new to it on to a few others, a few times.
Some entries are left out by chance; comparing rosters brings them the rest.
"""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

import msgspec

from marlramp import clock

NewsT = TypeVar("NewsT")

ROUNDS = 2
"""Times that an entry passes one piece of news on."""

NEAR_TARGETS = 2
FAR_TARGETS = 1
"""Entries that it is passed on to each time, in and outside the own region: six
in all leave out one in four hundred (worked out); 97 of 100 entries know of a
change after 1 s (virtual time)."""

BATCH_MAX = 64
"""News in one message: some 6 kB."""

AGE_MAX_MS = 2_000.0
"""News that waited this long, in an entry that was cut off, are dropped."""


class _Rumour(msgspec.Struct, Generic[NewsT]):
    news: NewsT
    queued_ms: float
    rounds_left: int


class Rumours(Generic[NewsT]):
    """News that this entry still passes on."""

    def __init__(self) -> None:
        """Starts without any."""
        self._waiting: dict[str, _Rumour[NewsT]] = {}

    def add(self, about: str, news: NewsT, now_ms: clock.Millis) -> None:
        """Passes news on, in place of older ones about the same."""
        self._waiting[about] = _Rumour(news, now_ms, ROUNDS)

    def take(self, now_ms: clock.Millis) -> list[NewsT]:
        """Returns the news of one message, the freshest first."""
        horizon_ms = now_ms - AGE_MAX_MS
        for about, rumour in list(self._waiting.items()):
            if rumour.queued_ms < horizon_ms:
                del self._waiting[about]
        fresh_first = sorted(
            self._waiting.items(),
            key=lambda item: (-item[1].rounds_left, item[1].queued_ms),
        )
        taken = fresh_first[:BATCH_MAX]
        for about, rumour in taken:
            rumour.rounds_left -= 1
            if rumour.rounds_left == 0:
                del self._waiting[about]
        return [rumour.news for _, rumour in taken]
