"""The versions of one model's weights that were named, and since when.

Each version binds by itself, some time after it was named. That time counts
only while the platform's store serves, so it counts anew after an outage.
"""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core import event_time

VERSIONS_KEPT = 32
"""Versions that are remembered, the newest ones. A version that is forgotten
before it binds lets requests begin on older ones until the next one binds."""

OUTAGE_GAP_MS = 3_000.0
"""Signs of an outage that are further apart are of two outages."""


class AgedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version and its age, as one process tells another.

    Attributes:
      model: the model.
      version: the version.
      ages: how long ago it was named, None if that is not known.
      outage_age_ms: how long ago the outage was after which its time counted
        anew, None if there was none.
    """

    model: str
    version: int
    ages: event_time.Ages | None
    outage_age_ms: float | None = None


class NamedVersion(msgspec.Struct, frozen=True):
    """A version and when it was named.

    Attributes:
      version: the version.
      named: when it was named, None if it was there at a first read.
      outage_ms: when the store was last down before it bound, None if it was
        not.
      outage_told: whether only others know of that outage.
    """

    version: int
    named: event_time.EventTime | None
    outage_ms: float | None = None
    outage_told: bool = False

    @property
    def counts_from_ms(self) -> float | None:
        """The earliest reading from which its time may count.

        None if nothing is known of it.
        """
        if self.named is None:
            return self.outage_ms
        if self.outage_ms is None:
            return self.named.earliest_ms
        return max(self.named.earliest_ms, self.outage_ms)

    @property
    def named_by_ms(self) -> float | None:
        """The latest reading at which it was named, None if not known."""
        return self.outage_ms if self.named is None else self.named.latest_ms

    def aged(self, model: str, now_ms: clock.Millis) -> AgedVersion:
        """Returns the same as ages, to be told now."""
        outage_age_ms = None
        if self.outage_ms is not None:
            outage_age_ms = now_ms - self.outage_ms
        ages = None if self.named is None else self.named.ages(now_ms)
        return AgedVersion(model, self.version, ages, outage_age_ms)

    def is_in_doubt(
        self, bound_ms: float, doubt_ms: float, now_ms: clock.Millis
    ) -> bool:
        """Returns whether it matters to know better when it was named.

        Args:
          bound_ms: time after its naming from which it binds.
          doubt_ms: doubt that does not matter.
          now_ms: the time.
        """
        if self.named is None:
            return True
        counts_by_ms = self.named.latest_ms
        if self.outage_ms is not None:
            counts_by_ms = max(counts_by_ms, self.outage_ms)
        if now_ms >= counts_by_ms + bound_ms:
            return False
        return self.named.assumed or self.named.doubt_ms > doubt_ms


class Outage(msgspec.Struct):
    """The last time that the store served no entry, as far as is known.

    Attributes:
      began_ms: by when it had begun, minus infinity if there was none: the
        first sign of it was known then.
      last_ms: the last reading at which it lasted.
      bound_ms: time after its naming from which a version binds.
    """

    began_ms: float = float("-inf")
    last_ms: float = float("-inf")
    bound_ms: float = 0.0

    @property
    def known(self) -> bool:
        """Whether there was one."""
        return self.last_ms > float("-inf")

    def note(
        self, bound_ms: float, sign_ms: float, known_ms: float | None = None
    ) -> None:
        """Takes a reading at which the store still served none.

        Args:
          bound_ms: time after its naming from which a version binds.
          sign_ms: the reading.
          known_ms: when that was known, None for at once.
        """
        if sign_ms - self.last_ms > OUTAGE_GAP_MS:
            self.began_ms = sign_ms if known_ms is None else known_ms
        self.last_ms = max(self.last_ms, sign_ms)
        self.bound_ms = bound_ms

    def applied(self, version: NamedVersion) -> NamedVersion:
        """Returns a version whose time counts anew, if it did not bind yet."""
        counts_from_ms = version.counts_from_ms
        if counts_from_ms is None or not self.known:
            return version
        if counts_from_ms + self.bound_ms <= self.began_ms:
            return version
        outage_ms = self.last_ms
        if version.outage_ms is not None:
            outage_ms = max(outage_ms, version.outage_ms)
        return NamedVersion(version.version, version.named, outage_ms)


def learn(
    versions: list[NamedVersion], heard: NamedVersion
) -> list[NamedVersion]:
    """Returns named versions, the oldest first, with one that was heard of.

    An outage that another process noticed counts for a version only if
    its age was not known here.

    Args:
      versions: those that are known.
      heard: the one heard of.
    """
    merged = []
    is_known = False
    for known in versions:
        if known.version == heard.version:
            is_known = True
            merged.append(_merged(known, heard))
        else:
            merged.append(known)
    if not is_known:
        merged.append(heard)
    merged.sort(key=lambda each: each.version)
    return merged[-VERSIONS_KEPT:]


def _merged(known: NamedVersion, heard: NamedVersion) -> NamedVersion:
    if heard.named is None:
        return known
    if known.named is None:
        return heard
    named = known.named.narrowed(heard.named)
    if known.outage_told:
        return NamedVersion(
            known.version, named, _told_outage_ms(known, heard), True
        )
    # Whether an outage delayed it is judged anew if it was named earlier.
    earlier = named.earliest_ms < known.named.earliest_ms
    outage_ms = None if earlier else known.outage_ms
    return NamedVersion(known.version, named, outage_ms)


def _told_outage_ms(known: NamedVersion, heard: NamedVersion) -> float | None:
    """Returns the early end of an outage that two words tell of.

    One that was assumed gives way, as that of the naming does; of two others
    the later one holds.
    """
    if _is_assumed(known) is not _is_assumed(heard):
        return heard.outage_ms if _is_assumed(known) else known.outage_ms
    told_ms = [
        each.outage_ms for each in (known, heard) if each.outage_ms is not None
    ]
    pick = min if _is_assumed(known) else max
    return pick(told_ms, default=None)


def _is_assumed(version: NamedVersion) -> bool:
    return version.named is not None and version.named.assumed
