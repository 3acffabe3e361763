"""Parses settings documents and resolves effective values."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Mapping

import msgspec

from marlramp import ids
from marlramp.settings import checking
from marlramp.settings import schema

DEFAULT_ORIGIN = "default"


class Effective(msgspec.Struct, frozen=True):
    """An effective value and its origin.

    Attributes:
      name: field of `schema.Settings`.
      value: the value in force.
      origin: level and table that set the value, or "default".
    """

    name: str
    value: object
    origin: str


def parse_document(text: str, source: str) -> schema.Tree:
    """Parses and validates a settings document.

    The result depends on the text alone, so all processes accept or refuse the
    same documents.

    Raises:
      ExceptionGroup: of `checking.SettingsError`, one for each problem.
    """
    table = checking.parse_toml(text, source)
    errors = list(checking.check_table(table, schema.Tree, source, ""))
    if table.get("schema") not in (None, schema.SCHEMA_VERSION):
        errors.append(
            checking.SettingsError(
                source, "schema", f"expected {schema.SCHEMA_VERSION}"
            )
        )
    for path, overrides in _override_tables(table):
        errors.extend(
            checking.check_overrides(overrides, schema.Settings, source, path)
        )
    if errors:
        raise ExceptionGroup("settings refused", errors)
    return msgspec.convert(table, schema.Tree)


def _override_tables(
    table: dict[str, object],
) -> Iterator[tuple[str, dict[str, object]]]:
    """Yields each table of overrides with its path, skipping malformed ones."""
    if isinstance(overrides := table.get("settings"), dict):
        yield "settings", overrides
    yield from _customer_tables("customers", table.get("customers"))
    services = table.get("services")
    if not isinstance(services, dict):
        return
    for name, service in services.items():
        if not isinstance(service, dict):
            continue
        if isinstance(overrides := service.get("settings"), dict):
            yield f"services.{name}.settings", overrides
        yield from _customer_tables(
            f"services.{name}.customers", service.get("customers")
        )


def _customer_tables(
    path: str, customers: object
) -> Iterator[tuple[str, dict[str, object]]]:
    if not isinstance(customers, dict):
        return
    for name, overrides in customers.items():
        if isinstance(overrides, dict):
            yield f"{path}.{name}", overrides


class SettingsTree:
    """Effective settings from the accepted documents of all levels."""

    def __init__(self, levels: Mapping[schema.Level, schema.Tree]) -> None:
        """Creates a tree from one document per level; levels may be missing."""
        self._levels = [
            (level, levels[level])
            for level in schema.LEVEL_ORDER
            if level in levels
        ]
        self._services = frozenset(self.service_ids())
        self._customers = frozenset(self.customer_ids())
        self._effective: dict[
            tuple[ids.ServiceId | None, ids.CustomerId | None],
            schema.Settings,
        ] = {}

    def service_ids(self) -> list[ids.ServiceId]:
        """Returns the ids of all declared services, sorted."""
        names = {name for _, tree in self._levels for name in tree.services}
        return sorted(ids.ServiceId(name) for name in names)

    def customer_ids(self) -> list[ids.CustomerId]:
        """Returns the ids of all declared customers, sorted."""
        names: set[str] = set()
        for _, tree in self._levels:
            names.update(tree.customers)
            for service in tree.services.values():
                names.update(service.customers)
        return sorted(ids.CustomerId(name) for name in names)

    def knows_customer(self, customer_id: ids.CustomerId) -> bool:
        """Returns whether any level declares a customer."""
        return customer_id in self._customers

    def service_kind(
        self, service_id: ids.ServiceId
    ) -> schema.ServiceKind | None:
        """Returns a service's kind, or None for an unknown service."""
        kind = None
        for _, tree in self._levels:
            service = tree.services.get(service_id)
            if service is not None:
                kind = service.kind or kind or schema.ServiceKind.MODEL
        return kind

    def rollout(self, service_id: ids.ServiceId) -> schema.Rollout | None:
        """Returns the rollout in force for a service, or None."""
        rollout = None
        for _, tree in self._levels:
            service = tree.services.get(service_id)
            if service is not None and service.rollout is not None:
                rollout = service.rollout
        return rollout

    def effective(
        self,
        service_id: ids.ServiceId | None = None,
        customer_id: ids.CustomerId | None = None,
    ) -> schema.Settings:
        """Returns the settings in force for a service and customer.

        Results are cached, since the tree is immutable. Unknown ids share the
        cached result for None, so that callers cannot make the cache grow
        without bound.
        """
        known_service = service_id if service_id in self._services else None
        known_customer = customer_id if customer_id in self._customers else None
        values = self._effective.get((known_service, known_customer))
        if values is None:
            merged: dict[str, object] = {}
            for _, table in self._layers(known_service, known_customer):
                merged.update(table)
            values = msgspec.convert(merged, schema.Settings)
            self._effective[known_service, known_customer] = values
        return values

    def explain(
        self,
        service_id: ids.ServiceId | None = None,
        customer_id: ids.CustomerId | None = None,
    ) -> list[Effective]:
        """Returns all effective values with their origins, sorted by name."""
        origins: dict[str, str] = {}
        for origin, table in self._layers(service_id, customer_id):
            origins.update(dict.fromkeys(table, origin))
        values = self.effective(service_id, customer_id)
        return [
            Effective(
                name, getattr(values, name), origins.get(name, DEFAULT_ORIGIN)
            )
            for name in sorted(values.__struct_fields__)
        ]

    def _layers(
        self,
        service_id: ids.ServiceId | None,
        customer_id: ids.CustomerId | None,
    ) -> Iterator[tuple[str, dict[str, object]]]:
        for level, tree in self._levels:
            yield f"{level.value}: settings", tree.settings
        for level, tree in self._levels:
            service = tree.services.get(service_id or "")
            if service is not None:
                path = f"services.{service_id}.settings"
                yield f"{level.value}: {path}", service.settings
        for level, tree in self._levels:
            if customer_id is not None and customer_id in tree.customers:
                path = f"customers.{customer_id}"
                yield f"{level.value}: {path}", tree.customers[customer_id]
        for level, tree in self._levels:
            service = tree.services.get(service_id or "")
            if service is not None and customer_id in service.customers:
                path = f"services.{service_id}.customers.{customer_id}"
                yield f"{level.value}: {path}", service.customers[customer_id]
