from __future__ import annotations

import pathlib
import re

import pytest

from marlramp.console import application
from marlramp.console.commands import reference

ROOT = pathlib.Path(__file__).parents[2]
PAGES = sorted(ROOT.glob("*.md")) + sorted((ROOT / "docs").rglob("*.md"))


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_link_targets_exist(page: pathlib.Path) -> None:
    for target in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
        assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_exist(page: pathlib.Path) -> None:
    for line in re.findall(
        r"`marlramp ([a-z]+)(?: ([a-z]+))?", page.read_text()
    ):
        command = application.app[line[0]]
        if line[0] == "experiment" and line[1]:
            assert command[line[1]]


def test_settings_page_matches_the_code() -> None:
    page = ROOT / "docs" / "settings.md"
    assert page.read_text() == reference.settings_page() + "\n"


def test_error_table_matches_the_code() -> None:
    page = (ROOT / "docs" / "callers.md").read_text()
    assert reference.errors_table() in page


def test_tests_named_in_guarantees_exist() -> None:
    page = (ROOT / "docs" / "guarantees.md").read_text()
    tests = "\n".join(
        p.read_text() for p in (ROOT / "tests").rglob("test_*.py")
    )
    for name in re.findall(r"`(test_\w+)`", page):
        assert f"def {name}(" in tests, name
