"""Operators' page that lists replicas that leave, pause or refuse requests."""

from __future__ import annotations

import enum
import math

import msgspec

from marlramp import clock
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from marlramp.direct import page_server

PAUSES_PATH = "/replica-pauses"

_OK = 200
_JSON = b"application/json"


class PauseState(enum.Enum):
    """Why a replica receives no requests, or one at a time.

    Attributes:
      LEAVING: the replica announced that it shuts down.
      PAUSED: the replica requested a pause.
      REFUSING: the replica refused its last requests.
    """

    LEAVING = "leaving"
    PAUSED = "paused"
    REFUSING = "refusing"


class PauseRow(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that leaves, pauses or refuses, as known to this entry.

    Attributes:
      replica: id of the replica.
      service: the service that the replica belongs to.
      state: why the replica receives no requests, or one at a time.
      age_ms: time since the replica announced the pause or that it leaves, None
        if it only refuses requests.
      opens_in_ms: time until the replica may be sent a request again, None
        if it leaves.
      refusals: number of consecutive refusals.
    """

    replica: str
    service: str
    state: PauseState
    age_ms: int | None
    opens_in_ms: int | None
    refusals: int


def rows_of(
    table: replica_table.ReplicaTable, now_ms: clock.Millis
) -> list[PauseRow]:
    """Returns the rows, ordered by service and replica id."""
    rows = [_row(view, now_ms) for view in table]
    listed = [row for row in rows if row is not None]
    return sorted(listed, key=lambda row: (row.service, row.replica))


def _row(
    view: replica_view.ReplicaView, now_ms: clock.Millis
) -> PauseRow | None:
    availability = view.availability
    since_ms: float | None = None
    opens_in_ms = availability.closed_ms(now_ms)
    if availability.leaving_since_ms is not None:
        state = PauseState.LEAVING
        since_ms = availability.leaving_since_ms
        opens_in_ms = math.inf
    elif availability.is_paused(now_ms):
        state = PauseState.PAUSED
        since_ms = availability.paused_since_ms
    elif availability.refusals:
        state = PauseState.REFUSING
        opens_in_ms = availability.backoff_ms(now_ms)
    else:
        return None
    return PauseRow(
        replica=view.replica.replica_id,
        service=view.replica.service_id,
        state=state,
        age_ms=None if since_ms is None else round(now_ms - since_ms),
        opens_in_ms=None if math.isinf(opens_in_ms) else round(opens_in_ms),
        refusals=availability.refusals,
    )


def build(
    table: replica_table.ReplicaTable, time: clock.Clock
) -> page_server.Pages:
    """Returns the page that lists the replicas."""

    async def show(_: str) -> page_server.Page:
        body = msgspec.json.encode(rows_of(table, time.now_ms()))
        return page_server.Page(_OK, _JSON, body)

    return {PAUSES_PATH: show}
