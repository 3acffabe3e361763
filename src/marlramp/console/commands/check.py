"""`marlramp check`: checks settings files before they are published."""

from __future__ import annotations

import enum
import pathlib
from typing import Annotated

import cyclopts
import msgspec

from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.platform import settings as platform_settings
from marlramp.settings import node
from marlramp.settings import process
from marlramp.settings import tree


class Kind(enum.Enum):
    """Kind of a settings file."""

    TREE = "tree"
    PROCESS = "process"
    PLATFORM = "platform"


class Problem(msgspec.Struct, frozen=True):
    """A problem found in a settings file, for JSON output."""

    problem: str


def check(
    files: list[pathlib.Path],
    *,
    kind: Kind = Kind.TREE,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Check settings files and report everything that is wrong.

    Args:
      files: settings files, one per level of the tree or one per process.
      kind: whether the files are documents of the settings tree, the
        settings of a process, or a platform's settings of a process.
      json: print JSON, for scripts.
    """
    problems = [problem for file in files for problem in _check(file, kind)]
    if json:
        output.print_json([Problem(text) for text in problems])
    else:
        for text in problems:
            output.print_error(text)
        if not problems:
            print(f"{len(files)} file(s) accepted")
    if problems:
        return int(exit_codes.ExitCode.SETTINGS_REFUSED)
    return int(exit_codes.ExitCode.OK)


def _check(file: pathlib.Path, kind: Kind) -> list[str]:
    try:
        if kind is Kind.PROCESS:
            process.read(file)
        elif kind is Kind.PLATFORM:
            platform_settings.read(file)
        else:
            tree.parse_document(file.read_text(encoding="utf-8"), str(file))
    except (OSError, UnicodeDecodeError) as error:
        return [f"{file}: not readable: {error}"]
    except ExceptionGroup as group:
        return [str(error) for error in group.exceptions]
    except node.NodeSettingsError as error:
        return [f"{file}: {problem}" for problem in error.problems]
    return []
