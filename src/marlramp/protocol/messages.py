"""Messages between entries and agents, and between agents.

`codec` prefixes every encoded message with the protocol version.
Fields ending in `_ms` are durations, never clock readings, since the clocks of
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
from marlramp.core.weights import manifest

PROTOCOL_VERSION = 1

RAN_OF_STATE = {
    grants.RunState.NOT_STARTED: errors.Ran.UNKNOWN,
    grants.RunState.RUNNING: errors.Ran.YES,
    grants.RunState.SUCCEEDED: errors.Ran.YES,
    grants.RunState.FAILED: errors.Ran.YES,
    grants.RunState.VOID: errors.Ran.NO,
    grants.RunState.UNKNOWN: errors.Ran.UNKNOWN,
}
"""Whether a request ran, by run state. Only VOID proves that it never ran."""

CHUNK_BYTES_MAX = 64 * 1024 * 1024
MESSAGE_BYTES_MAX = CHUNK_BYTES_MAX + 64 * 1024
BODY_BYTES_MAX = 4 * 1024 * 1024
ID_LENGTH_MAX = 256
LIST_LENGTH_MAX = 65_536

_Id = Annotated[str, msgspec.Meta(min_length=1, max_length=ID_LENGTH_MAX)]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Duration = Annotated[float, msgspec.Meta(ge=0)]
_Chunk = Annotated[int, msgspec.Meta(ge=0, lt=manifest.CHUNKS_MAX)]
_Chunks = Annotated[list[_Chunk], msgspec.Meta(max_length=manifest.CHUNKS_MAX)]
_Bitmap = Annotated[bytes, msgspec.Meta(max_length=manifest.CHUNKS_MAX // 8)]
_Body = Annotated[bytes, msgspec.Meta(max_length=BODY_BYTES_MAX)]


class _Message(msgspec.Struct, array_like=True, tag=True, kw_only=True):
    """Base class of all messages; the tag on the wire is the class name."""


class Document(msgspec.Struct, frozen=True, array_like=True):
    """One settings document as published.

    Attributes:
      key: key of the document in the configuration service.
      revision: increasing number that the configuration service assigns.
      text: content of the document, in TOML.
    """

    key: str
    revision: int
    text: str


class AgentState(enum.Enum):
    """State that an agent reports to entries."""

    STARTING = "starting"
    READY = "ready"
    SUSPENDED = "suspended"
    LEAVING = "leaving"


class AgentReport(_Message):
    """Full state of an agent, sent when a link starts and after a change.

    Attributes:
      vm_id: the agent's VM.
      data_centre_id: data centre of that VM.
      incarnation: the agent's incarnation.
      service_id: service that the upstream belongs to.
      state: whether the agent accepts requests.
      model: model that the upstream serves, empty for a plain service.
      version: version that the upstream serves, empty for a plain service.
      target_version: version that the settings require.
      chunks_held: number of verified chunks of the target version.
      chunks_total: number of chunks of the target version.
      capacity: maximum number of concurrent requests.
      sent_bytes: weight bytes sent to other agents.
      origin_bytes: weight bytes downloaded from the origin and the weight
        store.
      note: text that describes what the agent is waiting for.
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
    """Load of an agent, sent periodically; the link identifies the sender.

    Attributes:
      running: number of running requests.
      reported_load: load reported by the upstream, None if it reports none.
      report_age_ms: age of that report.
      revisions: settings revisions in force, by level, -1 for none.
    """

    running: _Count
    reported_load: float | None
    report_age_ms: _Duration
    revisions: list[int]


class AgentCounters(_Message):
    """Counters of an agent that have changed since its last message."""

    values: list[counters.CounterValue]


class CachedPrefixes(_Message):
    """Digests of the prompt prefixes that the engine is assumed to cache."""

    digests: list[str]


class SwapRequest(_Message):
    """Requests permission from an entry to stop serving and swap versions.

    An agent may repeat the request of a round; the permit is then valid for
    `hold_ms` from the last request.
    """

    version: str
    round_number: _Count
    hold_ms: _Duration


class SwapWithdrawal(_Message):
    """Releases the permits of a round and of all earlier rounds."""

    round_number: _Count


class SwapAnswer(_Message):
    """Replies to a `SwapRequest`; a permit expires after `ttl_ms`."""

    version: str
    round_number: _Count
    granted: bool
    ttl_ms: _Duration


class GrantsIssued(_Message):
    """New grants for one entry, numbered consecutively from `first`."""

    incarnation: int
    first: int
    count: Annotated[int, msgspec.Meta(ge=0, le=LIST_LENGTH_MAX)]
    ttl_ms: _Duration


class AnswerParts(msgspec.Struct, frozen=True, array_like=True):
    """Parts of the response to one request."""

    request_id: _Id
    parts: list[assembly.Part]


class PartsBatch(_Message):
    """Parts of several responses, batched and sent at short intervals."""

    answers: list[AnswerParts]


class RunHeaders(_Message):
    """Status and content type of a response, sent before its parts."""

    request_id: _Id
    status: int
    content_type: str


class RunEnded(_Message):
    """Reports that a run succeeded, after its last part, or failed.

    Attributes:
      request_id: the request.
      kind: cause of the failure, None if the run succeeded.
      ran: whether the request ran.
      detail: description of the failure.
      tokens: number of generated tokens.
    """

    request_id: _Id
    kind: errors.ErrorKind | None
    ran: errors.Ran
    detail: str
    tokens: _Count


class EngineCrashed(_Message):
    """Reports a crash of the agent's upstream and the requests in flight."""

    crash: crash_reports.Crash


class Reserved(_Message):
    """Replies to a `Reserve`; `number` is None if no grant is available."""

    request_id: _Id
    incarnation: int
    number: int | None
    ttl_ms: _Duration


class RunStatus(_Message):
    """Replies to a `RunQuery` or a `Cancel`."""

    request_id: _Id
    state: grants.RunState

    @property
    def ran(self) -> errors.Ran:
        """Whether the request ran, as reported to its caller."""
        return RAN_OF_STATE[self.state]


class EntryHeartbeat(_Message):
    """State of an entry, sent to each of its agents at a fixed interval.

    Attributes:
      demand: number of requests that this entry runs at the agent or would send
        to it.
      leaving: whether the entry is shutting down.
      revisions: settings revisions in force, by level, -1 for none.
    """

    demand: _Count
    leaving: bool
    revisions: list[int]


class Run(_Message):
    """Requests that an agent run one request, which consumes one grant.

    Attributes:
      request_id: id of the request, unique per attempt.
      incarnation: incarnation that the grant belongs to.
      number: number of the grant.
      method: HTTP method.
      path: HTTP path at the upstream.
      content_type: type of the body.
      body: the request body.
      stream: whether the response is a stream of events.
      priority: the request's priority.
      remaining_ms: time left until the deadline.
      resume_from: number of parts already delivered by another replica.
      version: version required to resume, empty if any version is acceptable.
      caller_id: the caller's request id, the same for every attempt.
      from_token: whether the grant backs a run token.
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
    """Voids a grant, or stops its run if `stop` is set."""

    request_id: _Id
    incarnation: int
    number: int
    stop: bool


class Reserve(_Message):
    """Requests a grant that backs a run token."""

    request_id: _Id


class RunQuery(_Message):
    """Requests the state of the run of a grant."""

    request_id: _Id
    incarnation: int
    number: int


class SettingsOffer(_Message):
    """Sends documents of which the receiver has older revisions or none."""

    documents: list[Document]


class ReportRequest(_Message):
    """Requests an `AgentReport` from an agent without a current one."""


class DrainOrder(_Message):
    """Drains an agent on behalf of an operator."""

    reason: str


class PeerHello(_Message):
    """Announces an agent to a neighbour and reports the chunks it holds.

    Attributes:
      vm_id: the sender's VM.
      manifest: digest of the manifest that lists the chunks.
      held: bitmap of the chunks that the sender holds, least significant bit
        first.
      seen: bitmap of the chunks known to be held by any VM.
      reply: whether the receiver must send its own `PeerHello` in return.
    """

    vm_id: _Id
    manifest: _Id
    held: _Bitmap
    seen: _Bitmap
    reply: bool


class PeerHave(_Message):
    """Reports chunks verified or seen since the sender's last message.

    Attributes:
      manifest: digest of the manifest that lists the chunks.
      indexes: chunks newly held by the sender.
      seen: chunks newly known to be held by any VM.
    """

    manifest: _Id
    indexes: _Chunks
    seen: _Chunks


class ManifestRequest(_Message):
    """Requests a manifest from a neighbour."""

    manifest: _Id


class ManifestReply(_Message):
    """Replies to a `ManifestRequest`; `data` is empty if there is none."""

    manifest: _Id
    data: bytes


class ChunkRequest(_Message):
    """Requests one chunk from a neighbour."""

    manifest: _Id
    index: _Count


class ChunkReply(_Message):
    """Replies to a `ChunkRequest`, without data if it can't be sent now."""

    manifest: _Id
    index: _Count
    data: bytes | None


class ChunkCancel(_Message):
    """Cancels a chunk request that has not been answered."""

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
