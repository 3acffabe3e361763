"""Rate limits per customer, in requests and in tokens, split among entries."""

from __future__ import annotations

from marlramp import clock


class TokenBucket:
    """A token bucket whose level may become negative.

    `charge` can make the level negative; later requests are then delayed until
    the bucket has refilled.

    Attributes:
      rate_per_s: tokens added per second.
      burst: largest level.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now_ms: clock.Millis
    ) -> None:
        """Starts full.

        Args:
          rate_per_s: tokens added per second.
          burst: largest level.
          now_ms: the time.
        """
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._updated_ms = now_ms

    def level(self, now_ms: clock.Millis) -> float:
        """Returns the tokens in the bucket now, at most `burst`."""
        elapsed_s = max(0.0, now_ms - self._updated_ms) / (
            clock.MILLIS_PER_SECOND
        )
        self._level = min(self.burst, self._level + elapsed_s * self.rate_per_s)
        self._updated_ms = now_ms
        return self._level

    def try_consume(self, amount: float, now_ms: clock.Millis) -> float:
        """Removes `amount` tokens if the bucket holds that many.

        An amount above `burst` is removed from a full bucket, which leaves the
        level negative.

        Returns:
          0 if the tokens were removed, else the milliseconds until there will
          be enough, infinite if the bucket does not refill.
        """
        level = self.level(now_ms)
        if level >= amount or (level >= self.burst and amount > self.burst):
            self._level -= amount
            return 0.0
        if self.rate_per_s <= 0:
            return float("inf")
        missing = min(amount, self.burst) - level
        return missing / self.rate_per_s * clock.MILLIS_PER_SECOND

    def charge(self, amount: float, now_ms: clock.Millis) -> None:
        """Removes `amount` tokens even if the level becomes negative."""
        self.level(now_ms)
        self._level -= amount

    def set_rate(
        self, rate_per_s: float, burst: float, now_ms: clock.Millis
    ) -> None:
        """Changes the rate and burst; keeps the level up to the new burst."""
        self.level(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)


class CustomerLimit:
    """One entry's share of one customer's limit.

    The share is the limit divided by the number of entries that the platform
    lists, whether or not these can be reached. In a network partition, each
    entry keeps to its share, so that their sum never exceeds the limit. The sum
    can exceed it only while entries use lists of different length.
    """

    def __init__(
        self,
        requests_per_s: float,
        tokens_per_s: float,
        burst_s: float,
        entries: int,
        now_ms: clock.Millis,
    ) -> None:
        """Starts with a full burst.

        Args:
          requests_per_s: the customer's request limit over all entries.
          tokens_per_s: the customer's token limit over all entries.
          burst_s: length of a burst, in seconds at the limited rate.
          entries: number of entries that share the limit.
          now_ms: the time.
        """
        request_rate = requests_per_s / entries
        token_rate = tokens_per_s / entries
        self._burst_s = burst_s
        self._requests = TokenBucket(
            request_rate, max(1.0, request_rate * burst_s), now_ms
        )
        self._tokens = TokenBucket(
            token_rate, max(1.0, token_rate * burst_s), now_ms
        )

    def update(
        self,
        requests_per_s: float,
        tokens_per_s: float,
        burst_s: float,
        entries: int,
        now_ms: clock.Millis,
    ) -> None:
        """Applies changed settings or a changed number of entries.

        Args:
          requests_per_s: the customer's request limit over all entries.
          tokens_per_s: the customer's token limit over all entries.
          burst_s: length of a burst, in seconds at the limited rate.
          entries: number of entries that share the limit.
          now_ms: the time.
        """
        self._burst_s = burst_s
        request_rate = requests_per_s / entries
        token_rate = tokens_per_s / entries
        self._requests.set_rate(
            request_rate, max(1.0, request_rate * self._burst_s), now_ms
        )
        self._tokens.set_rate(
            token_rate, max(1.0, token_rate * self._burst_s), now_ms
        )

    def admit(self, tokens: int, now_ms: clock.Millis) -> float:
        """Charges a request and the tokens it may use.

        Args:
          tokens: tokens that the request may use.
          now_ms: the time.

        Returns:
          0 if the request is admitted, else the milliseconds after which to
          retry; then nothing is charged.
        """
        wait_ms = self._tokens.try_consume(tokens, now_ms)
        if wait_ms > 0:
            return wait_ms
        wait_ms = self._requests.try_consume(1.0, now_ms)
        if wait_ms > 0:
            self._tokens.charge(-tokens, now_ms)
        return wait_ms

    def settle(self, reserved: int, used: int, now_ms: clock.Millis) -> None:
        """Refunds the tokens that were reserved but not used.

        Args:
          reserved: tokens charged when the request was admitted.
          used: tokens that the request used; a larger number is charged.
          now_ms: the time.
        """
        self._tokens.charge(used - reserved, now_ms)
