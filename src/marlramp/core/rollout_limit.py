"""When new weights could be in force at the earliest, by the links alone.

Load pattern: a version is named, and all VMs lack it at once. Its pieces leave
the origin once, each VM's link takes them in, and all links together pass them
on; whichever of the three is slowest sets the limit that a rollout is measured
against.
"""

from __future__ import annotations

import msgspec

from marlramp import clock


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """A version on its way to the VMs that lack it.

    Attributes:
      missing_bytes: bytes that each of these VMs lacks.
      origin_bytes: bytes that no VM holds, so that only the origin has them.
      origin_bytes_per_s: rate of the origin.
      down_bytes_per_s: what live calls leave of a VM's link, inwards.
      up_bytes_per_s: the same outwards.
      vms: VMs that lack the version.
      holders: VMs that hold all of it.
      relay_bytes_per_s: rate at which entries pass pieces on, all together.
      load_ms: time in which an engine loads it.
    """

    missing_bytes: int
    origin_bytes: int
    origin_bytes_per_s: float
    down_bytes_per_s: float
    up_bytes_per_s: float
    vms: int
    holders: int = 0
    relay_bytes_per_s: float = 0.0
    load_ms: float = 0.0


class Limit(msgspec.Struct, frozen=True):
    """Earliest times at which engines can serve, from the name on.

    Attributes:
      first_ms: one engine.
      half_ms: half of the engines.
      all_ms: all of them.
    """

    first_ms: float
    half_ms: float
    all_ms: float


def limit(rollout: Rollout) -> Limit:
    """Returns the earliest times at which engines can serve a version."""
    return Limit(
        _served_ms(rollout, 1),
        _served_ms(rollout, -(-rollout.vms // 2)),
        _served_ms(rollout, rollout.vms),
    )


def _served_ms(rollout: Rollout, count: int) -> float:
    """Returns when so many engines can serve."""
    drawn_s = rollout.origin_bytes / rollout.origin_bytes_per_s
    taken_s = rollout.missing_bytes / rollout.down_bytes_per_s
    senders = rollout.vms + rollout.holders
    fleet_bytes_per_s = senders * rollout.up_bytes_per_s
    fleet_bytes_per_s += rollout.relay_bytes_per_s
    if rollout.origin_bytes:
        fleet_bytes_per_s += rollout.origin_bytes_per_s
    passed_s = count * rollout.missing_bytes / fleet_bytes_per_s
    whole_s = max(drawn_s, taken_s, passed_s)
    return whole_s * clock.MILLIS_PER_SECOND + rollout.load_ms
