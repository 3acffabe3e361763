"""Operators' page that lists the cold replicas."""

from __future__ import annotations

import msgspec

from marlramp import clock
from marlramp.core.replicas import cold_replica
from marlramp.core.replicas import replica_table
from marlramp.direct import cold_log
from marlramp.direct import page_server

COLD_PATH = "/cold-replicas"

_OK = 200
_JSON = b"application/json"


class ColdRow(msgspec.Struct, frozen=True, kw_only=True):
    """A cold replica, as known to this entry.

    Attributes:
      replica: id of the replica.
      service: the service that the replica belongs to.
      data_centre: data centre of the replica.
      tolerated_per_s: requests per second that the replica accepts from all
        entries together.
      share_per_s: requests that this entry may send within any second.
      left_ms: time for which the replica remains cold.
      room_in_ms: time until this entry may send the next request.
      reason: source of what this entry knows.
    """

    replica: str
    service: str
    data_centre: str
    tolerated_per_s: float
    share_per_s: int
    left_ms: int
    room_in_ms: int
    reason: cold_replica.Reason


def rows_of(
    table: replica_table.ReplicaTable, now_ms: clock.Millis
) -> list[ColdRow]:
    """Returns the cold replicas, ordered by service and id."""
    rows = [
        ColdRow(
            replica=view.replica.replica_id,
            service=view.replica.service_id,
            data_centre=view.replica.data_centre,
            tolerated_per_s=state.tolerated_per_s,
            share_per_s=state.share_per_s(),
            left_ms=round(state.left_ms(now_ms)),
            room_in_ms=round(state.wait_ms(now_ms)),
            reason=state.reason,
        )
        for view, state in cold_log.cold_views(table, now_ms)
    ]
    return sorted(rows, key=lambda row: (row.service, row.replica))


def build(
    table: replica_table.ReplicaTable, time: clock.Clock
) -> page_server.Pages:
    """Returns the page that lists the cold replicas."""

    async def show(_: str) -> page_server.Page:
        body = msgspec.json.encode(rows_of(table, time.now_ms()))
        return page_server.Page(_OK, _JSON, body)

    return {COLD_PATH: show}
