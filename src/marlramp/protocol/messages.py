"""Messages between entries and agents, and between agents.

Every message travels in an `Envelope` that carries the protocol version.
Fields ending in `_ms` are durations, never clock readings, since clocks of
different VMs are not comparable.
"""

from __future__ import annotations

import enum
from typing import Annotated
from typing import TypeAlias

import msgspec

from marlramp import counters
from marlramp import errors
from marlramp.core.crashes import crash_reports
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import grants
from marlramp.core.grant_calls import queueing

PROTOCOL_VERSION = 1

RAN_OF_STATE = {
    grants.RunState.NOT_STARTED: errors.Ran.UNKNOWN,
    grants.RunState.RUNNING: errors.Ran.YES,
    grants.RunState.SUCCEEDED: errors.Ran.YES,
    grants.RunState.FAILED: errors.Ran.YES,
    grants.RunState.VOID: errors.Ran.NO,
    grants.RunState.UNKNOWN: errors.Ran.UNKNOWN,
}
"""What a run's state says to a caller; only VOID proves that it never ran."""

CHUNK_BYTES_MAX = 64 * 1024 * 1024
MESSAGE_BYTES_MAX = CHUNK_BYTES_MAX + 64 * 1024
BODY_BYTES_MAX = 4 * 1024 * 1024
ID_LENGTH_MAX = 256
LIST_LENGTH_MAX = 65_536

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=ID_LENGTH_MAX)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Duration = Annotated[float, msgspec.Meta(ge=0)]
_Body = Annotated[bytes, msgspec.Meta(max_length=BODY_BYTES_MAX)]


class _Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """Base of all messages; the tag is the class name."""


class Document(msgspec.Struct, frozen=True, array_like=True):
    """One settings document as published.

    Attributes:
      key: its key in the configuration service.
      revision: rising number given by that service.
      text: the TOML text.
    """

    key: str
    revision: int
    text: str


class AgentState(enum.Enum):
    """What an agent tells entries about itself."""

    STARTING = "starting"
    READY = "ready"
    SUSPENDED = "suspended"
    LEAVING = "leaving"


class AgentReport(_Message):
    """Full state of an agent, sent when a link starts and after a change.

    Attributes:
      vm_id: the agent's VM.
      data_centre_id: where it is.
      incarnation: the agent's incarnation.
      service_id: the service its upstream belongs to.
      state: whether it takes work.
      model: model the upstream serves, empty for a plain service.
      version: version the upstream serves, empty for a plain service.
      target_version: version it should serve by the settings.
      chunks_held: verified chunks of the target version.
      chunks_total: chunks of the target version.
      capacity: most requests at once.
      sent_bytes: weight bytes sent to other agents.
      origin_bytes: weight bytes drawn from origin and store.
      note: what the agent waits for, in words.
    """

    vm_id: _Id
    data_centre_id: _Id
    incarnation: int
    service_id: _Id
    state: AgentState
    model: str
    version: str
    target_version: str
    chunks_held: _Count
    chunks_total: _Count
    capacity: _Count
    sent_bytes: _Count
    origin_bytes: _Count
    note: str


class AgentHeartbeat(_Message):
    """Small regular message of an agent; the link tells who it is from.

    Attributes:
      running: requests running.
      reported_load: load reported by the upstream, None if it reports none.
      report_age_ms: age of that report.
      revisions: settings revisions in force, by level, -1 for none.
    """

    running: _Count
    reported_load: float | None
    report_age_ms: _Duration
    revisions: list[int]


class AgentCounters(_Message):
    """Counters of an agent that changed since it last sent them."""

    values: list[counters.CounterValue]


class CachedPrefixes(_Message):
    """Digests of the prompt prefixes the engine is believed to cache."""

    digests: list[str]


class SwapRequest(_Message):
    """Asks an entry whether this agent may stop serving to swap versions.

    The same round may be asked again; the permit then lasts `hold_ms` from
    the last question.
    """

    version: str
    round_number: _Count
    hold_ms: _Duration


class SwapWithdrawal(_Message):
    """Gives back the permit of a round, and of those before it."""

    round_number: _Count


class SwapAnswer(_Message):
    """An entry's answer to `SwapRequest`; a permit lapses after `ttl_ms`."""

    version: str
    round_number: _Count
    granted: bool
    ttl_ms: _Duration


class GrantsIssued(_Message):
    """New grants for one entry, numbered in a row from `first`."""

    incarnation: int
    first: int
    count: Annotated[int, msgspec.Meta(ge=0, le=LIST_LENGTH_MAX)]
    ttl_ms: _Duration


class AnswerParts(msgspec.Struct, frozen=True, array_like=True):
    """Parts of one answer."""

    request_id: _Id
    parts: list[assembly.Part]


class PartsBatch(_Message):
    """Parts of many answers, sent together at a short interval."""

    answers: list[AnswerParts]


class RunHeaders(_Message):
    """Status and content type of an answer, sent before its parts."""

    request_id: _Id
    status: int
    content_type: str


class RunEnded(_Message):
    """A run ended after its last part, or failed.

    Attributes:
      request_id: the request.
      kind: why it failed, None when it succeeded.
      ran: whether it ran.
      detail: explanation of a failure.
      tokens: tokens generated.
    """

    request_id: _Id
    kind: errors.ErrorKind | None
    ran: errors.Ran
    detail: str
    tokens: _Count


class EngineCrashed(_Message):
    """A crash of the agent's upstream, with the requests in flight there."""

    crash: crash_reports.Crash


class Reserved(_Message):
    """Answer to `Reserve`; `number` is None when none can be given."""

    request_id: _Id
    incarnation: int
    number: int | None
    ttl_ms: _Duration


class RunStatus(_Message):
    """Answer to `RunQuery` and to `Cancel`."""

    request_id: _Id
    state: grants.RunState

    @property
    def ran(self) -> errors.Ran:
        """What the state says to a caller."""
        return RAN_OF_STATE[self.state]


class EntryHeartbeat(_Message):
    """State of an entry, sent to each of its agents at a fixed pace.

    Attributes:
      demand: requests that this entry runs at the agent or would send to it.
      leaving: whether the entry is shutting down.
      revisions: settings revisions in force, by level, -1 for none.
    """

    demand: _Count
    leaving: bool
    revisions: list[int]


class Run(_Message):
    """Asks an agent to run one request against one grant.

    Attributes:
      request_id: the request, unique per try.
      incarnation: incarnation that the grant belongs to.
      number: the grant.
      method: HTTP method.
      path: HTTP path at the upstream.
      content_type: type of the body.
      body: the request body.
      stream: whether the answer is a stream of events.
      priority: the request's priority.
      remaining_ms: time left until the deadline.
      resume_from: parts already delivered by another replica.
      version: version needed to resume, empty if any will do.
      caller_id: the caller's request id, the same on every try.
      from_token: whether the grant is behind a run token.
      idempotent: whether the request may reach the upstream twice.
    """

    request_id: _Id
    incarnation: int
    number: int
    method: str
    path: str
    content_type: str
    body: _Body
    stream: bool
    priority: queueing.Priority
    remaining_ms: _Duration
    resume_from: _Count = 0
    version: str = ""
    caller_id: str = ""
    from_token: bool = False
    idempotent: bool = True


class Cancel(_Message):
    """Voids a grant, or stops its run when `stop` is set."""

    request_id: _Id
    incarnation: int
    number: int
    stop: bool


class Reserve(_Message):
    """Asks for a grant behind a run token."""

    request_id: _Id


class RunQuery(_Message):
    """Asks what became of a grant."""

    request_id: _Id
    incarnation: int
    number: int


class SettingsOffer(_Message):
    """Documents that the receiver has older revisions of."""

    documents: list[Document]


class ReportRequest(_Message):
    """Asks an agent that is heard but not known for its full state."""


class DrainOrder(_Message):
    """An operator's order to an agent to drain."""

    reason: str


class PeerHello(_Message):
    """Introduces an agent to a neighbour and tells the chunks it holds.

    Attributes:
      vm_id: the sender's VM.
      manifest: digest of the manifest this is about.
      held: chunk indexes held, as a bit map, least significant bit first.
      seen: chunks known to be held by any VM, as a bit map.
      reply: whether the receiver should answer with its own.
    """

    vm_id: _Id
    manifest: _Id
    held: bytes
    seen: bytes
    reply: bool


class PeerHave(_Message):
    """Chunks that the sender has verified, or heard of, since last time.

    Attributes:
      manifest: digest of the manifest this is about.
      indexes: chunks newly held by the sender.
      seen: chunks newly known to be held by any VM.
    """

    manifest: _Id
    indexes: list[int]
    seen: list[int]


class ManifestRequest(_Message):
    """Asks a neighbour for a manifest."""

    manifest: _Id


class ManifestReply(_Message):
    """A manifest, or empty bytes if the sender has none."""

    manifest: _Id
    data: bytes


class ChunkRequest(_Message):
    """Asks a neighbour for one chunk."""

    manifest: _Id
    index: _Count


class ChunkReply(_Message):
    """A chunk, or None when it cannot be sent now."""

    manifest: _Id
    index: _Count
    data: bytes | None


class ChunkCancel(_Message):
    """Withdraws a chunk request that has not been answered."""

    manifest: _Id
    index: _Count


FromAgent: TypeAlias = (
    AgentReport
    | AgentHeartbeat
    | AgentCounters
    | CachedPrefixes
    | SwapRequest
    | SwapWithdrawal
    | GrantsIssued
    | PartsBatch
    | RunHeaders
    | RunEnded
    | EngineCrashed
    | Reserved
    | RunStatus
    | SettingsOffer
)
FromEntry: TypeAlias = (
    EntryHeartbeat
    | SwapAnswer
    | Run
    | Cancel
    | Reserve
    | RunQuery
    | SettingsOffer
    | ReportRequest
    | DrainOrder
)
FromPeer: TypeAlias = (
    PeerHello
    | PeerHave
    | ManifestRequest
    | ManifestReply
    | ChunkRequest
    | ChunkReply
    | ChunkCancel
)
Message: TypeAlias = FromAgent | FromEntry | FromPeer
