from __future__ import annotations

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import swap

A = ids.VmId("vm-a")
B = ids.VmId("vm-b")
ENTRIES = [ids.VmId("entry-0"), ids.VmId("entry-1")]
REPLICAS = [swap.Replica(vm, True) for vm in (A, B, ids.VmId("vm-c"))]
START = ids.Incarnation(1)
LONG_AGO = clock.Millis(float("-inf"))


def try_issue_to(
    issuer: swap.PermitIssuer,
    vm_id: ids.VmId,
    now_ms: clock.Millis,
    number: int = 1,
    replicas: list[swap.Replica] = REPLICAS,
) -> bool:
    request = swap.PermitRequest(
        vm_id, ids.ServiceId("pool"), START, number, swap.HOLD_MIN_MS
    )
    return issuer.try_issue(
        request, replicas, 0.34, allow_sole=False, now_ms=now_ms
    )


def answer_all(
    collector: swap.PermitCollector, number: int, now_ms: clock.Millis
) -> list[bool]:
    hold_ms = collector.hold_ms
    return [
        collector.handle_answer(entry_id, number, True, hold_ms, now_ms)
        for entry_id in ENTRIES
    ]


def test_agents_that_hold_each_others_permits_do_not_deadlock(
    time: clock.ManualClock,
) -> None:
    issuers = [swap.PermitIssuer(LONG_AGO), swap.PermitIssuer(LONG_AGO)]
    for number in range(20):
        # Each agent is the first at one entry, in every attempt.
        assert try_issue_to(issuers[0], A, time.now_ms(), number)
        assert try_issue_to(issuers[1], B, time.now_ms(), number)
        assert not try_issue_to(issuers[1], A, time.now_ms(), number)
        assert not try_issue_to(issuers[0], B, time.now_ms(), number)
        for issuer in issuers:
            issuer.release(A, START, number)
            issuer.release(B, START, number)
        time.advance(swap.RETRY_MIN_MS)
    assert all(try_issue_to(issuer, A, time.now_ms()) for issuer in issuers)


def test_answer_of_an_earlier_attempt_permits_nothing(
    time: clock.ManualClock,
) -> None:
    collector = swap.PermitCollector()
    collector.begin(time.now_ms())
    first = collector.number
    collector.handle_answer(ENTRIES[0], first, True, 3_000.0, time.now_ms())
    collector.end()
    collector.begin(time.now_ms())
    # The agent must give each permit back: the withdrawal may be lost.
    assert answer_all(collector, first, time.now_ms()) == [True, True]
    waiting = collector.state(ENTRIES, time.now_ms())
    assert waiting is swap.AttemptState.WAITING
    assert answer_all(collector, collector.number, time.now_ms()) == [False] * 2
    found = collector.state(ENTRIES, time.now_ms())
    assert found is swap.AttemptState.PERMITTED


def test_permit_validity_counts_from_the_request(
    time: clock.ManualClock,
) -> None:
    collector = swap.PermitCollector()
    collector.begin(time.now_ms())
    usable_ms = swap.USABLE_FRACTION * swap.HOLD_MIN_MS
    time.advance(usable_ms - 100.0)
    answer_all(collector, collector.number, time.now_ms())
    found = collector.state(ENTRIES, time.now_ms())
    assert found is swap.AttemptState.PERMITTED
    time.advance(200.0)
    assert collector.state(ENTRIES, time.now_ms()) is swap.AttemptState.OVER


def test_agent_never_uses_a_permit_that_expired_at_its_entry(
    time: clock.ManualClock,
) -> None:
    # The agent's expiry is the earlier one, even without network delay.
    issuer = swap.PermitIssuer(LONG_AGO)
    collector = swap.PermitCollector()
    collector.begin(time.now_ms())
    assert try_issue_to(issuer, A, time.now_ms())
    answer_all(collector, collector.number, time.now_ms())
    while (
        collector.state(ENTRIES, time.now_ms()) is swap.AttemptState.PERMITTED
    ):
        assert not try_issue_to(issuer, B, time.now_ms())
        time.advance(10.0)
    assert not try_issue_to(issuer, B, time.now_ms())


def test_answers_delayed_by_ten_seconds_permit_a_swap(
    time: clock.ManualClock,
) -> None:
    # Guards against a fixed validity of permits: every attempt then expires
    # before its answers arrive.
    collector = swap.PermitCollector()
    in_flight: list[tuple[float, int, float]] = []
    collector.begin(time.now_ms())
    for _ in range(600):
        now_ms = time.now_ms()
        while in_flight and in_flight[0][0] <= now_ms:
            _, number, hold_ms = in_flight.pop(0)
            for entry_id in ENTRIES:
                collector.handle_answer(entry_id, number, True, hold_ms, now_ms)
        found = collector.state(ENTRIES, now_ms)
        if found is swap.AttemptState.PERMITTED:
            return
        if found is swap.AttemptState.OVER:
            collector.end()
            collector.begin(now_ms)
        if collector.next_requests(ENTRIES, now_ms):
            due_ms = now_ms + 10_000.0
            in_flight.append((due_ms, collector.number, collector.hold_ms))
        time.advance(100.0)
    raise AssertionError("no swap within 60 s")


def test_late_withdrawal_does_not_release_a_newer_permit(
    time: clock.ManualClock,
) -> None:
    issuer = swap.PermitIssuer(LONG_AGO)
    assert try_issue_to(issuer, A, time.now_ms(), number=2)
    issuer.release(A, START, 1)
    issuer.release(A, ids.Incarnation(7), 9)
    assert not try_issue_to(issuer, B, time.now_ms())
    issuer.release(A, START, 2)
    assert try_issue_to(issuer, B, time.now_ms())


def test_restarted_entry_refuses_while_earlier_permits_may_be_valid(
    time: clock.ManualClock,
) -> None:
    # The previous process may just have permitted another replica to stop.
    issuer = swap.PermitIssuer(time.now_ms())
    time.advance(swap.HOLD_MIN_MS - 1.0)
    assert not try_issue_to(issuer, A, time.now_ms())
    time.advance(1.0)
    assert try_issue_to(issuer, A, time.now_ms())


def test_permit_of_a_replica_whose_link_is_lost_counts_until_it_expires(
    time: clock.ManualClock,
) -> None:
    # The replica may be paused, and swap once it resumes.
    issuer = swap.PermitIssuer(LONG_AGO)
    assert try_issue_to(issuer, A, time.now_ms())
    assert not try_issue_to(issuer, B, time.now_ms(), replicas=REPLICAS[1:])
    time.advance(swap.HOLD_MIN_MS)
    assert try_issue_to(issuer, B, time.now_ms(), replicas=REPLICAS[1:])


def test_request_to_an_entry_without_an_answer_is_repeated(
    time: clock.ManualClock,
) -> None:
    collector = swap.PermitCollector()
    collector.begin(time.now_ms())
    assert collector.next_requests(ENTRIES[:1], time.now_ms()) == ENTRIES[:1]
    # An entry that is heard first now gets a request in the same attempt.
    assert collector.next_requests(ENTRIES, time.now_ms()) == ENTRIES[1:]
    number = collector.number
    collector.handle_answer(ENTRIES[1], number, True, 3_000.0, time.now_ms())
    time.advance(swap.REQUEST_RETRY_FRACTION * swap.HOLD_MIN_MS)
    assert collector.next_requests(ENTRIES, time.now_ms()) == ENTRIES[:1]


def test_entry_that_left_does_not_block_an_attempt(
    time: clock.ManualClock,
) -> None:
    collector = swap.PermitCollector()
    collector.begin(time.now_ms())
    number = collector.number
    collector.handle_answer(ENTRIES[0], number, True, 3_000.0, time.now_ms())
    waiting = collector.state(ENTRIES, time.now_ms())
    assert waiting is swap.AttemptState.WAITING
    found = collector.state(ENTRIES[:1], time.now_ms())
    assert found is swap.AttemptState.PERMITTED
