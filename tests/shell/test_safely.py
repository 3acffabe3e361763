from __future__ import annotations

import asyncio

from marlramp import clock
from marlramp import counters
from marlramp.shell import safely


def test_failed_task_is_restarted_and_the_others_keep_running() -> None:
    """Guards against one failure that cancels the whole task group."""
    totals = counters.Counters()
    starts: list[str] = []
    stop_serving = asyncio.Event()

    async def fail_twice() -> None:
        starts.append("failing")
        if len(starts) < 3:
            raise ValueError("a fault")

    async def serve() -> None:
        await stop_serving.wait()

    async def main() -> None:
        async with asyncio.timeout(10), asyncio.TaskGroup() as group:
            works = {"failing": fail_twice, "serving": serve}
            time = clock.SystemClock()
            failing, serving = safely.start_all(group, works, totals, time)
            await failing
            assert not serving.done()
            stop_serving.set()

    asyncio.run(main())
    assert len(starts) == 3
    name = counters.CounterName.INTERNAL_ERRORS
    assert totals.total(name, "failing") == 2


def test_cancelled_task_is_not_restarted() -> None:
    async def wait_forever() -> None:
        await asyncio.Event().wait()

    async def main() -> None:
        totals = counters.Counters()
        async with asyncio.timeout(10), asyncio.TaskGroup() as group:
            works = {"waiting": wait_forever}
            time = clock.SystemClock()
            (task,) = safely.start_all(group, works, totals, time)
            await asyncio.sleep(0)
            task.cancel()

    asyncio.run(main())
