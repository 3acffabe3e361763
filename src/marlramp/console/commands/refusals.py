"""`marlramp refusals`: counters of refusals, retries and dropped messages."""

from __future__ import annotations

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.entry import admin_documents


def refusals(
    *,
    entry: admin_client.EntryUrl,
    vm: str | None = None,
    json: admin_client.Json = False,
) -> int:
    """Show all counters, such as those of refusals and retries.

    Args:
      entry: entry to query.
      vm: show only this VM.
      json: print JSON, for scripts.
    """
    try:
        found = admin_client.read(
            entry, "counters", list[admin_documents.CounterStatus]
        )
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    shown = [counter for counter in found if vm in (None, counter.vm)]
    if json:
        output.print_json(shown)
        return int(exit_codes.ExitCode.OK)
    rows = [(c.vm, c.name, c.reason, c.total) for c in shown]
    columns = ["VM", "counter", "reason", "total"]
    output.print_table("Counters", columns, rows)
    return int(exit_codes.ExitCode.OK)
