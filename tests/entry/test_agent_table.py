from __future__ import annotations

import random

import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.replicas import routing
from marlramp.entry import agent_table
from marlramp.protocol import messages
from marlramp.settings import schema

SETTINGS = schema.Settings(breaker_failures_max=2, breaker_open_ms=1_000)
POOL = ids.ServiceId("pool")
ANY = ids.VersionId("")


def report(number: int, incarnation: int = 1) -> messages.AgentReport:
    return messages.AgentReport(
        vm_id=f"vm-{number}",
        data_centre_id="randstad",
        incarnation=incarnation,
        service_id=POOL,
        state=messages.AgentState.READY,
        model="m",
        version="v1",
        target_version="v1",
        chunks_held=0,
        chunks_total=0,
        capacity=4,
        sent_bytes=0,
        origin_bytes=0,
        note="",
    )


@pytest.fixture
def table(time: clock.ManualClock) -> agent_table.AgentTable:
    result = agent_table.AgentTable(lambda _: SETTINGS)
    for number in range(4):
        result.handle_report(report(number), time.now_ms())
    for info in result:
        info.settings_ahead = False
    return result


def grant(
    table: agent_table.AgentTable, number: int, now_ms: clock.Millis
) -> None:
    table.grant_pool.add(
        ids.VmId(f"vm-{number}"),
        ids.Incarnation(1),
        [ids.GrantNumber(1)],
        now_ms + 1_000.0,
    )


def open_breaker(
    table: agent_table.AgentTable, number: int, now_ms: clock.Millis
) -> None:
    info = table.get(ids.VmId(f"vm-{number}"))
    assert info is not None
    for _ in range(2):
        info.breaker.record_failure(now_ms)


def test_open_breaker_excludes_even_the_only_free_upstream(
    table: agent_table.AgentTable, time: clock.ManualClock, rng: random.Random
) -> None:
    grant(table, 0, time.now_ms())
    open_breaker(table, 0, time.now_ms())
    candidates = table.candidates(POOL, ANY, "", time.now_ms())
    assert routing.choose(candidates, rng) is None


def test_breakers_are_ignored_when_most_are_open(
    table: agent_table.AgentTable, time: clock.ManualClock, rng: random.Random
) -> None:
    for number in range(3):
        open_breaker(table, number, time.now_ms())
    grant(table, 0, time.now_ms())
    candidates = table.candidates(POOL, ANY, "", time.now_ms())
    assert routing.choose(candidates, rng) is not None


def test_restart_drops_grants_of_the_earlier_incarnation(
    table: agent_table.AgentTable, time: clock.ManualClock
) -> None:
    grant(table, 1, time.now_ms())
    assert table.handle_report(report(1, incarnation=2), time.now_ms())
    assert table.grant_pool.count(ids.VmId("vm-1"), time.now_ms()) == 0


def test_agent_with_newer_settings_is_sent_no_work(
    table: agent_table.AgentTable, time: clock.ManualClock
) -> None:
    grant(table, 2, time.now_ms())
    info = table.get(ids.VmId("vm-2"))
    assert info is not None
    info.settings_ahead = True
    assert table.candidates(POOL, ANY, "", time.now_ms()) == []


def test_agents_that_time_out_are_found(
    table: agent_table.AgentTable, time: clock.ManualClock
) -> None:
    time.advance(agent_table.HEARD_TIMEOUT_MS + 1)
    table.record_message(ids.VmId("vm-3"), time.now_ms())
    assert len(table.timed_out(time.now_ms())) == 3


def test_changed_breaker_settings_apply_to_known_agents(
    time: clock.ManualClock,
) -> None:
    values = [SETTINGS]
    table = agent_table.AgentTable(lambda _: values[-1])
    table.handle_report(report(0), time.now_ms())
    info = table.get(ids.VmId("vm-0"))
    assert info is not None
    values.append(schema.Settings(breaker_failures_max=1))
    table.apply_settings()
    info.breaker.record_failure(time.now_ms())
    assert not info.breaker.allows(time.now_ms())
