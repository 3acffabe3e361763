"""Replicas that stop sending for about a second and then go on."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from marlramp.core.configuration import route_table
from marlramp.core.requests import attempt_timeouts
from marlramp.shell import address_probe
from standins import raw_http
from tests.direct import conftest

RunEntry = conftest.RunEntry

SILENCE_S = 1.2
EVENTS = 6
TIMEOUT_MS = 4_000.0
WHOLE = [1, 2, 3, 4, 5, 6]


class SilentReplica:
    """Serves streams and plain answers with a pause.

    Attributes:
      seen: the requests that it received.
      left: number of connections that were closed during an answer.
    """

    def __init__(
        self, silent_after: int | None = None, silence_s: float = SILENCE_S
    ) -> None:
        """Creates a replica.

        Args:
          silent_after: the event after which it pauses, 0 for before the first
            event or before a plain answer; None for no pause.
          silence_s: length of the pause.
        """
        self._silent_after = silent_after
        self._silence_s = silence_s
        self.seen: list[raw_http.SeenRequest] = []
        self.left = 0

    async def serve(self, peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            self.seen.append(request)
            answer = asyncio.create_task(self._answer(peer, request))
            closed = asyncio.create_task(peer.read())
            await asyncio.wait(
                {answer, closed}, return_when=asyncio.FIRST_COMPLETED
            )
            if closed.done() and not answer.done():
                self.left += 1
                answer.cancel()
                return
            closed.cancel()
            peer.close()
            return

    async def _answer(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        if self._silent_after == 0:
            await asyncio.sleep(self._silence_s)
        if request.path.startswith("/safe"):
            await peer.answer(request, 200, b"ok", x_replica_signature="s")
            return
        await peer.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            b"content-type: text/event-stream\r\n"
            b"x-replica-signature: s\r\nx-attempt-id: id-1\r\n\r\n"
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: e{number}\n\n".encode()
            await peer.write(b"%x\r\n%s\r\n" % (len(event), event))
            if number == self._silent_after:
                await asyncio.sleep(self._silence_s)
            await asyncio.sleep(0.02)
        await peer.write(b"0\r\n\r\n")


async def refuse(peer: raw_http.Peer) -> None:
    """Refuses each request as not run."""
    while (request := await peer.read()) is not None:
        await peer.answer(request, 503, x_not_executed="1")


async def crash(peer: raw_http.Peer) -> None:
    """Resets the connection in the middle of an event."""
    if await peer.read() is not None:
        await peer.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            b"content-type: text/event-stream\r\n"
            b"x-replica-signature: s\r\nx-attempt-id: id-1\r\n\r\n"
            b"7\r\nid: 99\n\r\n"
        )
        await asyncio.sleep(0.05)
        peer.reset()


def allow_time(entry: conftest.Entry) -> None:
    """Gives the routes enough time for a silence."""
    routes = [
        msgspec.structs.replace(route, timeout_ms=TIMEOUT_MS)
        for route in conftest.CONFIG.routes
    ]
    config = msgspec.structs.replace(conftest.CONFIG, routes=routes)
    entry.routes = route_table.RouteTable(config)


def spend_retries(entry: conftest.Entry) -> None:
    """Spends the retry budget of all services."""
    share = entry.forwarder.retry_budgets.share_of(
        conftest.CONFIG.services[0].service_id
    )
    while share.try_spend(entry.entries, entry.time.now_ms()):
        pass


def numbers_of(answer: bytes) -> list[int]:
    """Returns the ids of the events of an answer."""
    return [
        int(line[4:]) for line in answer.split(b"\n") if line.startswith(b"id:")
    ]


async def stream(entry: conftest.Entry) -> bytes:
    """Returns the answer to a stream."""
    return await entry.call("/stream/x", "POST", wait_ms=int(TIMEOUT_MS))


def assert_whole(answer: bytes) -> None:
    """Checks that a stream has each event once and its end."""
    assert numbers_of(answer) == WHOLE
    assert answer.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("silent_after", [0, 3])
@pytest.mark.parametrize("others", [(), (refuse,), (crash,), (refuse, refuse)])
def test_silent_replica_keeps_its_stream_while_no_other_takes_it(
    silent_after: int,
    others: tuple[raw_http.Script, ...],
    run_entry: RunEntry,
) -> None:
    silent = SilentReplica(silent_after)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        assert_whole(await stream(entry))
        assert len(silent.seen) == 1
        assert silent.left == 0
        assert not entry.unanswered_reasons

    run_entry(use, silent.serve, *others)


@pytest.mark.parametrize("silent_after", [0, 3])
def test_silent_replica_keeps_its_stream_when_the_retry_budget_is_spent(
    silent_after: int, run_entry: RunEntry
) -> None:
    silent, other = SilentReplica(silent_after), SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        spend_retries(entry)
        assert_whole(await stream(entry))
        assert not other.seen

    run_entry(use, silent.serve, other.serve)


def name_version_mandatory_in(entry: conftest.Entry, left_ms: float) -> None:
    """Serves engines and names version 2, which is mandatory in `left_ms`."""
    entry.serve_engines()
    bound_ms = conftest.SETTINGS.bounds.version_ms
    entry.name_version(2, age_ms=bound_ms - left_ms)


def test_request_withdrawn_from_a_silent_engine_ends_without_a_retry(
    run_entry: RunEntry, logged: list[tuple[str, dict[str, object]]]
) -> None:
    silent = SilentReplica(0)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        spend_retries(entry)
        (view,) = entry.table
        view.seen_weights = 1
        mandatory_ms = entry.time.now_ms() + 1_100.0
        name_version_mandatory_in(entry, 1_100.0)
        answer = await stream(entry)
        assert entry.time.now_ms() < mandatory_ms
        assert answer.startswith(b"HTTP/1.1 502 ")
        assert b'"error":"version_changed"' in answer
        assert b'"ran":"unknown"' in answer
        assert silent.left == 1
        assert not entry.unanswered_reasons

    run_entry(use, silent.serve)
    (failed,) = [
        fields for event, fields in logged if event == "request_failed"
    ]
    assert failed["not_retried"] == "retry_budget"


def test_request_withdrawn_from_a_silent_engine_runs_on_the_new_version(
    run_entry: RunEntry,
) -> None:
    silent, newer = SilentReplica(0), SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        for number, view in enumerate(entry.table, 1):
            view.seen_weights = number
        # Too soon for the replica to count as silent.
        name_version_mandatory_in(entry, 800.0)
        _, second = entry.table
        second.in_flight = 40
        answer = await stream(entry)
        assert_whole(answer)
        assert len(silent.seen) == 1
        assert len(newer.seen) == 1

    run_entry(use, silent.serve, newer.serve)


@pytest.mark.parametrize("others", [(), (refuse,)])
def test_silent_replica_keeps_its_plain_request_while_no_other_takes_it(
    others: tuple[raw_http.Script, ...], run_entry: RunEntry
) -> None:
    silent = SilentReplica(0)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        answer = await entry.call("/safe/x", wait_ms=2_500)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert silent.left == 0

    run_entry(use, silent.serve, *others)


@pytest.mark.parametrize("silent_after", [0, 3])
def test_replica_that_takes_over_a_stream_ends_the_silent_attempt(
    silent_after: int, run_entry: RunEntry
) -> None:
    silent = SilentReplica(silent_after, silence_s=3.0)
    other = SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        assert_whole(await stream(entry))
        assert len(other.seen) == 1
        async with asyncio.timeout(0.4):
            while not silent.left:
                await asyncio.sleep(0.01)

    run_entry(use, silent.serve, other.serve)


def test_replica_that_goes_on_first_ends_the_second_attempt(
    run_entry: RunEntry,
) -> None:
    silent = SilentReplica(3)
    late = SilentReplica(0, silence_s=3.0)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        assert_whole(await stream(entry))
        assert len(late.seen) == 1
        assert late.left == 1
        assert silent.left == 0

    run_entry(use, silent.serve, late.serve)


def test_both_attempts_end_when_the_caller_leaves(run_entry: RunEntry) -> None:
    replicas = [SilentReplica(3, silence_s=3.0), SilentReplica(0, 3.0)]

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        _, writer = await entry.connect(
            "/stream/x", "POST", wait_ms=int(TIMEOUT_MS)
        )
        async with asyncio.timeout(2.0):
            while not all(replica.seen for replica in replicas):
                await asyncio.sleep(0.01)
        writer.close()
        async with asyncio.timeout(0.4):
            while not all(replica.left for replica in replicas):
                await asyncio.sleep(0.01)
        assert entry.forwarder.active == 0

    run_entry(use, *(replica.serve for replica in replicas))


def test_streams_that_go_on_leave_the_retry_budget_to_others(
    run_entry: RunEntry,
) -> None:
    silent = SilentReplica(3)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        answers = await asyncio.gather(*(stream(entry) for _ in range(12)))
        for answer in answers:
            assert_whole(answer)
        assert len(silent.seen) == 12
        share = entry.forwarder.retry_budgets.share_of(
            conftest.CONFIG.services[0].service_id
        )
        assert share.try_spend(entry.entries, entry.time.now_ms())

    run_entry(use, silent.serve)


def test_caller_that_stops_reading_does_not_make_its_replica_silent(
    run_entry: RunEntry,
) -> None:
    data = b"x" * 60_000
    sent = asyncio.Event()
    other = SilentReplica()

    async def long_events(peer: raw_http.Peer) -> None:
        if await peer.read() is None:
            return
        await peer.write(
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            b"content-type: text/event-stream\r\n"
            b"x-replica-signature: s\r\nx-attempt-id: id-1\r\n\r\n"
        )
        for number in range(1, 201):
            event = b"id: %d\ndata: %s\n\n" % (number, data)
            await peer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await peer.write(b"0\r\n\r\n")
        sent.set()

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        reader, writer = await entry.connect(
            "/stream/x", "POST", wait_ms=int(TIMEOUT_MS)
        )
        await asyncio.sleep(1.5 * attempt_timeouts.STALL_FLOOR_MS / 1_000)
        assert not sent.is_set()
        answer = await reader.read(-1)
        assert numbers_of(answer) == list(range(1, 201))
        assert not other.seen
        writer.close()

    run_entry(use, long_events, other.serve)


def test_route_that_may_not_repeat_is_not_sent_again(
    run_entry: RunEntry,
) -> None:
    silent, other = SilentReplica(3), SilentReplica()

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        answer = await entry.call("/whole/x", "POST", wait_ms=int(TIMEOUT_MS))
        assert_whole(answer)
        assert not other.seen

    run_entry(use, silent.serve, other.serve)


def test_failure_that_a_replica_answered_is_delivered_if_the_other_is_lost(
    run_entry: RunEntry,
) -> None:
    async def fail(peer: raw_http.Peer) -> None:
        while (request := await peer.read()) is not None:
            await peer.answer(request, 500, b"broken", x_replica_signature="s")

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        answer = await entry.call("/safe/x", wait_ms=1_500)
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert answer.endswith(b"broken")

    run_entry(use, SilentReplica(0, silence_s=3.0).serve, fail)


OPEN_HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"x-replica-signature: s\r\nx-attempt-id: id-1\r\n\r\n"
)


def writes(*parts: tuple[bytes, float]) -> raw_http.Script:
    """Returns a replica that pauses after each part, then ends its answer."""

    async def script(peer: raw_http.Peer) -> None:
        if await peer.read() is None:
            return
        for data, pause_s in parts:
            await peer.write(data)
            await asyncio.sleep(pause_s)
        peer.close()

    return script


def events(first: int, last: int) -> bytes:
    """Returns events with consecutive ids."""
    return b"".join(
        b"id: %d\ndata: e\n\n" % number for number in range(first, last + 1)
    )


@pytest.mark.parametrize(
    "rest", [b"ata: cut", b"ata: e3\n\n" + events(4, 6), events(3, 6)]
)
def test_replica_that_goes_on_too_late_adds_nothing_to_the_stream(
    rest: bytes, run_entry: RunEntry
) -> None:
    """The first replica stops within an event that the second one repeats."""
    partial = events(1, 2) + b"id: 3\nd"
    late = writes((OPEN_HEAD + partial, 1.05), (rest, 0.01))
    taker = SilentReplica(5, silence_s=0.4)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        assert_whole(await stream(entry))
        assert taker.seen[0].headers["last-event-id"] == "2"

    run_entry(use, late, taker.serve)


@pytest.mark.parametrize("presence", list(address_probe.Presence))
def test_stream_that_ends_with_its_connection_after_a_silence_is_verified(
    presence: address_probe.Presence, run_entry: RunEntry
) -> None:
    """Its replica went on while a second attempt waited for its first event.

    Both attempts that the route allows are used up if the end is not whole.
    """
    late = writes((OPEN_HEAD + events(1, 3), SILENCE_S), (events(4, 6), 0.01))
    second = SilentReplica(0, silence_s=0.5)

    async def use(entry: conftest.Entry) -> None:
        allow_time(entry)
        entry.presence = presence
        answer = await stream(entry)
        assert numbers_of(answer) == WHOLE
        is_whole = presence is address_probe.Presence.THERE
        assert answer.endswith(b"0\r\n\r\n") == is_whole
        assert len(second.seen) == 1

    run_entry(use, late, second.serve)
