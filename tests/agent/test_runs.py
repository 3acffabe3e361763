"""Answers of engines that are too large for what an agent keeps or sends."""

from __future__ import annotations

import asyncio

import msgspec
import pytest

from marlramp import errors
from marlramp.agent import runs
from marlramp.protocol import codec
from marlramp.protocol import messages
from standins import raw_http
from tests.agent import run_services

LINK_BYTES_MAX = 2 * messages.BODY_BYTES_MAX
"""Size of a message above which an entry closes the link of the agent."""

MIB = 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"


def event(size: int) -> bytes:
    """Returns an event of about `size` bytes as a chunk."""
    data = b'data: {"system_fingerprint": "v1", "x": "%b"}\n\n' % (b"x" * size)
    return b"%x\r\n%b\r\n" % (len(data), data)


def play(
    answer: list[bytes], *, stream: bool, tokens: int = 0, starts: int = 1
) -> run_services.Agent:
    """Runs some requests, whose engine writes the same bytes to each.

    It waits before the last ones.
    """

    async def engine(peer: raw_http.Peer) -> None:
        await peer.read()
        for data in answer[:-1]:
            await peer.write(data)
        await asyncio.sleep(0.2)
        await peer.write(answer[-1])

    async def main() -> run_services.Agent:
        async with raw_http.ScriptedServer(engine) as server:
            agent = run_services.Agent(server.address)
            for number in range(starts):
                run = agent.start(
                    f"run-{number}", stream=stream, from_token=tokens > 0
                )
            for number in range(1, tokens):
                repeat = msgspec.structs.replace(
                    run, request_id=f"{number % 50}"
                )
                agent.runs.start(run_services.ENTRY, repeat)
            await agent.settle()
            return agent

    return asyncio.run(main())


def sizes(agent: run_services.Agent) -> list[int]:
    """Returns the sizes of the messages to the entry."""
    return [len(codec.encode(message)) for message in agent.sent]


@pytest.mark.parametrize(("body_mib", "kind"), [(7, None), (9, "incomplete")])
def test_large_body_does_not_close_the_link(
    body_mib: int, kind: str | None
) -> None:
    """All runs of the agent were lost with its link."""
    size = body_mib * MIB
    head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % size
    agent = play([head, b"x" * size], stream=False)
    incomplete = errors.ErrorKind.ANSWER_INCOMPLETE
    assert agent.ended()[0].kind is (incomplete if kind else None)
    assert max(sizes(agent)) <= LINK_BYTES_MAX


def test_large_events_of_many_runs_do_not_close_the_link(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(runs, "FLUSH_INTERVAL_MS", 300.0)
    answer = [HEAD, event(20), event(MIB * 3 // 4), event(MIB * 3 // 4)]
    done = b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"
    agent = play([*answer, done], stream=True, starts=8)
    assert [ended.kind for ended in agent.ended()] == [None] * 8
    assert max(sizes(agent)) <= LINK_BYTES_MAX


def test_long_detail_is_cut() -> None:
    """A version of a megabyte was sent to the entry and logged."""
    data = b'data: {"system_fingerprint": "%b"}\n\n' % (b"v" * MIB)
    chunk = b"%x\r\n%b\r\n0\r\n\r\n" % (len(data), data)
    agent = play([HEAD, chunk], stream=True)
    assert agent.ended()[0].kind is errors.ErrorKind.VERSION_CHANGED
    assert max(sizes(agent)) < 2_000


def test_answer_of_a_run_token_without_end_is_not_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The parts of a run were kept until it ended, whatever their size."""
    monkeypatch.setattr(runs, "KEPT_BYTES_MAX", MIB)
    answer = [HEAD, *[event(MIB // 4)] * 12]
    agent = play(answer, stream=True, tokens=1)
    assert agent.runs.kept_bytes <= MIB
    assert agent.ended()[0].tokens < 12


def test_repeats_of_a_run_token_are_bounded() -> None:
    """Each repeat received each part, also if it was the same one again."""
    answer = [HEAD, event(20), b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"]
    agent = play(answer, stream=True, tokens=200)
    ended = [message.request_id for message in agent.ended()]
    assert ended.count("run-0") == 1
    kinds = [message.kind for message in agent.ended()]
    assert kinds.count(None) <= runs.SUBSCRIBERS_MAX
