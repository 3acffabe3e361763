"""Tests an entry that relays pieces, in a scripted fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import hashlib

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.weights import chunk_bitmap
from marlramp.core.weights import manifest
from marlramp.core.weights import relay_assignment
from marlramp.direct.weights import piece_relay
from marlramp.direct.weights import version_digests
from marlramp.platform import clients
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

PIECES = [bytes([n]) * 64 for n in range(8)]
OTHERS = [f"mate-{number}" for number in range(1, 5)]
NEWEST = version_digests.ModelVersion("m", 2)
FIRST = version_digests.ModelVersion("m", 1)
FOUND = manifest.Manifest(
    model="m",
    version="2",
    chunk_bytes=64,
    total_bytes=512,
    chunks=[hashlib.sha256(piece).hexdigest() for piece in PIECES],
    whole="",
)


class Origin:
    """Records the fetched pieces; the first `corrupt_count` are corrupt."""

    def __init__(self) -> None:
        self.fetched: list[int] = []
        self.corrupt_count = 0

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        return msgspec.structs.replace(FOUND, version=str(version))

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        self.fetched.append(index)
        if self.corrupt_count > 0:
            self.corrupt_count -= 1
            return b"wrong"
        return PIECES[index]


class UnreachableOrigin(Origin):
    """Records the requested pieces and is unreachable."""

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        self.fetched.append(index)
        raise clients.UnreachedError("the origin is unreachable")


class ForgetfulOrigin(Origin):
    """Has dropped all versions, and records the requests for digests."""

    def __init__(self) -> None:
        super().__init__()
        self.sought: list[int] = []

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        self.sought.append(version)
        raise clients.PlatformError("status 410")


class Entry:
    """A single entry in its region; records the messages of the relay."""

    def __init__(self, piece_ms: float = 1.0) -> None:
        self.named = [NEWEST]
        self.origin_piece_ms = piece_ms
        self.entry_locations = {
            "own": relay_assignment.Location("north", "north/0")
        }
        self.sent: list[tuple[str, msgspec.Struct]] = []

    def locations(self) -> dict[str, relay_assignment.Location]:
        return self.entry_locations

    def wanted(self) -> list[version_digests.ModelVersion]:
        return self.named

    def piece_ms(self) -> float:
        return self.origin_piece_ms

    def origin_connections(self) -> int:
        return 48

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        return 0.0

    def send_piece_message(self, name: str, message: msgspec.Struct) -> bool:
        self.sent.append((name, message))
        return True

    def announced(self, name: str) -> set[int]:
        """Returns the pieces that were announced to a process."""
        found: set[int] = set()
        for to, message in self.sent:
            if to != name:
                continue
            if isinstance(message, messages.PeerHave):
                found.update(message.indexes)
            if isinstance(message, messages.PeerHello):
                found.update(chunk_bitmap.from_bitmap(message.held))
        return found


def hello(wanted: version_digests.ModelVersion) -> messages.PeerHello:
    return messages.PeerHello(
        vm_id=ids.VmId("vm-1"),
        manifest=wanted.name,
        held=b"",
        seen=b"",
        reply=True,
    )


def run_relay(
    entry: Entry,
    origin: Origin,
    act: Callable[[piece_relay.PieceRelay], Awaitable[None]],
) -> None:
    async def main() -> None:
        relay = piece_relay.PieceRelay(
            "own", entry, 1e9, counters.Counters(), clock.SystemClock()
        )
        relay.set_origin(origin)
        running = asyncio.create_task(relay.run())
        relay.wake()
        await act(relay)
        running.cancel()

    asyncio.run(main())


async def until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(3.0):
        while not holds():
            await asyncio.sleep(0.01)


def test_named_version_is_fetched_once_and_announced() -> None:
    entry, origin = Entry(), Origin()

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", hello(NEWEST))
        await until(lambda: entry.announced("vm-1") == set(range(8)))

    run_relay(entry, origin, act)
    assert sorted(origin.fetched) == list(range(8))


def test_pieces_in_common_with_an_older_version_are_not_fetched_again() -> None:
    entry, origin = Entry(), Origin()

    async def act(relay: piece_relay.PieceRelay) -> None:
        await until(lambda: len(origin.fetched) == 8)
        relay.on_message("vm-1", hello(FIRST))
        await until(lambda: entry.announced("vm-1") == set(range(8)))

    run_relay(entry, origin, act)
    assert len(origin.fetched) == 8


def test_newer_version_that_is_requested_is_fetched() -> None:
    entry, origin = Entry(), Origin()
    entry.named = [FIRST]

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", hello(NEWEST))
        await until(lambda: entry.announced("vm-1") == set(range(8)))

    run_relay(entry, origin, act)


@pytest.mark.parametrize("requested", [True, False])
def test_digests_of_an_old_version_are_sought_only_for_agents(
    requested: bool,
) -> None:
    """Guards against a search without an end for what the origin dropped."""
    entry, origin = Entry(), ForgetfulOrigin()
    entry.named = [FIRST]
    request = messages.ManifestRequest(manifest=FIRST.name)

    async def act(relay: piece_relay.PieceRelay) -> None:
        await until(lambda: FIRST.version in origin.sought)
        entry.named = [NEWEST]
        if requested:
            relay.on_message("vm-1", request)
        await until(lambda: NEWEST.version in origin.sought)
        await asyncio.sleep(0.2)
        origin.sought.clear()
        await asyncio.sleep(0.8)
        assert NEWEST.version in origin.sought
        assert (FIRST.version in origin.sought) is requested

    run_relay(entry, origin, act)


def test_version_of_an_unknown_model_is_not_fetched() -> None:
    entry, origin = Entry(), Origin()

    async def act(relay: piece_relay.PieceRelay) -> None:
        await until(lambda: len(origin.fetched) == 8)
        for name in ("other@1", "nothing", "m@x"):
            unknown = msgspec.structs.replace(hello(NEWEST), manifest=name)
            relay.on_message("vm-1", unknown)
        await asyncio.sleep(0.1)

    run_relay(entry, origin, act)
    assert len(origin.fetched) == 8
    assert entry.announced("vm-1") == set()


def test_newest_version_is_kept_whatever_agents_request() -> None:
    entry, origin = Entry(), Origin()
    entry.named = [version_digests.ModelVersion("m", 9)]

    async def act(relay: piece_relay.PieceRelay) -> None:
        await until(lambda: len(origin.fetched) == 8)
        for version in range(1, 9):
            relay.on_message(
                "vm-1", hello(version_digests.ModelVersion("m", version))
            )
        await asyncio.sleep(0.05)
        entry.sent.clear()
        relay.on_message("vm-1", hello(entry.named[0]))
        assert entry.announced("vm-1") == set(range(8))

    run_relay(entry, origin, act)


def test_corrupt_bytes_of_the_origin_are_fetched_again() -> None:
    entry, origin = Entry(), Origin()
    origin.corrupt_count = 3

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", hello(NEWEST))
        await until(lambda: entry.announced("vm-1") == set(range(8)))

    run_relay(entry, origin, act)
    assert len(origin.fetched) == 11


def test_piece_that_never_matches_is_fetched_seldom() -> None:
    """Guards against a wrong digest that keeps the origin's link busy."""
    entry, origin = Entry(), Origin()
    origin.corrupt_count = 1_000

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", hello(NEWEST))
        await asyncio.sleep(1.5)

    run_relay(entry, origin, act)
    # Two without delay, then after 0.1, 0.2, 0.4 and 0.8 s.
    assert len(PIECES) <= len(origin.fetched) <= 6 * len(PIECES)


def test_only_pieces_that_no_process_holds_are_retried_in_rotation() -> None:
    """In a rotation of all eight, each piece is retried every 0.8 s.

    That makes four attempts in 2 s, too few for the test to pass.
    """
    entry, origin = Entry(piece_ms=100.0), UnreachableOrigin()
    entry.entry_locations = {
        name: entry.entry_locations["own"] for name in ("own", *OTHERS)
    }
    assignments = relay_assignment.assignments(
        "own", entry.entry_locations, FOUND.chunks
    )
    seen = chunk_bitmap.to_bitmap(set(range(8)) - assignments.keys())
    announced = msgspec.structs.replace(hello(NEWEST), seen=seen)

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", announced)
        async with asyncio.timeout(2.0):
            while origin.fetched.count(min(assignments)) < 6:
                await asyncio.sleep(0.02)

    run_relay(entry, origin, act)


def test_held_piece_is_served_and_an_unknown_one_refused() -> None:
    entry, origin = Entry(), Origin()

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", hello(NEWEST))
        await until(lambda: entry.announced("vm-1") == set(range(8)))
        for index in (3, 60):
            relay.on_message(
                "vm-1",
                fleet_messages.FragmentRequest(
                    manifest=NEWEST.name, index=index, offset=0
                ),
            )
        await asyncio.sleep(0.05)

    run_relay(entry, origin, act)
    replies = {
        message.index: message.data
        for _, message in entry.sent
        if isinstance(message, fleet_messages.FragmentReply)
    }
    assert replies == {3: PIECES[3], 60: None}


def test_entry_that_leaves_passes_on_pieces_in_flight() -> None:
    entry, origin = Entry(), Origin()

    async def act(relay: piece_relay.PieceRelay) -> None:
        relay.on_message("vm-1", hello(NEWEST))
        await until(lambda: bool(origin.fetched))
        entry.entry_locations = {}
        await until(lambda: entry.announced("vm-1") == set(range(8)))

    run_relay(entry, origin, act)


def test_entry_that_knows_no_relays_fetches_nothing() -> None:
    entry, origin = Entry(), Origin()
    entry.entry_locations = {}

    async def act(relay: piece_relay.PieceRelay) -> None:
        await asyncio.sleep(0.1)

    run_relay(entry, origin, act)
    assert origin.fetched == []
