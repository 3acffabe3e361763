"""When a replica takes requests of this entry, by its own answers.

Load pattern: some replicas of a service, or all, turn requests away for
seconds, each request or a share of them, and name a time after which they want
to be asked again, or none; others say that they leave while the list still
shows them as healthy. Every entry learns that from answers of its own, and many
are told the same time by the same replica. So a time that a replica named is
kept whole and only its start anew ends it; entries come back at times of their
own; and one request at a time finds out whether a replica takes requests again,
while the others go where they are served.
"""

from __future__ import annotations

import enum
import math

import msgspec

from marlramp import clock

BACKOFF_MIN_MS = 150.0
"""How long a replica that turned a request away without naming a time is
spared; doubled with each refusal in a row."""

BACKOFF_MAX_MS = 2_400.0
"""Longest such time: what a replica that recovers may stand idle."""

TRIAL_MS = 250.0
"""Replicas turn requests away as they arrive: one that has not by then has
taken the request."""

RETURN_SPREAD_SHARE = 0.1
"""Part of a named time by which the returns of entries differ."""

LEAVING_MARGIN_MS = 100.0
"""Before the end of a replica's drain time nothing is sent there any more, so
that it arrives in time."""

REFUSAL_SMOOTHING = 0.3
"""Weight of the newest answer in a replica's share of refusals."""

REFUSAL_HALF_LIFE_MS = 1_000.0
"""Time after which refusals count half: a replica that gets little must not be
judged by them for long."""


class Change(enum.Enum):
    """What an answer changes for those who watch a replica."""

    NONE = "none"
    ASKED = "asked"
    EXTENDED = "extended"


class Availability(msgspec.Struct):
    """What one start of a replica said of itself.

    Attributes:
      paused_until_ms: it named a time before which it wants nothing.
      paused_since_ms: when the pause in force was first asked for.
      leaving_since_ms: when it first said that it leaves, None before.
      leaves_by_ms: when nothing more may be sent there, as it leaves.
      refusals: refusals in a row.
      sent_ms: when the last request was sent there.
    """

    paused_until_ms: float = float("-inf")
    paused_since_ms: float = float("-inf")
    leaving_since_ms: float | None = None
    leaves_by_ms: float = float("inf")
    refusals: int = 0
    sent_ms: float = float("-inf")
    _backoff_until_ms: float = float("-inf")
    _refused_ms: float = float("-inf")
    _refusal_share: float = 0.0
    _answered_ms: float = float("-inf")

    # What its answers say.

    def note_pause(
        self, wait_ms: float, spread: float, now_ms: clock.Millis
    ) -> Change:
        """Takes a time that it named; no other one shortens it.

        Args:
          wait_ms: the time.
          spread: 0 to 1, drawn: where in the spread of entries this one
            returns.
          now_ms: when the answer came.
        """
        until_ms = now_ms + wait_ms * (1.0 + RETURN_SPREAD_SHARE * spread)
        if wait_ms <= 0.0 or until_ms <= self.paused_until_ms:
            return Change.NONE
        change = Change.EXTENDED
        if not self.is_paused(now_ms):
            change = Change.ASKED
            self.paused_since_ms = now_ms
        self.paused_until_ms = until_ms
        return change

    def note_leaving(self, drain_ms: float, now_ms: clock.Millis) -> bool:
        """Takes that it leaves; returns whether that is new."""
        if self.leaving_since_ms is not None:
            return False
        self.leaving_since_ms = now_ms
        self.leaves_by_ms = now_ms + drain_ms - LEAVING_MARGIN_MS
        return True

    def note_refused(self, sent_ms: clock.Millis, now_ms: clock.Millis) -> None:
        """Takes that it turned a request away.

        A refusal that comes late is of a request that waited in its queue; it
        says nothing of whether the replica admits others.

        Args:
          sent_ms: when the request was sent.
          now_ms: when the answer came.
        """
        if now_ms - sent_ms > TRIAL_MS:
            self.back_off(BACKOFF_MIN_MS, now_ms)
            return
        self._note_share(1.0, now_ms)
        if sent_ms < self._refused_ms:
            # Sent together with one that was refused before: no news.
            return
        wait_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2.0**self.refusals)
        self.refusals += 1
        self._refused_ms = now_ms
        self.back_off(wait_ms, now_ms)

    def note_served(self, sent_ms: clock.Millis, now_ms: clock.Millis) -> None:
        """Takes that it served a request."""
        self._note_share(0.0, now_ms)
        if sent_ms >= self._refused_ms:
            self.refusals = 0

    def back_off(self, wait_ms: float, now_ms: clock.Millis) -> None:
        """Leaves it alone for some time, without shortening another one."""
        until_ms = now_ms + wait_ms
        self._backoff_until_ms = max(self._backoff_until_ms, until_ms)

    def note_sent(self, now_ms: clock.Millis) -> None:
        """Counts a request sent there, the trial if one is due."""
        self.sent_ms = now_ms

    # What follows from it.

    def is_paused(self, now_ms: clock.Millis) -> bool:
        """Returns whether it wants nothing now."""
        return now_ms < self.paused_until_ms

    @property
    def is_leaving(self) -> bool:
        """Whether it said that it leaves."""
        return self.leaving_since_ms is not None

    def takes(self, now_ms: clock.Millis) -> bool:
        """Returns whether its own word lets a request be written now."""
        return self.closed_ms(now_ms) <= 0.0

    def opens(self, now_ms: clock.Millis) -> bool:
        """Returns whether a request may be sent there.

        After refusals in a row one request at a time finds out.
        """
        if not self.takes(now_ms) or self.backoff_ms(now_ms) > 0.0:
            return False
        return self.refusals == 0 or not self.in_trial(now_ms)

    def in_trial(self, now_ms: clock.Millis) -> bool:
        """Returns whether the last request there may still be turned away."""
        return now_ms - self.sent_ms < TRIAL_MS

    def is_backing_off(self, now_ms: clock.Millis) -> bool:
        """Returns whether this entry's own backoff alone closes it."""
        return self.refusals > 0 and self.takes(now_ms)

    def closed_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long it has said to be closed: infinite if it leaves."""
        if now_ms >= self.leaves_by_ms:
            return float("inf")
        return max(0.0, self.paused_until_ms - now_ms)

    def backoff_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long it is left alone for its refusals."""
        return max(0.0, self._backoff_until_ms - now_ms)

    def refusal_share(self, now_ms: clock.Millis) -> float:
        """Returns the part of recent requests that it turned away."""
        age_ms = now_ms - self._answered_ms
        return self._refusal_share * math.pow(
            0.5, age_ms / REFUSAL_HALF_LIFE_MS
        )

    def _note_share(self, refused: float, now_ms: clock.Millis) -> None:
        share = self.refusal_share(now_ms)
        self._refusal_share = share + REFUSAL_SMOOTHING * (refused - share)
        self._answered_ms = now_ms
