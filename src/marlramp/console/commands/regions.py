"""`marlramp regions`: regions that a host or a customer may use."""

from __future__ import annotations

from typing import Annotated

import cyclopts

from marlramp.console import page_client
from marlramp.direct import placement_pages


def _cells(row: placement_pages.RegionRow) -> tuple[object, ...]:
    return (
        row.route,
        row.path_prefix,
        row.service,
        " ".join(row.regions) if row.restricted else "all",
        " ".join(f"{name}={count}" for name, count in row.replicas.items()),
        row.evacuated,
    )


_PAGE = page_client.TablePage(
    placement_pages.REGIONS_PATH,
    list[placement_pages.RegionRow],
    "Allowed regions",
    ["route", "path", "service", "regions", "replicas", "evacuated"],
    _cells,
)


def regions(
    entry: str,
    *,
    host: str,
    customer: str = "",
    json: Annotated[bool, cyclopts.Parameter(negative="")] = False,
) -> int:
    """Show the regions that a host may use, and the replicas there.

    Args:
      entry: URL of an entry's metrics port, such as http://10.1.0.40:9464.
      host: host of the requests.
      customer: id of a customer whose allowed regions also apply.
      json: print JSON, for scripts.
    """
    query = {"host": host, "customer": customer}
    return _PAGE.show(entry, json=json, query=query)
