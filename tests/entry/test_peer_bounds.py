"""What an agent that sends too much can make an entry keep."""

from __future__ import annotations

import asyncio

from starlette import requests

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.grant_calls import grant_pool
from marlramp.entry import admin_app
from marlramp.entry import agent_links
from marlramp.entry import agent_table
from marlramp.entry import crash_guard
from marlramp.protocol import codec
from marlramp.protocol import messages
from marlramp.shell import links
from tests.entry import conftest

VM = ids.VmId("vm-1")


class Silent:
    """Fake sender to agents that are all unreachable."""

    def send(self, vm_id: ids.VmId, message: messages.FromEntry) -> bool:
        del vm_id, message
        return False


def test_grants_of_one_agent_are_bounded(time: clock.ManualClock) -> None:
    pool = grant_pool.GrantPool()
    incarnation = ids.Incarnation(1)
    for first in range(0, 300_000, 60_000):
        numbers = [ids.GrantNumber(first + n) for n in range(60_000)]
        pool.add(VM, incarnation, numbers, time.now_ms() + 1e9)
    assert pool.count(VM, time.now_ms()) == grant_pool.HELD_MAX
    newest = pool.use(VM, time.now_ms())
    assert newest is not None
    assert newest.number == 300_000 - grant_pool.HELD_MAX


def test_grants_of_an_unknown_agent_are_not_kept() -> None:
    time = clock.ManualClock()
    guard = crash_guard.CrashGuard(counters.Counters(), time)
    built = conftest.build(Silent(), guard, time)
    issued = messages.GrantsIssued(incarnation=1, first=1, count=9, ttl_ms=9e9)
    built.dispatcher.handle_grants(VM, issued)
    assert built.table.grant_pool.count(VM, time.now_ms()) == 0


def test_counters_of_one_agent_are_bounded() -> None:
    values = [
        counters.CounterValue(counters.CounterName.REQUESTS, str(n), n)
        for n in range(5_000)
    ]
    kept: dict[tuple[counters.CounterName, str], int] = {}
    agent_table.merge_counters(kept, values)
    assert len(kept) == agent_table.COUNTERS_MAX
    changed = counters.CounterValue(counters.CounterName.REQUESTS, "0", 7)
    agent_table.merge_counters(kept, [changed])
    assert kept[counters.CounterName.REQUESTS, "0"] == 7


class Listener:
    """Fake listener that receives one report of each VM."""

    def __init__(self, count: int) -> None:
        self._count = count

    async def receive(self) -> list[links.Received]:
        if not self._count:
            await asyncio.Event().wait()
        data = codec.encode(messages.SwapWithdrawal(round_number=1))
        names = [f"vm-{n}|1".encode() for n in range(self._count)]
        self._count = 0
        return [links.Received(name, data) for name in names]

    def send(self, routing_id: bytes, data: bytes) -> bool:
        del routing_id, data
        return True


def test_route_of_an_agent_that_is_lost_is_forgotten() -> None:
    """Each VM that was ever linked kept a route until the entry stopped."""
    found = agent_links.AgentLinks(
        Listener(100),  # type: ignore[arg-type]
        counters.Counters(),
        lambda link_id, message: None,
        lambda vm_id: None,
    )

    async def main() -> None:
        task = asyncio.create_task(found.run())
        await asyncio.sleep(0.05)
        task.cancel()

    asyncio.run(main())
    assert found.send(VM, messages.ReportRequest())
    found.forget(VM)
    assert not found.send(VM, messages.ReportRequest())


def test_order_of_an_operator_is_not_read_without_end() -> None:
    blocks = 0

    async def receive() -> dict[str, object]:
        nonlocal blocks
        blocks += 1
        more = blocks < 500
        return {"type": "http.request", "body": b"x" * 4096, "more_body": more}

    async def main() -> int:
        stubs: list[object] = [None] * 7
        app = admin_app.AdminApp("key", VM, *stubs)  # type: ignore[arg-type]
        scope = {"type": "http", "method": "POST", "headers": []}
        response = await app.drain(requests.Request(scope, receive))
        return response.status_code

    assert asyncio.run(main()) == 413
    assert blocks < 20
