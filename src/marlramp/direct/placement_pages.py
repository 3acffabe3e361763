"""Operators' pages that show where requests may run.

One page lists the evacuated data centres, the other one the regions that the
routes of a host allow.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Mapping
import urllib.parse

import msgspec

from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import route_table
from marlramp.core.replicas import replica_table
from marlramp.direct import page_server

EVACUATIONS_PATH = "/evacuations"
REGIONS_PATH = "/regions"

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_JSON = b"application/json"
_TEXT = b"text/plain"


class EvacuationRow(msgspec.Struct, frozen=True, kw_only=True):
    """An evacuated data centre, as known to this entry.

    Attributes:
      data_centre: the data centre.
      region: region of the data centre.
      revision: the store's revision at which the evacuation started.
      replicas: number of listed replicas there.
      in_flight: number of this entry's requests that still run there.
    """

    data_centre: str
    region: str
    revision: int
    replicas: int
    in_flight: int


class RegionRow(msgspec.Struct, frozen=True, kw_only=True):
    """The regions that a route allows, with the replicas of one service.

    Attributes:
      route: name of the route.
      path_prefix: prefix of the route's paths.
      service: a service that the route leads to.
      regions: the regions in which requests may be served.
      restricted: whether the route or the customer restricts the regions.
      replicas: number of listed replicas of the service in these regions, by
        region.
      evacuated: number of these replicas in evacuated data centres.
    """

    route: str
    path_prefix: str
    service: str
    regions: list[str]
    restricted: bool
    replicas: dict[str, int]
    evacuated: int


def evacuation_rows_of(
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    regions: Mapping[str, str],
) -> list[EvacuationRow]:
    """Returns the evacuated data centres, ordered by name."""
    replicas: collections.Counter[str] = collections.Counter()
    in_flight: collections.Counter[str] = collections.Counter()
    for view in table:
        replicas[view.replica.data_centre] += 1
        in_flight[view.replica.data_centre] += view.in_flight
    return [
        EvacuationRow(
            data_centre=data_centre,
            region=regions.get(data_centre, ""),
            revision=known.evacuation_revision(data_centre),
            replicas=replicas[data_centre],
            in_flight=in_flight[data_centre],
        )
        for data_centre in sorted(known.evacuated)
    ]


class RegionViews:
    """The regions that routes and customers allow, and the replicas there."""

    def __init__(
        self,
        routes: route_table.RouteTable,
        known: catalog.Catalog,
        table: replica_table.ReplicaTable,
        regions: Mapping[str, str],
    ) -> None:
        """Creates the views.

        Args:
          routes: the routes in force.
          known: the evacuations.
          table: the replicas.
          regions: region of each data centre.
        """
        self._routes = routes
        self._evacuated = known.evacuated
        self._table = table
        self._regions = regions

    def rows_of(
        self, host: str, customer_id: ids.CustomerId | None
    ) -> list[RegionRow]:
        """Returns a row for each service of each route of a host.

        Args:
          host: host of the routes, in lower case.
          customer_id: the customer, None to show the routes alone. It has no
            effect on public routes, as for requests.
        """
        return [
            self._row(route, share.service_id, customer_id)
            for route in self._routes.routes_of(host)
            for share in route.targets
        ]

    def _row(
        self,
        route: fleet.Route,
        service_id: ids.ServiceId,
        customer_id: ids.CustomerId | None,
    ) -> RegionRow:
        allowed = self._routes.allowed_regions(
            route.host, route.path_prefix, None if route.public else customer_id
        )
        regions = set(self._regions.values()) if allowed is None else allowed
        replicas = dict.fromkeys(sorted(regions), 0)
        evacuated = 0
        for view in self._table.of(service_id):
            region = self._regions.get(view.replica.data_centre)
            if region in replicas:
                replicas[region] += 1
                evacuated += view.replica.data_centre in self._evacuated
        return RegionRow(
            route=route.name,
            path_prefix=route.path_prefix,
            service=service_id,
            regions=sorted(regions),
            restricted=allowed is not None,
            replicas=replicas,
            evacuated=evacuated,
        )


def build(
    routes: Callable[[], route_table.RouteTable | None],
    known: catalog.Catalog,
    table: replica_table.ReplicaTable,
    regions: Mapping[str, str],
) -> page_server.Pages:
    """Returns the pages.

    Args:
      routes: returns the routes in force, None before the first configuration.
      known: the evacuations.
      table: the replicas.
      regions: region of each data centre.
    """

    async def show_evacuations(_: str) -> page_server.Page:
        rows = evacuation_rows_of(known, table, regions)
        return page_server.Page(_OK, _JSON, msgspec.json.encode(rows))

    async def show_regions(query: str) -> page_server.Page:
        values = urllib.parse.parse_qs(query)
        host = values.get("host", [""])[0].lower()
        customer = values.get("customer", [""])[0]
        current = routes()
        if current is None:
            return _refusal(_UNAVAILABLE, "no configuration is in force yet")
        if not host:
            return _refusal(_BAD_REQUEST, "the host is missing")
        if not current.routes_of(host):
            return _refusal(_NOT_FOUND, f"no route has the host {host}")
        customer_id = ids.CustomerId(customer) if customer else None
        if customer_id is not None and not current.has_customer(customer_id):
            return _refusal(
                _NOT_FOUND, f"the customer {customer} is not configured"
            )
        views = RegionViews(current, known, table, regions)
        rows = views.rows_of(host, customer_id)
        return page_server.Page(_OK, _JSON, msgspec.json.encode(rows))

    return {EVACUATIONS_PATH: show_evacuations, REGIONS_PATH: show_regions}


def _refusal(status: int, text: str) -> page_server.Page:
    return page_server.Page(status, _TEXT, text.encode())
