"""What a replay of load plays, and what comes of it."""

from __future__ import annotations

import enum

import msgspec


class Policy(enum.Enum):
    """Which decisions are replayed."""

    SHIPPED = "shipped"
    SEND_ALL = "send_all"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A load to replay.

    Attributes:
      policy: the decisions.
      engines: model engines.
      entries: entries, each in one of the regions by turns.
      regions: regions; engines lie in them by turns too.
      load: arrivals as a multiple of what the engines serve.
      seconds: how long callers arrive.
      outage_s: how long no engine serves, from a quarter of the time on.
      evacuation_s: how long the engines of the first region are evacuated, from
        a quarter of the time on; they are cold when it ends.
      cold_per_s: requests per second that a cold engine tolerates.
      limits_cold: whether entries limit what they send to cold engines.
      seed: seed of all that is random.
    """

    policy: Policy = Policy.SHIPPED
    engines: int = 6
    entries: int = 6
    regions: int = 3
    load: float = 1.15
    seconds: float = 20.0
    outage_s: float = 0.0
    evacuation_s: float = 0.0
    cold_per_s: float = 17.0
    limits_cold: bool = True
    seed: int = 1


def check(plan: Plan) -> None:
    """Refuses a plan that can't be replayed.

    Raises:
      ValueError: naming the first field that is wrong.
    """
    for name in ("engines", "entries", "regions", "load"):
        if getattr(plan, name) <= 0:
            raise ValueError(f"{name} must be more than 0")
    if plan.seconds < 1.0:
        raise ValueError("seconds must be 1 or more")
    for name in ("outage_s", "evacuation_s"):
        if not 0.0 <= getattr(plan, name) < plan.seconds:
            raise ValueError(f"{name} must be 0 or more and less than seconds")
    if plan.cold_per_s <= 0.0:
        raise ValueError("cold_per_s must be more than 0")


class Second(msgspec.Struct):
    """What became of the callers that first tried in one second.

    Attributes:
      arrived: callers.
      in_time: begun within the objective.
      late: begun later.
      refused: refused for good.
      left: left without a first event.
    """

    arrived: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0


def total(seconds: list[Second]) -> Second:
    """Returns the sum of some seconds."""
    return Second(
        **{
            name: sum(getattr(second, name) for second in seconds)
            for name in Second.__struct_fields__
        }
    )
