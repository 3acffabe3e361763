"""State that one entry keeps of the agents linked to it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.grant_calls import grant_pool
from marlramp.core.replicas import breaker
from marlramp.core.replicas import routing
from marlramp.core.weights import swap
from marlramp.protocol import messages
from marlramp.settings import schema

HEARD_TIMEOUT_MS = 5_000.0
"""Time without any message after which an agent is treated as lost."""

FIRST_TOKEN_DEFAULT_MS = 100.0
"""Time to first token assumed for an agent without any answers."""

SMOOTHING = 0.2
"""Weight of the latest sample in the smoothed time to first token."""

PREFIXES_MAX = 64
"""Most prompt prefixes kept for one agent."""


COUNTERS_MAX = 1_024
"""Most counters kept for one agent."""


def merge_counters(
    kept: dict[tuple[counters.CounterName, str], int],
    changed: list[counters.CounterValue],
) -> None:
    """Records changed counters; ignores new ones beyond `COUNTERS_MAX`."""
    for value in changed:
        key = (value.name, value.reason)
        if key in kept or len(kept) < COUNTERS_MAX:
            kept[key] = value.total


class AgentInfo:
    """State of one agent as this entry sees it.

    Attributes:
      report: the agent's latest report.
      heartbeat: the agent's latest heartbeat, None before the first.
      heard_ms: when the latest message of any kind arrived.
      heartbeat_ms: when the latest heartbeat arrived.
      in_flight: number of this entry's requests at the agent.
      first_token_ms: smoothed time to first token.
      breaker: the agent's circuit breaker.
      prefixes: digests of prompt prefixes that the upstream probably caches.
      listed_leaving: whether the platform lists the agent as leaving.
      settings_ahead: whether the agent may have newer settings than this
        entry; the entry sends it work only once that is ruled out.
      counters: the agent's counters as it last sent them.
    """

    def __init__(
        self, report: messages.AgentReport, new_breaker: breaker.Breaker
    ) -> None:
        """Creates the state from the agent's first report."""
        self.report = report
        self.heartbeat: messages.AgentHeartbeat | None = None
        self.heard_ms = 0.0
        self.heartbeat_ms = 0.0
        self.in_flight = 0
        self.first_token_ms = FIRST_TOKEN_DEFAULT_MS
        self.breaker = new_breaker
        self.prefixes: set[str] = set()
        self.listed_leaving = False
        self.settings_ahead = True
        self.counters: dict[tuple[counters.CounterName, str], int] = {}

    @property
    def vm_id(self) -> ids.VmId:
        """The agent's VM."""
        return ids.VmId(self.report.vm_id)

    @property
    def accepts_work(self) -> bool:
        """Whether the agent reports ready and is not listed as leaving."""
        ready = self.report.state is messages.AgentState.READY
        return ready and not self.listed_leaving

    def record_first_token(self, taken_ms: float) -> None:
        """Updates the smoothed time to first token.

        Args:
          taken_ms: time to first token of one request at this agent.
        """
        self.first_token_ms += SMOOTHING * (taken_ms - self.first_token_ms)


class AgentTable:
    """Agents by VM, their grants and their state for routing."""

    def __init__(
        self, settings_of: Callable[[ids.ServiceId], schema.Settings]
    ) -> None:
        """Creates an empty table.

        Args:
          settings_of: returns the settings in force for a service.
        """
        self.grant_pool = grant_pool.GrantPool()
        self._agents: dict[ids.VmId, AgentInfo] = {}
        self._settings_of = settings_of

    def __iter__(self) -> Iterator[AgentInfo]:
        """Iterates over all agents."""
        return iter(self._agents.values())

    def get(self, vm_id: ids.VmId) -> AgentInfo | None:
        """Returns an agent's state, None if the agent is unknown."""
        return self._agents.get(vm_id)

    def handle_report(
        self, message: messages.AgentReport, now_ms: clock.Millis
    ) -> bool:
        """Records an agent's report.

        Returns:
          Whether the report replaces an earlier incarnation, whose runs are
          lost.
        """
        vm_id = ids.VmId(message.vm_id)
        known = self._agents.get(vm_id)
        restarted = (
            known is not None
            and known.report.incarnation != message.incarnation
        )
        if known is None or restarted:
            values = self._settings_of(ids.ServiceId(message.service_id))
            new_breaker = breaker.Breaker(
                values.breaker_failures_max, values.breaker_open_ms
            )
            self._agents[vm_id] = AgentInfo(message, new_breaker)
            self.grant_pool.drop(vm_id)
        info = self._agents[vm_id]
        info.report = message
        info.heard_ms = now_ms
        if message.state is not messages.AgentState.READY:
            self.grant_pool.drop(vm_id)
        return restarted

    def apply_settings(self) -> None:
        """Applies changed settings to the circuit breakers of all agents."""
        for info in self._agents.values():
            values = self._settings_of(ids.ServiceId(info.report.service_id))
            info.breaker.configure(
                values.breaker_failures_max, values.breaker_open_ms
            )

    def handle_heartbeat(
        self,
        vm_id: ids.VmId,
        message: messages.AgentHeartbeat,
        now_ms: clock.Millis,
    ) -> None:
        """Records an agent's heartbeat; ignores unknown agents."""
        info = self._agents.get(vm_id)
        if info is not None:
            info.heartbeat = message
            info.heard_ms = now_ms
            info.heartbeat_ms = now_ms

    def record_message(self, vm_id: ids.VmId, now_ms: clock.Millis) -> None:
        """Records that an agent sent a message of any kind."""
        info = self._agents.get(vm_id)
        if info is not None:
            info.heard_ms = now_ms

    def remove(self, vm_id: ids.VmId) -> None:
        """Removes an agent and its grants."""
        self._agents.pop(vm_id, None)
        self.grant_pool.drop(vm_id)

    def timed_out(self, now_ms: clock.Millis) -> list[ids.VmId]:
        """Returns the agents that sent nothing for `HEARD_TIMEOUT_MS`."""
        return [
            vm_id
            for vm_id, info in self._agents.items()
            if now_ms - info.heard_ms > HEARD_TIMEOUT_MS
        ]

    def serving(self, service_id: ids.ServiceId) -> list[AgentInfo]:
        """Returns the agents of a service that accept work."""
        return [
            info
            for info in self._agents.values()
            if info.report.service_id == service_id and info.accepts_work
        ]

    def replicas(
        self, service_id: ids.ServiceId, now_ms: clock.Millis
    ) -> list[swap.Replica]:
        """Returns the replicas of a service as swap permits consider them."""
        return [
            swap.Replica(
                info.vm_id,
                info.accepts_work
                and now_ms - info.heard_ms <= HEARD_TIMEOUT_MS,
            )
            for info in self._agents.values()
            if info.report.service_id == service_id
        ]

    def candidates(
        self,
        service_id: ids.ServiceId,
        version: ids.VersionId,
        prefix: str,
        now_ms: clock.Millis,
    ) -> list[routing.Candidate]:
        """Returns the upstreams that can receive a request now.

        Args:
          service_id: the service.
          version: version that the upstream must serve, empty for any.
          prefix: digest of the prompt prefix, empty for none.
          now_ms: time on the entry's clock.
        """
        serving = self.serving(service_id)
        allowing = sum(1 for info in serving if info.breaker.allows(now_ms))
        panic = routing.panics(allowing, len(serving))
        return [
            self._candidate(info, prefix, now_ms, panic=panic)
            for info in serving
            if not info.settings_ahead
            and version in ("", info.report.version)
            and self.grant_pool.count(info.vm_id, now_ms) > 0
        ]

    def _candidate(
        self,
        info: AgentInfo,
        prefix: str,
        now_ms: clock.Millis,
        *,
        panic: bool,
    ) -> routing.Candidate:
        load = None
        age_ms = 0.0
        if info.heartbeat is not None:
            load = info.heartbeat.reported_load
            age_ms = info.heartbeat.report_age_ms + (now_ms - info.heartbeat_ms)
        return routing.Candidate(
            info.vm_id,
            info.report.capacity,
            info.in_flight,
            load,
            age_ms,
            info.first_token_ms,
            bool(prefix) and prefix in info.prefixes,
            panic or info.breaker.allows(now_ms),
        )
