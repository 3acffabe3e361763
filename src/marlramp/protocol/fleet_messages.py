"""Messages between processes on the direct path.

Fields ending in `_ms` are durations, never clock readings, since clocks of
different VMs are not comparable.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from marlramp.core import catalog
from marlramp.core import fleet
from marlramp.core import members
from marlramp.core import peer_loads
from marlramp.core import replica_view
from marlramp.protocol import messages

FRAGMENT_BYTES_MAX = 65_536

_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """Base of all messages; the tag is the class name."""


class Hello(_Message):
    """Opens a link: who sends, and the others that it knows.

    Attributes:
      member: the sender.
      others: members that the sender heard lately, or was told of.
      reply: whether the receiver is to say hello too.
    """

    member: members.Member
    others: list[members.Member]
    reply: bool


class MembersFound(_Message):
    """Members that the sender has just learnt of."""

    found: list[members.Member]


class Heartbeat(_Message):
    """Sent by an entry at a steady rate."""

    pulse: members.Pulse


class CatalogNews(_Message):
    """Changes of the catalog, complete from one revision to another.

    Attributes:
      after: revision after which the changes are complete.
      revision: revision up to which they are.
      changes: the changes, encoded and compressed.
    """

    after: int
    revision: int
    changes: bytes


class CatalogRequest(_Message):
    """Asks for the changes after a revision."""

    after: int


class EngineNews(_Message):
    """An agent's report of the engine beside it, None while it is away."""

    report: replica_view.LoadReport | None


class OwnLoads(_Message):
    """What an entry has under way, at the replicas where that changed."""

    loads: list[peer_loads.OwnLoad]


class Guide(_Message):
    """What an agent needs to know: the weights to load and where to get them.

    Attributes:
      targets: weights named, with their revisions and ages.
      engine: the engines of the agent's service, None if it is not known.
      origin: "host:port" of the origin, "" if it is not known.
      streams_resume: whether every stream may go on at another engine.
      agents: agents that the sender hears and whose engine answers.
      entries: entries that the sender hears, itself too.
      revision: revision of the configuration that this comes from.
    """

    targets: list[catalog.TargetChange]
    engine: fleet.EngineSpec | None
    origin: str
    streams_resume: bool
    agents: list[members.Member]
    entries: list[members.Member]
    revision: int


class FragmentRequest(_Message):
    """Asks for a part of a piece."""

    manifest: str
    index: _Count
    offset: _Count


class FragmentReply(_Message):
    """A part of a piece, or None if the sender can't give it now."""

    manifest: str
    index: _Count
    offset: _Count
    data: Annotated[bytes, msgspec.Meta(max_length=FRAGMENT_BYTES_MAX)] | None


type FromMember = (
    Hello
    | MembersFound
    | Heartbeat
    | CatalogNews
    | CatalogRequest
    | EngineNews
    | OwnLoads
    | Guide
)

type FromAgentPeer = (
    messages.PeerHello
    | messages.PeerHave
    | messages.ManifestRequest
    | messages.ManifestReply
    | FragmentRequest
    | FragmentReply
)
