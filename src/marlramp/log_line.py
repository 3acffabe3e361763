"""Formats log lines of key=value pairs, with the standard library only."""

from __future__ import annotations

from collections.abc import Mapping


def format_value(value: object) -> str:
    """Returns a value as text, quoted unless it is a single word."""
    text = str(value)
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def format_pairs(pairs: Mapping[str, object]) -> str:
    """Returns key=value pairs in their order, without a newline."""
    return " ".join(
        f"{key}={format_value(value)}" for key, value in pairs.items()
    )
