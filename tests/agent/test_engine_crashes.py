"""Runs that the crash of an engine ends, on the grants path."""

from __future__ import annotations

import asyncio

import pytest

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import ids
from marlramp.agent import engine_crashes
from marlramp.agent import runs
from marlramp.core.grant_calls import grants
from marlramp.core.grant_calls import queueing
from marlramp.protocol import messages
from marlramp.shell import address_probe
from marlramp.shell import http
from standins import raw_http

ENTRY = ids.VmId("entry-0")
INCARNATION = ids.Incarnation(1)
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


class Agent:
    """The runs of an agent before a scripted engine."""

    def __init__(self, address: str) -> None:
        self.sent: list[messages.FromAgent] = []
        time = clock.SystemClock()
        totals = counters.Counters()
        self.crashes = engine_crashes.EngineCrashes(
            "vm-0", address, address_probe.probe, self.sent.append, totals, time
        )
        self._ledger = grants.GrantLedger(INCARNATION, 8, 60_000.0, 60_000.0)
        self._ledger.open()
        self._runs = runs.RunService(
            self._ledger,
            http.HttpClient(),
            f"http://{address}",
            self,
            self,
            totals,
            time,
            lambda: None,
            lambda run, begun: self.crashes.record_lost(run, begun=begun),
        )
        self._time = time

    def serving_version(self) -> ids.VersionId | None:
        return ids.VersionId("v1")

    def handle_unexpected_version(self, version: ids.VersionId) -> None:
        raise AssertionError(version)

    def send(self, entry_id: ids.VmId, message: messages.FromAgent) -> None:
        self.sent.append(message)

    def ended(self) -> list[messages.RunEnded]:
        return [m for m in self.sent if isinstance(m, messages.RunEnded)]

    def reported(self) -> list[messages.EngineCrashed]:
        return [m for m in self.sent if isinstance(m, messages.EngineCrashed)]

    def start(self, name: str) -> None:
        """Starts a streaming run with a grant of its own."""
        now_ms = self._time.now_ms()
        held = self._ledger.running_count + 1
        (number,) = self._ledger.issue(ENTRY, held, now_ms)
        run = messages.Run(
            request_id=name,
            incarnation=INCARNATION,
            number=number,
            method="POST",
            path="/v1/completions",
            content_type="application/json",
            body=name.encode(),
            stream=True,
            priority=queueing.Priority.NORMAL,
            remaining_ms=5_000.0,
            resume_from=0,
            version="",
            caller_id=name,
            from_token=False,
            idempotent=True,
        )
        self._runs.start(ENTRY, run)

    async def settle(self) -> None:
        await self._runs.wait_idle()
        await asyncio.sleep(engine_crashes.GATHER_MS / 1_000.0 + 0.1)


@pytest.mark.parametrize("resets", [True, False])
def test_crash_of_the_engine_names_the_runs_in_flight(resets: bool) -> None:
    async def hold(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(HEAD)
        await peer.read()

    async def play() -> Agent:
        async with raw_http.ScriptedServer(hold) as engine:
            agent = Agent(engine.address)
            agent.start("first")
            agent.start("second")
            await asyncio.sleep(0.2)
            engine.crash(resets=resets)
            await agent.settle()
            return agent

    agent = asyncio.run(play())
    (report,) = agent.reported()
    assert len(report.crash.suspects) == 2
    kinds = {ended.kind for ended in agent.ended()}
    assert kinds == {errors.ErrorKind.ANSWER_INCOMPLETE}


def test_stream_that_an_engine_cuts_and_survives_is_no_crash() -> None:
    async def cut(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(HEAD)
        peer.reset()

    async def play() -> Agent:
        async with raw_http.ScriptedServer(cut) as engine:
            agent = Agent(engine.address)
            agent.start("first")
            await agent.settle()
            return agent

    agent = asyncio.run(play())
    assert len(agent.ended()) == 1
    assert agent.reported() == []
