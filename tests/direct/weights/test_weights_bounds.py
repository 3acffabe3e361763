"""What a faulty process sends about weights is kept with a bound."""

from __future__ import annotations

import asyncio
import json

import msgspec
import pytest

from marlramp import clock
from marlramp.core.weights import manifest
from marlramp.direct.weights import piece_exchange
from marlramp.direct.weights import piece_relay
from marlramp.direct.weights import piece_uploads
from marlramp.direct.weights import version_digests
from marlramp.protocol import codec
from marlramp.protocol import messages
from tests.direct.weights import test_check_loop
from tests.direct.weights import test_piece_relay
from tests.direct.weights import test_piece_uploads

exchange = test_check_loop.exchange
chunk_set = test_piece_uploads.chunk_set


class Links:
    """Links that accept every message and deliver none."""

    def __init__(self) -> None:
        self.opened: set[str] = set()

    def open(self, name: str, host: str, port: int) -> bool:
        self.opened.add(name)
        return True

    def close(self, name: str) -> None:
        self.opened.discard(name)

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return True

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        return True


def test_requests_for_one_piece_are_bounded(
    chunk_set: manifest.ChunkSet,
) -> None:
    request = test_piece_uploads.request(0, 0)
    sent = asyncio.run(
        test_piece_uploads.serve(chunk_set, [("vm-1", request)] * 500)
    )
    assert len(sent.replies) <= piece_uploads.UPLOADS_MAX


def test_digests_that_nobody_seeks_are_not_kept() -> None:
    digests = version_digests.VersionDigests(
        "own", list, lambda _, __: True, clock.SystemClock()
    )
    for version in range(100):
        found = {**msgspec.to_builtins(test_piece_relay.FOUND)}
        found["version"] = str(version)
        reply = messages.ManifestReply(
            manifest=f"m@{version}", data=json.dumps(found).encode()
        )
        digests.on_reply(reply)
    assert not digests.chunk_sets


def test_pending_requests_for_digests_are_bounded() -> None:
    digests = version_digests.VersionDigests(
        "own", list, lambda _, __: True, clock.SystemClock()
    )
    for number in range(9_000):
        request = messages.ManifestRequest(manifest="m@1")
        digests.on_request(f"vm-{number}", request)
    assert len(digests._pending_requests["m@1"]) <= 2_048


def test_relay_forgets_processes_that_came_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(piece_relay, "PROCESSES_MAX", 16, raising=False)
    wanted = test_piece_relay.NEWEST
    entry = test_piece_relay.Entry()

    async def act(relay: piece_relay.PieceRelay) -> None:
        version = relay._add_version(wanted)
        await test_piece_relay.until(lambda: version.fetch is not None)
        assert version.fetch is not None
        hello = test_piece_relay.hello(wanted)
        hello.held = b"\xff" * 8_192
        for number in range(100):
            relay.on_message(f"vm-{number}", hello)
        assert len(version.subscribers) <= 16
        assert len(version.fetch._holders[0]) <= 16
        assert len(version.fetch._holders) == len(test_piece_relay.PIECES)
        assert "vm-99" in version.subscribers

    test_piece_relay.run_relay(entry, test_piece_relay.Origin(), act)


def test_agent_forgets_silent_processes_that_are_no_peers(
    time: clock.ManualClock, exchange: piece_exchange.PieceExchange
) -> None:
    links = Links()
    for index, piece in enumerate(test_check_loop.PIECES):
        exchange.add(test_check_loop.WANTED, index, piece)
    exchange.attach(links)
    exchange.set_peers({"vm-2": test_check_loop.agent("vm-2")}, {"vm-2"})
    exchange._tick()
    hello = test_piece_relay.hello(test_check_loop.WANTED)
    for number in range(100):
        exchange.on_message(f"stranger-{number}", hello)
    exchange.set_peers({}, set())
    time.advance(1_300.0)
    exchange._tick()
    assert "vm-2" in links.opened
    time.advance(1_000.0)
    exchange._tick()
    assert not exchange._last_message_ms
    assert exchange._swarm is not None
    assert not exchange._swarm.peer_ids
    assert "vm-2" not in links.opened
