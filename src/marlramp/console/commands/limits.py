"""`marlramp limits`: customers' limits and an entry's share of them."""

from __future__ import annotations

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.entry import admin_documents


def limits(
    *, entry: admin_client.EntryUrl, json: admin_client.Json = False
) -> int:
    """Show each customer's limit and this entry's share of it.

    Args:
      entry: entry to query.
      json: print JSON, for scripts.
    """
    try:
        found = admin_client.read(
            entry, "limits", list[admin_documents.LimitStatus]
        )
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    if json:
        output.print_json(found)
        return int(exit_codes.ExitCode.OK)
    rows = [
        (
            limit.customer,
            limit.requests_per_s,
            limit.share_requests_per_s,
            limit.tokens_per_s,
            limit.share_tokens_per_s,
        )
        for limit in found
    ]
    columns = [
        "customer",
        "requests/s",
        "of these here",
        "tokens/s",
        "of these here",
    ]
    output.print_table("Limits", columns, rows)
    return int(exit_codes.ExitCode.OK)
