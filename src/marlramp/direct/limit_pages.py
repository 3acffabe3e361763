"""Operators' page that lists the replicas with a rate limit.

Such a limit applies to all entries together.
"""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core.replicas import replica_table
from marlramp.direct import page_server
from marlramp.direct.fleet import entry_limits

LIMITS_PATH = "/replica-limits"

_OK = 200
_JSON = b"application/json"


class LimitRow(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that announces a rate limit.

    Attributes:
      replica: id of the replica.
      service: the service that the replica belongs to.
      limit_per_s: requests per second that the replica accepts from all entries
        together.
      age_ms: time since the limit was last observed.
      reserved_by: VMs of the replica's limiters, the entries that reserve sends
        to it, the primary before the standby.
      room_in_ms: time until this entry expects that the limit admits one more
        request.
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
    """Returns the replicas with a rate limit, ordered by service and id."""
    rows = []
    for replica_id, limit in limits.known.in_force().items():
        view = table.get(replica_id)
        if view is None or limit.per_s is None:
            continue
        row = LimitRow(
            replica=replica_id,
            service=view.replica.service_id,
            limit_per_s=limit.per_s,
            age_ms=round(now_ms - limit.observed_ms),
            reserved_by=limits.limiters_of(view),
            room_in_ms=round(view.limit_wait_ms(now_ms)),
        )
        rows.append(row)
    return sorted(rows, key=lambda row: (row.service, row.replica))


def build(
    limits: entry_limits.EntryLimits,
    table: replica_table.ReplicaTable,
    time: clock.Clock,
) -> page_server.Pages:
    """Returns the page that lists the rate limits."""

    async def show(_: str) -> page_server.Page:
        body = msgspec.json.encode(rows_of(limits, table, time.now_ms()))
        return page_server.Page(_OK, _JSON, body)

    return {LIMITS_PATH: show}
