from __future__ import annotations

import asyncio

import pytest

from standins import direct_replicas
from standins import direct_store


@pytest.mark.parametrize(
    ("age_s", "missing"), [(0.0, []), (direct_replicas.ROT_EXCUSED_S, [3])]
)
def test_piece_that_turned_bad_just_now_may_be_loaded(
    monkeypatch: pytest.MonkeyPatch, age_s: float, missing: list[int]
) -> None:
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
