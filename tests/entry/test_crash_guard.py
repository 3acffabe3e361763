"""Requests that crash engines on the grants path, from agent to entry."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.agent import engine_crashes
from marlramp.core.grant_calls import calls
from marlramp.core.grant_calls import queueing
from marlramp.core.grant_calls import run_tokens
from marlramp.entry import call as call_module
from marlramp.entry import crash_guard
from marlramp.protocol import messages
from marlramp.shell import address_probe
from tests.entry import conftest

DEADLINE_MS = 60_000.0
TOKEN = run_tokens.RunToken(
    ids.VmId("vm-0"), 1, 7, conftest.STOCK, conftest.CUSTOMER
)


def spec(name: str) -> calls.CallSpec:
    return calls.CallSpec(
        call_id=ids.RequestId("call"),
        customer_id=ids.CustomerId("customer"),
        service_id=ids.ServiceId("pool"),
        priority=queueing.Priority.NORMAL,
        deadline_ms=DEADLINE_MS,
        idempotent=True,
        method="POST",
        path="/v1/completions",
        content_type="application/json",
        body=name.encode(),
        stream=True,
        tokens=10,
        prefix="",
    )


def run_of(name: str) -> messages.Run:
    """Returns the run that an entry sends for `spec(name)`."""
    call = spec(name)
    return messages.Run(
        request_id=f"attempt-{name}",
        incarnation=1,
        number=1,
        method=call.method,
        path=call.path,
        content_type=call.content_type,
        body=call.body,
        stream=call.stream,
        priority=call.priority,
        remaining_ms=DEADLINE_MS,
        resume_from=0,
        version="",
        caller_id="call",
        from_token=False,
        idempotent=True,
    )


class Agent:
    """An agent whose upstream crashes, linked to some entries."""

    def __init__(
        self, number: int, entries: list[crash_guard.CrashGuard]
    ) -> None:
        self.presence = address_probe.Presence.GONE
        self.totals = counters.Counters()
        self._entries = entries
        self.crashes = engine_crashes.EngineCrashes(
            f"vm-{number}",
            "127.0.0.1:1",
            self._probe,
            self._send_all,
            self.totals,
            clock.SystemClock(),
        )

    async def _probe(self, address: str) -> address_probe.Presence:
        return self.presence

    def _send_all(self, message: messages.FromAgent) -> None:
        assert isinstance(message, messages.EngineCrashed)
        for entry in self._entries:
            entry.handle_crash(message)

    async def crash(self, *names: str) -> None:
        """Loses runs, in the order of their names."""
        for name in names:
            self.crashes.record_lost(run_of(name), begun=False)
        await asyncio.sleep(engine_crashes.GATHER_MS / 1_000.0 + 0.02)


@pytest.fixture
def entries() -> list[crash_guard.CrashGuard]:
    """Two entries."""
    return [
        crash_guard.CrashGuard(counters.Counters(), clock.SystemClock())
        for _ in range(2)
    ]


class Sender:
    """Fake sender that records the runs that are sent."""

    def __init__(self) -> None:
        self.sent: list[messages.FromEntry] = []

    def send(self, vm_id: ids.VmId, message: messages.FromEntry) -> bool:
        del vm_id
        self.sent.append(message)
        return True


def state(name: str, *, maybe_ran: bool = False) -> calls.CallState:
    found = calls.CallState(spec(name), 2, 50.0)
    found.maybe_ran = maybe_ran
    return found


def test_request_that_crashes_engines_is_refused_by_all_entries(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> None:
        for number in range(3):
            assert entries[1].refusal(state("culprit")) is None
            await Agent(number, entries).crash("culprit", f"beside-{number}")

    asyncio.run(play())
    for entry in entries:
        refusal = entry.refusal(state("culprit"))
        assert refusal is not None
        assert refusal.kind is errors.ErrorKind.CRASHES_UPSTREAMS
        assert refusal.ran is errors.Ran.NO
        assert entry.refusal(state("beside-0")) is None


def test_request_at_two_crashes_is_not_sent_again_after_a_run(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> None:
        for number in range(2):
            await Agent(number, entries).crash("culprit")

    asyncio.run(play())
    assert entries[0].refusal(state("culprit")) is None
    refusal = entries[0].refusal(state("culprit", maybe_ran=True))
    assert refusal is not None
    assert refusal.ran is errors.Ran.UNKNOWN


def test_run_lost_at_an_engine_that_listens_is_no_crash(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> None:
        for number in range(3):
            agent = Agent(number, entries)
            agent.presence = address_probe.Presence.THERE
            await agent.crash("request")
            assert not agent.crashes.known()

    asyncio.run(play())
    assert entries[0].refusal(state("request")) is None


def test_request_that_succeeds_elsewhere_is_cleared(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> None:
        for number in range(4):
            entries[0].record_success(spec("popular"))
            await Agent(number, entries).crash("popular")

    asyncio.run(play())
    assert entries[0].refusal(state("popular")) is None


def test_runs_lost_in_one_crash_are_reported_as_one(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> Agent:
        agent = Agent(0, entries)
        await agent.crash("first", "second")
        await agent.crash("late")
        return agent

    agent = asyncio.run(play())
    (known,) = agent.crashes.known()
    assert len(known.crash.suspects) == 3


def test_entry_that_starts_later_learns_the_crashes_of_its_agents(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> list[Agent]:
        agents = [Agent(number, entries[:1]) for number in range(3)]
        for agent in agents:
            await agent.crash("culprit")
        return agents

    for agent in asyncio.run(play()):
        for message in agent.crashes.known():
            entries[1].handle_crash(message)
    assert entries[1].refusal(state("culprit")) is not None


def submit(built: conftest.Built, name: str) -> call_module.Call:
    """Submits a call with a run token."""
    call = msgspec.structs.replace(
        spec(name),
        service_id=conftest.STOCK,
        customer_id=conftest.CUSTOMER,
        stream=False,
    )
    return built.dispatcher.submit(call, TOKEN)


def test_call_that_crashes_engines_ends_without_a_run(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> None:
        for number in range(3):
            await Agent(number, entries).crash("culprit")
        sender = Sender()
        built = conftest.build(sender, entries[0], clock.ManualClock())
        call = submit(built, "culprit")
        assert call.failure is not None
        assert call.failure.kind is errors.ErrorKind.CRASHES_UPSTREAMS
        assert call.failure.ran is errors.Ran.NO
        assert sender.sent == []
        assert built.dispatcher.active == 0

    asyncio.run(play())


def test_call_that_becomes_known_to_crash_engines_is_not_sent_again(
    entries: list[crash_guard.CrashGuard],
) -> None:
    async def play() -> None:
        sender = Sender()
        built = conftest.build(sender, entries[0], clock.ManualClock())
        call = submit(built, "culprit")
        (run,) = sender.sent
        assert isinstance(run, messages.Run)
        for number in range(3):
            await Agent(number, entries).crash("culprit")
        built.dispatcher.handle_run_ended(
            messages.RunEnded(
                request_id=run.request_id,
                kind=errors.ErrorKind.UPSTREAM_BUSY,
                ran=errors.Ran.NO,
                detail="",
                tokens=0,
            )
        )
        await asyncio.sleep(0.1)
        assert call.failure is not None
        assert call.failure.kind is errors.ErrorKind.CRASHES_UPSTREAMS
        assert sender.sent == [run]

    asyncio.run(play())
