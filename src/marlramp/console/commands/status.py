"""`marlramp status`: state of an entry."""

from __future__ import annotations

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.entry import admin_documents


def status(
    *, entry: admin_client.EntryUrl, json: admin_client.Json = False
) -> int:
    """Show the state of an entry: settings, calls, agents.

    Args:
      entry: entry to query.
      json: print JSON, for scripts.
    """
    try:
        found = admin_client.read(entry, "status", admin_documents.Status)
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    if json:
        output.print_json(found)
        return int(exit_codes.ExitCode.OK)
    rows = [
        ("entry", found.entry),
        ("version", found.version),
        ("leaving", found.leaving),
        ("settings complete", found.settings_complete),
        ("revisions (trade body, member, deployment)", found.revisions),
        ("calls active", found.calls_active),
        ("calls waiting", found.queues),
        ("agents ready", f"{found.agents_ready} of {found.agents}"),
    ]
    rows.extend(
        (f"refused {r.key} revision {r.revision}", "; ".join(r.problems))
        for r in found.refused_documents
    )
    output.print_table("Status", ["what", "value"], rows)
    return int(exit_codes.ExitCode.OK)
