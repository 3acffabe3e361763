"""Turns in which work shares the event loop."""

from __future__ import annotations

import asyncio

from marlramp import clock
from marlramp.shell import turns


def test_steps_of_all_work_alternate(time: clock.ManualClock) -> None:
    async def run() -> list[str]:
        shared = turns.Turns(time)
        done: list[str] = []

        def work(name: str, steps: int) -> turns.Step:
            def step() -> bool:
                done.append(name)
                return done.count(name) < steps

            return step

        shared.add(work("long", 3))
        shared.add(work("short", 1))
        assert not done
        await asyncio.sleep(0)
        return done

    assert asyncio.run(run()) == ["long", "short", "long", "long"]


def test_other_callbacks_run_between_two_turns(time: clock.ManualClock) -> None:
    """Guards against heartbeats that wait for all that callers have sent."""

    async def run() -> int:
        shared = turns.Turns(time)
        steps = 0

        def step() -> bool:
            nonlocal steps
            steps += 1
            time.advance(turns.TURN_MS / 2)
            return steps < 100

        shared.add(step)
        await asyncio.sleep(0)
        return steps

    assert asyncio.run(run()) == 2


def test_failing_step_does_not_end_other_work(time: clock.ManualClock) -> None:
    async def run() -> bool:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda *_: None)
        shared = turns.Turns(time)
        ran = False

        def fail() -> bool:
            raise ValueError("a step that fails")

        def step() -> bool:
            nonlocal ran
            ran = True
            return False

        shared.add(fail)
        shared.add(step)
        await asyncio.sleep(0.01)
        return ran

    assert asyncio.run(run())
