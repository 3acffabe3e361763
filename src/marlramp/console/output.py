"""Output of commands: tables for operators, JSON for scripts."""

from __future__ import annotations

from collections.abc import Sequence
import sys

import msgspec
import rich.console
import rich.table


def print_json(value: object) -> None:
    """Prints a value as one JSON document."""
    encoded = msgspec.json.format(msgspec.json.encode(value), indent=2)
    print(encoded.decode())


def print_table(
    title: str, columns: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Prints rows as a table."""
    table = rich.table.Table(title=title, title_justify="left")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*[str(cell) for cell in row])
    rich.console.Console().print(table)


def print_error(text: str) -> None:
    """Prints an error message to standard error."""
    print(f"marlramp: {text}", file=sys.stderr)
