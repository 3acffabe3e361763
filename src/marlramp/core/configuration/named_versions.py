"""Versions of one model's weights that were announced, and when.

Each version takes effect on its own, a fixed time after it was announced. That
time counts only while the platform's store serves, so it restarts after an
outage of the store.
"""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core.configuration import event_time

VERSIONS_KEPT = 32
"""Maximum number of versions kept, the newest ones. If a version is dropped
before it takes effect, requests may start on older ones until the next newer
version takes effect."""

OUTAGE_GAP_MS = 3_000.0
"""Signs of an outage that are further apart belong to two outages."""


class AgedVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version and its age, as one process sends them to another.

    Attributes:
      model: name of the model.
      version: number of the version.
      ages: how long ago the version was announced, None if that is not known.
      outage_age_ms: how long ago the store was last down before the version
        took effect, which restarted its time; None if the store was not down.
    """

    model: str
    version: int
    ages: event_time.Ages | None
    outage_age_ms: float | None = None


class NamedVersion(msgspec.Struct, frozen=True):
    """A version and when it was announced.

    Attributes:
      version: number of the version.
      named: when the version was announced, None if that is not known because
        the version was already in the store at a first read.
      outage_ms: the last reading at which the store was down before the version
        took effect, None if the store was not down.
      outage_reported: whether only other processes observed that outage.
    """

    version: int
    named: event_time.EventTime | None
    outage_ms: float | None = None
    outage_reported: bool = False

    @property
    def counts_from_ms(self) -> float | None:
        """The earliest reading from which the version's time may count.

        None if neither the announcement nor an outage is known.
        """
        if self.named is None:
            return self.outage_ms
        if self.outage_ms is None:
            return self.named.earliest_ms
        return max(self.named.earliest_ms, self.outage_ms)

    @property
    def named_by_ms(self) -> float | None:
        """The latest reading of the announcement, None if it is not known."""
        return self.outage_ms if self.named is None else self.named.latest_ms

    def aged(self, model: str, now_ms: clock.Millis) -> AgedVersion:
        """Returns the version with ages, to be sent at `now_ms`."""
        outage_age_ms = None
        if self.outage_ms is not None:
            outage_age_ms = now_ms - self.outage_ms
        ages = None if self.named is None else self.named.ages(now_ms)
        return AgedVersion(model, self.version, ages, outage_age_ms)

    def needs_refinement(
        self, bound_ms: float, uncertainty_max_ms: float, now_ms: clock.Millis
    ) -> bool:
        """Returns whether a more precise time of the announcement is needed.

        Args:
          bound_ms: time from a version's announcement until it takes effect.
          uncertainty_max_ms: acceptable uncertainty of the announcement.
          now_ms: the time.
        """
        if self.named is None:
            return True
        counts_by_ms = self.named.latest_ms
        if self.outage_ms is not None:
            counts_by_ms = max(counts_by_ms, self.outage_ms)
        if now_ms >= counts_by_ms + bound_ms:
            return False
        return (
            self.named.assumed or self.named.uncertainty_ms > uncertainty_max_ms
        )


class Outage(msgspec.Struct):
    """The last known outage during which the store served no entry.

    Attributes:
      began_ms: when the first sign of the outage became known, so that the
        outage had begun by then; minus infinity if there was none.
      last_ms: the last reading at which the outage lasted.
      bound_ms: time from a version's announcement until it takes effect.
    """

    began_ms: float = float("-inf")
    last_ms: float = float("-inf")
    bound_ms: float = 0.0

    @property
    def known(self) -> bool:
        """Whether an outage was observed."""
        return self.last_ms > float("-inf")

    def record_sign(
        self, bound_ms: float, sign_ms: float, known_ms: float | None = None
    ) -> None:
        """Records a reading at which the store served no entry.

        Args:
          bound_ms: time from a version's announcement until it takes effect.
          sign_ms: the reading.
          known_ms: when the reading became known, None for immediately.
        """
        if sign_ms - self.last_ms > OUTAGE_GAP_MS:
            self.began_ms = sign_ms if known_ms is None else known_ms
        self.last_ms = max(self.last_ms, sign_ms)
        self.bound_ms = bound_ms

    def apply_to(self, version: NamedVersion) -> NamedVersion:
        """Returns a version, delayed if the outage began before it took effect.

        The time of a delayed version counts from the end of the outage.
        """
        counts_from_ms = version.counts_from_ms
        if counts_from_ms is None or not self.known:
            return version
        if counts_from_ms + self.bound_ms <= self.began_ms:
            return version
        outage_ms = self.last_ms
        if version.outage_ms is not None:
            outage_ms = max(outage_ms, version.outage_ms)
        return NamedVersion(version.version, version.named, outage_ms)


def merge(
    versions: list[NamedVersion], received: NamedVersion
) -> list[NamedVersion]:
    """Returns known versions, oldest first, merged with a received one.

    An outage that another process observed applies to a version only if this
    process did not know the version's age.

    Args:
      versions: the known versions.
      received: the received version.
    """
    merged = []
    is_known = False
    for known in versions:
        if known.version == received.version:
            is_known = True
            merged.append(_merged(known, received))
        else:
            merged.append(known)
    if not is_known:
        merged.append(received)
    merged.sort(key=lambda each: each.version)
    return merged[-VERSIONS_KEPT:]


def _merged(known: NamedVersion, received: NamedVersion) -> NamedVersion:
    if received.named is None:
        return known
    if known.named is None:
        return received
    named = known.named.narrowed(received.named)
    if known.outage_reported:
        return NamedVersion(
            known.version, named, _merged_outage_ms(known, received), True
        )
    # If the version was announced earlier than known so far, the caller decides
    # again whether an outage delayed it.
    earlier = named.earliest_ms < known.named.earliest_ms
    outage_ms = None if earlier else known.outage_ms
    return NamedVersion(known.version, named, outage_ms)


def _merged_outage_ms(
    known: NamedVersion, received: NamedVersion
) -> float | None:
    """Returns the outage reading that results from two reports of a version.

    A reading whose version has an assumed announcement is replaced by one
    without an assumption, as in `EventTime.narrowed`. Of two assumed readings
    the earlier one is kept, of two others the later one.
    """
    if _is_assumed(known) is not _is_assumed(received):
        return received.outage_ms if _is_assumed(known) else known.outage_ms
    reported_ms = [
        each.outage_ms
        for each in (known, received)
        if each.outage_ms is not None
    ]
    pick = min if _is_assumed(known) else max
    return pick(reported_ms, default=None)


def _is_assumed(version: NamedVersion) -> bool:
    return version.named is not None and version.named.assumed
