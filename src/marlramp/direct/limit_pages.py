"""Shows the replicas that name a limit over all entries, for operators."""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core import replica_table
from marlramp.direct import side_server
from marlramp.direct.fleet import entry_limits

LIMITS_PATH = "/replica-limits"

_OK = 200
_JSON = b"application/json"


class LimitRow(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that names a limit.

    Attributes:
      replica: its id.
      service: the service that it belongs to.
      limit_per_s: requests a second that it takes from all entries together.
      age_ms: time since it was last known to name it.
      reserved_by: VMs of the entries that reserve requests to it, the first one
        first.
      room_in_ms: time until this entry expects room for one more request.
    """

    replica: str
    service: str
    limit_per_s: float
    age_ms: int
    reserved_by: list[str]
    room_in_ms: int


def rows_of(
    limits: entry_limits.EntryLimits,
    table: replica_table.ReplicaTable,
    now_ms: clock.Millis,
) -> list[LimitRow]:
    """Returns the replicas that name a limit, ordered by service and id."""
    rows = []
    for replica_id, known in limits.known.in_force().items():
        view = table.get(replica_id)
        if view is None or known.per_s is None:
            continue
        row = LimitRow(
            replica=replica_id,
            service=view.replica.service_id,
            limit_per_s=known.per_s,
            age_ms=round(now_ms - known.observed_ms),
            reserved_by=limits.limiters_of(view),
            room_in_ms=round(view.limit_wait_ms(now_ms)),
        )
        rows.append(row)
    return sorted(rows, key=lambda row: (row.service, row.replica))


def build(
    limits: entry_limits.EntryLimits,
    table: replica_table.ReplicaTable,
    time: clock.Clock,
) -> side_server.Pages:
    """Returns the pages."""

    async def show(_: str) -> side_server.Page:
        body = msgspec.json.encode(rows_of(limits, table, time.now_ms()))
        return side_server.Page(_OK, _JSON, body)

    return {LIMITS_PATH: show}
