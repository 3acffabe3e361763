"""`marlramp cold`: replicas that are still cold after a start.

A cold replica has started recently and accepts only a limited request rate
until it has warmed up.
"""

from __future__ import annotations

from typing import Annotated

import cyclopts

from marlramp.console import page_client
from marlramp.direct import cold_pages


def _row_values(row: cold_pages.ColdRow) -> tuple[object, ...]:
    return (
        row.replica,
        row.service,
        row.data_centre,
        row.tolerated_per_s,
        row.share_per_s,
        row.left_ms,
        row.room_in_ms,
        row.reason.value,
    )


_PAGE = page_client.TablePage(
    cold_pages.COLD_PATH,
    list[cold_pages.ColdRow],
    "Cold replicas",
    [
        "replica",
        "service",
        "data centre",
        "per s",
        "share",
        "left ms",
        "room ms",
        "reason",
    ],
    _row_values,
)


def cold(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the cold replicas and the request rates that an entry may use.

    A cold replica has started recently and accepts only a limited request rate
    until it has warmed up. Columns of the table:

    "per s": requests per second that the replica accepts from all entries
    together; "share": requests that this entry may send within any second;
    "left ms": time for which the replica remains cold; "room ms": time until
    this entry may send the next request; "reason": source of what this entry
    knows.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    return _PAGE.show(entry, json=json)
