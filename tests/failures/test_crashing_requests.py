"""Requests that crash each replica that runs them, with real daemons."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import itertools
import pathlib
import signal
from typing import Protocol

import msgspec
import pytest

from marlramp.console import exit_codes
from marlramp.console.commands import crashes
from standins import direct_fleet
from standins import direct_replicas
from tests.failures import direct_runs

ENTRIES = 3
ENGINES = 9
DESKS = 6
CRASH_THRESHOLD = 3
"""Crashes after which a request is identified as their cause."""

ARRIVALS_AFTER_MAX = 3
"""Maximum number of times that an identified request still reaches a replica,
over all entries."""

PROPAGATION_S = 3.0
"""Time after the crash that identifies a request until all entries know of
it."""

PAUSE_S = 0.35
HEALTHY_PAUSE_S = 0.04
SERVED_SHARE_MIN = 0.9


class Replica(Protocol):
    """Attributes of a replica that the tests read."""

    runs: dict[str, int]


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with several entries, engines and plain replicas.

    `group` is the fleet's range of loopback addresses. If another fleet uses
    it, the next free one is taken.
    """
    return direct_runs.runner(tmp_path, ENTRIES, ENGINES, DESKS, group=31)


class CrashingRequest:
    """Sends one request that crashes replicas, to the entries in turn."""

    def __init__(
        self,
        fleet: direct_fleet.Fleet,
        replicas: Sequence[Replica],
        path: str,
        name: str = "culprit",
    ) -> None:
        self._fleet = fleet
        self._replicas = replicas
        self._path = path
        self._name = name
        self._number = 0
        self.answers: list[bytes] = []

    def arrivals(self) -> int:
        """Returns how often the request has reached a replica so far."""
        return sum(
            count
            for replica in self._replicas
            for request_id, count in replica.runs.items()
            if request_id.startswith(self._name)
        )

    async def send(self, host: str) -> bytes:
        """Sends the request once under a new request id.

        Entries recognize the request by its content, which is always the same.
        """
        self._number += 1
        answer = await self._fleet.call(
            host,
            self._path,
            f"{self._name}-{self._number}",
            direct_replicas.CRASHING_BODY,
        )
        self.answers.append(answer)
        return answer

    async def send_for(self, hosts: Sequence[str], seconds: float) -> None:
        """Sends the request at a constant rate for some time."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds
        for host in itertools.cycle(hosts):
            if loop.time() >= end_s:
                return
            await self.send(host)
            await asyncio.sleep(PAUSE_S)

    async def send_until_identified(self, hosts: Sequence[str]) -> None:
        """Sends until the request has run `CRASH_THRESHOLD` times.

        Then waits until all entries know of the crashes.
        """
        async with asyncio.timeout(20):
            for host in itertools.cycle(hosts):
                if self.arrivals() >= CRASH_THRESHOLD:
                    break
                await self.send(host)
                await asyncio.sleep(PAUSE_S)
        await asyncio.sleep(PROPAGATION_S)


def on_engines(fleet: direct_fleet.Fleet) -> CrashingRequest:
    return CrashingRequest(fleet, fleet.engines, "/chat/x")


def on_desks(fleet: direct_fleet.Fleet) -> CrashingRequest:
    return CrashingRequest(fleet, fleet.desks, "/stock/x")


@pytest.mark.parametrize("make", [on_engines, on_desks])
def test_request_that_crashes_replicas_is_sent_no_more(
    run_fleet: direct_runs.RunFleet,
    make: Callable[[direct_fleet.Fleet], CrashingRequest],
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_request = make(fleet)
        await crashing_request.send_until_identified(fleet.entry_hosts)
        before = crashing_request.arrivals()
        await crashing_request.send_for(fleet.entry_hosts, 6.0)
        assert crashing_request.arrivals() - before <= ARRIVALS_AFTER_MAX
        last = crashing_request.answers[-1]
        assert b" 503 " in last
        assert b'"ran":"no"' in last
        assert b"retry-after" not in last

    run_fleet(scenario)


def test_entry_that_starts_anew_does_not_send_a_crashing_request(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_request = on_engines(fleet)
        await crashing_request.send_until_identified(fleet.entry_hosts)
        before = crashing_request.arrivals()
        fleet.processes["entry-0"].kill()
        await fleet.processes["entry-0"].wait()
        await fleet.start_entry(0)
        await fleet.wait_ready(fleet.entry_hosts[0])
        await asyncio.sleep(PROPAGATION_S)
        await crashing_request.send_for(fleet.entry_hosts[:1], 4.0)
        assert crashing_request.arrivals() - before <= ARRIVALS_AFTER_MAX

    run_fleet(scenario)


def test_entries_that_all_ended_learn_of_a_crashing_request_from_agents(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against forgetting a crashing request when all entries restart."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_request = on_engines(fleet)
        await crashing_request.send_until_identified(fleet.entry_hosts)
        before = crashing_request.arrivals()
        for number in range(ENTRIES):
            fleet.processes[f"entry-{number}"].kill()
        for number, host in enumerate(fleet.entry_hosts):
            await fleet.processes[f"entry-{number}"].wait()
            await fleet.start_entry(number)
            await fleet.wait_ready(host)
        await asyncio.sleep(PROPAGATION_S)
        await crashing_request.send_for(fleet.entry_hosts, 3.0)
        assert crashing_request.arrivals() == before

    run_fleet(scenario)


def test_entry_that_was_suspended_learns_of_a_crashing_request(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_request = on_engines(fleet)
        fleet.processes["entry-2"].send_signal(signal.SIGSTOP)
        await crashing_request.send_until_identified(fleet.entry_hosts[:2])
        before = crashing_request.arrivals()
        fleet.processes["entry-2"].send_signal(signal.SIGCONT)
        await asyncio.sleep(PROPAGATION_S)
        await crashing_request.send_for(fleet.entry_hosts[2:], 4.0)
        assert crashing_request.arrivals() - before <= ARRIVALS_AFTER_MAX

    run_fleet(scenario)


def test_operator_sees_a_crashing_request_and_releases_it(
    run_fleet: direct_runs.RunFleet, capsys: pytest.CaptureFixture[str]
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        crashing_request = on_engines(fleet)
        await crashing_request.send_until_identified(fleet.entry_hosts)
        before = crashing_request.arrivals()
        # 9464 is the port of an entry's metrics and operators' pages.
        urls = [f"http://{host}:9464" for host in fleet.entry_hosts]
        await asyncio.to_thread(crashes.crashes, urls[0], json=True)
        rows = msgspec.json.decode(capsys.readouterr().out)
        (row,) = [row for row in rows if row["condemned"]]
        name = row["fingerprint"]
        assert len(row["crashes"]) >= CRASH_THRESHOLD
        assert f"request_condemned fingerprint={name}" in fleet.log("entry-0")
        await asyncio.to_thread(crashes.crashes, urls[1], release=name)
        await asyncio.sleep(PROPAGATION_S)
        await crashing_request.send(fleet.entry_hosts[2])
        assert crashing_request.arrivals() > before
        code = await asyncio.to_thread(
            crashes.crashes, urls[1], release="unknown"
        )
        assert code == exit_codes.ExitCode.USAGE

    run_fleet(scenario)


class HealthyRequests:
    """Sends harmless streams at a constant rate; half have the same content."""

    def __init__(self, fleet: direct_fleet.Fleet) -> None:
        self._fleet = fleet
        self._served: list[bool] = []

    async def send_while(self, task: asyncio.Task[None]) -> None:
        """Sends until a task is done."""
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                if task.done():
                    break
                group.create_task(self._send(number))
                await asyncio.sleep(HEALTHY_PAUSE_S)
        await task

    def served_share(self) -> float:
        """Returns the share of complete streams."""
        return sum(self._served) / len(self._served)

    async def _send(self, number: int) -> None:
        host = self._fleet.entry_hosts[number % ENTRIES]
        body = b"popular" if number % 2 else b"%d" % number
        answer = await self._fleet.stream(host, f"innocent-{number}", body)
        self._served.append(answer.endswith(b"0\r\n\r\n"))


def test_healthy_requests_are_served_despite_a_crashing_one(
    run_fleet: direct_runs.RunFleet,
) -> None:
    async def scenario(fleet: direct_fleet.Fleet) -> None:
        healthy = HealthyRequests(fleet)
        crashing_request = on_engines(fleet)
        sending = asyncio.create_task(
            crashing_request.send_for(fleet.entry_hosts, 8.0)
        )
        await healthy.send_while(sending)
        assert healthy.served_share() >= SERVED_SHARE_MIN

    run_fleet(scenario)


def test_crashes_without_a_culprit_turn_no_request_away(
    run_fleet: direct_runs.RunFleet,
) -> None:
    """Guards against blocking requests when crashes have no common request."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        async def crash_in_turn() -> None:
            async with asyncio.TaskGroup() as group:
                for engine in [*fleet.engines, *fleet.engines]:
                    group.create_task(engine.crash())
                    await asyncio.sleep(0.45)

        healthy = HealthyRequests(fleet)
        await healthy.send_while(asyncio.create_task(crash_in_turn()))
        metrics_texts = await asyncio.gather(
            *[fleet.metrics(host) for host in fleet.entry_hosts]
        )
        assert not any(b"crashes_upstreams" in text for text in metrics_texts)
        assert healthy.served_share() >= SERVED_SHARE_MIN

    run_fleet(scenario)
