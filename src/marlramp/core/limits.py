"""Limits per customer, in requests and in tokens, shared among entries."""

from __future__ import annotations

from marlramp import clock


class TokenBucket:
    """A refilling allowance that may be charged after the fact.

    The level can become negative through `charge`, which delays later
    requests until the debt is paid.
    """

    def __init__(
        self, rate_per_s: float, burst: float, now_ms: clock.Millis
    ) -> None:
        """Starts full."""
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = burst
        self._updated_ms = now_ms

    def level(self, now_ms: clock.Millis) -> float:
        """Returns the allowance now, at most `burst`."""
        elapsed_s = max(0.0, now_ms - self._updated_ms) / (
            clock.MILLIS_PER_SECOND
        )
        self._level = min(self.burst, self._level + elapsed_s * self.rate_per_s)
        self._updated_ms = now_ms
        return self._level

    def try_take(self, amount: float, now_ms: clock.Millis) -> float:
        """Takes `amount` if there is that much.

        Returns:
          0 when taken, else the milliseconds until there will be enough.
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
        """Takes `amount` even if the level becomes negative."""
        self.level(now_ms)
        self._level -= amount

    def set_rate(
        self, rate_per_s: float, burst: float, now_ms: clock.Millis
    ) -> None:
        """Changes the rate from now on, keeping the level."""
        self.level(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._level = min(self._level, burst)


class CustomerLimit:
    """One entry's share of one customer's limit.

    The share is the limit divided by the number of entries that the platform
    lists, whether or not they can be reached. In a partition each side keeps
    to its shares, so their sum never exceeds the limit; the bound is broken
    only while lists of different length are in use.
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
          requests_per_s: the customer's limit over all entries.
          tokens_per_s: the customer's token limit over all entries.
          burst_s: seconds of the rate that may be used at once.
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
        """Applies changed settings or a changed number of entries."""
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

        Returns:
          0 when admitted, else the milliseconds until it would be.
        """
        wait_ms = self._tokens.try_take(tokens, now_ms)
        if wait_ms > 0:
            return wait_ms
        wait_ms = self._requests.try_take(1.0, now_ms)
        if wait_ms > 0:
            self._tokens.charge(-tokens, now_ms)
        return wait_ms

    def settle(self, reserved: int, used: int, now_ms: clock.Millis) -> None:
        """Returns the tokens that were reserved but not used."""
        self._tokens.charge(used - reserved, now_ms)
