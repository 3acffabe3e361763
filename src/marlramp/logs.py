"""Logging: one line of key=value pairs per event, written by eliot."""

from __future__ import annotations

import sys
import traceback
from typing import TextIO

import eliot

_HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "message_type"})


def _format_value(value: object) -> str:
    text = str(value)
    if text and not any(c.isspace() or c in '"=' for c in text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\r", "\\r") + '"'


def format_line(message: dict[str, object]) -> str:
    """Returns an eliot message as one key=value line without newline."""
    event = message.get("message_type", message.get("action_type", "event"))
    pairs = [f"event={_format_value(event)}"]
    pairs.extend(
        f"{key}={_format_value(value)}"
        for key, value in message.items()
        if key not in _HIDDEN_FIELDS
    )
    return " ".join(pairs)


def start_logging(process: str, stream: TextIO = sys.stderr) -> None:
    """Sends all events to `stream`, each stamped with the process name."""
    eliot.add_global_fields(process=process)

    def write(message: dict[str, object]) -> None:
        stream.write(format_line(message) + "\n")
        stream.flush()

    eliot.add_destinations(write)


def log(event: str, **fields: object) -> None:
    """Logs one event with its fields."""
    eliot.log_message(message_type=event, **fields)


def log_exception(event: str, error: BaseException, **fields: object) -> None:
    """Logs one event with an exception and where it was raised."""
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    log(event, error=repr(error), place=place, **fields)
