"""Replicas that name a limit for all entries together, before real daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import pathlib
import signal
from typing import TypeAlias

import pytest

from standins import direct_fleet
from standins import direct_replicas

ENTRIES = 3
ENGINES = 4
DESKS = 8
CONTACT_S = 3.0
"""After a replica first names its limit, the time from which it counts."""

TOLD_S = 0.5
"""After an entry was told of a limit, the time from which it is bound."""

WINDOW_S = 4.0
EXCESS_SHARE = 1.5
EXCESS_REQUESTS = 5
USED_SHARE_MIN = 0.7
"""Least part of a limit that is used while there are more requests."""

WARM_UP_S = 1.5
NEED_S = 12.0

Use: TypeAlias = Callable[[direct_fleet.Fleet], Awaitable[None]]
RunFleet: TypeAlias = Callable[[Use], None]


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> RunFleet:
    """Runs a test with several entries, engines and plain replicas."""

    def run(use: Use) -> None:
        async def main() -> None:
            fleet = direct_fleet.Fleet(
                tmp_path, ENTRIES, ENGINES, group=47, desks=DESKS
            )
            async with asyncio.timeout(90), fleet:
                await use(fleet)

        asyncio.run(main())

    return run


class Crowd:
    """Sends requests evenly through some entries."""

    def __init__(
        self, fleet: direct_fleet.Fleet, path: str, per_s: float
    ) -> None:
        self._fleet = fleet
        self._path = path
        self._pause_s = 1.0 / per_s
        self._numbers = itertools.count()
        self.answers: list[bytes] = []
        self.taken_s: list[float] = []

    async def send_for(self, entries: Sequence[int], seconds: float) -> None:
        """Sends at a steady rate for some time; waits for the answers."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            for entry in itertools.cycle(entries):
                if loop.time() >= end_s:
                    break
                group.create_task(self._send(entry))
                await asyncio.sleep(self._pause_s)

    async def _send(self, entry: int) -> None:
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        host = self._fleet.entry_hosts[entry]
        name = f"entry-{entry}/{next(self._numbers)}"
        try:
            answer = await self._fleet.call(host, self._path, name)
        except ConnectionError:
            answer = b""
        self.answers.append(answer)
        self.taken_s.append(loop.time() - start_s)

    def served_share(self) -> float:
        """Returns the share of answers that are good."""
        good = sum(b" 200 " in answer[:16] for answer in self.answers)
        return good / len(self.answers)


def counted(
    need: direct_replicas.Need, excused: Sequence[str] = ()
) -> list[float]:
    """Returns the times of the requests that the rule counts."""
    return [
        arrival.at_s
        for arrival in need.arrivals
        if arrival.at_s >= need.since_s + CONTACT_S
        and arrival.entry not in excused
        and arrival.at_s >= need.told_s.get(arrival.entry, 1e9) + TOLD_S
    ]


def most_in_window(times_s: Sequence[float]) -> int:
    """Returns the most requests in any window of the rule."""
    return max(
        (
            sum(start <= at < start + WINDOW_S for at in times_s)
            for start in times_s
        ),
        default=0,
    )


def allowed(limit_per_s: float) -> int:
    """Returns the requests that the rule allows in a window."""
    return int(limit_per_s * WINDOW_S * EXCESS_SHARE) + EXCESS_REQUESTS


Replicas: TypeAlias = Sequence[
    direct_replicas.Engine | direct_replicas.PlainReplica
]


def name_limit(replicas: Replicas, limit: str) -> None:
    for replica in replicas:
        replica.need.limit = limit


def assert_kept(
    replicas: Replicas, limit_per_s: float, excused: Sequence[str] = ()
) -> None:
    for replica in replicas:
        most = most_in_window(counted(replica.need, excused))
        assert most <= allowed(limit_per_s), replica.replica_id


def used_share(replica: object, limit_per_s: float, seconds: float) -> float:
    """Returns the part of a limit that was used while it counted."""
    assert isinstance(
        replica, direct_replicas.Engine | direct_replicas.PlainReplica
    )
    since_s = replica.need.since_s + CONTACT_S
    used = sum(
        since_s <= arrival.at_s < since_s + seconds
        for arrival in replica.need.arrivals
    )
    return used / (limit_per_s * seconds)


def on_desks(fleet: direct_fleet.Fleet) -> tuple[str, Replicas]:
    return "/stock/x", fleet.desks


def on_engines(fleet: direct_fleet.Fleet) -> tuple[str, Replicas]:
    return "/chat/x", fleet.engines


@pytest.mark.parametrize("pick", [on_desks, on_engines])
def test_limit_of_some_replicas_holds_over_all_entries(
    run_fleet: RunFleet,
    pick: Callable[[direct_fleet.Fleet], tuple[str, Replicas]],
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        crowd = Crowd(fleet, path, per_s=30.0)
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        name_limit(replicas[:2], "1.6")
        await crowd.send_for(range(ENTRIES), NEED_S)
        assert_kept(replicas[:2], 1.6)
        assert crowd.served_share() == 1.0

    run_fleet(use)


@pytest.mark.parametrize("pick", [on_desks, on_engines])
def test_limit_of_all_replicas_is_kept_and_used(
    run_fleet: RunFleet,
    pick: Callable[[direct_fleet.Fleet], tuple[str, Replicas]],
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        path, replicas = pick(fleet)
        crowd = Crowd(fleet, path, per_s=30.0)
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        name_limit(replicas, "2")
        await crowd.send_for(range(ENTRIES), NEED_S)
        assert_kept(replicas, 2.0)
        for replica in replicas:
            assert used_share(replica, 2.0, 8.0) >= USED_SHARE_MIN

    run_fleet(use)


def test_limit_holds_while_entries_end_and_are_suspended(
    run_fleet: RunFleet,
) -> None:
    async def use(fleet: direct_fleet.Fleet) -> None:
        crowd = Crowd(fleet, "/stock/x", per_s=30.0)
        await crowd.send_for(range(ENTRIES), WARM_UP_S)
        name_limit(fleet.desks, "1")
        await crowd.send_for(range(ENTRIES), 4.0)
        fleet.processes["entry-0"].kill()
        await fleet.processes["entry-0"].wait()
        await crowd.send_for([1, 2], 3.0)
        await fleet.start_entry(0)
        fleet.processes["entry-1"].send_signal(signal.SIGSTOP)
        await crowd.send_for([2], 3.0)
        fleet.processes["entry-1"].send_signal(signal.SIGCONT)
        await crowd.send_for([2], 4.0)
        assert_kept(fleet.desks, 1.0, excused=["entry-0", "entry-1"])

    run_fleet(use)
