"""Command-line interface of the soak test."""

from __future__ import annotations

import asyncio
import pathlib
import shutil
import sys
import tempfile

import cyclopts

from soak import reviews
from soak import run
from soak import schedule

application = cyclopts.App(
    name="soak", help="Injects seeded faults into real daemons on loopback."
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
    silent: bool = False,
    endless: bool = False,
    failing: bool = False,
    spoilt: bool = False,
) -> None:
    """Runs consecutive seeds and prints the guarantees that each violated.

    Args:
      seeds: number of seeds to run.
      first: first seed.
      at_once: number of seeds to run in parallel.
      keep: directory for the logs of seeds that violated a guarantee.
      culprit: also send a request that crashes the replicas executing it, or
        distinct requests sharing a prompt part that does.
      limited: also have two replicas announce a rate limit that applies to
        all entries together.
      turning_away: also have two replicas reject half of their requests and
        ask for a pause.
      placement: also evacuate data centres and restart engines, which are then
        cold, with a route and a customer restricted to regions.
      silent: also let sound replicas fall silent for a second or so.
      endless: also let replicas send bytes without end.
      failing: also let all replicas fail most of their requests, and kill
        entries in quick succession.
      spoilt: also let staged pieces turn corrupt while agents are suspended,
        and engines hold load orders back, around several versions.
    """
    seed_numbers = list(range(first, first + seeds))
    folder = pathlib.Path(keep or ".")
    options = run.Options(
        culprit=culprit,
        limited=limited,
        turning_away=turning_away,
        placement=placement,
        silent=silent,
        endless=endless,
        failing=failing,
        spoilt=spoilt,
    )
    runs = _run_all(seed_numbers, at_once, folder, options)
    failed = asyncio.run(runs)
    print(
        f"{len(seed_numbers) - len(failed)} of {len(seed_numbers)} seeds"
        " violated no guarantee"
    )
    if failed:
        sys.exit(f"seeds that violated a guarantee: {failed}")


@application.command
def show(
    seed: int,
    *,
    placement: bool = False,
    silent: bool = False,
    endless: bool = False,
    failing: bool = False,
    spoilt: bool = False,
) -> None:
    """Prints the faults of a seed."""
    plan = schedule.draw(
        seed,
        schedule.FAILING_SIZE if failing else schedule.Size(),
        placement=placement,
        silent=silent,
        endless=endless,
        failing=failing,
        spoilt=spoilt,
    )
    for fault in plan.faults:
        print(
            f"{fault.at_ms:7.0f} ms  {fault.kind.value} {fault.target}"
            f" {fault.network.value} for {fault.for_ms:.0f} ms"
        )


@application.command
def review(times: int = 1) -> None:
    """Plays the scripts of the independent review.

    Each is played with and without its disruption.

    Args:
      times: how often each is played.
    """
    if not asyncio.run(_play_reviews(times)):
        sys.exit("a rule was broken, or a script could not run")


async def _play_reviews(times: int) -> bool:
    """Prints a line for each play; returns whether all rules held."""
    held = True
    for script in reviews.scripts():
        for disrupted in [True, False] * times:
            played = await reviews.play(script, disrupted=disrupted)
            print(played.line, flush=True)
            held &= played.outcome is reviews.Outcome.HELD
    return held


async def _run_all(
    seed_numbers: list[int],
    at_once: int,
    keep: pathlib.Path,
    options: run.Options,
) -> list[int]:
    limit = asyncio.Semaphore(at_once)
    failed: list[int] = []

    async def one(seed: int) -> None:
        async with limit:
            if not await _run_seed(seed, keep, options):
                failed.append(seed)

    await asyncio.gather(*(one(seed) for seed in seed_numbers))
    return sorted(failed)


async def _run_seed(
    seed: int, keep: pathlib.Path, options: run.Options
) -> bool:
    """Runs a seed; returns whether no guarantee was violated."""
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        size = schedule.FAILING_SIZE if options.failing else schedule.Size()
        result = await run.play(folder, seed, size, options)
        if not result.violations:
            print(
                f"seed {seed}: passed, {len(result.plan.faults)} faults,"
                f" {result.served} of {result.calls} calls served,"
                f" {result.cut} cut"
            )
            return True
        for violation in result.violations[:10]:
            print(f"seed {seed}: {violation.promise}: {violation.detail}")
        if keep != pathlib.Path("."):
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        return False


if __name__ == "__main__":
    application()
