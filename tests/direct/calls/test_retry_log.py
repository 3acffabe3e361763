from __future__ import annotations

from typing import TypeAlias

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.requests import retry_share
from marlramp.direct.calls import retry_log

Logged: TypeAlias = list[tuple[str, dict[str, object]]]

SERVICE = ids.ServiceId("s")


@pytest.fixture
def totals() -> counters.Counters:
    return counters.Counters()


@pytest.fixture
def log(
    totals: counters.Counters, time: clock.ManualClock
) -> retry_log.RetryLog:
    return retry_log.RetryLog(totals, time)


def test_spent_and_denied_retries_share_one_line_a_second(
    log: retry_log.RetryLog,
    totals: counters.Counters,
    logged: Logged,
    time: clock.ManualClock,
) -> None:
    for _ in range(10):
        log.record_request(SERVICE)
        log.record_spent(SERVICE, retry_share.RetrySource.SLACK)
        log.record_denied(SERVICE)
        time.advance(100.0)
        log.tick(entries=6)
    (line,) = logged
    event, fields = line
    assert event == "retry_budget"
    assert fields["requests"] == fields["by_slack"] == fields["denied"] == 10
    assert fields["by_ratio"] == 0
    assert fields["period_ms"] == fields["age_ms"] == 1_000
    assert totals.total(counters.CounterName.RETRY_BUDGET, "denied") == 10


def test_service_without_retries_has_no_line(
    log: retry_log.RetryLog, logged: Logged, time: clock.ManualClock
) -> None:
    log.record_request(SERVICE)
    time.advance(60_000.0)
    log.tick(entries=6)
    assert not logged
