"""Messages between processes on the direct path.

Fields ending in `_ms` are durations, never clock readings, since the clocks of
different VMs are not comparable.
"""

from __future__ import annotations

from typing import Annotated
from typing import TypeAlias
from typing import TypeVar

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

DIGESTS_MAX = 256
"""Most buckets that a set is compared by."""

NEWS_MAX = 1_024
"""Most updates in one message; senders send at most 64 at once."""

ENTRIES_MAX = 256
"""Most entries that one agent exchanges messages with, some twenty usually."""

MEMBERS_MAX = 16_384
"""Most processes in one message, and in one roster."""

VERSIONS_MAX = 4_096
"""Most versions of weights in one message."""

REPLICAS_MAX = 65_536
"""Most replicas in one message."""

_T = TypeVar("_T")
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Digests = Annotated[list[int], msgspec.Meta(max_length=DIGESTS_MAX)]
_News = Annotated[list[_T], msgspec.Meta(max_length=NEWS_MAX)]
_Versions = Annotated[list[_T], msgspec.Meta(max_length=VERSIONS_MAX)]
_OfReplicas = Annotated[list[_T], msgspec.Meta(max_length=REPLICAS_MAX)]
_OfMembers = Annotated[list[_T], msgspec.Meta(max_length=MEMBERS_MAX)]


class _Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """Base class of all messages; the tag on the wire is the class name."""


class Hello(_Message):
    """Announces the sender to another member.

    Attributes:
      news: update on the sender itself.
      sample: some of the other members that the sender knows, but never all of
        them. A member that has only a seed's address discovers others from it.
      reply: whether the receiver must send its own `Hello` in return.
      entries: number of entries by which the sender divides bounds over the
        fleet, 0 if it does not know enough of them yet.
    """

    news: members.MemberUpdate
    sample: _News[members.MemberUpdate]
    reply: bool
    entries: _Count = 0


class MembersNews(_Message):
    """Forwards member updates that were new to the sender."""

    news: _News[members.MemberUpdate]


class Ping(_Message):
    """Checks that an entry is alive, and reports the sender's state.

    Attributes:
      incarnation: incarnation of the sender.
      state: state of the sender.
      digest: digest of the sender's roster.
      revision: revision up to which the sender's catalog is complete.
      crash_digest: digest of the crashes that the sender knows.
      limit_digest: digest of the replica limits that the sender knows.
    """

    incarnation: int
    state: members.MemberState
    digest: int
    revision: int
    crash_digest: int = 0
    limit_digest: int = 0


class Ack(_Message):
    """Replies to a `Ping` with the same fields for the replying entry."""

    incarnation: int
    state: members.MemberState
    digest: int
    revision: int
    crash_digest: int = 0
    limit_digest: int = 0


class ProbeRequest(_Message):
    """Requests that an entry probe another entry on the sender's behalf."""

    vm_id: str


class ProbeReply(_Message):
    """Reports that the entry of a `ProbeRequest` is alive."""

    vm_id: str


class RosterRequest(_Message):
    """Requests the members that the sender may lack.

    Attributes:
      digests: digest of each bucket of the sender's roster.
    """

    digests: _Digests


class CrashNews(_Message):
    """Reports crashes of replicas and the requests in flight there.

    Attributes:
      crashes: the crashes.
      answers: whether this message replies to a request.
    """

    crashes: _News[crash_reports.Crash]
    answers: bool = False


class CrashRequest(_Message):
    """Requests the crashes that the sender may lack.

    Attributes:
      digests: digest of each bucket of the sender's crash ledger.
    """

    digests: _Digests


class CrashDigest(_Message):
    """Reports the digest of the crashes that an agent knows to an entry."""

    digest: int


class LimitNews(_Message):
    """Reports request rate limits of replicas, and limits that have ended."""

    limits: _News[replica_limits.LimitUpdate]


class LimitRequest(_Message):
    """Requests the replica limits that the sender may lack.

    Attributes:
      digests: digest of each bucket of the limits that the sender knows.
    """

    digests: _Digests


class SendRequest(_Message):
    """Requests a reservation to send to a replica that has a rate limit.

    Attributes:
      number: increasing number of this message, repeated in the reply.
      limit: the limit as the sender knows it.
      wait_max_ms: longest time that the request can wait.
    """

    number: int
    limit: replica_limits.LimitUpdate
    wait_max_ms: float


class SendReply(_Message):
    """Replies to a `SendRequest`.

    Attributes:
      number: number of the `SendRequest`.
      wait_ms: time after which the request may be sent, None if that exceeds
        the longest time that it can wait.
      next_ms: time until another request may be sent.
      pause_ms: time during which the receiver must not request another
        reservation for this replica.
      limit: the limit as the replying entry knows it, None if it knows none.
    """

    number: int
    wait_ms: float | None
    next_ms: float
    pause_ms: float
    limit: replica_limits.LimitUpdate | None


class SendReserved(_Message):
    """Reports a reservation to another entry that limits the same replica."""

    limit: replica_limits.LimitUpdate


class StoreBeacon(_Message):
    """Reports an entry's access to the store, periodically while it reads it.

    Attributes:
      revision: revision up to which the sender's catalog is complete.
      store_age_ms: time since the store last answered the sender.
      served: whether the store answered the sender's last call.
    """

    revision: int
    store_age_ms: float
    served: bool


class CatalogNews(_Message):
    """Carries all changes of the catalog between two revisions.

    Attributes:
      after: revision after which the changes are complete.
      revision: revision up to which the changes are complete.
      changes: the changes, encoded and compressed.
      pass_on: whether the receiver must forward the changes to the entries of
        its region. A change is thus sent to another region once or twice
        instead of once per entry.
      told_near: whether the sender sends this to all entries of its region.
      evacuations: the changes of evacuations. They are not among `changes`, so
        that a process of an earlier release, which ignores this field, can
        decode the other changes during a rolling upgrade.
      query: number of the `CatalogRequest` that this replies to, 0 if none.
      listed_revision: revision of the last complete read of the store, 0 if the
        receiver does not need it.
      listed: ids of the replicas that existed at `listed_revision` or were
        added since, if that is set.
    """

    after: int
    revision: int
    changes: bytes
    pass_on: bool = False
    told_near: bool = False
    evacuations: _News[catalog.EvacuationChange] = []
    query: int = 0
    listed_revision: int = 0
    listed: _OfReplicas[str] = []


class CatalogRequest(_Message):
    """Requests the changes of the catalog after a revision.

    Attributes:
      after: the revision.
      query: number that the reply must repeat, 0 if none. A process of an
        earlier release replies without it.
    """

    after: int
    query: int = 0


class VersionAgesRequest(_Message):
    """Requests the times at which versions of weights were announced.

    Attributes:
      number: increasing number of this message, repeated in the reply.
    """

    number: int


class VersionAges(_Message):
    """Replies to a `VersionAgesRequest`.

    Attributes:
      number: number of the `VersionAgesRequest`.
      versions: the versions that the sender knows, with their ages at the time
        of the reply.
      complete_revision: revision of the store's last change at the latest time
        when the store is known to have had no later change.
      complete_age_ms: time since then, None if it is not known.
    """

    number: int
    versions: _Versions[named_versions.AgedVersion]
    complete_revision: int = 0
    complete_age_ms: float | None = None


class EngineNews(_Message):
    """An agent's load report of its engine, None while that is unavailable."""

    report: replica_view.LoadReport | None


class AgedReport(msgspec.Struct, frozen=True, array_like=True):
    """Load report of an engine and its age at the time of sending."""

    report: replica_view.LoadReport
    age_ms: float


class EngineDigest(_Message):
    """Load reports of the engines of a cell, for the entries of other cells.

    Attributes:
      reports: the reports.
      pass_on: whether the receiver must forward them to the entries of its
        cell.
    """

    reports: _News[AgedReport]
    pass_on: bool


class OwnLoads(_Message):
    """Reports the load that the sending entry causes at replicas.

    Attributes:
      loads: the loads; unless `whole` is set, only those that changed.
      whole: whether `loads` is complete, so that the sender causes no load at
        any other replica.
    """

    loads: _OfReplicas[peer_loads.OwnLoad]
    whole: bool = False


class Guide(_Message):
    """Provides an agent with the weights to load and their origin.

    Attributes:
      targets: target versions, with their revisions and ages.
      engine: specification of the engines of the agent's service, None if it is
        not known.
      origin: "host:port" of the origin, "" if it is not known.
      streams_resume: whether all streaming routes allow a stream to be resumed
        at another engine.
      revision: revision of the configuration that this is derived from.
      neighbours: number of the last `Neighbours` message that was sent.
    """

    targets: _Versions[catalog.TargetChange]
    engine: fleet.EngineSpec | None
    origin: str
    streams_resume: bool
    revision: int
    neighbours: int = 0


class Neighbours(_Message):
    """Updates the set of processes that an agent communicates with.

    Attributes:
      after: number of the set that this update is based on, 0 if the update
        contains the complete set.
      number: number of the resulting set.
      entries: all entries that the agent reports to and receives `Guide`
        messages from.
      joined: other agents with a responding engine, added since `after`.
      left: VMs of the agents removed since `after`.
    """

    after: int
    number: int
    entries: Annotated[
        list[members.Member], msgspec.Meta(max_length=ENTRIES_MAX)
    ]
    joined: _OfMembers[members.Member]
    left: _OfMembers[str]


class NeighboursRequest(_Message):
    """Requests the complete set of neighbours after missed updates."""


class FragmentRequest(_Message):
    """Requests a fragment of a piece."""

    manifest: str
    index: _Count
    offset: _Count


class FragmentReply(_Message):
    """Replies to a `FragmentRequest`, without data if it can't be sent now."""

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
"""Messages that distribute weights between processes."""

AboutLimits: TypeAlias = (
    LimitNews | LimitRequest | SendRequest | SendReply | SendReserved
)
"""Messages between entries about the rate limits of replicas."""

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
