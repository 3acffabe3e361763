from __future__ import annotations

import asyncio

from marlramp import clock
from marlramp import counters
from marlramp.shell import safely


def test_a_task_that_fails_starts_again_and_ends_no_other_one() -> None:
    totals = counters.Counters()
    starts: list[str] = []
    served = asyncio.Event()

    async def fail_twice() -> None:
        starts.append("failing")
        if len(starts) < 3:
            raise ValueError("a fault")

    async def serve() -> None:
        await served.wait()

    async def main() -> None:
        async with asyncio.timeout(10), asyncio.TaskGroup() as group:
            works = {"failing": fail_twice, "serving": serve}
            time = clock.SystemClock()
            failing, serving = safely.start_all(group, works, totals, time)
            await failing
            assert not serving.done()
            served.set()

    asyncio.run(main())
    assert len(starts) == 3
    name = counters.CounterName.INTERNAL_ERRORS
    assert totals.total(name, "failing") == 2


def test_a_task_that_is_cancelled_ends() -> None:
    async def wait_for_ever() -> None:
        await asyncio.Event().wait()

    async def main() -> None:
        totals = counters.Counters()
        async with asyncio.timeout(10), asyncio.TaskGroup() as group:
            works = {"waiting": wait_for_ever}
            time = clock.SystemClock()
            (task,) = safely.start_all(group, works, totals, time)
            await asyncio.sleep(0)
            task.cancel()

    asyncio.run(main())
