"""`marlramp paused`: replicas that leave, pause or refuse requests."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from marlramp.console import page_client
from marlramp.direct import pause_pages


def _cells(row: pause_pages.PauseRow) -> tuple[object, ...]:
    return (
        row.replica,
        row.service,
        row.state.value,
        "" if row.age_ms is None else row.age_ms,
        "" if row.opens_in_ms is None else row.opens_in_ms,
        row.refusals,
    )


_PAGE = page_client.TablePage(
    pause_pages.PAUSES_PATH,
    list[pause_pages.PauseRow],
    "Replicas that leave, pause or refuse requests",
    ["replica", "service", "state", "age ms", "opens ms", "refusals"],
    _cells,
)


def paused(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the replicas that leave, pause or refuse requests.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    return _PAGE.show(entry, json=json)
