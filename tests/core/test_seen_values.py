from __future__ import annotations

from marlramp.core import seen_values


def test_repeated_value_of_a_key_is_not_new() -> None:
    seen = seen_values.SeenValues()
    assert seen.is_new("i-1", "soon")
    assert not seen.is_new("i-1", "soon")
    assert seen.is_new("i-2", "soon")
    assert seen.is_new("i-1", "later")


def test_keys_are_cleared_once_there_are_too_many() -> None:
    seen = seen_values.SeenValues()
    for number in range(seen_values.KEYS_MAX):
        assert seen.is_new(f"i-{number}", "soon")
    assert seen.is_new("one more", "soon")
    assert seen.is_new("i-1", "soon")
