"""Callers that hold much and move little, on a VM with little memory.

The tests check only what does not depend on the speed of the machine: the
process lives, its memory and descriptors stay within its VM's limits, and
ordinary requests are answered while the crowd holds its connections and once
it has left.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import os
import pathlib
import resource
import urllib.parse

import pytest

from marlramp import errors
from standins import direct_documents
from standins import direct_fleet
from standins import misbehaving_callers as callers
from tests.failures import conftest
from tests.failures import direct_runs

MEMORY_MB = 80
DESCRIPTORS = 400
MIB = 1_048_576

STREAM = "/chat/x"
PLAIN = "/stock/x"

METRICS_PORT = 9_464

IDLE_POLL_S = 0.5
IDLE_SHARE = 0.3
IDLE_WAIT_S_MAX = 10.0
"""Longest wait for a process to work off what a crowd has sent."""

LIMITS = {"header_timeout_ms": 60_000, "idle_timeout_ms": 60_000}
"""Callers are not ended for being slow, whatever the speed of the machine."""


@pytest.fixture
def run_fleet(tmp_path: pathlib.Path) -> direct_runs.RunFleet:
    """Runs a scenario with one entry, whose VM has little of everything."""
    return direct_runs.runner(
        tmp_path,
        1,
        2,
        2,
        group=60,
        vm_limits=direct_documents.VmLimits(
            memory_mb=MEMORY_MB, descriptors=DESCRIPTORS
        ),
        caller_limits=LIMITS,
    )


def peak_memory_bytes(pid: int) -> int:
    """Returns the largest resident memory that a process ever had."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (line,) = [x for x in status.splitlines() if x.startswith("VmHWM:")]
    return int(line.split()[1]) * 1_024


def socket_count(pid: int) -> int:
    count = 0
    for path in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            count += os.readlink(path).startswith("socket:")
        except FileNotFoundError:
            continue
    return count


def processor_s(pid: int) -> float:
    """Returns the processor time that a process has used."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")


async def wait_until_idle(pid: int) -> None:
    """Waits until a process has worked off what it received."""
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(IDLE_WAIT_S_MAX):
            before_s = float("-inf")
            while processor_s(pid) - before_s > IDLE_SHARE * IDLE_POLL_S:
                before_s = processor_s(pid)
                await asyncio.sleep(IDLE_POLL_S)


def assert_within_limits(fleet: direct_fleet.Fleet, name: str) -> None:
    process = fleet.processes[name]
    assert process.returncode is None
    assert peak_memory_bytes(process.pid) <= MEMORY_MB * 1_000_000
    assert_few_sockets(process.pid)


def assert_few_sockets(pid: int) -> None:
    sockets_max = DESCRIPTORS - direct_documents.FILE_DESCRIPTORS
    assert socket_count(pid) <= sockets_max


async def wait_until_served(fleet: direct_fleet.Fleet, path: str) -> None:
    async with asyncio.timeout(30):
        while not is_served(await ordinary(fleet, path, "warm-up")):
            await asyncio.sleep(0.1)


async def ordinary(
    fleet: direct_fleet.Fleet, path: str, request_id: str
) -> bytes:
    return await fleet.call(fleet.entry_hosts[0], path, request_id, b"small")


def is_served(answer: bytes) -> bool:
    return answer.startswith(b"HTTP/1.1 200 ")


def entry_target(
    fleet: direct_fleet.Fleet,
    path: str,
    port: int = direct_fleet.CALLERS_PORT,
) -> callers.Target:
    return callers.Target(fleet.entry_hosts[0], port, path)


async def withstand(
    fleet: direct_fleet.Fleet,
    make_crowd: Callable[[], callers.Crowd],
    waves: int = 1,
) -> None:
    """Checks an entry during several crowds and after each."""
    for path in (STREAM, PLAIN):
        await wait_until_served(fleet, path)
    for wave in range(waves):
        async with make_crowd():
            await wait_until_idle(fleet.processes["entry-0"].pid)
            assert await ordinary(fleet, PLAIN, f"during-{wave}")
            assert_within_limits(fleet, "entry-0")
        await wait_until_served(fleet, PLAIN)
        await wait_until_served(fleet, STREAM)
        assert_within_limits(fleet, "entry-0")


@pytest.mark.parametrize("path", [STREAM, PLAIN])
@pytest.mark.parametrize(
    ("count", "script"),
    [
        pytest.param(32, callers.send_unfinished_body, id="unfinished"),
        pytest.param(
            32, callers.send_unfinished_body_in_pieces, id="in_pieces"
        ),
        pytest.param(32, callers.send_whole_body, id="whole"),
        pytest.param(
            32,
            callers.send_unfinished_chunks(65_536, 4 * MIB - 65_536),
            id="large_chunks",
        ),
        pytest.param(
            32,
            callers.send_unfinished_chunks(16, 2 * MIB),
            id="small_chunks",
        ),
        pytest.param(32, callers.send_body_after_continue, id="continue"),
        pytest.param(32, callers.send_pipelined(4, MIB), id="pipelined"),
        pytest.param(
            32,
            callers.send_unfinished_chunks(65_536, 16 * MIB),
            id="over_the_limit",
        ),
        pytest.param(32, callers.announce_huge_body, id="announced"),
        pytest.param(
            160,
            callers.send_unfinished_head("x-a: " + "y" * 500, 15_000),
            id="unfinished_heads",
        ),
        pytest.param(
            160,
            callers.send_unfinished_head("a:", 12_000),
            id="many_headers",
        ),
    ],
)
def test_entry_outlasts_a_crowd_of_requests(
    run_fleet: direct_runs.RunFleet,
    count: int,
    script: callers.Script,
    path: str,
) -> None:
    """Guards against bodies of all connections together that fill a VM."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        target = entry_target(fleet, path)
        await withstand(
            fleet, lambda: callers.Crowd(target, count, script), waves=2
        )

    run_fleet(scenario)


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(callers.send_unfinished_body, id="unfinished"),
        pytest.param(callers.send_whole_body, id="whole"),
        pytest.param(
            callers.send_unfinished_chunks(16, 2 * MIB), id="small_chunks"
        ),
        pytest.param(
            callers.send_unfinished_chunks(65_536, 16 * MIB),
            id="over_the_limit",
        ),
    ],
)
def test_entry_frees_what_closed_connections_held(
    run_fleet: direct_runs.RunFleet, script: callers.Script
) -> None:
    """Guards against small crowds that come again until memory is used up."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        target = entry_target(fleet, STREAM)
        await withstand(
            fleet, lambda: callers.Crowd(target, 6, script), waves=10
        )

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("port", "path", "count", "script"),
    [
        pytest.param(
            direct_fleet.CALLERS_PORT,
            "/unknown",
            64,
            callers.send_many(800, id_bytes=8_000),
            id="callers",
        ),
        pytest.param(
            direct_fleet.LOOKUP_PORT,
            "/unknown",
            150,
            callers.send_many(20_000),
            id="lookup",
        ),
        pytest.param(
            METRICS_PORT,
            "/metrics",
            100,
            callers.send_many(2_000),
            id="metrics",
        ),
    ],
)
def test_entry_outlasts_callers_that_read_no_answers(
    run_fleet: direct_runs.RunFleet,
    port: int,
    path: str,
    count: int,
    script: callers.Script,
) -> None:
    """Guards against answers that pile up on many connections."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        target = entry_target(fleet, path, port)
        await withstand(
            fleet, lambda: callers.Crowd(target, count, script, reads=False)
        )

    run_fleet(scenario)


@pytest.mark.parametrize(
    "port",
    [
        pytest.param(direct_fleet.CALLERS_PORT, id="callers"),
        pytest.param(direct_fleet.LOOKUP_PORT, id="lookup"),
        pytest.param(METRICS_PORT, id="metrics"),
    ],
)
def test_entry_serves_beside_idle_connections(
    run_fleet: direct_runs.RunFleet, port: int
) -> None:
    """Guards against callers that take all descriptors of a process."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        limit = (DESCRIPTORS, DESCRIPTORS)
        pid = fleet.processes["entry-0"].pid
        resource.prlimit(pid, resource.RLIMIT_NOFILE, limit)
        target = entry_target(fleet, PLAIN, port)
        await withstand(
            fleet, lambda: callers.Crowd(target, 600, callers.send_nothing)
        )

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("count", "script", "reads"),
    [
        pytest.param(600, callers.send_nothing, True, id="idle"),
        pytest.param(100, callers.send_many(2_000), False, id="unread"),
        pytest.param(32, callers.send_unfinished_body, True, id="bodies"),
    ],
)
def test_agent_outlasts_a_crowd(
    run_fleet: direct_runs.RunFleet,
    count: int,
    script: callers.Script,
    *,
    reads: bool,
) -> None:
    """Guards against crowds at the only port that an agent serves."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        await wait_until_served(fleet, STREAM)
        host = fleet.engines[0].host
        target = callers.Target(host, METRICS_PORT, "/metrics")
        async with callers.Crowd(target, count, script, reads=reads):
            await wait_until_idle(fleet.processes["agent-0"].pid)
            assert await fleet.metrics(host)
            assert_within_limits(fleet, "agent-0")
        assert b" 200 " in await fleet.metrics(host)
        assert_within_limits(fleet, "agent-0")

    run_fleet(scenario)


def largest_request(caller: callers.Caller, way: str) -> Iterator[bytes]:
    """Yields the parts of a request with a body of the largest size."""
    size = callers.BODY_BYTES_MAX
    piece = bytes(callers.PIECE_BYTES)
    pieces = [piece] * (size // len(piece))
    if way == "in_chunks":
        yield caller.head("transfer-encoding: chunked", "connection: close")
        yield from (b"%x\r\n%s\r\n" % (len(each), each) for each in pieces)
        yield b"0\r\n\r\n"
        return
    head = caller.head(f"content-length: {size}", "connection: close")
    if way == "whole":
        yield head + b"".join(pieces)
    else:
        yield from (head, *pieces)


@pytest.mark.parametrize("path", [STREAM, PLAIN])
@pytest.mark.parametrize("way", ["whole", "in_pieces", "in_chunks"])
def test_body_of_the_largest_size_is_served_in_calm(
    run_fleet: direct_runs.RunFleet, path: str, way: str
) -> None:
    """Guards against a bound that a single request inside the limits meets."""

    async def scenario(fleet: direct_fleet.Fleet) -> None:
        await wait_until_served(fleet, path)
        target = entry_target(fleet, path)
        for _ in range(3):
            caller = await callers.connect(target)
            for part in largest_request(caller, way):
                await caller.write(part)
            assert is_served(await caller.read_all())
        assert_within_limits(fleet, "entry-0")

    run_fleet(scenario)


KINDS = {kind.value for kind in errors.ErrorKind}

GRANTS_MEMORY_MB = 160
"""Memory of the smallest VM of an entry, which the grants path assumes."""


@pytest.mark.parametrize(
    ("count", "script", "reads"),
    [
        pytest.param(60, callers.send_unfinished_body, True, id="unfinished"),
        pytest.param(60, callers.send_whole_body, True, id="whole"),
        pytest.param(
            60,
            callers.send_unfinished_chunks(65_536, 4 * MIB - 65_536),
            True,
            id="large_chunks",
        ),
        pytest.param(
            60,
            callers.send_unfinished_chunks(65_536, 16 * MIB),
            True,
            id="over_the_limit",
        ),
        pytest.param(60, callers.send_pipelined(4, MIB), True, id="pipelined"),
        pytest.param(100, callers.send_many(2_000), False, id="unread"),
        pytest.param(600, callers.send_nothing, True, id="idle"),
    ],
)
def test_entry_of_the_grants_path_outlasts_a_crowd(
    bench: Callable[[conftest.Scenario], None],
    count: int,
    script: callers.Script,
    *,
    reads: bool,
) -> None:
    """Guards against the same crowds at the entry's other HTTP server."""

    async def scenario(b: conftest.Bench) -> None:
        await b.start(entries=1, replicas=1)
        process = b.fleet.entries["entry-0"].process
        limit = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limit)
        address = urllib.parse.urlsplit(b.url("entry-0"))
        assert address.hostname is not None
        assert address.port is not None
        target = callers.Target(
            address.hostname,
            address.port,
            "/v1/completions",
            ("host: x", f"marlramp-customer: {conftest.CUSTOMER}"),
        )
        for _ in range(2):
            async with callers.Crowd(target, count, script, reads=reads):
                await wait_until_idle(process.pid)
                during = await b.complete()
                assert during.whole or during.kind in KINDS
                assert_few_sockets(process.pid)
            assert (await b.complete()).whole
            assert process.poll() is None
            used_bytes = peak_memory_bytes(process.pid)
            assert used_bytes <= GRANTS_MEMORY_MB * 1_000_000

    bench(scenario)
