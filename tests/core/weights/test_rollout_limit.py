from __future__ import annotations

import msgspec
import pytest

from marlramp.core.weights import rollout_limit

ROLLOUT = rollout_limit.Rollout(
    missing_bytes=2_000_000,
    origin_bytes=2_000_000,
    origin_bytes_per_s=800_000.0,
    down_bytes_per_s=400_000.0,
    up_bytes_per_s=400_000.0,
    vms=40,
    load_ms=300.0,
)


def test_slowest_of_three_links_sets_the_limit() -> None:
    own_link = rollout_limit.limit(
        msgspec.structs.replace(ROLLOUT, relay_bytes_per_s=1e9)
    )
    assert own_link.all_ms == pytest.approx(5_300.0)
    origin = rollout_limit.limit(
        msgspec.structs.replace(ROLLOUT, origin_bytes_per_s=200_000.0)
    )
    assert origin.first_ms == pytest.approx(10_300.0)
    others = rollout_limit.limit(
        msgspec.structs.replace(ROLLOUT, up_bytes_per_s=180_000.0)
    )
    assert others.first_ms == pytest.approx(5_300.0)
    assert others.all_ms == pytest.approx(10_300.0)


def test_rate_of_the_origin_does_not_limit_pieces_that_vms_hold() -> None:
    added = msgspec.structs.replace(
        ROLLOUT, origin_bytes=0, origin_bytes_per_s=1.0, vms=10, holders=30
    )
    assert rollout_limit.limit(added).all_ms == pytest.approx(5_300.0)


def test_limit_hardly_depends_on_the_size_of_the_fleet() -> None:
    times = [
        rollout_limit.limit(msgspec.structs.replace(ROLLOUT, vms=vms)).all_ms
        for vms in (10, 41, 136, 1_000)
    ]
    assert max(times) - min(times) < 500.0
