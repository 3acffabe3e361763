"""Which interpreters run the programs, and what the build installed for which.

Build and daemons ask this before they load anything else. An interpreter from
3.7 on can read it, so that it says what it is too old for; in place of that,
every process on every VM would end by a traceback that names neither.
"""

import os
import sys

OLDEST = (3, 11)
"""First release that runs the programs: the oldest that all locked libraries
bear. `requires-python`, lock files, checkers and README state the same one."""

MARKER = ".installed-from"
"""File in a folder of dependencies that says what it was installed from: the
digest of the lock file, the interpreter's cache tag and the machine's kind, a
line each."""

_TAG_LINE = 1
"""Line of the marker that holds the cache tag."""

EXIT_UNFIT = 1
"""Exit code of a program whose interpreter can't run it."""


def problem() -> str:
    """Returns why this interpreter can't run a daemon, "" if it can."""
    return age_problem() or _foreign_dependencies()


def age_problem() -> str:
    """Returns what release is needed if this one is too old, else ""."""
    if sys.version_info[:2] >= OLDEST:
        return ""
    needed = ".".join(map(str, OLDEST))
    return f"found {found()}, {needed} or newer is needed"


def found() -> str:
    """Returns version and path of this interpreter."""
    version = ".".join(map(str, sys.version_info[:3]))
    return f"python {version} ({sys.executable})"


def _foreign_dependencies() -> str:
    """Returns which dependencies on the path another release can load only.

    Libraries with compiled parts load in the release that installed them.
    """
    own = sys.implementation.cache_tag
    for folder in sys.path:
        tag = _installed_for(os.path.join(folder, MARKER))
        if tag not in ("", own):
            return (
                f"{folder} was installed for {tag}, found {own} ({found()}): "
                "run the build with the interpreter that runs the daemons"
            )
    return ""


def _installed_for(marker: str) -> str:
    """Returns the cache tag in a marker, "" where there is none."""
    try:
        with open(marker, encoding="utf-8") as lines:
            return lines.read().splitlines()[_TAG_LINE]
    except (OSError, ValueError, IndexError):
        return ""
