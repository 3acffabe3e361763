"""Fetches weights from the origin and the weight store, within rate limits."""

from __future__ import annotations

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.grant_calls import limits
from marlramp.platform import clients
from marlramp.platform import http_clients
from marlramp.settings import process
from marlramp.shell import http


class RatedSources:
    """The platform's sources of weights, rate-limited for one process."""

    def __init__(
        self,
        client: http.HttpClient,
        platform: process.Platform,
        totals: counters.Counters,
        time: clock.Clock,
    ) -> None:
        """Uses the sources and rates in the settings of the process."""
        self._origin: clients.WeightSource = http_clients.HttpWeightSource(
            client, platform.origin_url
        )
        self._store: clients.WeightSource = http_clients.HttpWeightSource(
            client, platform.weight_store_url
        )
        now_ms = time.now_ms()
        origin_rate = platform.origin_requests_per_s
        store_rate = platform.weight_store_requests_per_s
        self._origin_rate = limits.TokenBucket(origin_rate, origin_rate, now_ms)
        self._store_rate = limits.TokenBucket(store_rate, store_rate, now_ms)
        self._totals = totals
        self._clock = time

    async def manifest(self, digest: ids.Digest) -> bytes:
        """Returns a manifest from the weight store, not yet verified.

        Raises:
          clients.PlatformError: if the store fails or its rate limit is
            reached.
        """
        self._consume_rate(self._store_rate, "manifest")
        return await self._store.manifest(digest)

    async def chunk(self, digest: str) -> bytes:
        """Returns a chunk from the origin, or the store if the origin fails.

        Raises:
          clients.PlatformError: if the rate limit of the origin is reached, or
            if the origin fails and the store fails or its limit is reached.
        """
        self._consume_rate(self._origin_rate, "origin")
        try:
            return await self._origin.chunk(digest)
        except clients.PlatformError as error:
            logs.log("origin_failed", detail=error)
            self._consume_rate(self._store_rate, "store")
            return await self._store.chunk(digest)

    def _consume_rate(self, rate: limits.TokenBucket, reason: str) -> None:
        wait_ms = rate.try_consume(1.0, self._clock.now_ms())
        if wait_ms > 0:
            raise clients.PlatformError(
                f"own rate limit reached: {reason}", wait_ms
            )
        self._totals.add(counters.CounterName.PLATFORM_READS, reason)
