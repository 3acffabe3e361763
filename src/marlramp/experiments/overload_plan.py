"""Plan and results of a load replay."""

from __future__ import annotations

import enum

import msgspec


class Policy(enum.Enum):
    """Admission policies that can be replayed.

    Attributes:
      SHIPPED: the admission code of the daemon.
      SEND_ALL: neither refuses requests nor queues late ones at the back.
    """

    SHIPPED = "shipped"
    SEND_ALL = "send_all"


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A load to replay.

    Attributes:
      policy: admission policy.
      engines: number of simulated engines.
      entries: number of entries, assigned to the regions in turn.
      regions: number of regions; engines are assigned to them in turn too.
      load: arrival rate as a multiple of the engines' capacity.
      seconds: duration of the arrivals.
      outage_s: duration of an outage of all engines, which starts after a
        quarter of the run.
      evacuation_s: duration of an evacuation of the first region, which starts
        after a quarter of the run; its engines are cold when it ends.
      cold_per_s: requests per second that a cold engine tolerates.
      limits_cold: whether entries limit what they send to cold engines.
      seed: seed of the random number generators.
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
    """Checks a plan.

    Raises:
      ValueError: if a field is invalid; the message names the first one.
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
    """Outcomes of the callers whose first attempt was in one second.

    Attributes:
      arrived: number of callers.
      in_time: answers that began within the objective.
      late: answers that began later.
      refused: callers that were refused twice.
      left: callers that left before a first event.
    """

    arrived: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0


def total(seconds: list[Second]) -> Second:
    """Returns the sums over `seconds`."""
    return Second(
        **{
            name: sum(getattr(second, name) for second in seconds)
            for name in Second.__struct_fields__
        }
    )
