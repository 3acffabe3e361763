"""Bounds on the bytes that many holders have together."""

from __future__ import annotations

from marlramp.shell import shared_bytes


class Holder:
    """Holds bytes until it is evicted."""

    def __init__(
        self, size: int, rank: float = 0.0, *, releases: bool = True
    ) -> None:
        self.size = size
        self.rank = rank
        self.evicted = False
        self._releases = releases

    def evict(self, held: shared_bytes.SharedBytes[Holder]) -> None:
        self.evicted = True
        if self._releases:
            self.size = 0
        held.record(self)


def shared(
    bytes_max: int, evict_to_share: float = 1.0, *, ranked: bool = False
) -> shared_bytes.SharedBytes[Holder]:
    held: shared_bytes.SharedBytes[Holder] = shared_bytes.SharedBytes(
        bytes_max,
        lambda holder: holder.size,
        lambda holder: holder.evict(held),
        (lambda holder: holder.rank) if ranked else None,
        evict_to_share,
    )
    return held


def record_all(
    held: shared_bytes.SharedBytes[Holder], *holders: Holder
) -> list[bool]:
    for holder in holders:
        held.record(holder)
    return [holder.evicted for holder in holders]


def test_holder_of_most_bytes_is_evicted_beyond_the_limit() -> None:
    held = shared(100)
    evicted = record_all(held, Holder(30), Holder(60), Holder(10), Holder(1))
    assert evicted == [False, True, False, False]
    assert held.total_bytes == 41


def test_highest_rank_is_evicted_first_down_to_the_share() -> None:
    held = shared(100, 0.6, ranked=True)
    evicted = record_all(
        held, Holder(40, 1.0), Holder(30, 3.0), Holder(20, 2.0), Holder(20)
    )
    assert evicted == [False, True, True, False]


def test_holder_without_a_rank_keeps_its_bytes() -> None:
    held = shared(100, ranked=True)
    fixed = Holder(90, shared_bytes.NOT_EVICTABLE)
    assert record_all(held, fixed, Holder(20, 1.0)) == [False, True]
    assert held.total_bytes == 90


def test_holder_that_releases_nothing_is_evicted_once() -> None:
    """Guards against an endless loop over bytes that stay."""
    held = shared(10)
    assert record_all(held, Holder(20, releases=False)) == [True]
    assert held.total_bytes == 20


def test_holder_is_measured_anew_before_any_is_evicted() -> None:
    held = shared(100)
    first = Holder(90)
    held.record(first)
    first.size = 1
    assert record_all(held, Holder(50)) == [False]
    assert held.total_bytes == 51


def test_bytes_fit_beside_those_that_can_not_be_evicted() -> None:
    held = shared(100, ranked=True)
    record_all(held, Holder(50, shared_bytes.NOT_EVICTABLE), Holder(40, 1.0))
    fixed = {50: 50}
    assert held.fits_beside(50, lambda holder: fixed.get(holder.size, 0))
    assert not held.fits_beside(51, lambda holder: fixed.get(holder.size, 0))


def test_forgotten_holder_counts_no_more() -> None:
    held = shared(100)
    holder = Holder(60)
    held.record(holder)
    held.forget(holder)
    held.forget(holder)
    assert held.total_bytes == 0
