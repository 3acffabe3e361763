"""The limit that a stand-in of a replica names, and the users' rule on it."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from typing import NamedTuple

CONTACT_S = 3.0
"""After a replica first names a limit, the time from which it counts."""

TOLD_S = 0.5
"""After an entry was told of a limit, the time from which it is bound."""

WINDOW_S = 4.0
EXCESS_SHARE = 1.5
EXCESS_REQUESTS = 5


def allowed_in_window(limit_per_s: float) -> int:
    """Returns the requests that a limit allows in `WINDOW_S`."""
    return int(limit_per_s * WINDOW_S * EXCESS_SHARE) + EXCESS_REQUESTS


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
      at_s: time of the event loop.
      entry: the entry that it came through.
    """

    at_s: float
    entry: str


class NamedLimit:
    """The limit of one replica, and the requests that it got.

    Who sent a request shows in its id, "ENTRY/NUMBER", since all processes
    share one machine.

    Attributes:
      text: what it names, "" while it names no limit.
      since_s: when it first named one, infinite before.
      until_s: when it named none any more, infinite before.
      arrivals: requests that reached it, run or not.
      told_s: when each entry first got an answer that names a limit.
    """

    def __init__(self) -> None:
        """Names no limit."""
        self.text = ""
        self.since_s = float("inf")
        self.until_s = float("inf")
        self.arrivals: list[Arrival] = []
        self.told_s: dict[str, float] = {}

    def name(self, text: str) -> None:
        """Names another limit from now on, or none."""
        self.text = text
        self.until_s = float("inf") if text else _now_s()

    def arrived(self, request_id: str) -> None:
        """Notes a request."""
        self.arrivals.append(Arrival(_now_s(), _entry_of(request_id)))

    def headers(self, request_id: str) -> dict[str, str]:
        """Returns what an answer says of the limit."""
        if not self.text:
            return {}
        self.since_s = min(self.since_s, _now_s())
        self.told_s.setdefault(_entry_of(request_id), _now_s())
        return {"server_limit": self.text}

    def used(self, start_s: float, seconds: float) -> int:
        """Returns the requests that came in some time."""
        return sum(
            start_s <= arrival.at_s < start_s + seconds
            for arrival in self.arrivals
        )

    def most_in_window(self, excused: Collection[str] = ()) -> int:
        """Returns the most requests that count in any window.

        Args:
          excused: entries whose requests don't count.
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
