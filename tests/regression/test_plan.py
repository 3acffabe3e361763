"""Tests that invalid plans are rejected with a reason."""

from __future__ import annotations

import pathlib

import pytest

from regression import plan


def test_play_names_are_unique() -> None:
    names = [play.name for play in plan.read().plays]
    assert len(set(names)) == len(names)


def test_each_score_has_thresholds() -> None:
    for play in plan.read().plays:
        assert bool(play.worth) is (play.verb is plan.Verb.SCORE)


@pytest.mark.parametrize(
    "text", ["noise = ", "noise = 0.03", "noise = 0.03\nplays = []\nmore = 1"]
)
def test_invalid_plan_is_rejected_with_its_file_name(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "other.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"^other\.toml: "):
        plan.read(path)
