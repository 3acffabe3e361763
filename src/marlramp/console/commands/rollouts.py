"""`marlramp rollouts`: progress of each rollout."""

from __future__ import annotations

import time

import rich.progress

from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.entry import admin_documents

WATCH_INTERVAL_S = 0.5


def rollouts(
    *,
    entry: admin_client.EntryUrl,
    watch: bool = False,
    json: admin_client.Json = False,
) -> int:
    """Show the progress of each service's rollout.

    Args:
      entry: entry to query.
      watch: show progress until every replica serves its target.
      json: print JSON, for scripts.
    """
    try:
        if watch and not json:
            _watch(entry)
        found = _read(entry)
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    if json:
        output.print_json(found)
        return int(exit_codes.ExitCode.OK)
    rows = [
        (
            r.service,
            r.model,
            r.version,
            f"{r.replicas_serving} of {r.replicas}",
            f"{r.chunks_held} of {r.chunks_total}",
            r.origin_bytes,
            r.sent_bytes_max,
            ", ".join(f"{count} {note}" for note, count in r.waiting.items()),
        )
        for r in found
    ]
    columns = [
        "service",
        "model",
        "version",
        "replicas serving",
        "chunks",
        "origin bytes",
        "most bytes sent by a VM",
        "state",
    ]
    output.print_table("Rollouts", columns, rows)
    return int(exit_codes.ExitCode.OK)


def _read(entry: str) -> list[admin_documents.RolloutStatus]:
    return admin_client.read(
        entry, "rollouts", list[admin_documents.RolloutStatus]
    )


def _watch(entry: str) -> None:
    with rich.progress.Progress() as progress:
        tasks: dict[str, rich.progress.TaskID] = {}
        while True:
            found = _read(entry)
            for r in found:
                if r.service not in tasks:
                    tasks[r.service] = progress.add_task(r.service)
                progress.update(
                    tasks[r.service],
                    total=r.replicas,
                    completed=r.replicas_serving,
                    description=f"{r.service} {r.version}",
                )
            if all(r.replicas_serving == r.replicas for r in found):
                return
            time.sleep(WATCH_INTERVAL_S)
