"""Parses the output of the users' bench and checks the thresholds."""

from __future__ import annotations

import re

import msgspec

from regression import plan

_DAY = re.compile(
    r"^(?P<day>\S+)\s+\d+/\d+\s+[\d.]+\s+(?P<worth>-?[\d.]+)\s", re.MULTILINE
)
_GENERATED_DAY_PREFIX = "fresh-"
"""Prefix of days generated for a single play.

No other play repeats them, so they have no threshold.
"""

_GATE_FAILED = "GATE failed"
_HUNT_CLEAN = re.compile(
    r"^\d+ days on \S+, 0 with a rule broken$", re.MULTILINE
)


class Result(msgspec.Struct, frozen=True):
    """Result of one play.

    Attributes:
      worth: worth by standard day.
      problems: descriptions of failures, empty if the play passed.
    """

    worth: dict[str, float]
    problems: list[str]


def read(play: plan.Play, noise: float, printed: str, code: int) -> Result:
    """Returns the result of a play.

    Args:
      play: play that was run.
      noise: difference in worth that is not significant.
      printed: complete output of the bench.
      code: exit code of the bench.
    """
    worth = {
        found["day"]: float(found["worth"])
        for found in _DAY.finditer(printed)
        if not found["day"].startswith(_GENERATED_DAY_PREFIX)
    }
    problems = [] if code == 0 else [f"ended with {code}"]
    if _GATE_FAILED in printed:
        problems.append("gate failed")
    if play.verb is plan.Verb.HUNT and not _HUNT_CLEAN.search(printed):
        problems.append("the hunt does not report that no rule was broken")
    problems += _find_regressions(play, noise, worth)
    return Result(worth, problems)


def _find_regressions(
    play: plan.Play, noise: float, worth: dict[str, float]
) -> list[str]:
    problems = []
    for day, held in play.worth.items():
        if day not in worth:
            problems.append(f"{day} was not played")
        elif worth[day] < held - noise:
            problems.append(f"{day}: worth {worth[day]:.3f}, held {held:.3f}")
    return problems
