"""Estimates the number of entries by which a bound over the fleet is divided.

An entry that starts knows no other entry yet, and one that is partitioned from
the others never learns of them. Dividing a bound by the few entries that such
an entry knows would let the fleet exceed the bound.
"""

from __future__ import annotations

from collections.abc import Collection
import math

from marlramp import clock

ENTRIES_ASSUMED = 256
"""Number of entries that an entry assumes while it starts and knows few. It is
at least the number of entries of a fleet: with 64, up to 53 requests a second
were permitted to one replica when 150 entries started together."""

START_MS = 1_500.0
"""Time after its start for which an entry assumes `ENTRIES_ASSUMED`. The
entries of a fleet of 120 know each other within 1.1 s."""


QUIET_MS = 400.0
"""Time without a change of the known entries after which a starting entry that
knows entries in all data centres takes them for the whole fleet. While many
entries start, updates on them arrive every 100 ms."""


class FleetSize:
    """Estimates the number of entries, by what one entry knows.

    An estimate that is too high costs callers some of what the bound allows;
    one that is too low exceeds the bound.
    """

    def __init__(
        self, data_centres: Collection[str], time: clock.Clock
    ) -> None:
        """Starts with the assumed number of entries.

        Args:
          data_centres: all data centres of the deployment.
          time: the clock.
        """
        self._data_centres = len(data_centres)
        self._clock = time
        self._started_ms = time.now_ms()
        self._changed_ms = self._started_ms
        self._listed: Collection[str] = ()
        self._known = 0
        self._is_alone = True
        self._reported = 0

    def observe(
        self,
        data_centres: Collection[str],
        remembered: int,
        *,
        expects_others: bool,
    ) -> None:
        """Records the entries that are known; to be called regularly.

        Args:
          data_centres: data centre of each entry in the roster, with this one.
          remembered: number of entries that were known in the last hour, with
            this one.
          expects_others: whether there should be other entries. An entry that
            knows none of them does not take itself for the only one.
        """
        known = max(len(data_centres), remembered)
        if known != self._known:
            self._changed_ms = self._clock.now_ms()
        self._known = known
        self._listed = data_centres
        self._is_alone = known <= 1 and expects_others

    def record_report(self, entries: int) -> None:
        """Records the estimate of an entry whose own estimate is settled.

        Args:
          entries: number of entries, 0 if the other one has no estimate.
        """
        self._reported = max(self._reported, entries)

    @property
    def is_settled(self) -> bool:
        """Whether the estimate rests on the other entries, not on a guess."""
        if self._is_alone:
            return False
        return not self.is_starting or self._reported > 0

    @property
    def entries(self) -> int:
        """Number of entries to divide a bound by."""
        if not self.is_settled:
            return max(self._known, ENTRIES_ASSUMED)
        known = self._known
        if self.is_starting:
            known = max(known, self._reported)
        # A data centre without any known entry may have been cut off from here
        # since before this process started.
        unseen_factor = max(1.0, self._data_centres / self._seen)
        return max(known, math.ceil(len(self._listed) * unseen_factor))

    @property
    def _seen(self) -> int:
        """Number of data centres with an entry."""
        return max(1, len(set(self._listed)))

    @property
    def is_provisional(self) -> bool:
        """Whether a better estimate is due within `START_MS`."""
        return self.is_starting and not self.is_settled

    @property
    def is_starting(self) -> bool:
        """Whether entries may still be missing from the roster."""
        now_ms = self._clock.now_ms()
        if now_ms - self._started_ms >= START_MS:
            return False
        quiet = now_ms - self._changed_ms >= QUIET_MS
        return not quiet or self._seen < self._data_centres
