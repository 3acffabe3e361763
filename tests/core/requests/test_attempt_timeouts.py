from __future__ import annotations

import msgspec
import pytest

from marlramp.core.requests import attempt_timeouts

STREAM = attempt_timeouts.PendingAttempt(
    streaming=True,
    begun=False,
    may_repeat=True,
    received_ms=1_000.0,
    ends_ms=7_000.0,
    progress_ms=1_010.0,
    heard_ms=float("-inf"),
    gap_timeout_ms=2_400.0,
    predicted_ms=200.0,
    begins_until_ms=float("inf"),
)


def deadline(**changes: object) -> float:
    attempt = msgspec.structs.replace(STREAM, **changes)
    return attempt_timeouts.deadline_ms(attempt)


def silent_from(**changes: object) -> float:
    attempt = msgspec.structs.replace(STREAM, **changes)
    return attempt_timeouts.silent_from_ms(attempt)


@pytest.mark.parametrize("may_repeat", [True, False])
def test_request_without_events_is_given_up_before_the_next_version_is_due(
    may_repeat: bool,
) -> None:
    ends_ms = deadline(may_repeat=may_repeat, begins_until_ms=1_350.0)
    assert ends_ms == 1_350.0


def test_stream_that_has_begun_continues_after_the_next_version_is_due() -> (
    None
):
    assert (
        deadline(begun=True, may_repeat=False, begins_until_ms=1_350.0) == 7_000
    )
    assert deadline(begun=True, begins_until_ms=1_350.0) == 7_000


def test_silence_ends_no_attempt_before_its_time() -> None:
    for begun in (True, False):
        for streaming in (True, False):
            assert deadline(begun=begun, streaming=streaming) == 7_000.0


def test_replica_that_serves_others_counts_as_silent_later() -> None:
    silent_ms = silent_from()
    busy_ms = silent_from(heard_ms=1_600.0)
    assert silent_ms == 1_010.0 + attempt_timeouts.STALL_FLOOR_MS
    assert busy_ms == 1_600.0 + attempt_timeouts.STALL_FLOOR_MS
    assert silent_from(heard_ms=6_000.0) < 3_000.0


def test_request_that_may_run_only_once_is_not_tried_elsewhere() -> None:
    assert silent_from(may_repeat=False) == float("inf")
    assert deadline(may_repeat=False) == 7_000.0
    plain_ms = silent_from(streaming=False)
    assert plain_ms == 1_010.0 + attempt_timeouts.PLAIN_STALL_SHARE * 6_000.0
