"""`marlramp drain`: makes a process finish its work and exit."""

from __future__ import annotations

import msgspec

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.entry import admin_documents


def drain(
    vm: str,
    *,
    entry: admin_client.EntryUrl,
    reason: str = "operator",
    json: admin_client.Json = False,
) -> int:
    """Make an entry or agent accept no new work, finish, and exit.

    Args:
      vm: VM whose process is drained.
      entry: the entry itself, or one that the agent is linked to.
      reason: reason to log.
      json: print JSON, for scripts.
    """
    body = admin_documents.DrainRequest(vm, reason)
    try:
        answer = admin_client.order(entry, "drain", body)
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    result = msgspec.json.decode(answer, type=admin_documents.DrainAnswer)
    if json:
        output.print_json(result)
    else:
        print(f"{result.vm} is draining; order stored in {result.kept_in}")
    return int(exit_codes.ExitCode.OK)
