"""Stand-in replicas that reject requests or leave, with the users' rules."""

from __future__ import annotations

import asyncio
from collections.abc import Collection
import random
from typing import NamedTuple

TOLD_S = 0.5
"""Grace period after a replica asks an entry to pause."""

ARRIVALS_MAX = 2
"""Maximum requests from an entry during a pause asked of that entry."""

DRAIN_S = 2.0
"""Time within which an entry stops sending to a leaving replica.

Matches `drain_ms` of the settings.
"""


class _Arrival(NamedTuple):
    at_s: float
    entry: str


class _Pause(NamedTuple):
    asked_s: float
    until_s: float
    entry: str


_NOT_RUN_STATUSES = frozenset({429, 503})


class TurningAway:
    """Rejections of one replica and the requests that arrive regardless.

    The entry is taken from the request id, "ENTRY/NUMBER": all processes share
    one machine, so the source address does not identify it.

    Attributes:
      leaving: whether all responses announce that it is leaving.
      turned_away: number of rejected requests.
    """

    def __init__(self, name: str) -> None:
        """Initializes a replica that rejects nothing.

        Args:
          name: the replica's id; seeds the random choice of rejections.
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
        """Starts rejecting requests.

        Args:
          retry_after: value of `Retry-After`, "" for none.
          share: fraction of requests to reject.
          status: status code of a rejection. With any other than 429 and 503
            the request counts as run.
        """
        self._retry_after = retry_after
        self._share = share
        self._status = status

    def stop(self) -> None:
        """Stops rejecting requests; pauses asked for stay in force."""
        self._share = 0.0

    def started_anew(self) -> None:
        """Resets the state after a restart.

        Pauses and leave notices of an earlier start no longer apply.
        """
        self.leaving = False
        self._share = 0.0
        self._pauses.clear()
        self._leaving_told_s.clear()

    def takes(self, request_id: str) -> int:
        """Records the arrival of a request.

        Returns:
          The status code of the rejection, 0 if the request is served.
        """
        self._arrivals.append(_Arrival(_now_s(), _entry_of(request_id)))
        if self._rng.random() >= self._share:
            return 0
        self.turned_away += 1
        return self._status

    def headers(self, request_id: str, status: int) -> dict[str, str]:
        """Returns the headers of a response, and records what they announce."""
        entry = _entry_of(request_id)
        headers = {}
        if self.leaving:
            headers["server_leaving"] = "1"
            self._leaving_told_s.setdefault(entry, _now_s())
        if status in _NOT_RUN_STATUSES:
            headers["x_not_executed"] = "1"
        elif status:
            headers["x_replica_signature"] = "failed"
        if status and self._retry_after:
            headers["retry_after"] = self._retry_after
            self._record_pause(entry)
        return headers

    def most_in_pause(self, excused: Collection[str] = ()) -> int:
        """Returns the maximum number of requests during any pause.

        Only requests from the entry that was asked to pause are counted.
        """
        return max(
            (
                self._count_arrivals(
                    pause.entry, pause.asked_s + TOLD_S, pause.until_s
                )
                for pause in self._pauses
                if pause.entry not in excused
            ),
            default=0,
        )

    def late(self, excused: Collection[str] = ()) -> int:
        """Returns the number of requests after the drain period.

        The period starts when an entry is first told that the replica leaves.
        """
        return sum(
            self._count_arrivals(entry, told_s + DRAIN_S, float("inf"))
            for entry, told_s in self._leaving_told_s.items()
            if entry not in excused
        )

    def arrivals_since(self, start_s: float) -> int:
        """Returns the number of requests since an event loop time."""
        return sum(arrival.at_s >= start_s for arrival in self._arrivals)

    def _record_pause(self, entry: str) -> None:
        try:
            wait_s = float(self._retry_after)
        except ValueError:
            return
        pause = _Pause(_now_s(), _now_s() + wait_s, entry)
        self._pauses.append(pause)

    def _count_arrivals(self, entry: str, start_s: float, end_s: float) -> int:
        return sum(
            arrival.entry == entry and start_s <= arrival.at_s < end_s
            for arrival in self._arrivals
        )


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _entry_of(request_id: str) -> str:
    entry, _, _ = request_id.partition("/")
    return entry
