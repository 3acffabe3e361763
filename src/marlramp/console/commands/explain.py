"""`marlramp explain`: effective settings and the level that sets each."""

from __future__ import annotations

import pathlib

from marlramp import ids
from marlramp.console import admin_client
from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.settings import schema
from marlramp.settings import tree


def explain(
    *,
    entry: admin_client.EntryUrl | None = None,
    trade_body: pathlib.Path | None = None,
    member: pathlib.Path | None = None,
    deployment: pathlib.Path | None = None,
    service: str | None = None,
    customer: str | None = None,
    name: str | None = None,
    json: admin_client.Json = False,
) -> int:
    """Show effective settings, from files or from a running entry.

    Args:
      entry: entry to query instead of reading files.
      trade_body: file with the trade body's document.
      member: file with the member's document.
      deployment: file with the deployment's document.
      service: service to explain for.
      customer: customer to explain for.
      name: show only this setting.
      json: print JSON, for scripts.
    """
    files = {
        schema.Level.TRADE_BODY: trade_body,
        schema.Level.MEMBER: member,
        schema.Level.DEPLOYMENT: deployment,
    }
    try:
        if entry is None:
            found = _from_files(files, service, customer)
        else:
            found = _from_entry(entry, service, customer)
    except admin_client.CommandError as error:
        return admin_client.finish(error)
    except OSError as error:
        output.print_error(f"not readable: {error}")
        return int(exit_codes.ExitCode.SETTINGS_REFUSED)
    except ExceptionGroup as group:
        for problem in group.exceptions:
            output.print_error(str(problem))
        return int(exit_codes.ExitCode.SETTINGS_REFUSED)
    shown = [value for value in found if name in (None, value.name)]
    if json:
        output.print_json(shown)
    else:
        rows = [(v.name, v.value, v.origin) for v in shown]
        output.print_table("Settings", ["setting", "value", "from"], rows)
    return int(exit_codes.ExitCode.OK)


def _from_files(
    files: dict[schema.Level, pathlib.Path | None],
    service: str | None,
    customer: str | None,
) -> list[tree.Effective]:
    levels = {
        level: tree.parse_document(file.read_text(encoding="utf-8"), str(file))
        for level, file in files.items()
        if file is not None
    }
    return tree.SettingsTree(levels).explain(
        ids.ServiceId(service) if service else None,
        ids.CustomerId(customer) if customer else None,
    )


def _from_entry(
    entry: str, service: str | None, customer: str | None
) -> list[tree.Effective]:
    query = f"settings?service={service or ''}&customer={customer or ''}"
    return admin_client.read(entry, query, list[tree.Effective])
