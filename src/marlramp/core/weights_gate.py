"""Which version of the weights a request may begin on.

A newly named version binds after some time; until then the one before it
still serves. A request begins with its first token, which may come a while
after it was sent, so the old version is left earlier than the bound says.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from marlramp import clock
from marlramp.core import catalog

QUEUE_MARGIN_MS = 350.0
"""Wait at a replica that is taken into account of a request that goes in front
there. The few that wait longer are taken away before the bound; with more, an
old version that may still serve stands idle where the new one is late. Behind
a long way it grows as the margin below does."""

LEAVE_MARGIN_MS = 60.0
"""Least time between taking a waiting request away from a replica and the time
from which it must not begin there: a short way to the replica, and one pass of
its engine. It grows by what the way is longer than a short one."""

FIRST_READ_GRACE_MS = 2_000.0
"""A process that finds a version at its first read does not know when it was
named; it serves the version before for no longer than this."""


class Leave(msgspec.Struct, frozen=True):
    """Until when requests are sent to versions older than one.

    Attributes:
      version: the version.
      leaves_ms: a reading of the clock, from which a replica behind a short way
        that holds an older one is sent none; one behind a long way is left
        sooner.
    """

    version: int
    leaves_ms: float


def leaves(
    target: catalog.KnownTarget, bound_ms: float, now_ms: clock.Millis
) -> list[Leave]:
    """Returns until when requests are sent to older versions.

    Only what is to come: `oldest_allowed` tells of the others, and of versions
    of unknown age, whose end has nothing to do with the way to a replica.

    Args:
      target: the versions named.
      bound_ms: time after its naming from which a version binds.
      now_ms: the time.
    """
    coming = []
    for named in target.named:
        counts_from_ms = named.counts_from_ms
        if counts_from_ms is None:
            continue
        leaves_ms = counts_from_ms + bound_ms - QUEUE_MARGIN_MS
        if now_ms < leaves_ms:
            coming.append(Leave(named.version, leaves_ms))
    return coming


def leaves_ms(coming: Sequence[Leave], version: int) -> float:
    """Returns until when requests are sent to a version over a short way.

    Args:
      coming: until when older versions are sent requests.
      version: the version.
    """
    ends_ms = (leave.leaves_ms for leave in coming if leave.version > version)
    return min(ends_ms, default=float("inf"))


def oldest_allowed(
    target: catalog.KnownTarget,
    bound_ms: float,
    started_ms: float,
    now_ms: clock.Millis,
    wait_ms: float = QUEUE_MARGIN_MS,
) -> int:
    """Returns the oldest version that a request sent now may begin on.

    Args:
      target: the versions named.
      bound_ms: time after its naming from which a version binds.
      started_ms: when this process started.
      now_ms: the time.
      wait_ms: how long it may wait at the replica before it begins.
    """
    oldest = 1
    for named in target.named:
        counts_from_ms = named.counts_from_ms
        if counts_from_ms is None:
            leave_ms = started_ms + FIRST_READ_GRACE_MS - wait_ms
        else:
            leave_ms = counts_from_ms + bound_ms - wait_ms
        if now_ms >= leave_ms:
            oldest = max(oldest, named.version)
    return oldest


def begins_until_ms(
    target: catalog.KnownTarget,
    bound_ms: float,
    version: int,
    started_ms: float = float("-inf"),
) -> float:
    """Returns until when a request may begin on a version.

    A request that still waits at a replica then is taken elsewhere, however
    long it was expected to wait. Behind a long way it is taken sooner, see
    `upstream_choice.Choice.taken_back_ms`.

    See `binds_over_ms` for the arguments.
    """
    binds_ms = binds_over_ms(target, bound_ms, version, started_ms)
    return binds_ms - LEAVE_MARGIN_MS


def sent_until_ms(
    target: catalog.KnownTarget,
    bound_ms: float,
    version: int,
    started_ms: float = float("-inf"),
) -> float:
    """Returns until when a request may be written to a replica on a version.

    See `binds_over_ms` for the arguments.
    """
    binds_ms = binds_over_ms(target, bound_ms, version, started_ms)
    return binds_ms - QUEUE_MARGIN_MS


def binds_over_ms(
    target: catalog.KnownTarget,
    bound_ms: float,
    version: int,
    started_ms: float = float("-inf"),
) -> float:
    """Returns when a newer version binds, infinite if none was named.

    Args:
      target: the versions named.
      bound_ms: time after its naming from which a version binds.
      version: the version.
      started_ms: when this process started.
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
