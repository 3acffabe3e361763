from __future__ import annotations

import msgspec
import pytest

from marlramp.core.configuration import catalog
from marlramp.core.membership import members
from marlramp.direct.fleet import catalog_codec
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

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


@pytest.mark.parametrize(
    "message",
    [
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
