"""Fingerprints of requests."""

from __future__ import annotations

import pytest

from marlramp import ids
from marlramp.core.requests import request_fingerprint

REQUEST = ("POST", "a.example", b"/chat/x?n=1", ids.CustomerId("c"), b"text")


def test_equal_requests_have_equal_fingerprints() -> None:
    first = request_fingerprint.fingerprint(*REQUEST)
    assert first == request_fingerprint.fingerprint(*REQUEST)
    assert len(first) == 2 * request_fingerprint.FINGERPRINT_BYTES


@pytest.mark.parametrize(
    ("field", "value"),
    [
        (0, "PUT"),
        (1, "b.example"),
        (2, b"/chat/x?n=2"),
        (3, ids.CustomerId("d")),
        (3, None),
        (4, b"other"),
    ],
)
def test_fingerprint_differs_with_each_part(field: int, value: object) -> None:
    changed = list(REQUEST)
    changed[field] = value  # type: ignore[call-overload]
    first = request_fingerprint.fingerprint(*REQUEST)
    assert first != request_fingerprint.fingerprint(*changed)  # type: ignore[arg-type]


def test_bytes_that_move_between_parts_change_the_fingerprint() -> None:
    one = request_fingerprint.fingerprint("POST", "a", b"/bc", None, b"")
    two = request_fingerprint.fingerprint("POST", "a/", b"bc", None, b"")
    assert one != two
