"""Detection of runs whose messages were lost on the link to the agent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.core import agent_table
from marlramp.core import calls
from marlramp.core import grants
from marlramp.core import queueing
from marlramp.core import run_tokens
from marlramp.entry import admission
from marlramp.entry import agent_queries
from marlramp.entry import dispatcher
from marlramp.entry import run_watch
from marlramp.experiments import documents
from marlramp.protocol import messages
from marlramp.settings import store

CUSTOMER = ids.CustomerId("crews")
STOCK = ids.ServiceId("stock")
VM = ids.VmId("vm-1")
DEADLINE_MS = 15_000.0
TOKEN = run_tokens.RunToken(VM, 1, 7, STOCK, CUSTOMER)


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
        keys = [
            documents.TRADE_BODY_KEY,
            documents.MEMBER_KEY,
            documents.DEPLOYMENT_KEY,
        ]
        texts = [
            documents.base([CUSTOMER]),
            documents.base([]),
            documents.deployment({}, [STOCK]),
        ]
        settings = store.SettingsStore(keys)
        for key, text in zip(keys, texts, strict=True):
            settings.offer(messages.Document(key, 1, text))
        table = agent_table.AgentTable(settings.tree.effective)
        rng = random.Random(1)
        self.agent_queries = agent_queries.AgentQueries(
            ids.VmId("entry-0"), table, self.agent, rng
        )
        self.dispatcher = dispatcher.Dispatcher(
            settings,
            table,
            admission.Admission(settings, table),
            self.agent_queries,
            self.agent,
            counters.Counters(),
            self.time,
            rng,
        )
        spec = calls.CallSpec(
            call_id=ids.RequestId("slot-4"),
            customer_id=CUSTOMER,
            service_id=STOCK,
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

    async def pass_silence(self) -> None:
        """Advances the clock until the agent is queried, and ticks once."""
        self.time.advance(run_watch.SILENT_RUN_MS)
        self.dispatcher.tick()
        await asyncio.sleep(0)

    async def answer(self, state: grants.RunState) -> None:
        """Replies to the latest query with a state of the run."""
        query = self.agent.queries()[-1]
        self.agent_queries.handle_reply(
            messages.RunStatus(request_id=query.request_id, state=state)
        )
        for _ in range(5):
            await asyncio.sleep(0)


def play(use: Callable[[Entry], Awaitable[None]]) -> None:
    async def main() -> None:
        await use(Entry())

    asyncio.run(main())


@pytest.mark.parametrize(
    "state", [grants.RunState.NOT_STARTED, grants.RunState.SUCCEEDED]
)
def test_run_that_a_link_lost_is_sent_again(state: grants.RunState) -> None:
    """After a suspension of its VM an entry waited for the call's deadline."""

    async def use(entry: Entry) -> None:
        assert len(entry.agent.runs()) == 1
        await entry.pass_silence()
        await entry.answer(state)
        first, second = entry.agent.runs()
        assert (second.number, second.request_id) == (
            first.number,
            first.request_id,
        )
        assert not entry.call.ended

    play(use)


def test_run_that_goes_on_is_not_sent_again() -> None:
    async def use(entry: Entry) -> None:
        for _ in range(3):
            await entry.pass_silence()
            await entry.answer(grants.RunState.RUNNING)
        assert len(entry.agent.queries()) == 3
        assert len(entry.agent.runs()) == 1
        assert not entry.call.ended

    play(use)


@pytest.mark.parametrize(
    ("state", "ran"),
    [
        (grants.RunState.VOID, errors.Ran.NO),
        (grants.RunState.UNKNOWN, errors.Ran.UNKNOWN),
    ],
)
def test_run_that_can_not_start_any_more_ends_at_once(
    state: grants.RunState, ran: errors.Ran
) -> None:
    async def use(entry: Entry) -> None:
        await entry.pass_silence()
        await entry.answer(state)
        assert entry.call.ended
        assert entry.call.failure is not None
        assert entry.call.failure.ran is ran
        assert len(entry.agent.runs()) == 1

    play(use)


def test_agent_that_does_not_answer_is_asked_again() -> None:
    async def use(entry: Entry) -> None:
        await entry.pass_silence()
        await entry.pass_silence()
        assert len(entry.agent.queries()) == 2
        assert not entry.call.ended

    play(use)
