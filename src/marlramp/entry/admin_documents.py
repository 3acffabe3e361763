"""JSON documents of the administration API, also used by the command line."""

from __future__ import annotations

import msgspec

from marlramp.settings import store


class Status(msgspec.Struct, frozen=True):
    """Answer of GET /admin/v1/status.

    Attributes:
      entry: VM of the entry.
      version: version of the marlramp package.
      leaving: whether the entry is shutting down.
      settings_complete: whether all settings documents are present.
      revisions: revision of each settings document in force, -1 for none.
      refused_documents: settings documents that were refused and have no
        newer revision.
      calls_active: number of calls that have not ended.
      queues: number of waiting calls by service.
      agents: number of linked agents.
      agents_ready: number of linked agents that accept work.
    """

    entry: str
    version: str
    leaving: bool
    settings_complete: bool
    revisions: list[int]
    refused_documents: list[store.Refusal]
    calls_active: int
    queues: dict[str, int]
    agents: int
    agents_ready: int


class VmStatus(msgspec.Struct, frozen=True):
    """One VM in the answer of GET /admin/v1/vms.

    Attributes:
      vm: the VM.
      role: role in the platform's list, upstream for a VM that is not listed.
      data_centre: data centre in the platform's list, empty if not listed.
      service: service that the agent reports, empty if not linked.
      listed: state in the platform's list, "no" if not listed.
      state: state that the agent reports, empty if not linked.
      version: version that the agent reports, empty if not linked.
      heard_ms_ago: time since the agent's last message, None if not linked.
      in_flight: attempts of this entry that run at the agent.
      capacity: most requests at once, as the agent reports, 0 if not linked.
      breaker: state of the agent's circuit breaker, empty if not linked.
      note: what the agent reports to wait for, empty if not linked.
    """

    vm: str
    role: str
    data_centre: str
    service: str
    listed: str
    state: str
    version: str
    heard_ms_ago: float | None
    in_flight: int
    capacity: int
    breaker: str
    note: str


class RolloutStatus(msgspec.Struct, frozen=True):
    """One service in the answer of GET /admin/v1/rollouts.

    Sums are over the agents of the service that are linked to this entry.

    Attributes:
      service: the service.
      model: model of the rollout.
      version: target version of the rollout.
      replicas: number of agents of the service.
      replicas_serving: number of agents that report the target version.
      chunks_held: verified chunks of the target version that the agents hold.
      chunks_total: chunks of the target version, summed over the agents.
      origin_bytes: weight bytes fetched from the origin and the store.
      sent_bytes: weight bytes that agents sent to other agents.
      sent_bytes_max: largest `sent_bytes` of one agent.
      waiting: number of agents by what they report to wait for.
    """

    service: str
    model: str
    version: str
    replicas: int
    replicas_serving: int
    chunks_held: int
    chunks_total: int
    origin_bytes: int
    sent_bytes: int
    sent_bytes_max: int
    waiting: dict[str, int]


class CounterStatus(msgspec.Struct, frozen=True):
    """One counter in the answer of GET /admin/v1/counters.

    Attributes:
      vm: VM of the entry or agent that counts.
      name: name of the counter.
      reason: label of the counter.
      total: value of the counter.
    """

    vm: str
    name: str
    reason: str
    total: int


class LimitStatus(msgspec.Struct, frozen=True):
    """One customer in the answer of GET /admin/v1/limits.

    Attributes:
      customer: the customer.
      requests_per_s: limit of requests over all entries.
      tokens_per_s: limit of tokens over all entries.
      share_requests_per_s: this entry's share of the request limit.
      share_tokens_per_s: this entry's share of the token limit.
    """

    customer: str
    requests_per_s: float
    tokens_per_s: float
    share_requests_per_s: float
    share_tokens_per_s: float


class DrainRequest(msgspec.Struct, frozen=True):
    """Body of POST /admin/v1/drain.

    Attributes:
      vm: VM of the entry or agent to drain.
      reason: reason that the process logs.
    """

    vm: str
    reason: str = "operator"


class DrainAnswer(msgspec.Struct, frozen=True):
    """Answer of POST /admin/v1/drain.

    Attributes:
      vm: VM of the process that drains.
      draining: whether the process was sent the order.
      kept_in: where the order is stored and when it ends.
    """

    vm: str
    draining: bool
    kept_in: str
