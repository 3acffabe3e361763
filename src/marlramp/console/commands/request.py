"""`marlramp request`: timeline of a request, from the logs of all processes."""

from __future__ import annotations

from collections.abc import Iterable
import pathlib
import shlex
import sys
from typing import Annotated

import cyclopts
import msgspec

from marlramp.console import exit_codes
from marlramp.console import output

_REQUEST = "request"
_HIDDEN = frozenset({"event", "timestamp", "process", _REQUEST})


class Step(msgspec.Struct, frozen=True):
    """A log line about the request.

    Attributes:
      at_s: time of day in seconds, by the clock of the process.
      process: the process that logged it.
      event: what happened.
      details: the other fields.
    """

    at_s: float
    process: str
    event: str
    details: str


def request(
    request_id: str,
    *files: pathlib.Path,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Print what all processes logged about a request, in time order.

    Args:
      request_id: the id that the caller gave the request.
      files: log files; standard input if there are none.
      json: print JSON, for scripts.
    """
    try:
        steps = find_steps(request_id, _lines(files))
    except OSError as error:
        output.print_error(f"not readable: {error}")
        return int(exit_codes.ExitCode.USAGE)
    if not steps:
        output.print_error(f"no log line mentions request {request_id}")
        return int(exit_codes.ExitCode.NOT_HELD)
    if json:
        output.print_json(steps)
    else:
        first_s = steps[0].at_s
        rows = [
            (
                f"{1000 * (step.at_s - first_s):.0f}",
                step.process,
                step.event,
                step.details,
            )
            for step in steps
        ]
        output.print_table(
            f"Request {request_id}", ["ms", "process", "event", "details"], rows
        )
    return int(exit_codes.ExitCode.OK)


def find_steps(request_id: str, lines: Iterable[str]) -> list[Step]:
    """Returns the steps of a request, sorted by time."""
    wanted = f"{_REQUEST}={request_id}"
    steps = [
        step
        for line in lines
        if wanted in line and (step := _parse(line, request_id)) is not None
    ]
    return sorted(steps, key=lambda step: step.at_s)


def _lines(files: tuple[pathlib.Path, ...]) -> Iterable[str]:
    if not files:
        yield from sys.stdin
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as stream:
            yield from stream


def _parse(line: str, request_id: str) -> Step | None:
    """Returns the step in a line, None if it is about another request."""
    try:
        words = shlex.split(line)
    except ValueError:
        return None
    fields = dict(word.split("=", 1) for word in words if "=" in word)
    if fields.get(_REQUEST) != request_id:
        return None
    try:
        at_s = float(fields.get("timestamp", "0"))
    except ValueError:
        return None
    details = " ".join(
        f"{key}={value}" for key, value in fields.items() if key not in _HIDDEN
    )
    return Step(
        at_s, fields.get("process", "?"), fields.get("event", "?"), details
    )
