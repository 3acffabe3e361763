from __future__ import annotations

import itertools

import pytest

from marlramp.core.weights import origin_retry_slots

PIECE_MS = 40.0
NAMED_MS = 1_000.0
AFTER_MS = 9_000.0
MISSING = [3, 8, 9, 40, 41]
CYCLE_MS = len(MISSING) * PIECE_MS


def slot_ms(index: int, after_ms: float = AFTER_MS, rank: int = 0) -> float:
    return origin_retry_slots.next_slot_ms(
        index, MISSING, PIECE_MS, NAMED_MS, after_ms, rank
    )


def test_slots_of_missing_pieces_follow_each_other() -> None:
    slots = sorted(slot_ms(index) for index in MISSING)
    waits = [later - slot for slot, later in itertools.pairwise(slots)]
    assert waits == [PIECE_MS] * (len(MISSING) - 1)
    assert slots[0] - AFTER_MS < PIECE_MS
    assert slots[-1] - AFTER_MS < CYCLE_MS


@pytest.mark.parametrize("after_ms", [0.0, 1_000.0, 5_010.0, 9_199.0])
def test_slots_are_in_the_order_of_the_pieces(
    after_ms: float,
) -> None:
    # Whichever piece is fetched first after an outage, the next piece follows.
    slots = sorted((slot_ms(index, after_ms), index) for index in MISSING)
    order = [index for _, index in slots]
    first = order.index(MISSING[0])
    assert order[first:] + order[:first] == MISSING


def test_piece_has_a_slot_in_each_cycle() -> None:
    slot = slot_ms(9)
    assert slot_ms(9, slot) == slot
    assert slot_ms(9, slot + 1.0) == slot + CYCLE_MS


def test_next_entry_waits_for_the_first_to_announce_its_piece() -> None:
    after_ms = slot_ms(9)
    wait_ms = slot_ms(9, after_ms, rank=1) - after_ms
    assert wait_ms == origin_retry_slots.RANK_OFFSET_PIECES * PIECE_MS


def test_piece_with_a_known_holder_has_a_slot() -> None:
    # The piece may be lost together with the process that held it.
    assert slot_ms(10) == slot_ms(40)


def test_slots_without_missing_pieces_are_one_piece_apart() -> None:
    slot = origin_retry_slots.next_slot_ms(5, [], PIECE_MS, NAMED_MS, AFTER_MS)
    assert 0.0 <= slot - AFTER_MS < PIECE_MS
