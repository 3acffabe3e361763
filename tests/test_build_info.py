"""Tests the digest that identifies the code of a process."""

from __future__ import annotations

import pathlib

import pytest

from marlramp import build_info


@pytest.fixture
def package(tmp_path: pathlib.Path) -> pathlib.Path:
    (tmp_path / "core").mkdir()
    (tmp_path / "core" / "a.py").write_text("A = 1\n")
    return tmp_path


def test_digest_changes_with_contents_and_names(package: pathlib.Path) -> None:
    first = build_info.source_digest(package)
    (package / "core" / "a.py").rename(package / "core" / "b.py")
    second = build_info.source_digest(package)
    (package / "core" / "b.py").write_text("A = 2\n")
    assert len({first, second, build_info.source_digest(package)}) == 3


def test_digest_ignores_what_is_no_source(package: pathlib.Path) -> None:
    before = build_info.source_digest(package)
    (package / "core" / "a.pyc").write_bytes(b"compiled")
    assert build_info.source_digest(package) == before


def test_source_that_cannot_be_read_is_no_error(package: pathlib.Path) -> None:
    (package / "dangling.py").symlink_to(package / "missing")
    assert build_info.source_digest(package) == "unknown"
