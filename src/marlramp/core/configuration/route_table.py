"""Determines the route, the customer and the service of a request."""

from __future__ import annotations

from collections.abc import Iterable

from marlramp import errors
from marlramp import ids
from marlramp.core import rendezvous
from marlramp.core.configuration import fleet

_BEARER = "bearer "


class RouteTable:
    """An accepted configuration, indexed for lookups per request."""

    def __init__(self, config: fleet.FleetConfig) -> None:
        """Indexes routes by host and customers by key."""
        self.config = config
        self.services = {s.service_id: s for s in config.services}
        self._by_host: dict[str, list[fleet.Route]] = {}
        for route in config.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        self._by_key = {
            key: customer
            for customer in config.customers or []
            for key in customer.keys
        }
        self._customers = {
            customer.customer_id: customer
            for customer in config.customers or []
        }

    def find(self, host: str, path: str) -> fleet.Route:
        """Returns the route with the longest prefix of `path` at `host`.

        Raises:
          CallError: if no route matches.
        """
        route = self._match(host, path)
        if route is None:
            raise errors.CallError(errors.ErrorKind.UNKNOWN_ROUTE)
        return route

    def _match(self, host: str, path: str) -> fleet.Route | None:
        for route in self._by_host.get(host, []):
            if path.startswith(route.path_prefix):
                return route
        return None

    def customer(
        self, route: fleet.Route, authorization: str
    ) -> fleet.Customer | None:
        """Returns the customer that holds the API key of a request.

        Args:
          route: the request's route.
          authorization: value of the request's Authorization header.

        Returns:
          None for a public route or without customers in the configuration.

        Raises:
          CallError: if the route needs a key and the header holds no known one.
        """
        if route.public or self.config.customers is None:
            return None
        key = ""
        if authorization[: len(_BEARER)].lower() == _BEARER:
            key = authorization[len(_BEARER) :].strip()
        found = self._by_key.get(key)
        if found is None:
            raise errors.CallError(errors.ErrorKind.UNAUTHORIZED)
        return found

    def routes_of(self, host: str) -> list[fleet.Route]:
        """Returns the routes of a host, those with the longest prefix first."""
        return self._by_host.get(host, [])

    def has_customer(self, customer_id: ids.CustomerId) -> bool:
        """Returns whether a customer is configured."""
        return customer_id in self._customers

    def allowed_regions(
        self,
        host: str,
        path: str,
        customer_id: ids.CustomerId | None,
        last: frozenset[str] | None = None,
    ) -> frozenset[str] | None:
        """Returns the regions that the route and the customer both allow.

        A removed route or customer has no list here. A request that still
        waits stays within the regions that it was last allowed.

        Args:
          host: host of the request.
          path: path of the request.
          customer_id: the customer, None if there is none.
          last: regions that were last allowed, None for all.

        Returns:
          None if all regions are allowed; no region if the two lists have none
          in common.
        """
        route = self._match(host, path)
        customer = None
        if customer_id is not None:
            customer = self._customers.get(customer_id)
        lists = [
            source.allowed_regions
            for source in (route, customer)
            if source is not None
        ]
        found = _common_regions(lists)
        is_removed = route is None or (
            customer is None and customer_id is not None
        )
        if not is_removed or last is None:
            return found
        return last if found is None else found & last

    def allowed_regions_of_host(self, host: str) -> frozenset[str] | None:
        """Returns the regions that all routes of a host allow.

        Returns:
          None if all regions are allowed.
        """
        routes = self._by_host.get(host, [])
        return _common_regions([route.allowed_regions for route in routes])

    def service_of(self, route: fleet.Route, request_key: str) -> ids.ServiceId:
        """Returns the service for a request, chosen by the route's weights.

        Args:
          route: the request's route.
          request_key: key that always maps to one service of a route.
        """
        if len(route.targets) == 1:
            return route.targets[0].service_id
        total = sum(target.weight for target in route.targets)
        point = rendezvous.fraction(request_key) * total
        for target in route.targets:
            point -= target.weight
            if point < 0:
                return target.service_id
        return route.targets[-1].service_id


def _common_regions(
    lists: Iterable[tuple[str, ...]],
) -> frozenset[str] | None:
    """Returns the regions that all lists contain; an empty list allows all."""
    binding = [frozenset(regions) for regions in lists if regions]
    return frozenset.intersection(*binding) if binding else None
