"""Rate limit announced by a stand-in replica, and the users' rule on it."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import NamedTuple

CONTACT_S = 3.0
"""Grace period after a replica first announces a limit."""

TOLD_S = 0.5
"""Grace period after an entry first receives a limit."""

WINDOW_S = 4.0
EXCESS_SHARE = 1.5
EXCESS_REQUESTS = 5


def allowed_in_window(limit_per_s: float) -> int:
    """Returns the number of requests allowed within `WINDOW_S`."""
    return int(limit_per_s * WINDOW_S * EXCESS_SHARE) + EXCESS_REQUESTS


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
      at_s: event loop time.
      entry: entry that forwarded the request.
    """

    at_s: float
    entry: str


class NamedLimit:
    """Limit of one replica and the requests that reached it.

    The entry is taken from the request id, "ENTRY/NUMBER": all processes share
    one machine, so the source address does not identify it.

    Attributes:
      text: announced limit, "" for none.
      since_s: time of the first announcement, infinite before.
      until_s: time at which the limit was withdrawn, infinite before.
      arrivals: requests that reached it, executed or not.
      told_s: time of the first response with a limit, by entry.
    """

    def __init__(self) -> None:
        """Initializes a replica without a limit."""
        self.text = ""
        self.since_s = float("inf")
        self.until_s = float("inf")
        self.arrivals: list[Arrival] = []
        self.told_s: dict[str, float] = {}

    def name(self, text: str) -> None:
        """Announces another limit, or none if `text` is empty."""
        self.text = text
        self.until_s = float("inf") if text else _now_s()

    def arrived(self, request_id: str) -> None:
        """Records the arrival of a request."""
        self.arrivals.append(Arrival(_now_s(), _entry_of(request_id)))

    def headers(self, request_id: str) -> dict[str, str]:
        """Returns the response headers that announce the limit.

        Records that the entry of the request has received it.
        """
        if not self.text:
            return {}
        self.since_s = min(self.since_s, _now_s())
        self.told_s.setdefault(_entry_of(request_id), _now_s())
        return {"server_limit": self.text}

    def used(self, start_s: float, seconds: float) -> int:
        """Returns the number of requests in a period."""
        return sum(
            start_s <= arrival.at_s < start_s + seconds
            for arrival in self.arrivals
        )

    def most_in_window(self, excused: Collection[str] = ()) -> int:
        """Returns the maximum number of counted requests in any window.

        Requests within a grace period or after the limit was withdrawn are not
        counted.

        Args:
          excused: entries whose requests are not counted.
        """
        times_s = [
            arrival.at_s
            for arrival in self.arrivals
            if self.since_s + CONTACT_S <= arrival.at_s < self.until_s
            and arrival.entry not in excused
            and arrival.at_s
            >= self.told_s.get(arrival.entry, float("inf")) + TOLD_S
        ]
        return max(
            (
                sum(start <= at < start + WINDOW_S for at in times_s)
                for start in times_s
            ),
            default=0,
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _entry_of(request_id: str) -> str:
    entry, _, _ = request_id.partition("/")
    return entry
