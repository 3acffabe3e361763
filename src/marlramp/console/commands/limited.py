"""`marlramp limited`: replicas that name a limit over all entries."""

from __future__ import annotations

from typing import Annotated

import cyclopts
import msgspec

from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.console import page_client
from marlramp.direct import limit_pages


def limited(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the replicas that name a limit over all entries together.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    refused = page_client.refuse_other_urls(entry)
    if refused is not None:
        return refused
    try:
        body = page_client.call(entry.rstrip("/") + limit_pages.LIMITS_PATH)
        rows = msgspec.json.decode(body, type=list[limit_pages.LimitRow])
    except (OSError, msgspec.DecodeError) as error:
        output.print_error(f"{entry}: {error}")
        return int(exit_codes.ExitCode.UNREACHABLE)
    if json:
        output.print_json(rows)
        return int(exit_codes.ExitCode.OK)
    columns = [
        "replica",
        "service",
        "per s",
        "age ms",
        "reserved by",
        "room ms",
    ]
    cells = [
        (
            row.replica,
            row.service,
            row.limit_per_s,
            row.age_ms,
            " ".join(row.reserved_by),
            row.room_in_ms,
        )
        for row in rows
    ]
    output.print_table("Replicas that name a limit", columns, cells)
    return int(exit_codes.ExitCode.OK)
