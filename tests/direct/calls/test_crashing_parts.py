"""Tests of how an entry handles parts of prompts that crash replicas."""

from __future__ import annotations

import asyncio

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import possible_causes
from marlramp.shell import address_probe
from standins import raw_http
from tests.direct import conftest

PARTS = "f0:40,c0:90,0{}:30"
CULPRIT = possible_causes.part_fingerprint("s", "c0")

OPEN_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-replica-signature: s\r\n\r\n"
)
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


def writes(*parts: bytes) -> raw_http.Script:
    """Returns a replica whose answers end with their connection."""

    async def script(peer: raw_http.Peer) -> None:
        if await peer.read() is None:
            return
        for part in parts:
            await peer.write(part)
            await asyncio.sleep(0.02)
        peer.close()

    return script


async def whole(peer: raw_http.Peer) -> None:
    while (request := await peer.read()) is not None:
        resumed = "last-event-id" in request.headers
        body = b"id: 3\ndata: c\n\n" if resumed else EVENTS
        await peer.answer(
            request,
            200,
            body,
            content_type="text/event-stream",
            x_replica_signature="s",
        )


def test_stream_that_ends_with_its_connection_is_whole_if_its_replica_lives(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        answer = await entry.call("/stream/x", "POST")
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"data: b" in answer
        assert answer.endswith(b"0\r\n\r\n")
        assert b"data: c" not in answer

    run_entry(use, writes(OPEN_HEAD, EVENTS), whole)


@pytest.mark.parametrize(
    "presence", [address_probe.Presence.GONE, address_probe.Presence.UNKNOWN]
)
def test_stream_that_ends_with_its_replica_goes_on_at_another(
    run_entry: conftest.RunEntry, presence: address_probe.Presence
) -> None:
    async def use(entry: conftest.Entry) -> None:
        entry.presence = presence
        answer = await entry.call("/stream/x", "POST")
        assert b"data: c" in answer
        assert answer.endswith(b"0\r\n\r\n")

    run_entry(use, writes(OPEN_HEAD, EVENTS), whole)


def test_stream_without_an_event_that_ends_with_its_connection_is_not_whole(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        answer = await entry.call("/whole/x", "POST")
        assert answer.startswith(b"HTTP/1.1 502")

    run_entry(use, writes(OPEN_HEAD))


def test_plain_answer_that_ends_with_its_replica_is_not_delivered(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        entry.presence = address_probe.Presence.GONE
        assert (await entry.call("/once/x")).startswith(b"HTTP/1.1 502")
        entry.presence = None
        answer = await entry.call("/once/x")
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"part of it")

    head = b"HTTP/1.1 200 OK\r\nx-replica-signature: s\r\n\r\n"
    run_entry(use, writes(head, b"part of it"))


def test_crash_as_a_run_begins_is_laid_to_the_parts_but_the_last(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        entry.presence = address_probe.Presence.GONE
        await entry.call("/whole/x", "POST", parts=PARTS.format(1))
        await asyncio.sleep(0.05)
        suspects = entry.crashes.ledger.suspects()
        parts = {name for name in suspects if "/" in name}
        assert parts == {"s/f0", "s/c0"}

    run_entry(use, writes(OPEN_HEAD))


def condemn(entry: conftest.Entry, known_for_ms: float = 0.0) -> None:
    """Lays five crashes to the culprit, which is then condemned."""
    for number in range(5):
        age_ms = 400.0 * (5 - number)
        now_ms = clock.Millis(entry.time.now_ms() - age_ms)
        causes = possible_causes.PossibleCauses(
            ids.Fingerprint(f"{number}"), (CULPRIT,)
        )
        crash = crash_reports.crash_id(f"x-{number}", 1)
        entry.crashes.add_part_suspects(crash, causes, now_ms)
    entry.crashes.judge_parts(entry.time.now_ms())
    entry.crashes.tick(clock.Millis(entry.time.now_ms() - known_for_ms))


def test_request_with_a_condemned_part_is_refused_as_not_run(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        condemn(entry)
        answer = await entry.call("/whole/x", "POST", parts=PARTS.format(1))
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"crashes_upstreams" in answer
        assert b'"ran":"no"' in answer
        # As its own last part, and without it, a request is served.
        for parts in ("f0:40,c0:90", "f0:40,b0:90,01:30", "not readable", ""):
            answer = await entry.call("/whole/x", "POST", parts=parts)
            assert answer.startswith(b"HTTP/1.1 200")
        refusals = counters.CounterName.REFUSALS
        assert entry.totals.total(refusals, "crashes_upstreams") == 1

    run_entry(use, whole)


def test_sound_part_that_was_condemned_is_released_by_a_trial(
    run_entry: conftest.RunEntry,
) -> None:
    # Without a trial its requests were refused until an operator released it.
    async def use(entry: conftest.Entry) -> None:
        condemn(entry, known_for_ms=1_500.0)
        for number in range(2):
            answer = await entry.call(
                "/whole/x", "POST", parts=PARTS.format(number)
            )
            assert answer.startswith(b"HTTP/1.1 200")
        assert not entry.crashes.is_blocked(CULPRIT)
        crashes = counters.CounterName.CRASHES
        assert entry.totals.total(crashes, "trial") == 1

    run_entry(use, whole)


def test_only_one_request_is_the_trial_of_a_condemned_part(
    run_entry: conftest.RunEntry,
) -> None:
    async def use(entry: conftest.Entry) -> None:
        entry.presence = address_probe.Presence.GONE
        condemn(entry, known_for_ms=1_500.0)
        answers = await asyncio.gather(
            *(
                entry.call("/whole/x", "POST", parts=PARTS.format(number))
                for number in range(5)
            )
        )
        statuses = sorted(answer[9:12] for answer in answers)
        assert statuses == [b"502", b"503", b"503", b"503", b"503"]
        assert entry.crashes.is_blocked(CULPRIT)

    run_entry(use, writes(OPEN_HEAD))
