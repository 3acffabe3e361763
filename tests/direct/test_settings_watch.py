from __future__ import annotations

import msgspec

from marlramp.direct import settings_watch
from marlramp.settings import node
from tests.direct import conftest


def test_changed_settings_are_applied_and_invalid_ones_are_not() -> None:
    current = conftest.SETTINGS
    bounds = msgspec.structs.replace(current.bounds, retry_ratio=0.1)
    changed = msgspec.structs.replace(current, bounds=bounds)
    reads: list[node.NodeSettings | Exception] = [
        current,
        node.NodeSettingsError(["ip: is missing"]),
        changed,
        changed,
    ]
    applied: list[node.NodeSettings] = []

    def load() -> node.NodeSettings:
        read = reads.pop(0)
        if isinstance(read, Exception):
            raise read
        return read

    watch = settings_watch.SettingsWatch(load, current, applied.append)
    for _ in range(4):
        watch.check("SIGHUP")
    assert applied == [changed]
