"""`marlramp reference`: reference pages generated from the code."""

from __future__ import annotations

import enum

import msgspec

from marlramp import errors
from marlramp.console import exit_codes
from marlramp.settings import checking
from marlramp.settings import process
from marlramp.settings import schema


class Page(enum.Enum):
    """Pages that can be printed."""

    SETTINGS = "settings"
    ERRORS = "errors"


def reference(page: Page) -> int:
    """Print a reference page in Markdown.

    Args:
      page: which page.
    """
    print(settings_page() if page is Page.SETTINGS else errors_table())
    return int(exit_codes.ExitCode.OK)


def settings_page() -> str:
    """Returns the settings reference."""
    parts = [
        "# Settings reference",
        "Made by `marlramp reference settings`; do not edit.",
        "## Tree",
        "One document per level, published under `trade_body/NAME`, "
        "`member/NAME` and `deployment/NAME`. A value is looked up from "
        "`settings`, then `services.NAME.settings`, then `customers.NAME`, "
        "then `services.NAME.customers.NAME`; the later one holds, and within "
        "each the deployment goes before the member, the member before the "
        "trade body. Every document starts with `schema = 1`.",
        _table(schema.Settings),
        "### `services.NAME`",
        "`kind` is `model` or `plain`; `rollout` is a table:",
        _table(schema.Rollout),
        "## Process",
        "The file given to `marlrampd --settings`. `role` is `entry` or "
        "`agent`; an entry needs `[entry]`, an agent `[upstream]`.",
    ]
    sections: list[tuple[str, type[msgspec.Struct]]] = [
        ("identity", process.Identity),
        ("links", process.Links),
        ("platform", process.Platform),
        ("limits", process.Limits),
        ("entry", process.EntrySettings),
        ("upstream", process.UpstreamSettings),
    ]
    for name, struct in sections:
        parts.append(f"### `[{name}]`")
        parts.append(_table(struct))
    return "\n\n".join(parts)


def errors_table() -> str:
    """Returns the table of error kinds."""
    rows = [
        "| kind | status | ran | come back after | meaning |",
        "| --- | --- | --- | --- | --- |",
    ]
    for kind, answer in errors.ANSWERS.items():
        after = "-"
        if answer.retry_after_ms is not None:
            after = f"{answer.retry_after_ms} ms"
        rows.append(
            f"| `{kind.value}` | {answer.status} | {answer.ran.value} | "
            f"{after} | {answer.text} |"
        )
    return "\n".join(rows)


def _table(struct: type[msgspec.Struct]) -> str:
    rows = ["| key | value | default |", "| --- | --- | --- |"]
    for field in msgspec.structs.fields(struct):
        default = "required"
        if not field.required:
            default = f"`{_shown(field.default)}`"
        expected = checking.describe_type(field.type).replace("|", "\\|")
        rows.append(f"| `{field.encode_name}` | {expected} | {default} |")
    return "\n".join(rows)


def _shown(value: object) -> object:
    return value.value if isinstance(value, enum.Enum) else value
