from __future__ import annotations

import pathlib

import msgspec
import pytest

from marlramp.console import application
from marlramp.console import exit_codes


def run(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str]:
    """Runs a command; returns its exit code and what it printed."""
    with pytest.raises(SystemExit) as ended:
        application.app(list(arguments))
    captured = capsys.readouterr()
    code = ended.value.code
    return int(code or 0), captured.out + captured.err


def test_check_accepts_a_good_file(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "member.toml"
    file.write_text("schema = 1\n[settings]\nretries_max = 2\n")
    code, printed = run(capsys, "check", str(file))
    assert code == exit_codes.ExitCode.OK
    assert "accepted" in printed


def test_check_names_file_key_and_expectation(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "member.toml"
    file.write_text("schema = 1\n[settings]\nretries_max = 99\nx = 1\n")
    code, printed = run(capsys, "check", str(file), str(tmp_path / "none.toml"))
    assert code == exit_codes.ExitCode.SETTINGS_REFUSED
    assert f"{file}: settings.retries_max" in printed
    assert "<= 10" in printed
    assert "settings.x: unknown key" in printed
    assert "not readable" in printed


def test_explain_shows_the_level(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "member.toml"
    file.write_text("schema = 1\n[settings]\nretries_max = 2\n")
    code, printed = run(
        capsys,
        "explain",
        "--member",
        str(file),
        "--name",
        "retries_max",
        "--json",
    )
    assert code == exit_codes.ExitCode.OK
    assert msgspec.json.decode(printed) == [
        {"name": "retries_max", "value": 2, "origin": "member: settings"}
    ]


def test_entry_that_does_not_answer(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setenv("MARLRAMP_ADMIN_KEY", "k" * 16)
    code, printed = run(capsys, "status", "--entry", "http://127.0.0.1:9")
    assert code == exit_codes.ExitCode.UNREACHABLE
    assert "127.0.0.1:9" in printed


def test_missing_key(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.delenv("MARLRAMP_ADMIN_KEY", raising=False)
    code, printed = run(capsys, "vms", "--entry", "http://127.0.0.1:9")
    assert code == exit_codes.ExitCode.UNAUTHORIZED
    assert "MARLRAMP_ADMIN_KEY" in printed
