"""Fixtures and the handling of known failures, for all tests."""

from __future__ import annotations

from collections.abc import Iterator
import gc
import random

import pytest

from marlramp import clock
from tests import known_red


@pytest.fixture
def time() -> clock.ManualClock:
    """Returns a clock that only the test advances."""
    return clock.ManualClock(1_000.0)


@pytest.fixture
def rng() -> random.Random:
    """Returns a random number generator with a fixed seed."""
    return random.Random(7)


@pytest.fixture(autouse=True, scope="module")
def collect_streams() -> Iterator[None]:
    """Collects the open streams of a module's tests at its end.

    CPython 3.11 fails to compile a module if a finalizer raises meanwhile, as
    that of a stream of a closed event loop does.
    """
    yield
    gc.collect()


def _known_red() -> dict[str, str]:
    try:
        return known_red.read(known_red.FILE)
    except ValueError as error:
        raise pytest.UsageError(str(error)) from error


def pytest_configure() -> None:
    """Fails at once if the list of known failures is malformed."""
    _known_red()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks exactly the listed tests as expected failures."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid]))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the tests that are known to fail, with the cause of each."""
    for test, cause in _known_red().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")
