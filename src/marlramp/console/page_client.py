"""Reads and shows the pages that a daemon serves on its metrics port."""

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
    """A page of rows, and how they are shown.

    Attributes:
      path: its path.
      rows_type: what the page is decoded to.
      title: title of the table.
      columns: titles of the columns.
      cells: returns the cells of a row.
    """

    def __init__(
        self,
        path: str,
        rows_type: type[list[Row]],
        title: str,
        columns: list[str],
        cells: Callable[[Row], tuple[object, ...]],
    ) -> None:
        """Describes a page."""
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
          query: what the page is asked for, None for all of it.

        Returns:
          The exit code.
        """
        refused = refuse_other_urls(entry)
        if refused is not None:
            return refused
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
    """Prints why a page was refused; returns the exit code.

    Only a refusal of what was asked for is a fault of the usage. A daemon
    without the page refuses with an empty body.
    """
    reason = error.read().decode(errors="replace")
    output.print_error(f"{entry}: {reason or error}")
    if reason and error.code in _USAGE_STATUSES:
        return int(exit_codes.ExitCode.USAGE)
    return int(exit_codes.ExitCode.UNREACHABLE)


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
