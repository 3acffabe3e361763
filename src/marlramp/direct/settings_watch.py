"""Notices changes of the settings file, signalled or not."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from marlramp import clock
from marlramp import logs
from marlramp.settings import node

CHECK_MS = 1_000.0
"""Between two looks at the file: it may change without a signal."""


class SettingsWatch:
    """Reads the settings anew and hands over what changed."""

    def __init__(
        self,
        load: Callable[[], node.NodeSettings],
        current: node.NodeSettings,
        apply: Callable[[node.NodeSettings], None],
    ) -> None:
        """Starts from the settings in force."""
        self._load = load
        self._current = current
        self._apply = apply
        self._refused: list[str] = []

    def check(self, reason: str) -> None:
        """Reads the file; a file that can't be used changes nothing."""
        try:
            read = self._load()
        except node.NodeSettingsError as error:
            if error.problems != self._refused:
                logs.log("settings_refused", reason=reason, detail=error)
            self._refused = error.problems
            return
        self._refused = []
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
        """Looks at the file for ever."""
        while True:
            await asyncio.sleep(CHECK_MS / clock.MILLIS_PER_SECOND)
            self.check("changed")
