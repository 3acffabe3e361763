"""Decides on which versions of the weights a request may begin.

A newly announced version becomes mandatory after a fixed time; until then the
version before it still serves. A request begins with its first token, which may
come some time after the request was sent. Requests to the old version therefore
stop at a cutoff before the new version becomes mandatory.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from marlramp import clock
from marlramp.core.configuration import catalog

QUEUE_MARGIN_MS = 350.0
"""Time from the cutoff of an old version until the new one becomes mandatory.
It allows a request at the front of a replica's queue to wait as long. The few
requests that wait longer are withdrawn before the new version becomes
mandatory. With a larger margin, replicas to which the new version comes late
would be idle for longer, although the old one may still serve. For a path
latency above `path_latency.MARGIN_LATENCY_MS`, `upstream_choice` adds the
excess to the margin."""

WITHDRAWAL_MARGIN_MS = 60.0
"""Least time between the withdrawal of a waiting request from a replica and the
time from which it must not begin there. It covers a low path latency
(`path_latency.MARGIN_LATENCY_MS`) and one engine step. For a higher path
latency, `upstream_choice.Choice.withdrawal_ms` adds the excess."""

FIRST_READ_GRACE_MS = 2_000.0
"""Time after its start for which a process still serves the previous version if
it finds a newer one when it first reads the announced versions, since it does
not know when that version was announced."""


class VersionCutoff(msgspec.Struct, frozen=True):
    """The time from which versions older than `version` are sent no requests.

    Attributes:
      version: the newer version.
      cutoff_ms: clock reading of the cutoff for replicas with a low path
        latency that hold an older version. It is earlier for replicas with a
        high path latency.
    """

    version: int
    cutoff_ms: float


def upcoming_cutoffs(
    target: catalog.KnownTarget, bound_ms: float, now_ms: clock.Millis
) -> list[VersionCutoff]:
    """Returns the cutoffs that are still to come.

    `oldest_allowed` covers past cutoffs and versions whose announcement time is
    unknown; their cutoff doesn't depend on the path latency to a replica.

    Args:
      target: the announced versions.
      bound_ms: time from the announcement of a version until it becomes
        mandatory.
      now_ms: the time.
    """
    coming = []
    for named in target.named:
        counts_from_ms = named.counts_from_ms
        if counts_from_ms is None:
            continue
        until_ms = counts_from_ms + bound_ms - QUEUE_MARGIN_MS
        if now_ms < until_ms:
            coming.append(VersionCutoff(named.version, until_ms))
    return coming


def cutoff_ms(coming: Sequence[VersionCutoff], version: int) -> float:
    """Returns the cutoff of a version at replicas with a low path latency.

    Args:
      coming: the cutoffs that are still to come.
      version: the version.

    Returns:
      A clock reading, infinite if no cutoff applies to the version.
    """
    ends_ms = (c.cutoff_ms for c in coming if c.version > version)
    return min(ends_ms, default=float("inf"))


def oldest_allowed(
    target: catalog.KnownTarget,
    bound_ms: float,
    started_ms: float,
    now_ms: clock.Millis,
    wait_ms: float = QUEUE_MARGIN_MS,
) -> int:
    """Returns the oldest version that a request sent now may begin on.

    The result is 1, which allows every version, while no announced version
    becomes mandatory within `wait_ms`.

    Args:
      target: the announced versions.
      bound_ms: time from the announcement of a version until it becomes
        mandatory.
      started_ms: when this process started.
      now_ms: the time.
      wait_ms: how long the request may wait at the replica before it begins.
    """
    oldest = 1
    for named in target.named:
        counts_from_ms = named.counts_from_ms
        if counts_from_ms is None:
            until_ms = started_ms + FIRST_READ_GRACE_MS - wait_ms
        else:
            until_ms = counts_from_ms + bound_ms - wait_ms
        if now_ms >= until_ms:
            oldest = max(oldest, named.version)
    return oldest


def begins_until_ms(
    target: catalog.KnownTarget,
    bound_ms: float,
    version: int,
    started_ms: float = float("-inf"),
) -> float:
    """Returns the time at which a request that has not begun is withdrawn.

    It is `WITHDRAWAL_MARGIN_MS` before a newer version becomes mandatory. A
    request that still waits at a replica at that time is withdrawn and sent
    elsewhere, however long its expected wait was. With a high path latency it
    is withdrawn earlier, see `upstream_choice.Choice.withdrawal_ms`.

    See `superseded_ms` for the arguments.
    """
    mandatory_ms = superseded_ms(target, bound_ms, version, started_ms)
    return mandatory_ms - WITHDRAWAL_MARGIN_MS


def sent_until_ms(
    target: catalog.KnownTarget,
    bound_ms: float,
    version: int,
    started_ms: float = float("-inf"),
) -> float:
    """Returns the time until which a version may be sent a request.

    It is `QUEUE_MARGIN_MS` before a newer version becomes mandatory, and holds
    for replicas with a low path latency. See `superseded_ms` for the arguments.
    """
    mandatory_ms = superseded_ms(target, bound_ms, version, started_ms)
    return mandatory_ms - QUEUE_MARGIN_MS


def superseded_ms(
    target: catalog.KnownTarget,
    bound_ms: float,
    version: int,
    started_ms: float = float("-inf"),
) -> float:
    """Returns the time from which a newer version is mandatory.

    Args:
      target: the announced versions.
      bound_ms: time from the announcement of a version until it becomes
        mandatory.
      version: the version.
      started_ms: when this process started. By default, a newer version whose
        announcement time is unknown is mandatory at once.

    Returns:
      A clock reading, infinite if no newer version was announced.
    """
    ends_ms = float("inf")
    for named in target.named:
        if named.version <= version:
            continue
        counts_from_ms = named.counts_from_ms
        if counts_from_ms is None:
            ends_ms = min(ends_ms, started_ms + FIRST_READ_GRACE_MS)
        else:
            ends_ms = min(ends_ms, counts_from_ms + bound_ms)
    return ends_ms
