"""Bounds of processor time, which load on the machine does not lengthen."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import time

EXAMPLE_MS = 200.0
"""Most processor time of one example of a property."""


@contextlib.contextmanager
def at_most(limit_ms: float) -> Iterator[None]:
    """Checks that what runs within takes no more than a processor time.

    Args:
      limit_ms: the largest processor time of the process.

    Raises:
      AssertionError: if it takes more.
    """
    begin_s = time.process_time()
    yield
    assert (time.process_time() - begin_s) * 1_000.0 < limit_ms
