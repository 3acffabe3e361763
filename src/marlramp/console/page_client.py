"""Reads the pages that a daemon serves on its metrics port."""

from __future__ import annotations

import urllib.request

from marlramp.console import exit_codes
from marlramp.console import output

TIMEOUT_S = 5.0


def call(url: str, method: str = "GET") -> bytes:
    """Returns the body of a page.

    Raises:
      OSError: if the daemon can't be reached or refuses.
    """
    request = urllib.request.Request(url, method=method)
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as answer:
        body: bytes = answer.read()
    return body


def refuse_other_urls(url: str) -> int | None:
    """Explains a URL that is none of a daemon; returns the exit code."""
    if url.startswith("http://"):
        return None
    output.print_error(f"{url}: must be a URL that begins with http://")
    return int(exit_codes.ExitCode.USAGE)
