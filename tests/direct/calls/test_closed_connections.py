"""Closed connections, whose requests are freed at once."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
import contextlib
import gc

import pytest

from marlramp.direct.calls import attempts
from marlramp.direct.calls import call as call_module
from marlramp.direct.calls import sender
from marlramp.shell import http1_client
from marlramp.shell import http1_server
from standins import raw_http
from tests.direct import conftest
from tests.direct.calls import test_crashing_parts as crashing_parts

KEPT_BY_A_REQUEST = (
    http1_server.ServerConnection,
    http1_server.Request,
    http1_server.Responder,
    call_module.Call,
    attempts.Attempt,
    attempts.StreamRelay,
    sender.SendResult,
)

SETTLE_S = 0.05


@contextlib.contextmanager
def without_collector() -> Iterator[None]:
    """Switches off the collection of reference cycles."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def kept(*kinds: type) -> list[object]:
    return [item for item in gc.get_objects() if isinstance(item, kinds)]


def request(path: str, *headers: str) -> bytes:
    lines = [f"POST {path} HTTP/1.1", "host: a.example", "x-attempt-id: id-1"]
    return "\r\n".join([*lines, *headers, "\r\n"]).encode()


async def answer_plainly(peer: raw_http.Peer) -> None:
    while (received := await peer.read()) is not None:
        await peer.answer(received, 200, b"done", x_replica_signature="s")


async def refuse(peer: raw_http.Peer) -> None:
    while (received := await peer.read()) is not None:
        await peer.answer(received, 503, x_not_executed="1")


async def send_nothing(peer: raw_http.Peer) -> None:
    await peer.read()
    await asyncio.sleep(1)


BODY = b"x" * 100
WHOLE = f"content-length: {len(BODY)}"


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="idle"),
        pytest.param(request("/safe/x", WHOLE)[:-9], id="unfinished head"),
        pytest.param(request("/safe/x", WHOLE) + BODY[:-1], id="unfinished"),
        pytest.param(
            request("/safe/x", "transfer-encoding: chunked") + b"9\r\nabc",
            id="unfinished chunk",
        ),
        pytest.param(
            request("/safe/x", f"content-length: {2**30}") + BODY,
            id="too large",
        ),
        pytest.param(
            request("/safe/x", "transfer-encoding: chunked") + b"no chunk\r\n",
            id="malformed",
        ),
        pytest.param(request("/safe/x", WHOLE) + BODY, id="served"),
        pytest.param(request("/stream/x", WHOLE) + BODY, id="stream"),
        pytest.param(request("/none/x", WHOLE) + BODY, id="no route"),
        pytest.param((request("/safe/x", WHOLE) + BODY) * 3, id="pipelined"),
    ],
)
@pytest.mark.parametrize(
    "scripts",
    [
        pytest.param([answer_plainly], id="answers"),
        pytest.param([crashing_parts.whole], id="streams"),
        pytest.param([refuse], id="refuses"),
        pytest.param([refuse, answer_plainly], id="refuses, answers"),
        pytest.param([send_nothing], id="silent"),
    ],
)
def test_closed_connection_and_its_requests_are_freed_at_once(
    data: bytes, scripts: list[raw_http.Script], run_entry: conftest.RunEntry
) -> None:
    """Guards against bodies that a cycle keeps until it is collected."""

    async def use(entry: conftest.Entry) -> None:
        assert entry.server._server is not None
        port = entry.server._server.sockets[0].getsockname()[1]
        with without_collector():
            before = len(kept(*KEPT_BY_A_REQUEST))
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            await asyncio.sleep(SETTLE_S)
            writer.transport.abort()
            await asyncio.sleep(SETTLE_S)
            assert len(kept(*KEPT_BY_A_REQUEST)) == before

    run_entry(use, *scripts)


@pytest.mark.parametrize(
    "script",
    [
        pytest.param(answer_plainly, id="answers"),
        pytest.param(crashing_parts.whole, id="streams"),
        pytest.param(send_nothing, id="silent"),
    ],
)
def test_closed_connection_to_a_replica_is_freed_at_once(
    script: raw_http.Script, run_entry: conftest.RunEntry
) -> None:
    """Guards against the same cycle at the client's side."""

    async def use(entry: conftest.Entry) -> None:
        with without_collector():
            await entry.call("/safe/x", wait_ms=200)
            entry.forwarder.forget(["i-0"])
            await asyncio.sleep(SETTLE_S)
            assert not kept(http1_client.ReplicaConnection)

    run_entry(use, script)
