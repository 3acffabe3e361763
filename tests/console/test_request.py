from __future__ import annotations

import pathlib

import pytest

from marlramp.console import exit_codes
from marlramp.console.commands import check
from marlramp.console.commands import request
from tests.platform import test_settings

LINES = [
    'event=request_failed request=a1 kind=no_upstream detail="No upstream '
    'serves this service now." timestamp=12.5 process=entry-1',
    "event=attempt_failed request=a1 replica=i-1 timestamp=12.1 "
    "process=entry-1",
    "event=request_served request=a11 timestamp=12.2 process=entry-2",
    "event=member_up vm=entry-2 timestamp=1.0 process=entry-1",
    'event=request_failed request=a1 detail="unended timestamp=9',
]


def test_steps_of_a_request_are_sorted_by_time() -> None:
    steps = request.find_steps("a1", LINES)
    assert [step.event for step in steps] == [
        "attempt_failed",
        "request_failed",
    ]
    assert "detail=No upstream serves this service now." in steps[1].details


def test_request_without_log_lines_is_reported(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    assert request.request("a1", log) == exit_codes.ExitCode.OK
    assert request.request("zz", log) != exit_codes.ExitCode.OK
    assert request.request("a1", tmp_path / "absent") != exit_codes.ExitCode.OK
    assert "zz" in capsys.readouterr().err


def test_platform_settings_are_checked(tmp_path: pathlib.Path) -> None:
    file = tmp_path / "local.conf"
    file.write_text(test_settings.ENTRY)
    kind = check.Kind.PLATFORM
    assert check.check([file], kind=kind) == exit_codes.ExitCode.OK
    file.write_text("node_name=x\n")
    assert (
        check.check([file], kind=kind) == exit_codes.ExitCode.SETTINGS_REFUSED
    )
