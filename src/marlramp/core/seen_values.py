"""Remembers the last value of each key, so that each is told once."""

from __future__ import annotations

KEYS_MAX = 256
"""Keys remembered; all are forgotten together once there are more."""


class SeenValues:
    """The last value of each key."""

    def __init__(self) -> None:
        """Remembers none."""
        self._values: dict[str, str] = {}

    def is_new(self, key: str, value: str) -> bool:
        """Takes a value; returns whether it is another than the last one."""
        if self._values.get(key) == value:
            return False
        if len(self._values) >= KEYS_MAX:
            self._values.clear()
        self._values[key] = value
        return True
