"""Prompt parts that crash each engine that begins to generate from them."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
import itertools
import pathlib
import signal

import msgspec
import pytest

from marlramp.console.commands import crashes
from standins import crashing_part
from standins import direct_fleet
from tests.failures import direct_runs

ENTRIES = 3
ENGINES = 12
CRASH_THRESHOLD = 5
"""Crashes after which a part is identified as their cause."""

SENDS_MAX = 3
"""Maximum requests with an identified part that still reach engines, over all
entries."""

PROPAGATION_S = 3.0
"""Time after the last of these crashes until all entries know of them."""

PAUSE_S = 0.35
HEALTHY_PAUSE_S = 0.04
SERVED_RATIO_MIN = 0.5
"""Minimum share of healthy requests served during the crashes, relative to the
share before the first crash."""

FIRST_PART = "5c1e07a2:800"
HEALTHY_PARTS = [f"91bd3f0{n}:410" for n in range(5)]


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with several entries and engines."""
    return direct_runs.runner(tmp_path, ENTRIES, ENGINES, 0, group=51)


class CrashingRequests:
    """Sends distinct requests that share a part which crashes engines."""

    def __init__(
        self,
        fleet: direct_fleet.Fleet,
        style: crashing_part.CrashStyle = crashing_part.CrashStyle.CHUNKED,
    ) -> None:
        self._fleet = fleet
        self._number = 0
        self._group: set[asyncio.Task[None]] = set()
        self.answers: list[bytes] = []
        for engine in fleet.engines:
            engine.crash_style = style

    def arrivals(self) -> int:
        """Returns how often these requests have reached engines so far."""
        return sum(
            count
            for engine in self._fleet.engines
            for request_id, count in engine.runs.items()
            if request_id.startswith("culprit")
        )

    def crashes(self) -> int:
        """Returns how often engines have crashed so far."""
        return sum(engine.crashes.count for engine in self._fleet.engines)

    async def send(self, host: str) -> bytes:
        """Sends one request with a path, body and last part of its own."""
        self._number += 1
        number = self._number
        answer = await self._fleet.stream(
            host,
            f"culprit-{number}",
            b"%d" % number,
            path=f"/chat/{number}",
            parts=f"{FIRST_PART},{crashing_part.PART}:90,{number:08x}:30",
        )
        self.answers.append(answer)
        return answer

    async def send_for(self, hosts: Sequence[str], seconds: float) -> None:
        """Sends at a constant rate, regardless of requests in flight."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            for host in itertools.cycle(hosts):
                if loop.time() >= end_s:
                    return
                group.create_task(self.send(host))
                await asyncio.sleep(PAUSE_S)

    async def send_until_identified(self, hosts: Sequence[str]) -> None:
        """Sends until engines crashed `CRASH_THRESHOLD` times or 10 s passed.

        Then waits until all entries know of the crashes.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + 10.0
        for host in itertools.cycle(hosts):
            if self.crashes() >= CRASH_THRESHOLD or loop.time() >= end_s:
                break
            await self.send(host)
            await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PROPAGATION_S)


class HealthyRequests:
    """Sends harmless requests with the same key and the same first part."""

    def __init__(self, fleet: direct_fleet.Fleet) -> None:
        self._fleet = fleet
        self._numbers = itertools.count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._served: list[bool] = []

    async def send_for(self, seconds: float) -> float:
        """Sends at a constant rate; returns the share of complete streams.

        A stream is complete if it delivered all events.
        """
        self._served = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end_s:
                group.create_task(self._send(next(self._numbers)))
                await asyncio.sleep(HEALTHY_PAUSE_S)
        return sum(self._served) / len(self._served)

    async def _send(self, number: int) -> None:
        host = self._fleet.entry_hosts[number % ENTRIES]
        part = HEALTHY_PARTS[number % len(HEALTHY_PARTS)]
        answer = await self._fleet.stream(
            host,
            f"sound-{number}",
            b"%d" % number,
            parts=f"{FIRST_PART},{part},{number:08x}:30",
        )
        self._served.append(answer.endswith(b"0\r\n\r\n"))


@pytest.mark.parametrize("style", crashing_part.CrashStyle)
def test_requests_with_a_part_that_crashes_engines_are_sent_no_more(
    run_fleet: direct_runs.RunFleet, style: crashing_part.CrashStyle
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        healthy = HealthyRequests(fleet)
        baseline = await healthy.send_for(2.0)
        crashing_requests = CrashingRequests(fleet, style)
        async with asyncio.TaskGroup() as group:
            sending = group.create_task(
                crashing_requests.send_for(fleet.entry_hosts, 14.0)
            )
            while (
                crashing_requests.crashes() < CRASH_THRESHOLD
                and not sending.done()
            ):
                await healthy.send_for(0.1)
            await healthy.send_for(PROPAGATION_S)
            before = crashing_requests.arrivals()
            while not sending.done():
                served = await healthy.send_for(1.0)
                assert served >= SERVED_RATIO_MIN * baseline
        assert crashing_requests.arrivals() - before <= SENDS_MAX
        last = crashing_requests.answers[-1]
        assert b" 503 " in last
        assert b'"ran":"no"' in last
        assert b"retry-after" not in last

    run_fleet(scenario)


def test_entry_that_starts_anew_does_not_send_a_crashing_part(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_requests = CrashingRequests(fleet)
        await crashing_requests.send_until_identified(fleet.entry_hosts)
        before = crashing_requests.arrivals()
        fleet.processes["entry-0"].kill()
        await fleet.processes["entry-0"].wait()
        await fleet.start_entry(0)
        await fleet.wait_ready(fleet.entry_hosts[0])
        await asyncio.sleep(PROPAGATION_S)
        await crashing_requests.send_for(fleet.entry_hosts[:1], 4.0)
        assert crashing_requests.arrivals() - before <= SENDS_MAX

    run_fleet(scenario)


def test_entries_that_all_ended_learn_of_a_crashing_part_from_agents(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against forgetting a crashing part when all entries restart."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_requests = CrashingRequests(fleet)
        await crashing_requests.send_until_identified(fleet.entry_hosts)
        before = crashing_requests.arrivals()
        for number in range(ENTRIES):
            fleet.processes[f"entry-{number}"].kill()
        for number, host in enumerate(fleet.entry_hosts):
            await fleet.processes[f"entry-{number}"].wait()
            await fleet.start_entry(number)
            await fleet.wait_ready(host)
        await asyncio.sleep(PROPAGATION_S)
        await crashing_requests.send_for(fleet.entry_hosts, 3.0)
        assert crashing_requests.arrivals() - before <= SENDS_MAX

    run_fleet(scenario)


def test_entry_that_was_suspended_learns_of_a_crashing_part(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_requests = CrashingRequests(fleet)
        fleet.processes["entry-2"].send_signal(signal.SIGSTOP)
        await crashing_requests.send_until_identified(fleet.entry_hosts[:2])
        before = crashing_requests.arrivals()
        fleet.processes["entry-2"].send_signal(signal.SIGCONT)
        await asyncio.sleep(PROPAGATION_S)
        await crashing_requests.send_for(fleet.entry_hosts[2:], 4.0)
        assert crashing_requests.arrivals() - before <= SENDS_MAX

    run_fleet(scenario)


def test_request_with_a_crashing_part_in_last_place_is_served(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_requests = CrashingRequests(fleet)
        await crashing_requests.send_until_identified(fleet.entry_hosts)
        answer = await fleet.stream(
            fleet.entry_hosts[1],
            "sound-last",
            parts=f"{FIRST_PART},{crashing_part.PART}:90",
        )
        assert answer.endswith(b"0\r\n\r\n")

    run_fleet(scenario)


def test_operator_sees_a_crashing_part_and_releases_it(
    run_fleet: direct_runs.RunFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_requests = CrashingRequests(fleet)
        await crashing_requests.send_until_identified(fleet.entry_hosts)
        await crashing_requests.send_for(fleet.entry_hosts, 3.0)
        before = crashing_requests.arrivals()
        urls = [f"http://{host}:9464" for host in fleet.entry_hosts]
        await asyncio.to_thread(crashes.crashes, urls[0], json=True)
        rows = msgspec.json.decode(capsys.readouterr().out)
        (row,) = [row for row in rows if row["condemned"]]
        name = row["fingerprint"]
        assert row["part"]
        assert f"part_condemned fingerprint={name}" in fleet.log("entry-0")
        await asyncio.to_thread(crashes.crashes, urls[1], release=name)
        await asyncio.sleep(PROPAGATION_S)
        await crashing_requests.send(fleet.entry_hosts[2])
        assert crashing_requests.arrivals() > before

    run_fleet(scenario)


def test_crashes_without_a_culprit_block_no_part(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against blocking parts when crashes have no common part."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        async def crash_in_turn() -> None:
            async with asyncio.TaskGroup() as group:
                for engine in [*fleet.engines, *fleet.engines]:
                    group.create_task(engine.crash())
                    await asyncio.sleep(0.45)

        healthy = HealthyRequests(fleet)
        baseline = await healthy.send_for(2.0)
        crashing = asyncio.create_task(crash_in_turn())
        while not crashing.done():
            assert await healthy.send_for(2.0) >= SERVED_RATIO_MIN * baseline
        texts = await asyncio.gather(
            *[fleet.metrics(host) for host in fleet.entry_hosts]
        )
        assert not any(b"crashes_upstreams" in text for text in texts)

    run_fleet(scenario)
