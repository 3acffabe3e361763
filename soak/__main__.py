"""Command line of the soak."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import sys
import tempfile
from typing import NamedTuple

import cyclopts

from soak import run
from soak import schedule


class Beside(NamedTuple):
    """What comes beside the drawn faults.

    Attributes:
      culprit: what crashes the replicas that run it.
      limited: two replicas that name a limit.
      turning_away: two replicas that turn requests away and ask for a pause.
      placement: allowed regions, evacuations and cold starts.
    """

    culprit: run.Culprit
    limited: bool
    turning_away: bool
    placement: bool


application = cyclopts.App(
    name="soak", help="Plays seeded faults against real daemons on loopback."
)


@application.command(name="run")
def run_seeds(
    seeds: int = 50,
    *,
    first: int = 1,
    at_once: int = 4,
    keep: str = "",
    culprit: run.Culprit = run.Culprit.NONE,
    limited: bool = False,
    turning_away: bool = False,
    placement: bool = False,
) -> None:
    """Plays a row of seeds and prints the promises that each broke.

    Args:
      seeds: how many seeds are played.
      first: the first of them.
      at_once: how many are played at once.
      keep: folder for the logs of seeds that broke a promise.
      culprit: also send a request that crashes the replicas that run it, or
        requests of which no two are alike, with a part of prompts that does.
      limited: two replicas also name a limit over all entries together.
      turning_away: two replicas also turn half of their requests away and ask
        for a pause.
      placement: also evacuate data centres and restart engines, which are cold
        after it, with a route and a customer that are bound to regions.
    """
    numbers = list(range(first, first + seeds))
    folder = pathlib.Path(keep or ".")
    beside = Beside(culprit, limited, turning_away, placement)
    playing = _play_all(numbers, at_once, folder, beside)
    failed = asyncio.run(playing)
    print(f"{len(numbers) - len(failed)} of {len(numbers)} seeds kept all")
    if failed:
        sys.exit(f"seeds that broke a promise: {failed}")


@application.command
def show(seed: int, *, placement: bool = False) -> None:
    """Prints the faults of a seed."""
    plan = schedule.draw(seed, schedule.Size(), placement=placement)
    for fault in plan.faults:
        print(
            f"{fault.at_ms:7.0f} ms  {fault.kind.value} {fault.target}"
            f" {fault.network.value} for {fault.for_ms:.0f} ms"
        )


async def _play_all(
    numbers: list[int], at_once: int, keep: pathlib.Path, beside: Beside
) -> list[int]:
    limit = asyncio.Semaphore(at_once)
    failed: list[int] = []

    async def one(seed: int) -> None:
        async with limit:
            if not await _play(seed, keep, beside):
                failed.append(seed)

    await asyncio.gather(*(one(seed) for seed in numbers))
    return sorted(failed)


async def _play(seed: int, keep: pathlib.Path, beside: Beside) -> bool:
    """Plays a seed; returns whether it kept all promises."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        result = await run.play(
            folder,
            seed,
            schedule.Size(),
            culprit=beside.culprit,
            limited=beside.limited,
            turning_away=beside.turning_away,
            placement=beside.placement,
        )
        if not result.violations:
            print(
                f"seed {seed}: kept, {len(result.plan.faults)} faults,"
                f" {result.served} of {result.calls} calls served"
            )
            return True
        for violation in result.violations[:10]:
            print(f"seed {seed}: {violation.promise}: {violation.detail}")
        if keep != pathlib.Path("."):
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        return False


if __name__ == "__main__":
    application()
