"""Command-line interface of the regression benchmarks."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import NamedTuple

import cyclopts

from regression import plan
from regression import results


class Call(NamedTuple):
    """One invocation of the bench.

    Attributes:
      play: the play to run.
      command: command line.
      log: file that receives its output.
    """

    play: plan.Play
    command: list[str]
    log: pathlib.Path


application = cyclopts.App(
    name="regression",
    help="Runs the regression plays of a landing and checks results.",
)


@application.command(name="list")
def list_plays() -> None:
    """Prints the plays with their durations and thresholds."""
    for play in plan.read().plays:
        minimum = ", ".join(
            f"{day} {worth}" for day, worth in play.worth.items()
        )
        print(
            f"{play.name}: {play.minutes:g} min; {minimum or 'no rule broken'}"
        )


@application.command
def run(
    bench: pathlib.Path,
    sites: pathlib.Path,
    why: str,
    logs: pathlib.Path,
    *names: str,
    jobs: int = 2,
    at_once: int = 2,
) -> None:
    """Runs all plays, or only the named ones.

    Args:
      bench: executable of the users' bench.
      sites: directory of the users' deployments.
      why: reason for the run, recorded in the journal.
      logs: directory for the output of each play.
      names: names of the plays to run, all by default.
      jobs: number of cores per play.
      at_once: number of plays to run in parallel.
    """
    regression_plan = plan.read()
    plays_by_name = {play.name: play for play in regression_plan.plays}
    if unknown := sorted(set(names) - plays_by_name.keys()):
        sys.exit(f"unknown plays: {', '.join(unknown)}")
    plays = [plays_by_name[name] for name in names] or list(
        regression_plan.plays
    )
    logs.mkdir(parents=True, exist_ok=True)
    calls = [
        Call(
            play,
            [
                str(bench),
                play.verb.value,
                str(sites / play.site),
                *play.options,
                "--jobs",
                str(jobs),
                "--why",
                why,
            ],
            logs / f"{play.name}.log",
        )
        for play in plays
    ]
    if not asyncio.run(_run_all(calls, at_once, regression_plan.noise)):
        sys.exit("some plays missed their thresholds")


async def _run_all(calls: list[Call], at_once: int, noise: float) -> bool:
    limit = asyncio.Semaphore(at_once)

    async def one(call: Call) -> bool:
        async with limit:
            return await _run_one(call, noise)

    return all(await asyncio.gather(*(one(call) for call in calls)))


async def _run_one(call: Call, noise: float) -> bool:
    """Runs one play; returns whether it met its thresholds."""
    with call.log.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            *call.command, stdout=log, stderr=asyncio.subprocess.STDOUT
        )
        code = await process.wait()
    printed = call.log.read_text(errors="replace")
    result = results.read(call.play, noise, printed, code)
    worth = ", ".join(f"{day} {w:.3f}" for day, w in result.worth.items())
    verdict = "; ".join(result.problems) or "held"
    print(f"{call.play.name}: {verdict} ({worth})", flush=True)
    return not result.problems


if __name__ == "__main__":
    application()
