"""`marlramp evacuations`: data centres that are evacuated."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from marlramp.console import page_client
from marlramp.direct import placement_pages


def _row_values(row: placement_pages.EvacuationRow) -> tuple[object, ...]:
    return (
        row.data_centre,
        row.region,
        row.revision,
        row.replicas,
        row.in_flight,
    )


_PAGE = page_client.TablePage(
    placement_pages.EVACUATIONS_PATH,
    list[placement_pages.EvacuationRow],
    "Evacuated data centres",
    ["data centre", "region", "revision", "replicas", "in flight"],
    _row_values,
)


def evacuations(
    entry: str,
    *,
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the data centres that an entry treats as evacuated.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      json: print JSON, for scripts.
    """
    return _PAGE.show(entry, json=json)
