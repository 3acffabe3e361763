"""Computes the earliest time at which the links allow new weights in force.

Load pattern: when a version is announced, all VMs lack it at once. Its pieces
leave the origin once, each VM receives them over its own link, and all links
together forward them. The slowest of these three transfers sets the lower limit
that the duration of a rollout is compared with.
"""

from __future__ import annotations

import msgspec

from marlramp import clock


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """Sizes and rates of the rollout of one version to VMs that lack it.

    Attributes:
      missing_bytes: bytes that each VM without the version lacks.
      origin_bytes: bytes that no VM holds, which only the origin can send.
      origin_bytes_per_s: rate at which the origin sends.
      down_bytes_per_s: rate at which a VM can receive beside live calls.
      up_bytes_per_s: rate at which a VM can send beside live calls.
      vms: number of VMs that lack the version.
      holders: number of VMs that hold the complete version.
      relay_bytes_per_s: rate at which all entries together forward pieces.
      load_ms: time in which an engine loads the version.
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
    """Earliest times at which engines can serve a version.

    All times count from when the version is announced.

    Attributes:
      first_ms: when one engine can serve the version.
      half_ms: when half of the engines can serve the version.
      all_ms: when all engines can serve the version.
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
    """Returns the earliest time at which `count` engines can serve."""
    origin_s = rollout.origin_bytes / rollout.origin_bytes_per_s
    download_s = rollout.missing_bytes / rollout.down_bytes_per_s
    senders = rollout.vms + rollout.holders
    fleet_bytes_per_s = senders * rollout.up_bytes_per_s
    fleet_bytes_per_s += rollout.relay_bytes_per_s
    if rollout.origin_bytes:
        fleet_bytes_per_s += rollout.origin_bytes_per_s
    forward_s = count * rollout.missing_bytes / fleet_bytes_per_s
    transfer_s = max(origin_s, download_s, forward_s)
    return transfer_s * clock.MILLIS_PER_SECOND + rollout.load_ms
