"""The plan of regression plays: deployments and their thresholds."""

from __future__ import annotations

import enum
import pathlib
import tomllib
from typing import Any

import msgspec

PLAN_FILE = pathlib.Path(__file__).with_name("plan.toml")


class Verb(enum.Enum):
    """Subcommand of the users' bench."""

    SCORE = "score"
    HUNT = "hunt"


class Play(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One invocation of the users' bench.

    Attributes:
      name: name of the play.
      site: path of the site file within the users' deployments.
      verb: subcommand.
      options: command-line options, except jobs and reason.
      minutes: measured duration on eight cores shared with other plays.
      worth: minimum worth by day, before the noise margin.
    """

    name: str
    site: str
    verb: Verb
    options: tuple[str, ...] = ()
    minutes: float
    worth: dict[str, float] = {}


class Plan(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """All regression plays.

    Attributes:
      noise: difference in worth that is not significant.
      plays: the plays, longest first.
    """

    noise: float
    plays: tuple[Play, ...]


def read(path: pathlib.Path = PLAN_FILE) -> Plan:
    """Reads a plan file.

    Args:
      path: path of the TOML file.

    Raises:
      ValueError: if the file is not a valid plan.
    """
    try:
        document: dict[str, Any] = tomllib.loads(path.read_text())
        return msgspec.convert(document, Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path.name}: {error}") from error
