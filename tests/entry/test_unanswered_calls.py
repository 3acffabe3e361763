"""Calls at the HTTP server of an entry, before a scripted agent."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import run_tokens
from marlramp.entry import application
from marlramp.entry import caller_app
from marlramp.entry import caller_protocol
from marlramp.entry import crash_guard
from marlramp.entry import http_server
from marlramp.entry import unanswered
from marlramp.platform import clients
from marlramp.protocol import messages
from tests.entry import conftest

VM = ids.VmId("vm-1")
CALLER_LIMITS = caller_protocol.Limits()
UNANSWERED = counters.CounterName.UNANSWERED


class Entry:
    """An entry with one agent, whose answers are scripted.

    Attributes:
      answer: answers each run that the entry sends.
    """

    def __init__(self, answer: Callable[[Entry, messages.Run], None]) -> None:
        self.answer = answer
        self.sent: list[messages.FromEntry] = []
        time = clock.SystemClock()
        guard = crash_guard.CrashGuard(counters.Counters(), time)
        built = conftest.build(self, guard, time)
        self.dispatcher = built.dispatcher
        self.totals = built.totals
        self.leaving = False
        callers = caller_app.CallerApp(
            built.dispatcher,
            built.queries,
            built.settings,
            run_tokens.TokenSigner("key"),
            self,
            unanswered.UnansweredCalls(built.totals),
            time,
        )
        self.app = application.build(callers.routes(), built.totals)
        built.table.handle_report(_report(), time.now_ms())
        info = built.table.get(VM)
        assert info is not None
        info.settings_ahead = False
        grants = messages.GrantsIssued(
            incarnation=1, first=1, count=50, ttl_ms=60_000.0
        )
        self.dispatcher.handle_grants(VM, grants)

    def send(self, vm_id: ids.VmId, message: messages.FromEntry) -> bool:
        del vm_id
        self.sent.append(message)
        if isinstance(message, messages.Run):
            loop = asyncio.get_running_loop()
            loop.call_soon(self.answer, self, message)
        return True

    def entries(self) -> list[clients.ListedVm]:
        return []

    def entries_of(self, vm_id: ids.VmId) -> list[clients.ListedVm]:
        del vm_id
        return []

    def is_among(self, entries: list[clients.ListedVm]) -> bool:
        return bool(entries)

    def cancels(self) -> int:
        return sum(isinstance(m, messages.Cancel) for m in self.sent)

    def unanswered(self, reason: unanswered.UnansweredReason) -> int:
        return self.totals.total(UNANSWERED, reason.value)

    def give(
        self,
        run: messages.Run,
        *events: bytes,
        last: bool = True,
        status: int = 200,
        content_type: str = "text/plain",
    ) -> None:
        """Sends headers and parts of the answer to a run."""
        headers = messages.RunHeaders(
            request_id=run.request_id, status=status, content_type=content_type
        )
        self.dispatcher.handle_headers(headers)
        parts = [
            assembly.Part(
                seq, event, ids.VersionId("v1"), last and seq == len(events) - 1
            )
            for seq, event in enumerate(events)
        ]
        answer = messages.AnswerParts(ids.RequestId(run.request_id), parts)
        self.dispatcher.handle_parts(messages.PartsBatch(answers=[answer]))


def _report() -> messages.AgentReport:
    return messages.AgentReport(
        vm_id=VM,
        data_centre_id="randstad",
        incarnation=1,
        service_id=conftest.STOCK,
        state=messages.AgentState.READY,
        model="",
        version="v1",
        target_version="v1",
        chunks_held=0,
        chunks_total=0,
        capacity=50,
        sent_bytes=0,
        origin_bytes=0,
        note="",
    )


def post(path: str, body: bytes, *headers: str) -> bytes:
    """Returns the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        "host: entry",
        f"marlramp-customer: {conftest.CUSTOMER}",
        "marlramp-idempotent: true",
        f"content-length: {len(body)}",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def completion(*, stream: bool) -> bytes:
    """Returns the bytes of a request for a completion."""
    flag = "true" if stream else "false"
    body = f'{{"model": "{conftest.STOCK}", "stream": {flag}}}'
    return post("/v1/completions", body.encode())


PLAIN = post(f"/v1/services/{conftest.STOCK}/slots", b"x")
EVENT = b'data: {"choices": [{"text": "a"}]}\n\n'
DONE = b"data: [DONE]\n\n"


def silence(entry: Entry, run: messages.Run) -> None:
    """Answers nothing."""


def begin(entry: Entry, run: messages.Run) -> None:
    """Sends the first part of an answer only."""
    entry.give(run, EVENT, last=False)


class Caller:
    """A connection to the entry."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def read(self, until: bytes, within_s: float = 3.0) -> bytes:
        """Reads up to some bytes; returns less if the connection ends."""
        async with asyncio.timeout(within_s):
            try:
                return await self.reader.readuntil(until)
            except asyncio.IncompleteReadError as error:
                return error.partial
            except ConnectionError:
                return b""


def run_scenario(
    answer: Callable[[Entry, messages.Run], None],
    scenario: Callable[[Entry, Caller], Awaitable[None]],
    limits: caller_protocol.Limits = CALLER_LIMITS,
    *,
    closes: bool = True,
) -> Entry:
    """Plays a scenario with one caller; shuts the server down at its end.

    The caller closes its connection before that, unless `closes` is False.
    """

    @contextlib.asynccontextmanager
    async def serve(entry: Entry) -> AsyncIterator[int]:
        server = http_server.build(
            entry.app,
            "127.0.0.1",
            0,
            limits,
            unanswered.UnansweredCalls(entry.totals),
            1,
        )
        task = asyncio.create_task(server.serve())
        while not server.started:
            await asyncio.sleep(0.01)
        yield server.servers[0].sockets[0].getsockname()[1]
        server.should_exit = True
        await task

    async def main() -> Entry:
        entry = Entry(answer)
        async with asyncio.timeout(20.0), serve(entry) as port:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await scenario(entry, Caller(reader, writer))
            if closes:
                writer.close()
        await asyncio.sleep(0.1)
        return entry

    return asyncio.run(main())


@pytest.mark.parametrize("request_id", ["slot-9", ""])
def test_handler_that_fails_gives_the_internal_answer(request_id: str) -> None:
    """The caller got a text without kind, `ran` or request id."""

    def malformed(entry: Entry, run: messages.Run) -> None:
        entry.give(run, b'data: {"choices": null}\n\n', DONE)

    async def scenario(entry: Entry, caller: Caller) -> None:
        request = completion(stream=False)
        if request_id:
            head = f"\r\nx-request-id: {request_id}\r\n".encode()
            request = request.replace(b"\r\n", head, 1)
        caller.writer.write(request)
        answer = await caller.read(b"}}")
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert b"marlramp-error: internal\r\n" in answer
        assert f"x-request-id: {request_id}".encode() in answer

    entry = run_scenario(malformed, scenario)
    name = counters.CounterName.INTERNAL_ERRORS
    assert entry.totals.total(name, "http") == 1


@pytest.mark.parametrize(
    ("status", "content_type", "answered"),
    [(200, "a/\x01", 200), (200, "a/\u4e2d", 200), (999, "a/b", 502)],
)
@pytest.mark.parametrize(
    "request_bytes",
    [PLAIN, completion(stream=True)],
    ids=["plain", "stream"],
)
def test_answer_that_http_does_not_allow_is_answered(
    request_bytes: bytes, status: int, content_type: str, answered: int
) -> None:
    """The server closed the connection after it had tried to write it."""

    def give(entry: Entry, run: messages.Run) -> None:
        entry.give(run, DONE, status=status, content_type=content_type)

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(request_bytes)
        answer = await caller.read(b"\r\n")
        assert answer.startswith(f"HTTP/1.1 {answered} ".encode())

    run_scenario(give, scenario)


@pytest.mark.parametrize(
    ("request_bytes", "answer"),
    [
        (PLAIN, silence),
        (completion(stream=False), begin),
        (completion(stream=True), silence),
        (completion(stream=True), begin),
        # The caller's next request must not hide that it has left.
        (completion(stream=True) + PLAIN, begin),
    ],
)
def test_call_whose_caller_left_is_cancelled_and_recorded(
    request_bytes: bytes, answer: Callable[[Entry, messages.Run], None]
) -> None:
    """Its run went on to its end, and no line told of the request."""

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(request_bytes)
        await asyncio.sleep(0.2)
        caller.writer.close()
        await asyncio.sleep(0.2)
        assert entry.cancels() == 1
        assert entry.dispatcher.active == 0

    entry = run_scenario(answer, scenario)
    whole = 2 if request_bytes.endswith(PLAIN) and answer is begin else 1
    left = unanswered.UnansweredReason.CALLER_LEFT
    assert entry.unanswered(left) == whole


def test_stream_that_is_broken_off_is_recorded() -> None:
    def break_off(entry: Entry, run: messages.Run) -> None:
        entry.give(run, EVENT, last=False)
        ended = messages.RunEnded(
            request_id=run.request_id,
            kind=errors.ErrorKind.CANCELLED,
            ran=errors.Ran.YES,
            detail="",
            tokens=1,
        )
        entry.dispatcher.handle_run_ended(ended)

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(completion(stream=True))
        assert b"event: error" in await caller.read(b"\r\n0\r\n\r\n")

    entry = run_scenario(break_off, scenario)
    assert entry.unanswered(unanswered.UnansweredReason.BROKEN_OFF) == 1


@pytest.mark.parametrize("answer", [silence, begin])
def test_call_that_outlasts_a_shutdown_is_answered_or_recorded(
    answer: Callable[[Entry, messages.Run], None],
) -> None:
    callers = []

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(completion(stream=True))
        await asyncio.sleep(0.2)
        callers.append(asyncio.create_task(caller.read(b"none", 5.0)))

    entry = run_scenario(answer, scenario, closes=False)
    closed = entry.unanswered(unanswered.UnansweredReason.CLOSED)
    answered = b"marlramp-error: entry_leaving" in callers[0].result()
    assert (closed, answered) == ((1, False) if answer is begin else (0, True))


CHUNKED = b"POST /v1/run-tokens HTTP/1.1\r\ntransfer-encoding: chunked\r\n"
NAMED = CHUNKED + f"marlramp-customer: {conftest.CUSTOMER}\r\n\r\n".encode()


@pytest.mark.parametrize(
    ("first", "endless"),
    [
        (b"", b"\r\n"),
        (b"GET / HTTP/1.1\r\nx: ", b"a"),
        (b"GET / HTTP/1.1\r\n", b"x: a\r\n"),
        (b"GET /", b"a"),
        (NAMED + b"1;", b"a"),
        (NAMED + b"0\r\n", b"x: a\r\n"),
        (NAMED + b"ffffffffff\r\n", b"a"),
        # Refused for its header, the rest of the request follows.
        (CHUNKED + b"\r\nffffffffff\r\n", b"a"),
    ],
)
def test_bytes_without_end_close_the_connection(
    first: bytes, endless: bytes
) -> None:
    async def scenario(entry: Entry, caller: Caller) -> None:
        block = endless * (65_536 // len(endless))
        with contextlib.suppress(ConnectionError):
            caller.writer.write(first)
            async with asyncio.timeout(5.0):
                while True:
                    caller.writer.write(block)
                    await caller.writer.drain()
                    await asyncio.sleep(0.001)

    run_scenario(silence, scenario)


@pytest.mark.parametrize(
    ("first", "second", "answer"),
    [
        (b"", b"", b""),
        (b"\r\n", b"", b""),
        (b"GET /healthz HT", b"", b"408 "),
        (PLAIN[:-1], b"", b"408 "),
        (b"GET /healthz HTTP/1.1\r\n\r\n", b"\r\n", b"200 "),
    ],
)
def test_request_that_does_not_arrive_closes_the_connection(
    first: bytes, second: bytes, answer: bytes
) -> None:
    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(first)
        await asyncio.sleep(0.1)
        caller.writer.write(second)
        given = await caller.read(b"never")
        assert given[9:13] == answer
        assert given.count(b"HTTP/1.1 ") == bool(answer)
        assert not entry.sent

    limits = caller_protocol.Limits(header_timeout_ms=300, body_timeout_ms=300)
    run_scenario(silence, scenario, limits)


def test_whole_request_before_one_without_end_is_answered() -> None:
    def later(entry: Entry, run: messages.Run) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(0.6, entry.give, run, EVENT, DONE)

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(completion(stream=True) + b"GET /" + b"a" * 300_000)
        answer = await caller.read(b"never")
        assert answer.endswith(DONE + b"\r\n0\r\n\r\n")

    limits = caller_protocol.Limits(header_timeout_ms=300)
    run_scenario(later, scenario, limits)


def test_stream_that_its_caller_does_not_read_is_ended() -> None:
    def flood(entry: Entry, run: messages.Run) -> None:
        entry.give(run, *[b"x" * 500_000] * 30, last=False)

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(completion(stream=True))
        await asyncio.sleep(1.0)
        assert entry.dispatcher.active == 0
        reasons = unanswered.UnansweredReason
        slow = entry.unanswered(reasons.CALLER_SLOW)
        assert slow + entry.unanswered(reasons.CALLER_LEFT) == 1

    limits = caller_protocol.Limits(write_stall_ms=300)
    run_scenario(flood, scenario, limits)


def test_answer_without_end_is_not_collected() -> None:
    """All parts of a stream were kept for a caller that wants one document."""

    def flood(entry: Entry, run: messages.Run) -> None:
        entry.give(run, *[b"x" * 1_000_000] * 20, last=False)

    async def scenario(entry: Entry, caller: Caller) -> None:
        caller.writer.write(completion(stream=False))
        answer = await caller.read(b"}}")
        assert b"marlramp-error: answer_incomplete" in answer
        assert b"marlramp-ran: yes" in answer
        assert entry.cancels() == 1

    run_scenario(flood, scenario)
