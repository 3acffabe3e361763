from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import assembly

V1 = ids.VersionId("v1")


def parts(count: int) -> list[assembly.Part]:
    return [
        assembly.Part(seq, bytes([seq]), V1, seq == count - 1)
        for seq in range(count)
    ]


@given(order=strategies.permutations(parts(6)))
def test_parts_in_any_order_give_the_complete_answer(
    order: list[assembly.Part],
) -> None:
    answer = assembly.Assembly()
    delivered = [p for part in order for p in answer.add(part)]
    assert delivered == parts(6)
    assert answer.complete


def test_duplicates_are_delivered_once() -> None:
    answer = assembly.Assembly()
    first = parts(3)[0]
    assert answer.add(first) == [first]
    assert answer.add(first) == []


def test_missing_part_keeps_the_answer_incomplete() -> None:
    answer = assembly.Assembly()
    for part in (parts(3)[0], parts(3)[2]):
        answer.add(part)
    assert not answer.complete
    assert answer.has_gap


def test_parts_of_two_versions_are_refused() -> None:
    answer = assembly.Assembly()
    answer.add(parts(3)[0])
    with pytest.raises(errors.CallError) as caught:
        answer.add(assembly.Part(1, b"x", ids.VersionId("v2")))
    assert caught.value.kind is errors.ErrorKind.VERSION_CHANGED
