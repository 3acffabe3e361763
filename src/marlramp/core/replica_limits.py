"""Limits that replicas name over all entries together.

Load pattern: a replica that can't take all its load names the requests a second
that it takes, with each answer for as long as that is so; entries hear of it at
different times, and answers overtake one another. What entries tell each other
merges to the same limits. The end of a limit needs the answer to a request that
was sent after the limit was last heard, since an older one may have crossed it.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum

import msgspec

from marlramp import clock
from marlramp.core import bucket_digests
from marlramp.core import replica_view

ENDED_KEPT_MS = 10_000.0
"""How long the end of a limit is remembered, so that older news do not bring
the limit back."""

TRANSIT_MS = 100.0
"""By how much an end may seem later than it was when another entry tells it:
ages leave out the time on the way."""

CHANGE_SHARE = 0.1
"""Least change of a limit that others are told of, as a part of it."""

LIMITS_MAX = 16_384
"""Limits that are remembered, the latest ones."""

BUCKETS = 16
"""Parts of the limits that are compared by themselves."""

TOLD_MAX = 64
"""Limits told in one message: some 3 kB."""


class Change(enum.Enum):
    """What news of a limit change."""

    NONE = "none"
    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


class LimitNews(msgspec.Struct, frozen=True, array_like=True):
    """A replica's limit, as entries tell it.

    Attributes:
      replica_id: the replica.
      born_ms: Unix time of its start, None where it is not known.
      per_s: requests a second, None if it names no limit any more.
      age_ms: time since that was true.
    """

    replica_id: str
    born_ms: int | None
    per_s: float | None
    age_ms: float


class Known(msgspec.Struct):
    """What is known of one replica's limit.

    Attributes:
      born_ms: Unix time of the replica's start, None where it is not known.
      per_s: requests a second, None if it names no limit any more.
      at_ms: when that was true.
      told_per_s: what was passed on last.
    """

    born_ms: int | None
    per_s: float | None
    at_ms: float
    told_per_s: float | None


class ReplicaLimits:
    """The limits that this entry knows."""

    def __init__(self) -> None:
        """Knows no limit."""
        self._known: dict[str, Known] = {}
        self._digests = bucket_digests.BucketDigests(BUCKETS)

    def get(self, replica_id: str) -> Known | None:
        """Returns what is known of a limit, also of one that ended."""
        return self._known.get(replica_id)

    def per_s(self, replica_id: str) -> float | None:
        """Returns a replica's limit, None if it names none."""
        known = self._known.get(replica_id)
        return None if known is None else known.per_s

    def in_force(self) -> dict[str, Known]:
        """Returns the limits that hold now, by replica."""
        return {
            replica_id: known
            for replica_id, known in self._known.items()
            if known.per_s is not None
        }

    # What is learnt.

    def note_named(
        self,
        replica_id: str,
        born_ms: int | None,
        per_s: float,
        now_ms: clock.Millis,
    ) -> Change:
        """Takes a limit that an own answer names."""
        return self._take(replica_id, Known(born_ms, per_s, now_ms, None))

    def note_unnamed(
        self, replica_id: str, born_ms: int | None, sent_ms: clock.Millis
    ) -> Change:
        """Takes an own answer that names no limit.

        Args:
          replica_id: the replica.
          born_ms: Unix time of its start.
          sent_ms: when the request was sent.
        """
        if self.per_s(replica_id) is None:
            return Change.NONE
        return self._take(replica_id, Known(born_ms, None, sent_ms, None))

    def merge(self, news: LimitNews, now_ms: clock.Millis) -> Change:
        """Takes what another entry knows."""
        at_ms = now_ms - news.age_ms
        if news.per_s is None:
            at_ms -= TRANSIT_MS
        told = Known(news.born_ms, news.per_s, at_ms, None)
        return self._take(news.replica_id, told)

    def _take(self, replica_id: str, told: Known) -> Change:
        known = self._known.get(replica_id)
        if known is not None:
            if replica_view.is_newer_start(known.born_ms, told.born_ms):
                return Change.NONE
            restarted = replica_view.is_newer_start(told.born_ms, known.born_ms)
            if not restarted and told.at_ms <= known.at_ms:
                return Change.NONE
            told.born_ms = told.born_ms or known.born_ms
        change = _change(known, told)
        told.told_per_s = told.per_s
        if change is Change.NONE and known is not None:
            told.told_per_s = known.told_per_s
        self._put(replica_id, told)
        return change

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Drops replicas that are gone or started again."""
        for replica_id in replica_ids:
            self._drop(replica_id)

    def tick(self, now_ms: clock.Millis) -> None:
        """Forgets ends that are old, and more limits than are remembered."""
        for replica_id, known in list(self._known.items()):
            age_ms = now_ms - known.at_ms
            if known.per_s is None and age_ms >= ENDED_KEPT_MS:
                self._drop(replica_id)
        excess = len(self._known) - LIMITS_MAX
        if excess > 0:
            oldest = sorted(self._known, key=lambda r: self._known[r].at_ms)
            self.forget(oldest[:excess])

    # What entries tell each other.

    def told(
        self, replica_ids: Iterable[str], now_ms: clock.Millis
    ) -> list[LimitNews]:
        """Returns what is known of some replicas' limits."""
        found = ((r, self._known.get(r)) for r in replica_ids)
        return [
            LimitNews(r, known.born_ms, known.per_s, now_ms - known.at_ms)
            for r, known in found
            if known is not None
        ]

    def digest(self) -> int:
        """Returns one digest of the replicas that name a limit."""
        return self._digests.joined()

    def digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return self._digests.all()

    def differing(self, digests: list[int]) -> list[str]:
        """Returns replicas whose limits another entry may not know.

        Args:
          digests: the digests of the other entry's buckets.
        """
        buckets = set(self._digests.differing(digests))
        found = [
            replica_id
            for replica_id in self._known
            if self._digests.bucket_of(replica_id) in buckets
        ]
        latest = sorted(found, key=lambda r: -self._known[r].at_ms)
        return latest[:TOLD_MAX]

    def _put(self, replica_id: str, told: Known) -> None:
        known = self._known.get(replica_id)
        before = known is not None and known.per_s is not None
        if before != (told.per_s is not None):
            self._digests.toggle(replica_id, replica_id)
        self._known[replica_id] = told

    def _drop(self, replica_id: str) -> None:
        known = self._known.pop(replica_id, None)
        if known is not None and known.per_s is not None:
            self._digests.toggle(replica_id, replica_id)


def _change(known: Known | None, told: Known) -> Change:
    """Returns what news change for those who keep the limit."""
    before = None if known is None else known.told_per_s
    if told.per_s is None:
        return Change.NONE if before is None else Change.ENDED
    if before is None:
        return Change.NAMED
    if abs(told.per_s - before) > CHANGE_SHARE * before:
        return Change.CHANGED
    return Change.NONE
