"""Rate limits that replicas name for all entries together.

Load pattern: a replica that is overloaded names the rate of requests that it
accepts, in every answer until the overload ends. Entries learn of the limit at
different times, and answers overtake one another. The updates that entries
exchange merge to equal limits in any order. A limit ends only with an answer
without a limit to a request that was sent after the limit was last named, since
the answer to an earlier request may have been overtaken.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum
from typing import Annotated

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import bucket_digests
from marlramp.core.replicas import replica_view

ENDED_KEPT_MS = 10_000.0
"""How long the end of a limit is remembered, so that older updates do not
restore the limit."""

TRANSIT_MS = 100.0
"""Time by which the end of a limit is dated back if another entry reports it,
since the age in an update does not include the time in transit."""

CHANGE_SHARE = 0.1
"""Least change of a limit that is announced to other entries, as a part of the
rate announced last."""

LIMITS_MAX = 16_384
"""Most limits that are remembered; the oldest are dropped."""

BUCKETS = 16
"""Buckets of replicas whose digests entries compare separately."""

UPDATES_MAX = 64
"""Most limits in one message, which is then some 3 kB long."""


class Change(enum.Enum):
    """Effect of an update on a replica's limit.

    Attributes:
      NONE: the change is too small to be announced, or there is none.
      NAMED: the replica names a limit and did not before.
      CHANGED: the rate differs by more than `CHANGE_SHARE`.
      ENDED: the replica no longer names a limit.
    """

    NONE = "none"
    NAMED = "named"
    CHANGED = "changed"
    ENDED = "ended"


_Key = Annotated[str, msgspec.Meta(max_length=ids.KEY_LENGTH_MAX)]


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A replica's limit, as entries send it to one another.

    Attributes:
      replica_id: the replica.
      born_ms: Unix time of the replica's start, None if it is not known.
      per_s: requests per second, None if the limit has ended.
      age_ms: age of this information when the update is sent.
    """

    replica_id: _Key
    born_ms: int | None
    per_s: float | None
    age_ms: float


class KnownLimit(msgspec.Struct):
    """What this entry knows of one replica's limit.

    Attributes:
      born_ms: Unix time of the replica's start, None if it is not known.
      per_s: requests per second, None if the limit has ended.
      observed_ms: when the answer that named the limit arrived; for a limit
        that has ended, when the request was sent whose answer named none.
      announced_per_s: rate that was last announced to other entries, None if
        the limit's end was.
    """

    born_ms: int | None
    per_s: float | None
    observed_ms: float
    announced_per_s: float | None


class ReplicaLimits:
    """The limits that this entry knows."""

    def __init__(self) -> None:
        """Knows no limit."""
        self._known: dict[str, KnownLimit] = {}
        self._digests = bucket_digests.BucketDigests(BUCKETS)

    def get(self, replica_id: str) -> KnownLimit | None:
        """Returns a replica's limit, also one that has ended."""
        return self._known.get(replica_id)

    def per_s(self, replica_id: str) -> float | None:
        """Returns a replica's limit in requests per second, None without one.

        Args:
          replica_id: the replica.
        """
        known = self._known.get(replica_id)
        return None if known is None else known.per_s

    def in_force(self) -> dict[str, KnownLimit]:
        """Returns the limits that have not ended, by replica."""
        return {
            replica_id: known
            for replica_id, known in self._known.items()
            if known.per_s is not None
        }

    # Updates from answers and from other entries.

    def record_limit(
        self,
        replica_id: str,
        born_ms: int | None,
        per_s: float,
        now_ms: clock.Millis,
    ) -> Change:
        """Records a limit that an answer to this entry names.

        Args:
          replica_id: the replica.
          born_ms: Unix time of its start, None if it is not known.
          per_s: requests per second.
          now_ms: when the answer arrived.
        """
        return self._apply(replica_id, KnownLimit(born_ms, per_s, now_ms, None))

    def record_no_limit(
        self, replica_id: str, born_ms: int | None, sent_ms: clock.Millis
    ) -> Change:
        """Records an answer to this entry that names no limit.

        Args:
          replica_id: the replica.
          born_ms: Unix time of its start, None if it is not known.
          sent_ms: when the request was sent.
        """
        if self.per_s(replica_id) is None:
            return Change.NONE
        return self._apply(replica_id, KnownLimit(born_ms, None, sent_ms, None))

    def merge(self, update: LimitUpdate, now_ms: clock.Millis) -> Change:
        """Merges an update that another entry sent.

        Args:
          update: a replica's limit.
          now_ms: when the update arrived.
        """
        observed_ms = now_ms - update.age_ms
        if update.per_s is None:
            observed_ms -= TRANSIT_MS
        new = KnownLimit(update.born_ms, update.per_s, observed_ms, None)
        return self._apply(update.replica_id, new)

    def _apply(self, replica_id: str, new: KnownLimit) -> Change:
        known = self._known.get(replica_id)
        if known is not None:
            if replica_view.is_newer_start(known.born_ms, new.born_ms):
                return Change.NONE
            restarted = replica_view.is_newer_start(new.born_ms, known.born_ms)
            if not restarted and new.observed_ms <= known.observed_ms:
                return Change.NONE
            new.born_ms = new.born_ms or known.born_ms
        change = _change(known, new)
        new.announced_per_s = new.per_s
        if change is Change.NONE and known is not None:
            new.announced_per_s = known.announced_per_s
        self._put(replica_id, new)
        return change

    def forget(self, replica_ids: Iterable[str]) -> None:
        """Drops the limits of replicas that are gone or have restarted."""
        for replica_id in replica_ids:
            self._drop(replica_id)

    def tick(self, now_ms: clock.Millis) -> None:
        """Drops limits that ended long ago, and the oldest beyond `LIMITS_MAX`.

        Args:
          now_ms: the time.
        """
        for replica_id, known in list(self._known.items()):
            age_ms = now_ms - known.observed_ms
            if known.per_s is None and age_ms >= ENDED_KEPT_MS:
                self._drop(replica_id)
        excess = len(self._known) - LIMITS_MAX
        if excess > 0:
            oldest = sorted(
                self._known, key=lambda r: self._known[r].observed_ms
            )
            self.forget(oldest[:excess])

    # Exchange with other entries.

    def updates_of(
        self, replica_ids: Iterable[str], now_ms: clock.Millis
    ) -> list[LimitUpdate]:
        """Returns updates with the known limits of some replicas.

        Args:
          replica_ids: the replicas; those without a known limit are left out.
          now_ms: the time.
        """
        found = ((r, self._known.get(r)) for r in replica_ids)
        return [
            LimitUpdate(
                r, known.born_ms, known.per_s, now_ms - known.observed_ms
            )
            for r, known in found
            if known is not None
        ]

    def digest(self) -> int:
        """Returns one digest of all replicas that name a limit."""
        return self._digests.joined()

    def digests(self) -> list[int]:
        """Returns the digest of each bucket of replicas."""
        return self._digests.all()

    def differing(self, digests: list[int]) -> list[str]:
        """Returns replicas whose limits another entry may not know.

        Args:
          digests: the digests of the other entry's buckets.

        Returns:
          The known replicas of all buckets that differ, the most recently
          updated first, at most `UPDATES_MAX`.
        """
        buckets = set(self._digests.differing(digests))
        found = [
            replica_id
            for replica_id in self._known
            if self._digests.bucket_of(replica_id) in buckets
        ]
        latest = sorted(found, key=lambda r: -self._known[r].observed_ms)
        return latest[:UPDATES_MAX]

    def _put(self, replica_id: str, new: KnownLimit) -> None:
        known = self._known.get(replica_id)
        before = known is not None and known.per_s is not None
        if before != (new.per_s is not None):
            self._digests.toggle(replica_id, replica_id)
        self._known[replica_id] = new

    def _drop(self, replica_id: str) -> None:
        known = self._known.pop(replica_id, None)
        if known is not None and known.per_s is not None:
            self._digests.toggle(replica_id, replica_id)


def _change(known: KnownLimit | None, new: KnownLimit) -> Change:
    """Returns how a limit differs from the one that was announced last."""
    before = None if known is None else known.announced_per_s
    if new.per_s is None:
        return Change.NONE if before is None else Change.ENDED
    if before is None:
        return Change.NAMED
    if abs(new.per_s - before) > CHANGE_SHARE * before:
        return Change.CHANGED
    return Change.NONE
