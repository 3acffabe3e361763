"""Runs that the crash of an engine ends, on the grants path."""

from __future__ import annotations

import asyncio

import pytest

from marlramp import errors
from standins import raw_http
from tests.agent import run_services

HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
    b"transfer-encoding: chunked\r\n\r\n"
)


@pytest.mark.parametrize("resets", [True, False])
def test_crash_of_the_engine_names_the_runs_in_flight(resets: bool) -> None:
    async def hold(peer: raw_http.Peer) -> None:
        await peer.read()
        await peer.write(HEAD)
        await peer.read()

    async def play() -> run_services.Agent:
        async with raw_http.ScriptedServer(hold) as engine:
            agent = run_services.Agent(engine.address)
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

    async def play() -> run_services.Agent:
        async with raw_http.ScriptedServer(cut) as engine:
            agent = run_services.Agent(engine.address)
            agent.start("first")
            await agent.settle()
            return agent

    agent = asyncio.run(play())
    assert len(agent.ended()) == 1
    assert agent.reported() == []
