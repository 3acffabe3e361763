from __future__ import annotations

import asyncio

from marlramp import counters
from marlramp.shell import port_opener


def test_a_taken_port_keeps_no_other_one_closed() -> None:
    totals = counters.Counters()
    taken = {1}
    opened: list[int] = []

    async def start(_: str, port: int) -> None:
        if port in taken:
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
        trying = asyncio.create_task(opener.run())
        await asyncio.sleep(0)
        taken.clear()
        await trying

    asyncio.run(main())
    assert opened == [2, 1]
    name = counters.CounterName.PORTS_UNAVAILABLE
    assert totals.total(name, "p1") == 1
