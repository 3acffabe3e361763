"""Backoff for pieces whose bytes do not match their digests.

Bytes may be corrupt once or twice in transit. If they never match, the digest
may be wrong, and requests without a backoff would use up the link of the
origin.
"""

from __future__ import annotations

from marlramp import clock

UNDELAYED_RETRIES = 1
"""Mismatches of one piece after which it is requested again without delay."""

BACKOFF_MIN_MS = 100.0
"""First delay; it doubles with each further mismatch."""

BACKOFF_MAX_MS = 3_200.0
"""Maximum delay."""


class MismatchBackoff:
    """Delays until pieces that did not match may be requested again."""

    def __init__(self) -> None:
        """Starts without mismatches."""
        self._counts: dict[int, int] = {}
        self._not_before_ms: dict[int, float] = {}

    def record_mismatch(self, index: int, now_ms: clock.Millis) -> None:
        """Records that the bytes of a piece did not match its digest."""
        count = self._counts.get(index, 0) + 1
        self._counts[index] = count
        doublings = count - 1 - UNDELAYED_RETRIES
        if doublings >= 0:
            delay_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2.0**doublings)
            self._not_before_ms[index] = now_ms + delay_ms

    def clear(self, index: int) -> None:
        """Forgets a piece whose bytes matched."""
        self._counts.pop(index, None)
        self._not_before_ms.pop(index, None)

    def may_request(self, index: int, now_ms: clock.Millis) -> bool:
        """Returns whether a piece may be requested now."""
        return self._not_before_ms.get(index, float("-inf")) <= now_ms
