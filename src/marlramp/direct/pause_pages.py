"""Shows the replicas that want no requests for now, for operators."""

from __future__ import annotations

import enum
import math

import msgspec

from marlramp import clock
from marlramp.core import replica_table
from marlramp.core import replica_view
from marlramp.direct import side_server

PAUSES_PATH = "/replica-pauses"

_OK = 200
_JSON = b"application/json"


class PauseState(enum.Enum):
    """Why a replica gets no requests, or one at a time."""

    LEAVING = "leaving"
    PAUSED = "paused"
    REFUSING = "refusing"


class PauseRow(msgspec.Struct, frozen=True, kw_only=True):
    """A replica that wants no requests for now, as this entry knows it.

    Attributes:
      replica: its id.
      service: the service that it belongs to.
      state: why.
      age_ms: time since it first said so, None if it only refuses.
      opens_in_ms: time until it may be asked again, None if it leaves.
      refusals: refusals in a row.
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
    """Returns the replicas that want no requests, by service and id."""
    rows = [_row(view, now_ms) for view in table]
    found = [row for row in rows if row is not None]
    return sorted(found, key=lambda row: (row.service, row.replica))


def _row(
    view: replica_view.ReplicaView, now_ms: clock.Millis
) -> PauseRow | None:
    known = view.availability
    since_ms: float | None = None
    opens_in_ms = known.closed_ms(now_ms)
    if known.leaving_since_ms is not None:
        state = PauseState.LEAVING
        since_ms = known.leaving_since_ms
        opens_in_ms = math.inf
    elif known.is_paused(now_ms):
        state = PauseState.PAUSED
        since_ms = known.paused_since_ms
    elif known.refusals:
        state = PauseState.REFUSING
        opens_in_ms = known.backoff_ms(now_ms)
    else:
        return None
    return PauseRow(
        replica=view.replica.replica_id,
        service=view.replica.service_id,
        state=state,
        age_ms=None if since_ms is None else round(now_ms - since_ms),
        opens_in_ms=None if math.isinf(opens_in_ms) else round(opens_in_ms),
        refusals=known.refusals,
    )


def build(
    table: replica_table.ReplicaTable, time: clock.Clock
) -> side_server.Pages:
    """Returns the pages."""

    async def show(_: str) -> side_server.Page:
        body = msgspec.json.encode(rows_of(table, time.now_ms()))
        return side_server.Page(_OK, _JSON, body)

    return {PAUSES_PATH: show}
