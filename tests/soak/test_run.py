"""Runs a short soak and every seed that has violated a guarantee."""

from __future__ import annotations

import asyncio
import pathlib
import tomllib
from typing import Any

import pytest

from soak import run
from soak import schedule

REGRESSIONS = pathlib.Path(run.__file__).with_name("regressions.toml")
SHORT_RUN = [3]
"""Seeds that always run; they have few faults, which keeps the run short."""


CULPRIT_SEED = 3
LIMITED_SEED = 3
TURNING_AWAY_SEED = 3
PLACEMENT_SEED = 1
SILENT_SEED = 3
ENDLESS_SEED = 1
SPOILT_SEED = 3
FAILING_SEED = 3
"""A seed in which entries that forgot what they had spent at each restart sent
54 repeats to the engines in 10 s, of 45 that were allowed."""


def options_of(entry: dict[str, Any]) -> run.Options:
    return run.Options(
        culprit=run.Culprit(entry.get("culprit", "none")),
        silent=entry.get("mode") == "silent",
        endless=entry.get("mode") == "endless",
    )


def name_of(entry: dict[str, Any]) -> str:
    mode = entry.get("mode") or entry.get("culprit", "none")
    return f"{entry['number']}-{mode}"


def seeds() -> list[dict[str, Any]]:
    listed: list[dict[str, Any]] = tomllib.loads(REGRESSIONS.read_text())[
        "seed"
    ]
    return listed + [{"number": seed} for seed in SHORT_RUN]


@pytest.mark.parametrize("entry", seeds(), ids=name_of)
def test_seed_violates_no_guarantee(
    entry: dict[str, Any], tmp_path: pathlib.Path
) -> None:
    result = asyncio.run(
        run.play(tmp_path, entry["number"], schedule.Size(), options_of(entry))
    )
    assert result.violations == []
    assert result.served


@pytest.mark.parametrize("culprit", [run.Culprit.REQUEST, run.Culprit.PART])
def test_no_violation_with_requests_that_crash_replicas(
    tmp_path: pathlib.Path, culprit: run.Culprit
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path,
            CULPRIT_SEED,
            schedule.Size(),
            run.Options(culprit=culprit),
        )
    )
    assert result.violations == []


def test_no_violation_with_replicas_that_reject_requests(
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path,
            TURNING_AWAY_SEED,
            schedule.Size(),
            run.Options(turning_away=True),
        )
    )
    assert result.violations == []


def test_no_violation_with_replicas_that_announce_a_limit(
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path, LIMITED_SEED, schedule.Size(), run.Options(limited=True)
        )
    )
    assert result.violations == []


def test_no_violation_with_placement_constraints(
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path,
            PLACEMENT_SEED,
            schedule.Size(),
            run.Options(placement=True),
        )
    )
    assert result.violations == []


def test_no_violation_with_replicas_that_fall_silent(
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path, SILENT_SEED, schedule.Size(), run.Options(silent=True)
        )
    )
    assert result.violations == []


def test_no_violation_with_replicas_that_send_without_end(
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path, ENDLESS_SEED, schedule.Size(), run.Options(endless=True)
        )
    )
    assert result.violations == []


def test_no_violation_with_failing_replicas_beside_kills(
    tmp_path: pathlib.Path,
) -> None:
    result = asyncio.run(
        run.play(
            tmp_path,
            FAILING_SEED,
            schedule.FAILING_SIZE,
            run.Options(failing=True),
        )
    )
    assert result.violations == []
    assert result.served


def test_no_request_runs_on_corrupt_weights(tmp_path: pathlib.Path) -> None:
    result = asyncio.run(
        run.play(
            tmp_path, SPOILT_SEED, schedule.Size(), run.Options(spoilt=True)
        )
    )
    assert result.violations == []
