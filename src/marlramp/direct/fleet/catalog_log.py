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
                state="removed" if replica is None else replica.state.value,
                weights=None if replica is None else replica.weights,
                source=source,
            )
