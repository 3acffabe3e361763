"""Tests that missed thresholds and failed runs are reported."""

from __future__ import annotations

import msgspec

from regression import plan
from regression import results

SCORE = plan.Play(
    name="site",
    site="site.toml",
    verb=plan.Verb.SCORE,
    minutes=1.0,
    worth={"quiet-1": 0.9, "scale-1": 0.6},
)
HUNT = plan.Play(
    name="hunt", site="site.toml", verb=plan.Verb.HUNT, minutes=1.0
)
PRINTED = """
day          own/srv  score  worth served refused failed  weakest part
quiet-1        24/20   1.00  0.882  0.980   0.000  0.002  worst windows 0.87
scale-1        24/20   1.00  0.571  0.854   0.058  0.030  worst windows 0.19
fresh-bf84     24/20   1.00  0.724  0.864   0.010  0.020  worst windows 0.30
GATE passed
"""


def test_worth_within_noise_passes() -> None:
    result = results.read(SCORE, 0.03, PRINTED, 0)
    assert result.problems == []
    assert result.worth == {"quiet-1": 0.882, "scale-1": 0.571}


def test_worth_below_noise_is_reported() -> None:
    result = results.read(SCORE, 0.02, PRINTED, 0)
    assert result.problems == ["scale-1: worth 0.571, held 0.600"]


def test_missing_day_is_reported() -> None:
    more = msgspec.structs.replace(SCORE, worth={"trouble-1": 0.5})
    result = results.read(more, 0.03, PRINTED, 0)
    assert result.problems == ["trouble-1 was not played"]


def test_failed_gate_and_exit_code_are_reported() -> None:
    printed = PRINTED.replace("GATE passed", "GATE failed: scale-1")
    result = results.read(SCORE, 0.03, printed, 2)
    assert result.problems == ["ended with 2", "gate failed"]


def test_hunt_passes_only_if_it_reports_no_broken_rule() -> None:
    clean = "40 days on a-site, 0 with a rule broken\n"
    assert results.read(HUNT, 0.03, clean, 0).problems == []
    broken = "40 days on a-site, 10 with a rule broken\n"
    for printed in (broken, "", "built in 0.1 s\n"):
        assert results.read(HUNT, 0.03, printed, 0).problems
