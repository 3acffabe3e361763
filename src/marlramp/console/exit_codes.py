"""Exit codes of the command-line tool."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """Exit code of a command."""

    OK = 0
    USAGE = 1
    UNREACHABLE = 2
    SETTINGS_REFUSED = 3
    NOT_HELD = 4
    UNAUTHORIZED = 5
