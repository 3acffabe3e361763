"""`marlramp traffic`: messages between processes, by kind."""

from __future__ import annotations

import re
from typing import Annotated
import urllib.request

import cyclopts
import msgspec

from marlramp import counters
from marlramp.console import exit_codes
from marlramp.console import output

TIMEOUT_S = 5.0

_LINE = re.compile(
    r'^(?P<name>\w+?)_total\{[^}]*reason="(?P<way>sent|received)_'
    r'(?P<kind>\w+)_(?P<place>near|far)"[^}]*\}\s+(?P<total>[0-9.e+]+)$',
    re.MULTILINE,
)


class Row(msgspec.Struct, kw_only=True):
    """Messages of one kind since the process started.

    Attributes:
      kind: name of the message.
      way: direction, "sent" or "received".
      place: "near" for a peer in the same region, else "far".
      messages: number of messages.
      size_bytes: size of the messages, framing included.
    """

    kind: str
    way: str
    place: str
    messages: int = 0
    size_bytes: int = 0


def rows_of(text: str) -> list[Row]:
    """Returns the rows in a process's metrics, sorted by bytes, descending."""
    rows: dict[tuple[str, str, str], Row] = {}
    for match in _LINE.finditer(text):
        key = (match["kind"], match["way"], match["place"])
        kind, way, place = key
        row = rows.setdefault(key, Row(kind=kind, way=way, place=place))
        total = int(float(match["total"]))
        if match["name"] == counters.CounterName.LINK_BYTES.value:
            row.size_bytes = total
        elif match["name"] == counters.CounterName.LINK_MESSAGES.value:
            row.messages = total
    return sorted(rows.values(), key=lambda row: -row.size_bytes)


def traffic(
    metrics: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show messages and bytes between processes, as one process counts them.

    Args:
      metrics: URL of the metrics, such as http://10.1.0.40:9464/metrics.
      json: print JSON, for scripts.
    """
    if not metrics.startswith("http://"):
        output.print_error(f"{metrics}: must be a URL that begins with http://")
        return int(exit_codes.ExitCode.USAGE)
    try:
        with urllib.request.urlopen(metrics, timeout=TIMEOUT_S) as response:
            rows = rows_of(response.read().decode("utf-8", "replace"))
    except (OSError, ValueError) as error:
        output.print_error(f"{metrics}: {error}")
        return int(exit_codes.ExitCode.UNREACHABLE)
    if json:
        output.print_json(rows)
        return int(exit_codes.ExitCode.OK)
    columns = ["kind", "way", "region", "messages", "bytes"]
    cells = [
        (row.kind, row.way, row.place, row.messages, row.size_bytes)
        for row in rows
    ]
    output.print_table("Traffic between processes", columns, cells)
    return int(exit_codes.ExitCode.OK)
