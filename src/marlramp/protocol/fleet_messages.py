"""Messages between processes on the direct path.

Fields ending in `_ms` are durations, never clock readings, since clocks of
different VMs are not comparable.
"""

from __future__ import annotations

from typing import Annotated
from typing import TypeAlias

import msgspec

from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.configuration import named_versions
from marlramp.core.crashes import crash_reports
from marlramp.core.membership import members
from marlramp.core.replicas import peer_loads
from marlramp.core.replicas import replica_limits
from marlramp.core.replicas import replica_view
from marlramp.protocol import messages

FRAGMENT_BYTES_MAX = 65_536

_Count = Annotated[int, msgspec.Meta(ge=0)]


class _Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """Base of all messages; the tag is the class name."""


class Hello(_Message):
    """Introduces the sender.

    Attributes:
      news: the sender's own news.
      sample: some other members that it knows, so that one that knew only a
        seed finds more; never all of them.
      reply: whether the receiver is to introduce itself too.
    """

    news: members.MemberUpdate
    sample: list[members.MemberUpdate]
    reply: bool


class MembersNews(_Message):
    """News of members that were new to the sender."""

    news: list[members.MemberUpdate]


class Ping(_Message):
    """Asks whether an entry is there, and tells what the sender has.

    Attributes:
      incarnation: the sender's.
      state: the sender's.
      digest: digest of the sender's roster.
      revision: revision up to which the sender knows the catalog.
      crash_digest: digest of the crashes that the sender knows.
      limit_digest: digest of the replicas that name a limit, as it knows them.
    """

    incarnation: int
    state: members.MemberState
    digest: int
    revision: int
    crash_digest: int = 0
    limit_digest: int = 0


class Ack(_Message):
    """Answers a ping with the same about the answering entry."""

    incarnation: int
    state: members.MemberState
    digest: int
    revision: int
    crash_digest: int = 0
    limit_digest: int = 0


class ProbeRequest(_Message):
    """Asks an entry to find out whether another one is there."""

    vm_id: str


class ProbeReply(_Message):
    """Tells that an entry asked about is there."""

    vm_id: str


class RosterRequest(_Message):
    """Asks for members that the sender may not know.

    Attributes:
      digests: digest of each bucket of its roster.
    """

    digests: list[int]


class CrashNews(_Message):
    """Crashes of replicas, and the requests that were under way there.

    Attributes:
      crashes: the crashes.
      answers: whether they answer a request.
    """

    crashes: list[crash_reports.Crash]
    answers: bool = False


class CrashRequest(_Message):
    """Asks for crashes that the sender may not know.

    Attributes:
      digests: digest of each bucket of its ledger.
    """

    digests: list[int]


class CrashDigest(_Message):
    """Tells an entry what crashes an agent knows, by their digest."""

    digest: int


class LimitNews(_Message):
    """Limits that replicas name, or name no more."""

    limits: list[replica_limits.LimitUpdate]


class LimitRequest(_Message):
    """Asks for limits that the sender may not know.

    Attributes:
      digests: digest of each bucket of the limits that it knows.
    """

    digests: list[int]


class SendRequest(_Message):
    """Asks when a request may be sent to a replica that names a limit.

    Attributes:
      number: number of the question, rising.
      limit: the limit as the sender knows it.
      wait_max_ms: how long the request can wait.
    """

    number: int
    limit: replica_limits.LimitUpdate
    wait_max_ms: float


class SendReply(_Message):
    """Answers a `SendRequest`.

    Attributes:
      number: number of the question.
      wait_ms: in how many milliseconds the request may be sent; None if it
        can't wait so long.
      next_ms: time until the next one may be sent.
      pause_ms: time in which the sender is not to ask for this replica again.
      limit: the limit as the answering entry knows it, None if it knows none.
    """

    number: int
    wait_ms: float | None
    next_ms: float
    pause_ms: float
    limit: replica_limits.LimitUpdate | None


class SendReserved(_Message):
    """Tells another entry that reserves for a replica of a request."""

    limit: replica_limits.LimitUpdate


class StoreBeacon(_Message):
    """Sent at a steady rate by each entry that watches the store.

    Attributes:
      revision: revision up to which it knows the catalog.
      store_age_ms: time since the store last answered it.
      served: whether the store answered its last call.
    """

    revision: int
    store_age_ms: float
    served: bool


class CatalogNews(_Message):
    """Changes of the catalog, complete from one revision to another.

    Attributes:
      after: revision after which the changes are complete.
      revision: revision up to which they are.
      changes: the changes, encoded and compressed.
      pass_on: whether the receiver is to tell the entries of its region, so
        that a change crosses to a region once or twice, not once an entry.
      told_near: whether the sender tells all entries of its region.
      evacuations: the changes of evacuations. They are not among `changes`, so
        that a process of an earlier release, which ignores this field, can
        decode the other changes during a rolling upgrade.
      query: number of the query that this answers, 0 if it answers none.
      listed_revision: revision of the last complete read of the store, 0 if the
        receiver need not know it.
      listed: ids of the replicas that exist, if that revision is given.
    """

    after: int
    revision: int
    changes: bytes
    pass_on: bool = False
    told_near: bool = False
    evacuations: list[catalog.EvacuationChange] = []
    query: int = 0
    listed_revision: int = 0
    listed: list[str] = []


class CatalogRequest(_Message):
    """Asks for the changes after a revision.

    Attributes:
      after: the revision.
      query: number that the answer repeats, 0 if it need not. A process of an
        earlier release answers without it.
    """

    after: int
    query: int = 0


class VersionAgesRequest(_Message):
    """Asks when versions of weights were named.

    Attributes:
      number: number of the question, rising.
    """

    number: int


class VersionAges(_Message):
    """Answers a `VersionAgesRequest`.

    Attributes:
      number: number of the question.
      versions: the versions known, with their ages as of the answer.
      complete_revision: revision of the last change that the store held when
        it was last known to hold no more.
      complete_age_ms: how long ago that was, None if it is not known.
    """

    number: int
    versions: list[named_versions.AgedVersion]
    complete_revision: int = 0
    complete_age_ms: float | None = None


class EngineNews(_Message):
    """An agent's report of the engine beside it, None while it is away."""

    report: replica_view.LoadReport | None


class AgedReport(msgspec.Struct, frozen=True, array_like=True):
    """A report of an engine and how old it was when it was sent."""

    report: replica_view.LoadReport
    age_ms: float


class EngineDigest(_Message):
    """Reports of the engines of a cell, for the entries of other cells.

    Attributes:
      reports: the reports.
      pass_on: whether the receiver is to tell the entries of its cell.
    """

    reports: list[AgedReport]
    pass_on: bool


class OwnLoads(_Message):
    """What an entry has under way.

    Attributes:
      loads: at the replicas where that changed.
      whole: whether it has nothing under way at any other replica.
    """

    loads: list[peer_loads.OwnLoad]
    whole: bool = False


class Guide(_Message):
    """What an agent needs to know of the weights to load.

    Attributes:
      targets: weights named, with their revisions and ages.
      engine: the engines of the agent's service, None if it is not known.
      origin: "host:port" of the origin, "" if it is not known.
      streams_resume: whether every stream may go on at another engine.
      revision: revision of the configuration that this comes from.
      neighbours: number of the neighbours last told, see `Neighbours`.
    """

    targets: list[catalog.TargetChange]
    engine: fleet.EngineSpec | None
    origin: str
    streams_resume: bool
    revision: int
    neighbours: int = 0


class Neighbours(_Message):
    """The processes that an agent deals with, as changes.

    Attributes:
      after: number of the neighbours that this changes, 0 for none: then all
        are named.
      number: number of the neighbours that come of it.
      entries: entries to report to and to be guided by, all of them.
      joined: other agents whose engine answers, that came since.
      left: VMs of those that went since.
    """

    after: int
    number: int
    entries: list[members.Member]
    joined: list[members.Member]
    left: list[str]


class NeighboursRequest(_Message):
    """Asks for all neighbours, since changes were missed."""


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


FromAgentPeer: TypeAlias = (
    messages.PeerHello
    | messages.PeerHave
    | messages.ManifestRequest
    | messages.ManifestReply
    | FragmentRequest
    | FragmentReply
)
"""What processes tell one another of weights."""

AboutLimits: TypeAlias = (
    LimitNews | LimitRequest | SendRequest | SendReply | SendReserved
)
"""What entries tell one another of limits that replicas name."""

FromMember: TypeAlias = (
    Hello
    | MembersNews
    | Ping
    | Ack
    | ProbeRequest
    | ProbeReply
    | RosterRequest
    | CrashNews
    | CrashRequest
    | CrashDigest
    | AboutLimits
    | StoreBeacon
    | CatalogNews
    | CatalogRequest
    | VersionAgesRequest
    | VersionAges
    | EngineNews
    | EngineDigest
    | OwnLoads
    | Guide
    | Neighbours
    | NeighboursRequest
    | FromAgentPeer
)
