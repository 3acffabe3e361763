"""Fetches and prints the pages that a daemon serves on its metrics port."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar
import urllib.error
import urllib.parse
import urllib.request

import msgspec

from marlramp.console import exit_codes
from marlramp.console import output

TIMEOUT_S = 5.0

_USAGE_STATUSES = frozenset({400, 404})

Row = TypeVar("Row")


class TablePage(Generic[Row]):
    """A page of rows and the table that displays them.

    Attributes:
      path: URL path of the page.
      rows_type: type that the page is decoded to.
      title: title of the table.
      columns: titles of the columns.
      cells: function that returns the table cells of a row.
    """

    def __init__(
        self,
        path: str,
        rows_type: type[list[Row]],
        title: str,
        columns: list[str],
        cells: Callable[[Row], tuple[object, ...]],
    ) -> None:
        """Stores the description of a page."""
        self.path = path
        self.rows_type = rows_type
        self.title = title
        self.columns = columns
        self.cells = cells

    def show(
        self, entry: str, *, json: bool, query: Mapping[str, str] | None = None
    ) -> int:
        """Prints the page of an entry.

        Args:
          entry: URL of the entry's metrics port.
          json: print JSON instead of a table.
          query: query parameters, None to request the whole page.

        Returns:
          The exit code.
        """
        exit_code = refuse_other_urls(entry)
        if exit_code is not None:
            return exit_code
        url = entry.rstrip("/") + self.path
        if query is not None:
            url += f"?{urllib.parse.urlencode(query)}"
        try:
            rows = msgspec.json.decode(call(url), type=self.rows_type)
        except urllib.error.HTTPError as error:
            return _explain_refusal(entry, error)
        except (OSError, msgspec.DecodeError) as error:
            output.print_error(f"{entry}: {error}")
            return int(exit_codes.ExitCode.UNREACHABLE)
        if json:
            output.print_json(rows)
        else:
            cells = [self.cells(row) for row in rows]
            output.print_table(self.title, self.columns, cells)
        return int(exit_codes.ExitCode.OK)


def _explain_refusal(entry: str, error: urllib.error.HTTPError) -> int:
    """Prints why the daemon rejected a request; returns the exit code.

    Only a rejected query is a usage error. A daemon that does not serve the
    page responds with the same status codes, but with an empty body.
    """
    reason = error.read().decode(errors="replace")
    output.print_error(f"{entry}: {reason or error}")
    if reason and error.code in _USAGE_STATUSES:
        return int(exit_codes.ExitCode.USAGE)
    return int(exit_codes.ExitCode.UNREACHABLE)


def call(url: str, method: str = "GET") -> bytes:
    """Returns the response body of a page.

    Raises:
      OSError: if the daemon can't be reached or rejects the request.
    """
    request = urllib.request.Request(url, method=method)
    with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
        body: bytes = response.read()
    return body


def refuse_other_urls(url: str) -> int | None:
    """Prints an error and returns the exit code if a URL is not HTTP."""
    if url.startswith("http://"):
        return None
    output.print_error(f"{url}: must be a URL that begins with http://")
    return int(exit_codes.ExitCode.USAGE)
