"""The packages of the core depend on each other in one direction only."""

from __future__ import annotations

import ast
from collections.abc import Iterator
import pathlib

import pytest

from marlramp import core

ROOT = pathlib.Path(core.__file__).parent

PACKAGES = [
    "configuration",
    "membership",
    "crashes",
    "weights",
    "requests",
    "replicas",
    "grant_calls",
]
"""A package may import those before it, and the modules shared by all."""

SHARED = {"bucket_digests", "rendezvous", "seen_values"}

BESIDE = {"clock", "counters", "errors", "ids", "logs"}
"""Modules outside the core that its modules may import."""


def imports(path: pathlib.Path) -> Iterator[tuple[str, str]]:
    """Yields the module and the name of each import of a module of ours."""
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                if node.module.partition(".")[0] == "marlramp":
                    yield node.module, alias.name


def test_each_module_belongs_to_a_known_package() -> None:
    folders = {path.name for path in ROOT.iterdir() if path.is_dir()}
    assert folders - {"__pycache__"} == set(PACKAGES)
    modules = {path.stem for path in ROOT.glob("*.py")}
    assert modules - {"__init__"} == SHARED


@pytest.mark.parametrize("package", PACKAGES)
def test_package_imports_only_packages_before_it(package: str) -> None:
    """Guards against circles, which hide what a decision depends on."""
    allowed = {
        f"marlramp.core.{name}"
        for name in PACKAGES[: PACKAGES.index(package) + 1]
    }
    for path in (ROOT / package).glob("*.py"):
        for module, name in imports(path):
            if module == "marlramp":
                assert name in BESIDE, path
            elif module == "marlramp.core":
                assert name in SHARED, path
            else:
                assert module in allowed, path
