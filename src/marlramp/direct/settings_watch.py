"""Applies changes of the settings file, with or without a signal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import logs
from marlramp.settings import node

CHECK_MS = 1_000.0
"""Time between two reads of the file, which may change without a signal."""


class SettingsWatch:
    """Reads the settings file again and applies changed settings."""

    def __init__(
        self,
        load: Callable[[], node.NodeSettings],
        current: node.NodeSettings,
        apply: Callable[[node.NodeSettings], None],
    ) -> None:
        """Creates a watch.

        Args:
          load: reads the settings file and returns its settings.
          current: the settings in force.
          apply: applies changed settings.
        """
        self._load = load
        self._current = current
        self._apply = apply
        self._refused_problems: list[str] = []

    def check(self, reason: str) -> None:
        """Reads the file and applies its settings if they changed.

        An unusable file changes nothing. Its problems are logged once, until
        they change or the file is usable again.

        Args:
          reason: why the file is read, for the log.
        """
        try:
            read = self._load()
        except node.NodeSettingsError as error:
            if error.problems != self._refused_problems:
                logs.log("settings_refused", reason=reason, detail=error)
            self._refused_problems = error.problems
            return
        self._refused_problems = []
        if read == self._current:
            return
        changed = [
            name
            for name in read.__struct_fields__
            if getattr(read, name) != getattr(self._current, name)
        ]
        self._current = read
        logs.log("settings_reloaded", reason=reason, fields=",".join(changed))
        self._apply(read)

    async def run(self) -> None:
        """Checks the file once per second until cancelled."""
        while True:
            await asyncio.sleep(CHECK_MS / clock.MILLIS_PER_SECOND)
            self.check("changed")
