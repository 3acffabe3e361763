"""Tests of the plays of the review's scripts."""

from __future__ import annotations

import asyncio
import pathlib

import pytest

from soak import reviews


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (0, reviews.Outcome.HELD),
        (1, reviews.Outcome.BROKEN),
        (2, reviews.Outcome.COULD_NOT_RUN),
        (127, reviews.Outcome.COULD_NOT_RUN),
    ],
)
def test_status_of_a_script_is_its_outcome(
    tmp_path: pathlib.Path, status: int, outcome: reviews.Outcome
) -> None:
    script = tmp_path / "review" / "1" / "run.sh"
    script.parent.mkdir(parents=True)
    script.write_text(f'[ "$TROUBLE" = 0 ] || exit {status}\n')
    disrupted = asyncio.run(reviews.play(script, disrupted=True))
    assert (disrupted.name, disrupted.outcome) == ("review/1", outcome)
    quiet = asyncio.run(reviews.play(script, disrupted=False))
    assert quiet.outcome is reviews.Outcome.HELD


def test_all_cases_are_found() -> None:
    names = [script.parent.name for script in reviews.scripts()]
    assert names == ["1", "2", "3", "4"]
