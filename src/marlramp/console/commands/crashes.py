"""`marlramp crashes`: requests that crash the replicas that run them."""

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


def crashes(
    entry: str,
    *,
    release: str = "",
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show requests suspected of crashes, or have one run again.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      release: fingerprint of a request that all entries are to run again.
      json: print JSON, for scripts.
    """
    refused = page_client.refuse_other_urls(entry)
    if refused is not None:
        return refused
    base = entry.rstrip("/")
    try:
        if release:
            return _release(base, release)
        body = page_client.call(base + crash_pages.CRASHES_PATH)
        rows = msgspec.json.decode(body, type=list[crash_pages.SuspectRow])
    except (OSError, msgspec.DecodeError) as error:
        output.print_error(f"{entry}: {error}")
        return int(exit_codes.ExitCode.UNREACHABLE)
    if json:
        output.print_json(rows)
        return int(exit_codes.ExitCode.OK)
    columns = ["fingerprint", "condemned", "strikes", "crashes"]
    cells = [
        (
            row.fingerprint,
            "yes" if row.condemned else "no",
            row.strikes,
            " ".join(row.crashes),
        )
        for row in rows
    ]
    output.print_table("Requests suspected of crashes", columns, cells)
    return int(exit_codes.ExitCode.OK)


def _release(base: str, fingerprint: str) -> int:
    query = urllib.parse.urlencode({"fingerprint": fingerprint})
    try:
        url = f"{base}{crash_pages.RELEASE_PATH}?{query}"
        body = page_client.call(url, "POST")
    except urllib.error.HTTPError as error:
        if error.code != _NOT_FOUND:
            raise
        output.print_error(f"{fingerprint}: no crash is held against it")
        return int(exit_codes.ExitCode.USAGE)
    released = msgspec.json.decode(body, type=crash_pages.Released)
    print(f"{fingerprint}: cleared of {released.crashes} crashes")
    return int(exit_codes.ExitCode.OK)
