"""`marlramp crashes`: requests and prompt parts that crash replicas."""

from __future__ import annotations

from typing import Annotated
import urllib.error
import urllib.parse

import cyclopts
import msgspec

from marlramp.console import exit_codes
from marlramp.console import output
from marlramp.console import page_client
from marlramp.direct import crash_pages

_NOT_FOUND = 404


def _cells(row: crash_pages.SuspectRow) -> tuple[object, ...]:
    return (
        row.fingerprint,
        "part" if row.part else "request",
        "yes" if row.condemned else "no",
        row.strikes,
        " ".join(row.crashes),
    )


_PAGE = page_client.TablePage(
    crash_pages.CRASHES_PATH,
    list[crash_pages.SuspectRow],
    "Crash suspects",
    ["fingerprint", "kind", "condemned", "strikes", "crashes"],
    _cells,
)


def crashes(
    entry: str,
    *,
    release: str = "",
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show requests and prompt parts suspected of crashes, or release one.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      release: fingerprint of a request, or a prompt part as MODEL/ID, that all
        entries may run again.
      json: print JSON, for scripts.
    """
    if release:
        return _release(entry, release)
    return _PAGE.show(entry, json=json)


def _release(entry: str, fingerprint: str) -> int:
    exit_code = page_client.refuse_other_urls(entry)
    if exit_code is not None:
        return exit_code
    query = urllib.parse.urlencode({"fingerprint": fingerprint})
    url = f"{entry.rstrip('/')}{crash_pages.RELEASE_PATH}?{query}"
    try:
        body = page_client.call(url, "POST")
        released = msgspec.json.decode(body, type=crash_pages.Released)
    except (OSError, msgspec.DecodeError) as error:
        return _explain(entry, fingerprint, error)
    print(f"{fingerprint}: released, {released.crashes} crashes cleared")
    return int(exit_codes.ExitCode.OK)


def _explain(entry: str, fingerprint: str, error: Exception) -> int:
    """Prints why nothing was released; returns the exit code."""
    if isinstance(error, urllib.error.HTTPError) and error.code == _NOT_FOUND:
        output.print_error(f"{fingerprint}: no crash is recorded for it")
        return int(exit_codes.ExitCode.USAGE)
    output.print_error(f"{entry}: {error}")
    return int(exit_codes.ExitCode.UNREACHABLE)
