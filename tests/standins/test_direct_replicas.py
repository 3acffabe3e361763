from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
import pytest

from standins import direct_replicas
from standins import direct_store


@pytest.mark.parametrize(
    ("age_s", "missing"), [(0.0, []), (direct_replicas.ROT_EXCUSED_S, [3])]
)
def test_recently_corrupted_piece_is_not_missing(
    monkeypatch: pytest.MonkeyPatch, age_s: float, missing: list[int]
) -> None:
    """Guards against reporting a load that the grace period excuses."""

    async def main() -> None:
        engine = direct_replicas.Engine(
            "i-0", "127.0.0.1", direct_store.Store(), weights=1
        )
        engine.rot(3)
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        monkeypatch.setattr(loop, "time", lambda: now_s + age_s + 0.1)
        assert engine.missing(1) == missing

    asyncio.run(main())


def test_replica_reports_how_much_longer_it_is_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against cold-start checks that never see a cold replica."""
    store = direct_store.Store()
    desk = direct_replicas.PlainReplica(
        "d-0", "127.0.0.1", store, cold_start_s=4.0
    )
    desk.register()
    now_s = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now_s)
    assert decode_item(store, "servers/d-0")["cold_left_ms"] == 0
    desk.restart()
    now_s += 1.0
    desk.renew()
    assert decode_item(store, "servers/d-0")["cold_left_ms"] == 3_000
    now_s += 4.0
    desk.renew()
    assert decode_item(store, "servers/d-0")["cold_left_ms"] == 0


def decode_item(store: direct_store.Store, key: str) -> dict[str, Any]:
    found = msgspec.json.decode(store.data(key))
    assert isinstance(found, dict)
    return found
