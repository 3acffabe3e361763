"""Command line of the regression set."""

from __future__ import annotations

import asyncio
import pathlib
import sys
from typing import NamedTuple

import cyclopts

from regression import plan
from regression import results


class Call(NamedTuple):
    """One call of the bench.

    Attributes:
      play: what is played.
      words: the command.
      log: file for what it prints.
    """

    play: plan.Play
    words: list[str]
    log: pathlib.Path


application = cyclopts.App(
    name="regression", help="Plays what any landing repeats, and judges it."
)


@application.command(name="list")
def list_plays() -> None:
    """Prints the plays, the time that each takes and what it must hold."""
    for play in plan.read().plays:
        held = ", ".join(f"{day} {worth}" for day, worth in play.worth.items())
        print(f"{play.name}: {play.minutes:g} min; {held or 'no rule broken'}")


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
    """Plays all, or those that are named.

    Args:
      bench: program of the users' bench.
      sites: folder of the users' deployments.
      why: reason, for the journal.
      logs: folder for what each play prints.
      names: plays, all without one.
      jobs: cores for each play.
      at_once: plays at the same time.
    """
    wanted = plan.read()
    known = {play.name: play for play in wanted.plays}
    if unknown := sorted(set(names) - known.keys()):
        sys.exit(f"no such play: {', '.join(unknown)}")
    plays = [known[name] for name in names] or list(wanted.plays)
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
    if not asyncio.run(_run_all(calls, at_once, wanted.noise)):
        sys.exit("some plays did not hold")


async def _run_all(calls: list[Call], at_once: int, noise: float) -> bool:
    limit = asyncio.Semaphore(at_once)

    async def one(call: Call) -> bool:
        async with limit:
            return await _run_one(call, noise)

    return all(await asyncio.gather(*(one(call) for call in calls)))


async def _run_one(call: Call, noise: float) -> bool:
    """Plays one; returns whether it held."""
    with call.log.open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            *call.words, stdout=log, stderr=asyncio.subprocess.STDOUT
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
