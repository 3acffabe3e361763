"""Reports in one line the error that ends a process.

It only needs the standard library, since a process that can't import its
libraries has no log yet.
"""

from __future__ import annotations

from collections.abc import Callable
import sys
import time
import traceback

from marlramp import log_line


def describe(error: Exception, uptime_s: float) -> str:
    """Returns the log line for an error that ends a process.

    Args:
      error: the exception; of a group, the first exception is reported.
      uptime_s: time since the process began to load, in seconds.
    """
    cause = first_cause(error)
    return log_line.format_pairs(
        {
            "event": "process_failed",
            "error": repr(cause),
            "place": place_of(cause),
            "uptime_s": round(uptime_s, 3),
            "python": sys.version.split()[0],
        }
    )


def run_reported(main: Callable[[], None]) -> None:
    """Runs a program and reports an error in one line before its traceback.

    Process supervisors often keep only the first line of the error output.

    Raises:
      Exception: the exception that `main` raised.
    """
    start_s = time.monotonic()
    try:
        main()
    except Exception as error:
        uptime_s = time.monotonic() - start_s
        print(describe(error, uptime_s), file=sys.stderr, flush=True)
        raise


def first_cause(error: Exception) -> Exception:
    """Returns the first exception in nested groups, or the error itself."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    return error


def place_of(error: BaseException) -> str:
    """Returns "file:line" where an error was raised, "" if it wasn't."""
    frames = traceback.extract_tb(error.__traceback__)
    return f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
