"""`marlramp paused`: replicas that want no requests for now."""

from __future__ import annotations

from typing import Annotated

import cyclopts
import msgspec

from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.console import page_client
from marlramp.direct import pause_pages


def paused(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the replicas that an entry leaves alone, by their own word.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    refused = page_client.refuse_other_urls(entry)
    if refused is not None:
        return refused
    try:
        body = page_client.call(entry.rstrip("/") + pause_pages.PAUSES_PATH)
        rows = msgspec.json.decode(body, type=list[pause_pages.PauseRow])
    except (OSError, msgspec.DecodeError) as error:
        output.print_error(f"{entry}: {error}")
        return int(exit_codes.ExitCode.UNREACHABLE)
    if json:
        output.print_json(rows)
        return int(exit_codes.ExitCode.OK)
    columns = ["replica", "service", "state", "age ms", "opens ms", "refusals"]
    cells = [
        (
            row.replica,
            row.service,
            row.state.value,
            "" if row.age_ms is None else row.age_ms,
            "" if row.opens_in_ms is None else row.opens_in_ms,
            row.refusals,
        )
        for row in rows
    ]
    output.print_table("Replicas that want no requests", columns, cells)
    return int(exit_codes.ExitCode.OK)
