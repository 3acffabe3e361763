"""Reads what the users' bench prints of a play."""

from __future__ import annotations

import re

import msgspec

from regression import plan

_DAY = re.compile(
    r"^(?P<day>\S+)\s+\d+/\d+\s+[\d.]+\s+(?P<worth>-?[\d.]+)\s", re.MULTILINE
)
_SEALED_DAYS = "fresh-"
"""Days drawn for one play only, which no other play repeats."""

_GATE_FAILED = "GATE failed"
_HUNT_CLEAN = re.compile(
    r"^\d+ days on \S+, 0 with a rule broken$", re.MULTILINE
)


class Result(msgspec.Struct, frozen=True):
    """What one play showed.

    Attributes:
      worth: worth of each standard day.
      problems: what was not as it must be, a sentence each.
    """

    worth: dict[str, float]
    problems: list[str]


def read(play: plan.Play, noise: float, printed: str, code: int) -> Result:
    """Returns what a play showed.

    Args:
      play: the play.
      noise: difference in worth that says nothing.
      printed: all that the bench printed.
      code: its exit code.
    """
    worth = {
        found["day"]: float(found["worth"])
        for found in _DAY.finditer(printed)
        if not found["day"].startswith(_SEALED_DAYS)
    }
    problems = [] if code == 0 else [f"ended with {code}"]
    if _GATE_FAILED in printed:
        problems.append("gate failed")
    if play.verb is plan.Verb.HUNT and not _HUNT_CLEAN.search(printed):
        problems.append("the hunt does not say that no rule was broken")
    problems += _lost(play, noise, worth)
    return Result(worth, problems)


def _lost(play: plan.Play, noise: float, worth: dict[str, float]) -> list[str]:
    problems = []
    for day, held in play.worth.items():
        if day not in worth:
            problems.append(f"{day} was not played")
        elif worth[day] < held - noise:
            problems.append(f"{day}: worth {worth[day]:.3f}, held {held:.3f}")
    return problems
