"""Decodes the platform's settings file, which has lines of `key=value`."""

from __future__ import annotations

from collections.abc import Callable
import os
import pathlib
from typing import TypeVar

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.settings import node

Value = TypeVar("Value")

SETTINGS_VARIABLE = "MARLRAMP_SETTINGS"
"""Environment variable that holds the path of the settings file."""

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000
_BYTES_PER_MEGABYTE = 1_000_000
_ZONE_PREFIX = "zones."

FILE_DESCRIPTORS = 200
"""Descriptors of a process that the platform reserves for files."""


def settings_path() -> pathlib.Path | None:
    """Returns the path that the platform set, None if it set none."""
    value = os.environ.get(SETTINGS_VARIABLE)
    return pathlib.Path(value) if value else None


def read(path: pathlib.Path) -> node.NodeSettings:
    """Returns the settings in a file.

    Raises:
      NodeSettingsError: if the file can't be read, or fields are missing or
        invalid; it lists all such fields.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise node.NodeSettingsError([f"{path}: {error}"]) from error
    return decode(text)


def decode(text: str) -> node.NodeSettings:
    """Returns the settings in the text of a file; unknown fields are ignored.

    Raises:
      NodeSettingsError: if fields are missing or invalid; it lists all of them.
    """
    reader = _FieldReader(text)
    settings = _decode_node(reader)
    if reader.problems:
        raise node.NodeSettingsError(reader.problems)
    return settings


class _FieldReader:
    """Reads the fields of a file and collects the problems found in them."""

    def __init__(self, text: str) -> None:
        self.problems: list[str] = []
        self.fields: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            key, equals, value = line.partition("=")
            if not equals:
                self.problems.append(f"line {number}: no '=' in {line!r}")
                continue
            self.fields[key.strip()] = value.strip()

    def text(self, key: str) -> str:
        value = self.fields.get(key, "")
        if not value:
            self.problems.append(f"{key}: is missing")
        return value

    def parsed(
        self, key: str, parse: Callable[[str], Value], default: Value
    ) -> Value:
        text = self.text(key)
        if not text:
            return default
        try:
            return parse(text)
        except ValueError as error:
            self.problems.append(f"{key}: {error}, got {text!r}")
            return default

    def number(self, key: str) -> float:
        return self.parsed(key, _non_negative, 1.0)

    def number_or(self, key: str, default: float) -> float:
        if key not in self.fields:
            return default
        return self.parsed(key, _non_negative, default)

    def count_or(self, key: str, default: int) -> int:
        if key not in self.fields:
            return default
        return self.parsed(key, _count, default)

    def address(self, key: str) -> node.Address:
        return self.parsed(key, node.Address.parse, node.Address("", 0))


def _non_negative(text: str) -> float:
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError("must be a finite number of at least 0")
    return value


def _count(text: str) -> int:
    if not (text.isascii() and text.isdigit()):
        raise ValueError("must be an integer of at least 0")
    return int(text)


def _addresses(text: str) -> list[node.Address]:
    return [node.Address.parse(part) for part in text.split(",") if part]


def _ports(text: str) -> tuple[int, int]:
    first, _, last = text.partition(",")
    return int(first), int(last)


def _role(reader: _FieldReader) -> node.NodeRole:
    roles = reader.text("serves").split(",")
    return node.NodeRole.AGENT if roles == ["side"] else node.NodeRole.ENTRY


def _decode_node(reader: _FieldReader) -> node.NodeSettings:
    role = _role(reader)
    agent = role is node.NodeRole.AGENT
    megabits = reader.number("limits.link_mbps")
    return node.NodeSettings(
        vm_id=ids.VmId(reader.text("node_name")),
        role=role,
        host=reader.text("ip"),
        data_centre=ids.DataCentreId(reader.text("zone")),
        region=reader.text("region"),
        regions={
            key.removeprefix(_ZONE_PREFIX): value
            for key, value in reader.fields.items()
            if key.startswith(_ZONE_PREFIX)
        },
        seeds=reader.parsed("seed_nodes", _addresses, []),
        own_ports=reader.parsed("port_range", _ports, (0, 0)),
        store=reader.address("platform.address"),
        heartbeat_ms=reader.number("heartbeat_ms"),
        link_bytes_per_s=megabits * _BITS_PER_MEGABIT / _BITS_PER_BYTE,
        bounds=_decode_bounds(reader),
        entry=None if agent else _decode_entry(reader),
        replica=reader.address("app") if agent else None,
        replica_service=ids.ServiceId(reader.fields.get("service", "")),
        fault_tolerance=node.FaultTolerance(
            vms=reader.count_or("fault_tolerance.max_node_loss", 0),
            data_centres=reader.count_or("fault_tolerance.zones", 0),
            regions=reader.count_or("fault_tolerance.max_region_loss", 0),
        ),
        vm_limits=_decode_vm_limits(reader),
    )


def _decode_vm_limits(reader: _FieldReader) -> node.VmLimits:
    """Returns the limits of the process; those that are 0 are not known."""
    memory_mb = reader.number_or("limits.memory_mb", 0.0)
    descriptors = reader.count_or("limits.max_fds", 0)
    limits = node.VmLimits()
    if memory_mb:
        memory_bytes = round(memory_mb * _BYTES_PER_MEGABYTE)
        limits = msgspec.structs.replace(limits, memory_bytes=memory_bytes)
    if descriptors:
        sockets_max = max(1, descriptors - FILE_DESCRIPTORS)
        limits = msgspec.structs.replace(limits, sockets_max=sockets_max)
    return limits


def _decode_entry(reader: _FieldReader) -> node.EntryAddresses:
    return node.EntryAddresses(
        callers=reader.address("listen.frontend"),
        ready=reader.address("listen.ready"),
        lookup=reader.address("listen.directory_addr"),
        control=reader.address("listen.control_plane"),
    )


def _decode_bounds(reader: _FieldReader) -> node.Bounds:
    second_ms = clock.MILLIS_PER_SECOND
    return node.Bounds(
        drain_ms=reader.number("bounds.drain_ms"),
        grace_ms=reader.number("bounds.grace_s") * second_ms,
        config_apply_ms=reader.number("bounds.config_apply_ms"),
        version_ms=reader.number("bounds.version_ms"),
        retry_ratio=reader.number("bounds.retry_ratio"),
        retry_window_ms=reader.number("bounds.retry_window_s") * second_ms,
        retry_slack=reader.number("bounds.budget_slack"),
        lookup_ttl_max_ms=reader.number("bounds.ttl_max_s") * second_ms,
        evacuate_ms=reader.number_or("bounds.evacuate_ms", 0.0),
        cold_overshoot=reader.number_or("bounds.cold_overshoot", 1.0),
        cold_burst=reader.number_or("bounds.cold_burst", 0.0),
    )
