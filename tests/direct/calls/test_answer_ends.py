"""Answers without a length, whose end only their connection marks."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.shell import address_probe
from standins import raw_http
from tests.direct import conftest
from tests.direct.calls import test_crashing_parts as crashing_parts
from tests.direct.calls import test_silent_replicas as silent_replicas

RunEntry = conftest.RunEntry
PLAIN_HEAD = b"HTTP/1.1 200 OK\r\nx-replica-signature: s\r\n\r\n"
STATES = list(fleet.ReplicaState)
LOST = [address_probe.Presence.GONE, address_probe.Presence.UNKNOWN]


def counts(seen: list[str], script: raw_http.Script) -> raw_http.Script:
    """Returns a replica that records each connection to it."""

    async def serve(peer: raw_http.Peer) -> None:
        seen.append("connection")
        await script(peer)

    return serve


async def call_during(
    entry: conftest.Entry, path: str, method: str, state: fleet.ReplicaState
) -> bytes:
    """Returns an answer; its replica is listed with a state meanwhile."""
    calling = asyncio.create_task(entry.call(path, method))
    # A request that is not written yet would go to another replica.
    while not (views := [v for v in entry.table if v.heard_ms > 0.0]):
        await asyncio.sleep(0.001)
    (view,) = views
    view.replica = msgspec.structs.replace(view.replica, state=state)
    return await calling


@pytest.mark.parametrize("state", STATES)
@pytest.mark.parametrize("presence", LOST)
def test_stream_cut_by_a_killed_replica_continues_whatever_its_state(
    presence: address_probe.Presence,
    state: fleet.ReplicaState,
    run_entry: RunEntry,
) -> None:
    """Guards against a cut stream of a draining replica that looks whole."""

    async def use(entry: conftest.Entry) -> None:
        entry.presence = presence
        answer = await call_during(entry, "/stream/x", "POST", state)
        assert b"data: c" in answer
        assert answer.endswith(b"0\r\n\r\n")

    head, events = crashing_parts.OPEN_HEAD, crashing_parts.EVENTS
    run_entry(use, crashing_parts.writes(head, events), crashing_parts.whole)


@pytest.mark.parametrize("state", STATES)
def test_stream_without_shown_end_is_broken_off_if_it_may_not_resume(
    state: fleet.ReplicaState, run_entry: RunEntry
) -> None:
    async def use(entry: conftest.Entry) -> None:
        entry.presence = address_probe.Presence.GONE
        answer = await call_during(entry, "/whole/x", "POST", state)
        assert b"data: b" in answer
        assert not answer.endswith(b"0\r\n\r\n")

    head, events = crashing_parts.OPEN_HEAD, crashing_parts.EVENTS
    run_entry(use, crashing_parts.writes(head, events), crashing_parts.whole)


@pytest.mark.parametrize("state", STATES)
def test_non_idempotent_request_without_shown_end_is_cut_and_runs_once(
    state: fleet.ReplicaState, run_entry: RunEntry
) -> None:
    """Its replica may have exited after the last byte of a whole answer."""
    seen: list[str] = []

    async def use(entry: conftest.Entry) -> None:
        entry.presence = address_probe.Presence.GONE
        answer = await call_during(entry, "/once/x", "POST", state)
        assert answer.startswith(b"HTTP/1.1 502")
        assert b"x-not-executed" not in answer.lower()
        assert len(seen) == 1

    answers = crashing_parts.writes(PLAIN_HEAD, b"whole")
    run_entry(use, *[counts(seen, answers) for _ in range(3)])


@pytest.mark.parametrize("state", STATES)
def test_answer_of_a_replica_that_still_listens_is_whole_whatever_its_state(
    state: fleet.ReplicaState, run_entry: RunEntry
) -> None:
    async def use(entry: conftest.Entry) -> None:
        answer = await call_during(entry, "/once/x", "POST", state)
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"whole")

    run_entry(use, crashing_parts.writes(PLAIN_HEAD, b"whole"))


def test_answer_of_a_proxy_that_ends_with_its_connection_is_cut(
    run_entry: RunEntry,
) -> None:
    """The proxy listens also when the replica behind it was killed."""

    async def use(entry: conftest.Entry) -> None:
        answer = await entry.call("/once/x")
        assert answer.startswith(b"HTTP/1.1 502")

    head = PLAIN_HEAD.replace(b"\r\n\r\n", b"\r\nvia: 1.1 a\r\n\r\n")
    run_entry(use, crashing_parts.writes(head, b"part of it"))


@pytest.mark.parametrize("state", STATES)
def test_answer_whose_replica_has_started_again_since_is_cut(
    state: fleet.ReplicaState, run_entry: RunEntry
) -> None:
    """Another process listens at the address of the one that was killed."""

    async def use(entry: conftest.Entry) -> None:
        calling = asyncio.create_task(entry.call("/once/x"))
        (view,) = entry.table
        while view.heard_ms < 0.0:
            await asyncio.sleep(0.001)
        view.born_ms = 1_000
        replica = msgspec.structs.replace(
            view.replica, born_ms=2_000, state=state
        )
        change = catalog.ReplicaChange(100, replica.replica_id, replica)
        entry.catalog.apply([change], entry.time.now_ms())
        entry.table.sync(entry.catalog, entry.time.now_ms())
        assert (await calling).startswith(b"HTTP/1.1 502")

    run_entry(use, crashing_parts.writes(PLAIN_HEAD, b"part of it"))


def test_end_that_is_seen_late_is_not_shown_by_a_probe(
    run_entry: RunEntry,
) -> None:
    """Guards against a later start that is found after a suspension."""

    async def use(entry: conftest.Entry) -> None:
        silent_replicas.allow_time(entry)
        calling = asyncio.create_task(entry.call("/once/x", wait_ms=4_000))
        await asyncio.sleep(0.1)
        entry.time.suspended_ms += 2_500.0
        assert (await calling).startswith(b"HTTP/1.1 502")

    part = (PLAIN_HEAD + b"part of it", 0.2)
    run_entry(use, silent_replicas.writes(part))


def test_end_during_a_probe_is_shown_by_a_later_one(
    run_entry: RunEntry,
) -> None:
    """Guards against a probe that found the replica before it was killed."""
    probes: list[asyncio.Future[address_probe.Presence]] = []

    async def probe(_: str) -> address_probe.Presence:
        probes.append(asyncio.get_running_loop().create_future())
        return await probes[-1]

    async def use(entry: conftest.Entry) -> None:
        entry.forwarder._crashes._probe = probe
        (view,) = entry.table
        ends = []
        for _ in range(3):
            end = entry.forwarder._crashes.answer_is_whole(view)
            ends.append(asyncio.create_task(end))
            await asyncio.sleep(0.01)
        probes[0].set_result(address_probe.Presence.THERE)
        await asyncio.sleep(0.01)
        assert len(probes) == 2
        probes[1].set_result(address_probe.Presence.GONE)
        assert await asyncio.gather(*ends) == [True, False, False]

    run_entry(use, crashing_parts.whole)
