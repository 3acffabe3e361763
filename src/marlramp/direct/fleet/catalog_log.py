"""Log lines for changes of what a process believes the store holds."""

from __future__ import annotations

from marlramp import logs
from marlramp.core import catalog


def log_change(change: catalog.Change, source: str) -> None:
    """Logs one change and where it was heard."""
    match change:
        case catalog.ConfigChange():
            logs.log(
                "config_applied",
                version=change.config.version,
                revision=change.revision,
                source=source,
            )
        case catalog.TargetChange():
            logs.log(
                "weights_named",
                model=change.target.model,
                version=change.target.version,
                revision=change.revision,
                age_ms=change.age_ms,
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
            )


def _state_of(change: catalog.ReplicaChange) -> str:
    if change.replica is not None:
        return change.replica.state.value
    return "unreadable" if change.unreadable else "removed"
