from __future__ import annotations

import asyncio

from marlramp import counters
from tests.direct import conftest
from tests.direct.calls import test_forwarder
from tests.direct.calls import test_lost_replicas
from tests.direct.calls import test_silent_replicas

RunEntry = conftest.RunEntry
Replica = test_forwarder.Replica

SERVICE_ID = conftest.CONFIG.services[0].service_id
FLEET = 6
"""Entries by which the budget is divided."""

LARGE_FLEET = 256


def spend_retries(entry: conftest.Entry) -> int:
    """Spends what the entry has now, and returns how many retries that was."""
    share = entry.forwarder.retry_budgets.share_of(SERVICE_ID)
    while share.try_spend(entry.entries, entry.time.now_ms()):
        pass
    return share.spent


def approach_retry(entry: conftest.Entry, left_ms: float) -> None:
    """Advances the time until `left_ms` before a retry is earned."""
    share = entry.forwarder.retry_budgets.share_of(SERVICE_ID)
    wait_ms = share.wait_ms(1, entry.entries, entry.time.now_ms())
    entry.time.suspended_ms += wait_ms - left_ms


def spent(entry: conftest.Entry) -> int:
    return entry.forwarder.retry_budgets.share_of(SERVICE_ID).spent


def test_first_refused_request_of_a_new_entry_is_served(
    run_entry: RunEntry,
) -> None:
    refusing, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = FLEET
        answer = await entry.call("/once/x", "POST")
        assert test_forwarder.status_of(answer) == 200
        assert spent(entry) == 1

    run_entry(use, refusing.refuse, serving.serve)


def test_refused_request_waits_until_its_retry_is_earned(
    run_entry: RunEntry,
) -> None:
    # An entry that had run for two seconds refused a caller beside others.
    refusing, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = FLEET
        assert spend_retries(entry) > 0
        approach_retry(entry, left_ms=80.0)
        answer = await entry.call("/once/x", "POST", wait_ms=3_000)
        assert test_forwarder.status_of(answer) == 200
        assert len(serving.seen) == 1
        waited = counters.CounterName.RETRY_BUDGET
        assert entry.totals.total(waited, "waited") == 1

    run_entry(use, refusing.refuse, serving.serve)


def test_refused_request_waits_until_a_new_entry_knows_the_others(
    run_entry: RunEntry,
) -> None:
    refusing, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = LARGE_FLEET
        entry.entries_are_provisional = True
        spend_retries(entry)
        call = asyncio.create_task(entry.call("/once/x", "POST"))
        await asyncio.sleep(0.2)
        assert not call.done()
        entry.entries = 1
        entry.entries_are_provisional = False
        assert test_forwarder.status_of(await call) == 200

    run_entry(use, refusing.refuse, serving.serve)


def test_request_whose_retry_can_not_be_earned_is_refused_at_once(
    run_entry: RunEntry,
) -> None:
    refusing, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = LARGE_FLEET
        spend_retries(entry)
        start_ms = entry.time.now_ms()
        answer = await entry.call("/once/x", "POST")
        assert entry.time.now_ms() - start_ms < 200.0
        assert test_forwarder.status_of(answer) == 503
        assert not serving.seen

    run_entry(use, refusing.refuse, serving.serve)


def test_request_does_not_wait_while_too_few_retries_are_earned(
    run_entry: RunEntry,
) -> None:
    refusing, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = FLEET
        spend_retries(entry)
        share = entry.forwarder.retry_budgets.share_of(SERVICE_ID)
        for _ in range(100):
            share.record_demand(entry.time.now_ms())
        start_ms = entry.time.now_ms()
        answer = await entry.call("/once/x", "POST")
        assert test_forwarder.status_of(answer) == 503
        assert entry.time.now_ms() - start_ms < 200.0

    run_entry(use, refusing.refuse, serving.serve)


def test_stream_that_has_begun_waits_also_while_too_few_retries_are_earned(
    run_entry: RunEntry,
) -> None:
    other = test_silent_replicas.SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = FLEET
        spend_retries(entry)
        approach_retry(entry, left_ms=400.0)
        share = entry.forwarder.retry_budgets.share_of(SERVICE_ID)
        for _ in range(100):
            share.record_demand(entry.time.now_ms())
        test_silent_replicas.allow_time(entry)
        answer = await test_silent_replicas.stream(entry)
        test_silent_replicas.assert_whole(answer)

    run_entry(use, test_lost_replicas.break_off, other.serve)


def test_caller_that_leaves_ends_its_wait_for_a_retry(
    run_entry: RunEntry,
) -> None:
    failing, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = FLEET
        spend_retries(entry)
        approach_retry(entry, left_ms=400.0)
        _, writer = await entry.connect("/safe/x", wait_ms=4_000)
        await asyncio.sleep(0.1)
        assert entry.forwarder.active == 1
        writer.close()
        await asyncio.sleep(0.1)
        assert entry.forwarder.active == 0
        assert not serving.seen

    run_entry(use, failing.reset, serving.serve)


def test_request_that_reached_no_replica_needs_no_retry(
    run_entry: RunEntry,
) -> None:
    closed, serving = Replica(), Replica()

    async def use(entry: conftest.Entry) -> None:
        entry.entries = LARGE_FLEET
        before = spend_retries(entry)
        (first, _) = entry.table
        pool = entry.forwarder._sender._pool(first.replica)

        async def fail() -> None:
            raise ConnectionRefusedError

        pool.open = fail
        answer = await entry.call("/once/x", "POST")
        assert test_forwarder.status_of(answer) == 200
        assert spent(entry) == before

    run_entry(use, closed.serve, serving.serve)
