"""Remembers the last value of each key, so that a value is reported once."""

from __future__ import annotations

KEYS_MAX = 256
"""Maximum number of keys remembered; all are cleared once there are more."""


class SeenValues:
    """Holds the last value of each key."""

    def __init__(self) -> None:
        """Starts without any key."""
        self._values: dict[str, str] = {}

    def is_new(self, key: str, value: str) -> bool:
        """Records a value; returns whether it differs from the last one."""
        if self._values.get(key) == value:
            return False
        if len(self._values) >= KEYS_MAX:
            self._values.clear()
        self._values[key] = value
        return True
