"""Plays the scripts of the independent review."""

from __future__ import annotations

import asyncio
import enum
import os
import pathlib
import sys

import msgspec

ROOT = pathlib.Path(__file__).parents[1]
FOLDER = ROOT / "review"
TIMEOUT_S = 130.0
_MS = 1_000.0


class Outcome(enum.Enum):
    """How a script ended; the values are its exit statuses."""

    HELD = 0
    BROKEN = 1
    COULD_NOT_RUN = 2


class Play(msgspec.Struct, frozen=True):
    """One play of a script.

    Attributes:
      name: name of the case, such as "review/1".
      disrupted: whether it was played with its disruption.
      outcome: how it ended.
      taken_ms: time that it took.
    """

    name: str
    disrupted: bool
    outcome: Outcome
    taken_ms: float

    @property
    def line(self) -> str:
        """One line that describes the play."""
        manner = "with" if self.disrupted else "without"
        return (
            f"{self.name} {manner} its disruption:"
            f" {self.outcome.name.lower()}, {self.taken_ms / _MS:.1f} s"
        )


def scripts(folder: pathlib.Path = FOLDER) -> list[pathlib.Path]:
    """Returns the scripts of all cases, in the order of their names."""
    return sorted(folder.glob("*/run.sh"))


async def play(script: pathlib.Path, *, disrupted: bool) -> Play:
    """Plays a script where it lies; it writes its record beside itself.

    Args:
      script: the script, in the folder of its case.
      disrupted: whether to play it with its disruption.
    """
    programs = pathlib.Path(sys.executable).parent
    environment = {
        **os.environ,
        "TROUBLE": "1" if disrupted else "0",
        "PATH": f"{programs}{os.pathsep}{os.environ.get('PATH', '')}",
    }
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    process = await asyncio.create_subprocess_exec(
        "bash",
        str(script),
        env=environment,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        async with asyncio.timeout(TIMEOUT_S):
            status = await process.wait()
    except TimeoutError:
        process.terminate()
        status = await process.wait()
    known = {outcome.value for outcome in Outcome}
    outcome = Outcome(status) if status in known else Outcome.COULD_NOT_RUN
    name = f"{script.parents[1].name}/{script.parent.name}"
    taken_ms = (loop.time() - started_s) * _MS
    return Play(name, disrupted, outcome, taken_ms)
