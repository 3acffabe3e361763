"""Which deployments are played before a landing, and what they must hold."""

from __future__ import annotations

import enum
import pathlib
import tomllib
from typing import Any

import msgspec

PLAN_FILE = pathlib.Path(__file__).with_name("plan.toml")


class Verb(enum.Enum):
    """What the users' bench does with a deployment."""

    SCORE = "score"
    HUNT = "hunt"


class Play(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """One call of the users' bench.

    Attributes:
      name: name of the play.
      site: the site file, from the folder of the users' deployments.
      verb: what is done with it.
      options: options of the call, without jobs and reason.
      minutes: how long it took beside others on eight cores.
      worth: least worth of each day, before what counts as noise.
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
    """All plays.

    Attributes:
      noise: difference in worth that says nothing.
      plays: the plays, the longest first.
    """

    noise: float
    plays: tuple[Play, ...]


def read(path: pathlib.Path = PLAN_FILE) -> Plan:
    """Returns the plan in a file.

    Args:
      path: the file.

    Raises:
      ValueError: the file holds no plan.
    """
    try:
        document: dict[str, Any] = tomllib.loads(path.read_text())
        return msgspec.convert(document, Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path.name}: {error}") from error
