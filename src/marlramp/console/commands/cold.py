"""`marlramp cold`: replicas that are still cold after a start."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from marlramp.console import page_client
from marlramp.direct import cold_pages


def _cells(row: cold_pages.ColdRow) -> tuple[object, ...]:
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
    _cells,
)


def cold(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the cold replicas and the requests that an entry may send them.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    return _PAGE.show(entry, json=json)
