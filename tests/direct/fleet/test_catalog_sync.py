"""Tests of evacuations between a reader of the store and another entry."""

from __future__ import annotations

import types
from typing import cast

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import resume_guard
from marlramp.core.membership import members
from marlramp.direct.fleet import catalog_codec
from marlramp.direct.fleet import catalog_sync
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

DC = ids.DataCentreId("dc-1")
EVACUATE_MS = 5_000.0


class Entry:
    """An entry of one region whose messages reach the other one, or none."""

    def __init__(self, name: str, time: clock.ManualClock) -> None:
        self.name = name
        self.time = time
        self.other: Entry | None = None
        self.known = catalog.Catalog([DC])
        self.seen: list[catalog.Change] = []
        self.roster = types.SimpleNamespace(
            own=types.SimpleNamespace(vm_id=name)
        )
        self.catalog_sync = catalog_sync.CatalogSync(
            self.known,
            cast("member_sync.MemberSync", self),
            self.seen.extend,
            time,
            evacuate_ms=EVACUATE_MS,
        )

    def alive(self, kind: members.MemberKind) -> list[members.Member]:
        if self.other is None:
            return []
        return [members.Member(self.other.name, kind, "dc-2", "10.0.0.1", 1)]

    def is_near(self, member: members.Member) -> bool:
        return True

    def send_all(self, names: list[str], message: msgspec.Struct) -> None:
        for name in names:
            self.send(name, message)

    def send(self, name: str, message: msgspec.Struct) -> None:
        if self.other is None:
            return
        match message:
            case fleet_messages.CatalogNews():
                self.other.catalog_sync.on_updates(self.name, message)
            case fleet_messages.CatalogRequest():
                self.other.catalog_sync.send_changes(
                    self.name, message.after, message.query
                )

    def read(self, snapshot: catalog.Snapshot, time: clock.Clock) -> None:
        """Reads the whole store and publishes what is new."""
        before = self.known.revision
        new = self.known.apply_snapshot(snapshot, time.now_ms())
        if new:
            self.catalog_sync.publish(before, new)

    def hear(self, other: Entry) -> None:
        """Hears the revision of another entry's catalog."""
        self.catalog_sync.on_revision(
            other.name, other.known.revision, reading=False
        )


@pytest.fixture
def reader(time: clock.ManualClock) -> Entry:
    return Entry("reader", time)


@pytest.fixture
def peer(time: clock.ManualClock) -> Entry:
    return Entry("peer", time)


def connect(reader: Entry, peer: Entry) -> None:
    reader.other, peer.other = peer, reader


START = catalog.EvacuationChange(9, DC, active=True)
END = catalog.EvacuationChange(20, DC, active=False)


@pytest.mark.parametrize("is_lost", [False, True])
def test_evacuation_reaches_an_entry_that_does_not_read(
    is_lost: bool, reader: Entry, peer: Entry, time: clock.ManualClock
) -> None:
    """Guards against a lost message that leaves an entry without a change."""
    for snapshot, change, state in (
        (catalog.Snapshot(9, [START]), START, {DC}),
        (catalog.Snapshot(20, []), END, set()),
    ):
        if is_lost:
            reader.other = peer.other = None
        else:
            connect(reader, peer)
        reader.read(snapshot, time)
        connect(reader, peer)
        peer.hear(reader)
        assert peer.known.evacuated == state
        assert peer.seen[-1] == change
        time.advance(catalog_sync.REQUEST_MS)


def test_reader_that_never_knew_an_evacuation_ends_it_at_a_peer(
    reader: Entry, peer: Entry, time: clock.ManualClock
) -> None:
    """Guards against an evacuation that no process ends any more."""
    peer.known.apply([START], time.now_ms())
    peer.known.advance(9)
    reader.read(catalog.Snapshot(20, []), time)
    connect(reader, peer)
    peer.hear(reader)
    assert peer.known.evacuated == set()
    assert peer.seen == [END]
    peer.catalog_sync.publish(0, [START])
    assert reader.known.evacuated == set()


def suspend_across(change: catalog.Change, reader: Entry, peer: Entry) -> None:
    """Suspends an entry while the other one reads a change."""
    reader.other = None
    reader.read(catalog.Snapshot(change.revision, [change]), reader.time)
    reader.time.advance(resume_guard.SUSPENSION_MIN_MS)
    reader.catalog_sync.tick()
    connect(reader, peer)


def test_resumed_entry_holds_requests_until_it_knows_the_evacuation(
    reader: Entry, peer: Entry
) -> None:
    """Guards against requests that waited in sockets and are read first."""
    connect(reader, peer)
    reader.catalog_sync.holds_requests()
    suspend_across(START, reader, peer)
    reader.time.advance(resume_guard.HOLD_MAX_MS)
    assert peer.catalog_sync.holds_requests()
    assert peer.known.evacuated == set()
    peer.catalog_sync.tick()
    assert peer.known.evacuated == {DC}
    assert not peer.catalog_sync.holds_requests()


def test_changes_sent_before_the_suspension_do_not_end_the_hold(
    reader: Entry, peer: Entry
) -> None:
    """Guards against news that a socket kept during the suspension."""
    connect(reader, peer)
    suspend_across(START, reader, peer)
    reader.time.advance(resume_guard.HOLD_MAX_MS)
    assert peer.catalog_sync.holds_requests()
    reader.catalog_sync.publish(0, [START])
    assert peer.catalog_sync.holds_requests()


def test_entry_that_holds_requests_confirms_nothing(
    reader: Entry, peer: Entry, time: clock.ManualClock
) -> None:
    """Guards against two resumed entries that confirm their old catalogs."""
    connect(reader, peer)
    time.advance(resume_guard.SUSPENSION_MIN_MS)
    assert reader.catalog_sync.holds_requests()
    peer.catalog_sync.tick()
    assert peer.catalog_sync.holds_requests()
    time.advance(resume_guard.HOLD_MAX_MS)
    assert not peer.catalog_sync.holds_requests()


def test_release_without_evacuations_decodes_the_other_changes() -> None:
    """Guards against a rolling upgrade in which configurations are dropped."""

    class EarlierNews(msgspec.Struct, array_like=True, tag="CatalogNews"):
        after: int
        revision: int
        changes: bytes
        pass_on: bool = False
        told_near: bool = False

    replica = catalog.ReplicaChange(4, "i-1", None)
    changes = [replica, catalog.EvacuationChange(5, DC, active=True)]
    news = fleet_messages.CatalogNews(
        after=3,
        revision=5,
        changes=catalog_codec.pack(changes),
        evacuations=catalog_codec.evacuations_of(changes),
    )
    earlier = msgspec.msgpack.decode(
        msgspec.msgpack.encode(news), type=EarlierNews
    )
    assert catalog_codec.unpack(earlier.changes) == [replica]
