"""`marlramp vms`: VMs that an entry knows."""

from __future__ import annotations

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.entry import admin_documents


def vms(
    *, entry: admin_client.EntryUrl, json: admin_client.Json = False
) -> int:
    """Show the VMs that an entry knows, listed or linked.

    Args:
      entry: entry to query.
      json: print JSON, for scripts.
    """
    try:
        found = admin_client.read(entry, "vms", list[admin_documents.VmStatus])
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    if json:
        output.print_json(found)
        return int(exit_codes.ExitCode.OK)
    rows = [
        (
            vm.vm,
            vm.role,
            vm.data_centre,
            vm.service,
            vm.listed,
            vm.state,
            vm.version,
            f"{vm.in_flight}/{vm.capacity}",
            vm.breaker,
            vm.note,
        )
        for vm in found
    ]
    columns = [
        "VM",
        "role",
        "data centre",
        "service",
        "listed",
        "state",
        "version",
        "calls",
        "breaker",
        "note",
    ]
    output.print_table("VMs", columns, rows)
    return int(exit_codes.ExitCode.OK)
