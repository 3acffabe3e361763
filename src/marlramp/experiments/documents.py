"""Settings documents for experiments, as TOML."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeAlias

import msgspec

TRADE_BODY_KEY = "trade_body/trade-body"
MEMBER_KEY = "member/standbouw"
DEPLOYMENT_KEY = "deployment/fairs"
"""Keys of the settings documents of one example hierarchy, from the most
general level to the most specific one."""

Value: TypeAlias = str | int | float | bool


class RolloutText(msgspec.Struct, frozen=True, kw_only=True):
    """The rollout table of a service in a settings document.

    Fields that are empty are left out of the document.
    """

    model: str
    version: str
    manifest: str
    adapter: str = ""
    previous_manifest: str = ""


def base(
    customers: Sequence[str], settings: Mapping[str, Value] | None = None
) -> str:
    """Returns the document of one level of the settings hierarchy.

    Args:
      customers: names of customers, each of which gets an empty table.
      settings: settings of the level, None for none.
    """
    lines = ["schema = 1"]
    if settings:
        lines.append("[settings]")
        lines.extend(_pairs(settings))
    lines.extend(f"[customers.{customer}]" for customer in customers)
    return "\n".join(lines) + "\n"


def customer_limits(limits: Mapping[str, Mapping[str, Value]]) -> str:
    """Returns a document that sets the limits of customers."""
    lines = ["schema = 1"]
    for customer, values in limits.items():
        lines.append(f"[customers.{customer}]")
        lines.extend(_pairs(values))
    return "\n".join(lines) + "\n"


def deployment(
    models: Mapping[str, RolloutText],
    plain: Sequence[str] = (),
    settings: Mapping[str, Value] | None = None,
) -> str:
    """Returns a deployment's document with its services."""
    lines = ["schema = 1"]
    if settings:
        lines.append("[settings]")
        lines.extend(_pairs(settings))
    for service, rollout in models.items():
        lines.append(f'[services.{service}]\nkind = "model"')
        lines.append(f"[services.{service}.rollout]")
        non_empty = {
            name: value
            for name, value in msgspec.structs.asdict(rollout).items()
            if value
        }
        lines.extend(_pairs(non_empty))
    lines.extend(f'[services.{name}]\nkind = "plain"' for name in plain)
    return "\n".join(lines) + "\n"


def _pairs(values: Mapping[str, Value]) -> list[str]:
    return [f"{name} = {_literal(value)}" for name, value in values.items()]


def _literal(value: Value) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)
