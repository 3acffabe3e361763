"""Checks whether this interpreter can run the programs and their dependencies.

The build and the daemons run this check before they import anything else. The
module is valid syntax for Python 3.7 and newer, so that an interpreter that is
too old reports both its own release and the required one. Otherwise every
process would end with a traceback that names neither.
"""

import os
import sys

OLDEST = (3, 11)
"""Oldest supported release, which is the oldest that all locked libraries
support. `requires-python`, the lock files, the settings of the checkers and the
README state the same one."""

MARKER = ".installed-from"
"""File in a directory of dependencies that records what they were installed
for. Its lines are the digest of the lock file, the cache tag of the interpreter
and the machine type."""

_CACHE_TAG_LINE = 1
"""Index of the line of the marker that holds the cache tag."""

EXIT_UNFIT = 1
"""Exit code of a program that its interpreter can't run."""


def problem() -> str:
    """Returns why this interpreter can't run the daemons, "" if it can."""
    return age_problem() or _dependency_problem()


def age_problem() -> str:
    """Returns which release is needed if this one is too old, else ""."""
    if sys.version_info[:2] >= OLDEST:
        return ""
    needed = ".".join(map(str, OLDEST))
    return f"found {found()}, {needed} or newer is needed"


def found() -> str:
    """Returns the version and path of this interpreter."""
    version = ".".join(map(str, sys.version_info[:3]))
    return f"python {version} ({sys.executable})"


def _dependency_problem() -> str:
    """Returns which directory on the path is for another release, else "".

    Libraries with compiled extension modules can only be imported by the
    release that they were installed for.
    """
    interpreter_tag = sys.implementation.cache_tag
    for folder in sys.path:
        marker_tag = _cache_tag_of(os.path.join(folder, MARKER))
        if marker_tag not in ("", interpreter_tag):
            return (
                f"{folder} was installed for {marker_tag}, "
                f"found {interpreter_tag} ({found()}): "
                "run the build with the interpreter that runs the daemons"
            )
    return ""


def _cache_tag_of(marker_path: str) -> str:
    """Returns the cache tag in a marker file, "" if there is none."""
    try:
        with open(marker_path, encoding="utf-8") as lines:
            return lines.read().splitlines()[_CACHE_TAG_LINE]
    except (OSError, ValueError, IndexError):
        return ""
