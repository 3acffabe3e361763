"""The plan of regression runs is read whole or refused with a reason."""

from __future__ import annotations

import pathlib

import pytest

from regression import plan


def test_plan_names_each_play_once() -> None:
    names = [play.name for play in plan.read().plays]
    assert len(set(names)) == len(names)


def test_each_score_has_worth_to_hold() -> None:
    for play in plan.read().plays:
        assert bool(play.worth) is (play.verb is plan.Verb.SCORE)


@pytest.mark.parametrize(
    "text", ["noise = ", "noise = 0.03", "noise = 0.03\nplays = []\nmore = 1"]
)
def test_file_that_is_no_plan_is_refused_by_name(
    tmp_path: pathlib.Path, text: str
) -> None:
    path = tmp_path / "other.toml"
    path.write_text(text)
    with pytest.raises(ValueError, match=r"^other\.toml: "):
        plan.read(path)
