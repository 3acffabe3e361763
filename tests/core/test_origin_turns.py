from __future__ import annotations

import itertools

import pytest

from marlramp.core import origin_turns

PIECE_MS = 40.0
NAMED_MS = 1_000.0
AFTER_MS = 9_000.0
MISSING = [3, 8, 9, 40, 41]
ROUND_MS = len(MISSING) * PIECE_MS


def turn_ms(index: int, after_ms: float = AFTER_MS, rank: int = 0) -> float:
    return origin_turns.next_turn_ms(
        index, MISSING, PIECE_MS, NAMED_MS, after_ms, rank
    )


def test_one_missing_piece_has_its_turn_at_a_time() -> None:
    turns = sorted(turn_ms(index) for index in MISSING)
    waits = [later - turn for turn, later in itertools.pairwise(turns)]
    assert waits == [PIECE_MS] * (len(MISSING) - 1)
    assert turns[0] - AFTER_MS < PIECE_MS
    assert turns[-1] - AFTER_MS < ROUND_MS


@pytest.mark.parametrize("after_ms", [0.0, 1_000.0, 5_010.0, 9_199.0])
def test_turns_follow_each_other_in_the_order_of_the_pieces(
    after_ms: float,
) -> None:
    """Whichever finds the origin back first, the next one comes behind it."""
    turns = sorted((turn_ms(index, after_ms), index) for index in MISSING)
    order = [index for _, index in turns]
    first = order.index(MISSING[0])
    assert order[first:] + order[:first] == MISSING


def test_piece_has_a_turn_in_each_round() -> None:
    turn = turn_ms(9)
    assert turn_ms(9, turn) == turn
    assert turn_ms(9, turn + 1.0) == turn + ROUND_MS


def test_next_in_order_lets_the_first_tell_of_its_piece() -> None:
    after_ms = turn_ms(9)
    wait_ms = turn_ms(9, after_ms, rank=1) - after_ms
    assert wait_ms == origin_turns.RANK_PIECES * PIECE_MS


def test_piece_that_somebody_holds_has_a_turn_too() -> None:
    """It may be gone with who held it."""
    assert turn_ms(10) == turn_ms(40)


def test_without_missing_pieces_turns_are_a_piece_apart() -> None:
    turn = origin_turns.next_turn_ms(5, [], PIECE_MS, NAMED_MS, AFTER_MS)
    assert 0.0 <= turn - AFTER_MS < PIECE_MS
