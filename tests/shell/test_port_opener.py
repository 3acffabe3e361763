from __future__ import annotations

import asyncio

from marlramp import counters
from marlramp.shell import port_opener


def test_port_in_use_does_not_block_the_others() -> None:
    """Guards against a process that exits because one port is in use."""
    totals = counters.Counters()
    in_use = {1}
    opened: list[int] = []

    async def start(_: str, port: int) -> None:
        if port in in_use:
            raise OSError(98, "address already in use")
        opened.append(port)

    async def main() -> None:
        opener = port_opener.PortOpener(
            [
                port_opener.Opening(f"p{n}", "127.0.0.1", n, start)
                for n in (1, 2)
            ],
            totals,
        )
        await opener.open_free()
        assert opened == [2]
        retries = asyncio.create_task(opener.run())
        await asyncio.sleep(0)
        in_use.clear()
        await retries

    asyncio.run(main())
    assert opened == [2, 1]
    name = counters.CounterName.PORTS_UNAVAILABLE
    assert totals.total(name, "p1") == 1
