"""`marlramp limited`: replicas that announce a limit for all entries."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from marlramp.console import page_client
from marlramp.direct import limit_pages


def _cells(row: limit_pages.LimitRow) -> tuple[object, ...]:
    return (
        row.replica,
        row.service,
        row.limit_per_s,
        row.age_ms,
        " ".join(row.reserved_by),
        row.room_in_ms,
    )


_PAGE = page_client.TablePage(
    limit_pages.LIMITS_PATH,
    list[limit_pages.LimitRow],
    "Replicas that announce a limit",
    ["replica", "service", "per s", "age ms", "reserved by", "room ms"],
    _cells,
)


def limited(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the replicas that announce a request limit for all entries.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    return _PAGE.show(entry, json=json)
