"""Replicas that turn requests away or leave, and the users' rules on both."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import random
from typing import NamedTuple

TOLD_S = 0.5
"""After a replica asked an entry for a pause, the time from which it counts."""

ARRIVALS_MAX = 2
"""Requests that may reach a replica in a pause that it asked an entry for."""

DRAIN_S = 2.0
"""After an entry heard that a replica leaves, the time until nothing reaches
it from there; `drain_ms` of the settings."""


class _Arrival(NamedTuple):
    at_s: float
    entry: str


class _Pause(NamedTuple):
    asked_s: float
    until_s: float
    entry: str


class TurningAway:
    """What one replica turns away, asks for and gets all the same.

    Who sent a request shows in its id, "ENTRY/NUMBER", since all processes
    share one machine.

    Attributes:
      leaving: whether all its answers say that it leaves.
      turned_away: requests that it refused.
    """

    def __init__(self, name: str) -> None:
        """Serves all that it gets.

        Args:
          name: the replica's id, which seeds what it turns away.
        """
        self.leaving = False
        self.turned_away = 0
        self._rng = random.Random(name)
        self._share = 0.0
        self._status = 503
        self._retry_after = ""
        self._arrivals: list[_Arrival] = []
        self._pauses: list[_Pause] = []
        self._leaving_told_s: dict[str, float] = {}

    def start(
        self, retry_after: str = "", share: float = 1.0, status: int = 503
    ) -> None:
        """Turns requests away from now on.

        Args:
          retry_after: value of `Retry-After`, "" for none.
          share: part of the requests that it turns away.
          status: the status that says so.
        """
        self._retry_after = retry_after
        self._share = share
        self._status = status

    def stop(self) -> None:
        """Serves all again; what it asked for still holds."""
        self._share = 0.0

    def started_anew(self) -> None:
        """Knows nothing of what an earlier start asked for or said."""
        self.leaving = False
        self._share = 0.0
        self._pauses.clear()
        self._leaving_told_s.clear()

    def takes(self, request_id: str) -> int:
        """Notes a request.

        Returns:
          The status to turn it away with, 0 if it is served.
        """
        self._arrivals.append(_Arrival(_now_s(), _entry_of(request_id)))
        if self._rng.random() >= self._share:
            return 0
        self.turned_away += 1
        return self._status

    def headers(self, request_id: str, status: int) -> dict[str, str]:
        """Returns what an answer says, and notes that it said so."""
        entry = _entry_of(request_id)
        said = {}
        if self.leaving:
            said["server_leaving"] = "1"
            self._leaving_told_s.setdefault(entry, _now_s())
        if status:
            said["x_not_executed"] = "1"
        if status and self._retry_after:
            said["retry_after"] = self._retry_after
            self._note_pause(entry)
        return said

    def most_in_pause(self, excused: Collection[str] = ()) -> int:
        """Returns the most requests that came in any pause from one entry."""
        return max(
            (
                self._came(pause.entry, pause.asked_s + TOLD_S, pause.until_s)
                for pause in self._pauses
                if pause.entry not in excused
            ),
            default=0,
        )

    def late(self, excused: Collection[str] = ()) -> int:
        """Returns the requests that came too late after it said it leaves."""
        return sum(
            self._came(entry, told_s + DRAIN_S, float("inf"))
            for entry, told_s in self._leaving_told_s.items()
            if entry not in excused
        )

    def arrivals_since(self, start_s: float) -> int:
        """Returns the requests that came since a time of the event loop."""
        return sum(arrival.at_s >= start_s for arrival in self._arrivals)

    def _note_pause(self, entry: str) -> None:
        try:
            wait_s = float(self._retry_after)
        except ValueError:
            return
        pause = _Pause(_now_s(), _now_s() + wait_s, entry)
        self._pauses.append(pause)

    def _came(self, entry: str, start_s: float, end_s: float) -> int:
        return sum(
            arrival.entry == entry and start_s <= arrival.at_s < end_s
            for arrival in self._arrivals
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _entry_of(request_id: str) -> str:
    entry, _, _ = request_id.partition("/")
    return entry
