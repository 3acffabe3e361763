from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import grants

INCARNATION = ids.Incarnation(7)
ENTRY = ids.VmId("entry-0")
OTHER = ids.VmId("entry-1")


@pytest.fixture
def ledger() -> grants.GrantLedger:
    result = grants.GrantLedger(INCARNATION, 4, 5_000.0, 60_000.0)
    result.open()
    return result


def test_grant_is_consumed_once(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    number = ledger.issue(ENTRY, 1, time.now_ms())[0]
    assert ledger.consume(INCARNATION, number, ENTRY, time.now_ms()) is None
    again = ledger.consume(INCARNATION, number, OTHER, time.now_ms())
    assert again is not None
    assert again.kind is errors.ErrorKind.RUN_ALREADY_STARTED


def test_request_with_an_expired_grant_did_not_run(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    number = ledger.issue(ENTRY, 1, time.now_ms())[0]
    time.advance(5_001)
    refusal = ledger.consume(INCARNATION, number, ENTRY, time.now_ms())
    assert refusal == grants.Refusal(errors.ErrorKind.GRANT_VOID, errors.Ran.NO)


def test_token_of_earlier_incarnation_is_unknown(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    refusal = ledger.consume(
        ids.Incarnation(6),
        ids.GrantNumber(1),
        ENTRY,
        time.now_ms(),
        from_token=True,
    )
    assert refusal is not None
    assert refusal.ran is errors.Ran.UNKNOWN


def test_token_past_the_retention_time_may_have_run(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    number = ledger.reserve(ENTRY, time.now_ms())
    assert number is not None
    ledger.consume(INCARNATION, number, ENTRY, time.now_ms(), from_token=True)
    ledger.finish(number, grants.RunState.SUCCEEDED, time.now_ms())
    time.advance(grants.RUN_RETENTION_MS + 1)
    refusal = ledger.consume(
        INCARNATION, number, ENTRY, time.now_ms(), from_token=True
    )
    assert refusal is not None
    assert refusal.ran is errors.Ran.UNKNOWN


def test_cancel_that_overtakes_its_request_voids_the_grant(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    number = ledger.issue(ENTRY, 1, time.now_ms())[0]
    state = ledger.cancel(INCARNATION, number, time.now_ms())
    assert state is grants.RunState.VOID
    refusal = ledger.consume(INCARNATION, number, ENTRY, time.now_ms())
    assert refusal is not None
    assert refusal.ran is errors.Ran.NO


def test_closing_voids_outstanding_grants(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    number = ledger.issue(ENTRY, 1, time.now_ms())[0]
    ledger.close(time.now_ms())
    assert ledger.consume(INCARNATION, number, ENTRY, time.now_ms()) is not None
    assert ledger.issue(ENTRY, 4, time.now_ms()) == []


def test_busy_agent_keeps_a_reserved_grant(
    ledger: grants.GrantLedger, time: clock.ManualClock
) -> None:
    for number in ledger.issue(ENTRY, 4, time.now_ms()):
        ledger.consume(INCARNATION, number, ENTRY, time.now_ms())
    reserved = ledger.reserve(ENTRY, time.now_ms())
    assert reserved is not None
    refusal = ledger.consume(
        INCARNATION, reserved, ENTRY, time.now_ms(), from_token=True
    )
    assert refusal == grants.Refusal(
        errors.ErrorKind.UPSTREAM_BUSY, errors.Ran.NO
    )
    state = ledger.state(INCARNATION, reserved, time.now_ms())
    assert state is grants.RunState.NOT_STARTED


@given(
    capacity=strategies.integers(0, 40),
    demand=strategies.dictionaries(
        strategies.sampled_from([ids.VmId(f"e{n}") for n in range(8)]),
        strategies.integers(0, 1_000),
        max_size=8,
    ),
)
def test_shares_never_exceed_capacity(
    capacity: int, demand: dict[ids.VmId, int]
) -> None:
    shares = grants.divide_capacity(capacity, demand)
    assert sum(shares.values()) <= capacity
    assert shares.keys() == demand.keys()
    if capacity >= len(demand):
        assert all(share >= 1 for share in shares.values())


def test_records_of_an_entry_that_reserves_without_end_are_bounded(
    ledger: grants.GrantLedger,
    time: clock.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(grants, "RECORDS_MAX", 100, raising=False)
    numbers = []
    for _ in range(300):
        number = ledger.reserve(ENTRY, time.now_ms())
        assert number is not None
        ledger.cancel(INCARNATION, number, time.now_ms())
        numbers.append(number)
    states = [ledger.state(INCARNATION, n, time.now_ms()) for n in numbers]
    assert states.count(grants.RunState.VOID) == 100
    assert states[-1] is grants.RunState.VOID
