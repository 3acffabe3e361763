"""Log lines for changes of a process's catalog."""

from __future__ import annotations

import math

from marlramp import clock
from marlramp import logs
from marlramp.core.configuration import catalog


def log_change(
    change: catalog.Change,
    source: str,
    known: catalog.Catalog,
    now_ms: clock.Millis,
) -> None:
    """Logs one change of the catalog.

    Args:
      change: the change, already applied to `known`.
      source: "store", or the name of the process that sent the change.
      known: the catalog.
      now_ms: the time.
    """
    match change:
        case catalog.ConfigChange():
            logs.log(
                "config_applied",
                version=change.config.version,
                revision=change.revision,
                source=source,
            )
        case catalog.TargetChange():
            log_version(
                "weights_named",
                known.targets[change.target.model],
                change.target.version,
                now_ms,
                revision=change.revision,
                source=source,
            )
        case catalog.ReplicaChange():
            replica = change.replica
            logs.log(
                "replica_changed",
                replica=change.replica_id,
                revision=change.revision,
                state=_state_of(change),
                weights=None if replica is None else replica.weights,
                source=source,
                kept_ms=_kept_ms(change, known, now_ms),
            )
        case catalog.EvacuationChange():
            event = (
                "evacuation_started" if change.active else "evacuation_ended"
            )
            logs.log(
                event,
                data_centre=change.data_centre,
                revision=change.revision,
                source=source,
            )


def log_version(
    event: str,
    known: catalog.KnownTarget,
    version: int,
    now_ms: clock.Millis,
    **more: object,
) -> None:
    """Logs the bounds on the age of a version's announcement.

    Args:
      event: name of the log event.
      known: the versions of the model.
      version: the version.
      now_ms: the time.
      more: further fields of the log line.
    """
    named = next(each for each in known.named if each.version == version)
    aged = named.aged(known.target.model, now_ms)
    logs.log(
        event,
        model=aged.model,
        version=version,
        least_age_ms=None
        if aged.ages is None
        else _rounded(aged.ages.least_ms),
        most_age_ms=None if aged.ages is None else _rounded(aged.ages.most_ms),
        outage_age_ms=_rounded(aged.outage_age_ms),
        **more,
    )


def _rounded(value_ms: float | None) -> int | None:
    """Returns a time rounded to milliseconds, None if unknown or infinite."""
    if value_ms is None or math.isinf(value_ms):
        return None
    return round(value_ms)


def _kept_ms(
    change: catalog.ReplicaChange, known: catalog.Catalog, now_ms: clock.Millis
) -> int | None:
    """Returns how long a removed replica is kept after an outage of the store.

    Returns:
      The time in ms from now, None if the replica is not kept.
    """
    if change.replica is not None or known.replica(change.replica_id) is None:
        return None
    return _rounded(known.kept_until_ms() - now_ms)


def _state_of(change: catalog.ReplicaChange) -> str:
    if change.replica is not None:
        return change.replica.state.value
    return "unreadable" if change.unreadable else "removed"
