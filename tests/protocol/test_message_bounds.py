from __future__ import annotations

import msgspec
import pytest

from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.crashes import crash_reports
from marlramp.core.membership import members
from marlramp.core.replicas import replica_limits
from marlramp.core.replicas import replica_view
from marlramp.direct.fleet import catalog_codec
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

LONG = "x" * 1_025
MEMBER = members.Member("m", members.MemberKind.AGENT, "a", "h", 1)


def news(member: members.Member) -> fleet_messages.MembersNews:
    update = members.MemberUpdate(member, 1, members.MemberState.READY)
    return fleet_messages.MembersNews(news=[update] * 64)


def hello(bitmap_bytes: int) -> messages.PeerHello:
    bitmap = b"\xff" * bitmap_bytes
    return messages.PeerHello(
        vm_id="m", manifest="m@1", held=bitmap, seen=b"", reply=False
    )


def have(index: int, count: int = 1) -> messages.PeerHave:
    return messages.PeerHave(manifest="m@1", indexes=[index] * count, seen=[])


def crash(crash_id: str, fingerprint: str = "") -> fleet_messages.CrashNews:
    suspect = crash_reports.Suspect(ids.Fingerprint(fingerprint), False)
    found = crash_reports.Crash(ids.CrashId(crash_id), 0.0, [suspect])
    return fleet_messages.CrashNews(crashes=[found])


def limits(replica_id: str) -> fleet_messages.LimitNews:
    update = replica_limits.LimitUpdate(replica_id, None, 1.0, 0.0)
    return fleet_messages.LimitNews(limits=[update])


def engine(address: str) -> fleet_messages.EngineNews:
    report = replica_view.LoadReport(
        address=address, weights=1, running=0, waiting=0, pace=1.0, opens=True
    )
    return fleet_messages.EngineNews(report=report)


@pytest.mark.parametrize(
    "message",
    [
        crash(LONG),
        crash("", LONG),
        limits(LONG),
        engine(LONG),
        hello(8_193),
        have(65_536),
        have(0, 65_537),
        fleet_messages.RosterRequest(digests=[0] * 257),
        fleet_messages.MembersNews(news=news(MEMBER).news * 17),
        news(msgspec.structs.replace(MEMBER, vm_id="m" * 257)),
        fleet_messages.Neighbours(
            after=0, number=1, entries=[MEMBER] * 257, joined=[], left=[]
        ),
        fleet_messages.Neighbours(
            after=0, number=1, entries=[], joined=[], left=[""] * 16_385
        ),
        fleet_messages.CatalogNews(
            after=0, revision=1, changes=b"", listed=[""] * 65_537
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_message_cannot_fill_the_memory_of_its_receiver(
    message: msgspec.Struct,
) -> None:
    with pytest.raises(codec.DecodeError):
        codec.member_decoder().decode(codec.encode(message))


@pytest.mark.parametrize(
    "message",
    [
        crash("x" * 256, "x" * 256),
        limits("x" * 256),
        engine("x" * 256),
        hello(8_192),
        have(65_535, 65_536),
        news(MEMBER),
        fleet_messages.Neighbours(
            after=0,
            number=1,
            entries=[MEMBER] * 24,
            joined=[MEMBER] * 1_100,
            left=["m"] * 1_100,
        ),
        fleet_messages.CatalogNews(
            after=0, revision=1, changes=b"", listed=["r"] * 11_000
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_messages_of_the_largest_fleet_are_accepted(
    message: msgspec.Struct,
) -> None:
    decoded = codec.member_decoder().decode(codec.encode(message))
    assert decoded == message


def test_changes_beyond_the_bound_are_refused() -> None:
    change = catalog.ReplicaChange(1, "r", None)
    packed = catalog_codec.pack([change] * 65_537)
    with pytest.raises(msgspec.ValidationError):
        catalog_codec.unpack(packed)
