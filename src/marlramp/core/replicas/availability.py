"""When a replica accepts requests, according to its own answers.

Load pattern: some or all replicas of a service refuse requests for seconds,
either every request or a share of them, with or without a time after which to
retry. Other replicas announce that they leave while the replica list still
shows them as healthy. Every entry learns this from the answers that it receives
itself, and a replica gives many entries one and the same retry time.

Therefore a pause that a replica requested lasts to its end, and only a restart
of the replica ends it earlier. Entries return to the replica at different
times. After refusals, one request at a time tests whether the replica accepts
requests again, while the others go to replicas that serve them.
"""

from __future__ import annotations

import enum
import math

import msgspec

from marlramp import clock

BACKOFF_MIN_MS = 150.0
"""Backoff after the first refusal that names no time; doubled with each
consecutive refusal."""

BACKOFF_MAX_MS = 2_400.0
"""Longest backoff, which is also the longest time that a replica that has
recovered stays idle."""

TRIAL_MS = 250.0
"""Time after which a request without an answer counts as accepted, since
replicas refuse requests as these arrive."""

RETURN_JITTER_SHARE = 0.1
"""Largest extension of a pause, as a part of it, so that entries return at
different times."""

LEAVING_MARGIN_MS = 100.0
"""Time before the end of a replica's drain time from which no request is sent
to the replica, so that the last request arrives in time."""

REFUSAL_SMOOTHING = 0.3
"""Weight of the newest answer in a replica's share of refusals."""

REFUSAL_HALF_LIFE_MS = 1_000.0
"""Time after which the share of refusals counts half, so that old refusals do
not exclude a replica that receives few requests for long."""


class Change(enum.Enum):
    """Effect of an answer on a replica's pause.

    Attributes:
      NONE: the pause is unchanged.
      PAUSED: the replica requested a pause and was not paused before.
      EXTENDED: the replica extended its pause.
    """

    NONE = "none"
    PAUSED = "asked"
    EXTENDED = "extended"


class Availability(msgspec.Struct):
    """Availability of one run of a replica, from its answers to this entry.

    A restarted replica gets a new object.

    Attributes:
      paused_until_ms: end of the pause that the replica requested.
      paused_since_ms: start of the current or last pause.
      leaving_since_ms: when the replica first announced that it leaves, None
        before.
      leaves_by_ms: from when no request is sent to the leaving replica.
      refusals: consecutive refusals.
      sent_ms: when the last request was sent to the replica.
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

    # Updates from answers and sends.

    def record_pause(
        self, wait_ms: float, jitter: float, now_ms: clock.Millis
    ) -> Change:
        """Records a pause that the replica requested.

        A later answer can extend a pause, but not shorten it.

        Args:
          wait_ms: length of the pause.
          jitter: random number from 0 to 1 that sets how much the entry extends
            the pause, up to `RETURN_JITTER_SHARE`.
          now_ms: when the answer arrived.

        Returns:
          How the answer changes the replica's pause.
        """
        until_ms = now_ms + wait_ms * (1.0 + RETURN_JITTER_SHARE * jitter)
        if wait_ms <= 0.0 or until_ms <= self.paused_until_ms:
            return Change.NONE
        change = Change.EXTENDED
        if not self.is_paused(now_ms):
            change = Change.PAUSED
            self.paused_since_ms = now_ms
        self.paused_until_ms = until_ms
        return change

    def record_leaving(self, drain_ms: float, now_ms: clock.Millis) -> bool:
        """Records that the replica leaves; returns whether that is new.

        Args:
          drain_ms: time for which the replica still accepts requests.
          now_ms: when the answer arrived.
        """
        if self.leaving_since_ms is not None:
            return False
        self.leaving_since_ms = now_ms
        self.leaves_by_ms = now_ms + drain_ms - LEAVING_MARGIN_MS
        return True

    def record_refusal(
        self, sent_ms: clock.Millis, now_ms: clock.Millis
    ) -> None:
        """Records that the replica refused a request.

        A refusal later than `TRIAL_MS` is of a request that waited in the
        replica's queue. It does not show whether the replica accepts others, so
        it neither doubles the backoff nor counts in the share of refusals.

        Args:
          sent_ms: when the request was sent.
          now_ms: when the answer arrived.
        """
        if now_ms - sent_ms > TRIAL_MS:
            self.back_off(BACKOFF_MIN_MS, now_ms)
            return
        self._update_refusal_share(1.0, now_ms)
        if sent_ms < self._refused_ms:
            # The request was sent before the last refusal arrived, so this
            # refusal adds no information.
            return
        wait_ms = min(BACKOFF_MAX_MS, BACKOFF_MIN_MS * 2.0**self.refusals)
        self.refusals += 1
        self._refused_ms = now_ms
        self.back_off(wait_ms, now_ms)

    def record_served(
        self, sent_ms: clock.Millis, now_ms: clock.Millis
    ) -> None:
        """Records that the replica served a request.

        Args:
          sent_ms: when the request was sent.
          now_ms: when the answer arrived.
        """
        self._update_refusal_share(0.0, now_ms)
        if sent_ms >= self._refused_ms:
            self.refusals = 0

    def back_off(self, wait_ms: float, now_ms: clock.Millis) -> None:
        """Starts a backoff, or extends the current one if it ends earlier."""
        until_ms = now_ms + wait_ms
        self._backoff_until_ms = max(self._backoff_until_ms, until_ms)

    def record_sent(self, now_ms: clock.Millis) -> None:
        """Records a request sent to the replica; it is the trial if one is due.

        Args:
          now_ms: when the request is sent.
        """
        self.sent_ms = now_ms

    # State at a time.

    def is_paused(self, now_ms: clock.Millis) -> bool:
        """Returns whether a pause that the replica requested is in force."""
        return now_ms < self.paused_until_ms

    @property
    def is_leaving(self) -> bool:
        """Whether the replica has announced that it leaves."""
        return self.leaving_since_ms is not None

    def is_open(self, now_ms: clock.Millis) -> bool:
        """Returns whether the replica is neither paused nor gone.

        This entry's own backoff is not considered.
        """
        return self.closed_ms(now_ms) <= 0.0

    def may_send(self, now_ms: clock.Millis) -> bool:
        """Returns whether a request may be sent to the replica.

        After a refusal, one trial request at a time may be sent until the
        replica serves one.
        """
        if not self.is_open(now_ms) or self.backoff_ms(now_ms) > 0.0:
            return False
        return self.refusals == 0 or not self.in_trial(now_ms)

    def in_trial(self, now_ms: clock.Millis) -> bool:
        """Returns whether the replica may still refuse the last request."""
        return now_ms - self.sent_ms < TRIAL_MS

    def is_backing_off(self, now_ms: clock.Millis) -> bool:
        """Returns whether only this entry's backoff or trial can close it.

        That holds after a refusal, while the replica is neither paused nor
        gone.
        """
        return self.refusals > 0 and self.is_open(now_ms)

    def closed_ms(self, now_ms: clock.Millis) -> float:
        """Returns how long the replica stays closed by its own announcement.

        Returns:
          Milliseconds to the end of its pause, 0 if it is open, or infinite if
          it leaves and its drain time is over.
        """
        if now_ms >= self.leaves_by_ms:
            return float("inf")
        return max(0.0, self.paused_until_ms - now_ms)

    def backoff_ms(self, now_ms: clock.Millis) -> float:
        """Returns the milliseconds to the end of this entry's backoff."""
        return max(0.0, self._backoff_until_ms - now_ms)

    def refusal_share(self, now_ms: clock.Millis) -> float:
        """Returns the smoothed part of recent requests that it refused."""
        age_ms = now_ms - self._answered_ms
        return self._refusal_share * math.pow(
            0.5, age_ms / REFUSAL_HALF_LIFE_MS
        )

    def _update_refusal_share(
        self, refused: float, now_ms: clock.Millis
    ) -> None:
        share = self.refusal_share(now_ms)
        self._refusal_share = share + REFUSAL_SMOOTHING * (refused - share)
        self._answered_ms = now_ms
