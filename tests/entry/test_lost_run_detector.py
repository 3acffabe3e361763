"""Detection of runs whose messages were lost on the link to the agent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import grants
from marlramp.core.grant_calls import queueing
from marlramp.core.grant_calls import run_tokens
from marlramp.entry import crash_guard
from marlramp.entry import lost_run_detector
from marlramp.protocol import messages
from tests.entry import conftest

VM = ids.VmId("vm-1")
DEADLINE_MS = 15_000.0
TOKEN = run_tokens.RunToken(VM, 1, 7, conftest.STOCK, conftest.CUSTOMER)


class Agent:
    """Fake sender that records the messages to an agent."""

    def __init__(self) -> None:
        self.sent: list[messages.FromEntry] = []

    def send(self, vm_id: ids.VmId, message: messages.FromEntry) -> bool:
        del vm_id
        self.sent.append(message)
        return True

    def runs(self) -> list[messages.Run]:
        return [m for m in self.sent if isinstance(m, messages.Run)]

    def queries(self) -> list[messages.RunQuery]:
        return [m for m in self.sent if isinstance(m, messages.RunQuery)]


class Entry:
    """A dispatcher with one call in progress at one agent."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        self.agent = Agent()
        built = conftest.build(
            self.agent,
            crash_guard.CrashGuard(counters.Counters(), self.time),
            self.time,
        )
        self.agent_queries = built.queries
        self.dispatcher = built.dispatcher
        spec = calls.CallSpec(
            call_id=ids.RequestId("slot-4"),
            customer_id=conftest.CUSTOMER,
            service_id=conftest.STOCK,
            priority=queueing.Priority.NORMAL,
            deadline_ms=DEADLINE_MS,
            idempotent=False,
            method="POST",
            path="/slots",
            content_type="text/plain",
            body=b"slot 4",
            stream=False,
            tokens=0,
            prefix="",
        )
        self.call = self.dispatcher.submit(spec, TOKEN)

    async def advance_past_silence(self) -> None:
        """Advances the clock until the agent is queried, and ticks once."""
        self.time.advance(lost_run_detector.RUN_SILENCE_MAX_MS)
        self.dispatcher.tick()
        await asyncio.sleep(0)

    async def reply_with(self, state: grants.RunState) -> None:
        """Replies to the latest query with a state of the run."""
        query = self.agent.queries()[-1]
        self.agent_queries.handle_reply(
            messages.RunStatus(request_id=query.request_id, state=state)
        )
        for _ in range(5):
            await asyncio.sleep(0)


def run_scenario(scenario: Callable[[Entry], Awaitable[None]]) -> None:
    async def main() -> None:
        await scenario(Entry())

    asyncio.run(main())


@pytest.mark.parametrize(
    "state", [grants.RunState.NOT_STARTED, grants.RunState.SUCCEEDED]
)
def test_run_lost_by_a_link_is_resent(state: grants.RunState) -> None:
    """After a suspension of its VM an entry waited for the call's deadline."""

    async def scenario(entry: Entry) -> None:
        assert len(entry.agent.runs()) == 1
        await entry.advance_past_silence()
        await entry.reply_with(state)
        first, second = entry.agent.runs()
        assert (second.number, second.request_id) == (
            first.number,
            first.request_id,
        )
        assert not entry.call.ended

    run_scenario(scenario)


def test_running_run_is_not_resent() -> None:
    async def scenario(entry: Entry) -> None:
        for _ in range(3):
            await entry.advance_past_silence()
            await entry.reply_with(grants.RunState.RUNNING)
        assert len(entry.agent.queries()) == 3
        assert len(entry.agent.runs()) == 1
        assert not entry.call.ended

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("state", "ran"),
    [
        (grants.RunState.VOID, errors.Ran.NO),
        (grants.RunState.UNKNOWN, errors.Ran.UNKNOWN),
    ],
)
def test_void_or_unknown_run_fails_at_once(
    state: grants.RunState, ran: errors.Ran
) -> None:
    async def scenario(entry: Entry) -> None:
        await entry.advance_past_silence()
        await entry.reply_with(state)
        assert entry.call.ended
        assert entry.call.failure is not None
        assert entry.call.failure.ran is ran
        assert len(entry.agent.runs()) == 1

    run_scenario(scenario)


def test_silent_agent_is_queried_again() -> None:
    async def scenario(entry: Entry) -> None:
        await entry.advance_past_silence()
        await entry.advance_past_silence()
        assert len(entry.agent.queries()) == 2
        assert not entry.call.ended

    run_scenario(scenario)


def test_lost_run_of_a_second_attempt_is_resent() -> None:
    """The headers of the first attempt ended the watch over all later ones."""

    async def scenario(entry: Entry) -> None:
        (first,) = entry.agent.runs()
        call = entry.call
        entry.dispatcher.handle_headers(
            messages.RunHeaders(
                request_id=first.request_id, status=404, content_type="a/b"
            )
        )
        failure = errors.ErrorKind.UPSTREAM_BUSY
        entry.dispatcher.handle_run_ended(
            messages.RunEnded(
                request_id=first.request_id,
                kind=failure,
                ran=errors.Ran.NO,
                detail="",
                tokens=0,
            )
        )
        await asyncio.sleep(0.1)
        assert len(entry.agent.runs()) == 2
        await entry.advance_past_silence()
        await entry.reply_with(grants.RunState.NOT_STARTED)
        assert len(entry.agent.runs()) == 3
        second = entry.agent.runs()[-1].request_id
        # The status belongs to the body that the caller gets.
        entry.dispatcher.handle_headers(
            messages.RunHeaders(
                request_id=second, status=201, content_type="a/b"
            )
        )
        part = assembly.Part(0, b"x", ids.VersionId(""), last=True)
        answer = messages.AnswerParts(ids.RequestId(second), [part])
        entry.dispatcher.handle_parts(messages.PartsBatch(answers=[answer]))
        assert (call.status, call.failure) == (201, None)

    run_scenario(scenario)
