"""What one entry knows of the agents linked to it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core import breaker
from marlramp.core import routing
from marlramp.core import swap
from marlramp.core import wallet
from marlramp.protocol import messages
from marlramp.settings import schema

HEARD_TIMEOUT_MS = 5_000.0
"""An agent silent for longer is treated as lost."""

FIRST_TOKEN_DEFAULT_MS = 100.0
SMOOTHING = 0.2
PREFIXES_MAX = 64


class AgentInfo:
    """One agent as this entry sees it.

    Attributes:
      report: its last report.
      heartbeat: its last heartbeat, None before the first.
      heard_ms: when anything was last heard from it.
      heartbeat_ms: when the last heartbeat came.
      in_flight: this entry's requests there.
      first_token_ms: smoothed time to first token.
      breaker: its circuit breaker.
      prefixes: digests of prompt prefixes believed cached.
      listed_leaving: whether the platform lists it as leaving.
      ahead: whether it may have newer settings than this entry; work goes to
        it only when that is ruled out.
      counters: its counters as last sent.
    """

    def __init__(
        self, report: messages.AgentReport, new_breaker: breaker.Breaker
    ) -> None:
        """Starts from the agent's first report."""
        self.report = report
        self.heartbeat: messages.AgentHeartbeat | None = None
        self.heard_ms = 0.0
        self.heartbeat_ms = 0.0
        self.in_flight = 0
        self.first_token_ms = FIRST_TOKEN_DEFAULT_MS
        self.breaker = new_breaker
        self.prefixes: set[str] = set()
        self.listed_leaving = False
        self.ahead = True
        self.counters: dict[tuple[counters.CounterName, str], int] = {}

    @property
    def vm_id(self) -> ids.VmId:
        """The agent's VM."""
        return ids.VmId(self.report.vm_id)

    @property
    def takes_work(self) -> bool:
        """Whether the agent said it takes work and is not listed leaving."""
        ready = self.report.state is messages.AgentState.READY
        return ready and not self.listed_leaving

    def record_first_token(self, taken_ms: float) -> None:
        """Smooths the time to first token seen at this agent."""
        self.first_token_ms += SMOOTHING * (taken_ms - self.first_token_ms)


class AgentTable:
    """Agents by VM, their grants and what routing needs to know."""

    def __init__(
        self, settings_of: Callable[[ids.ServiceId], schema.Settings]
    ) -> None:
        """Takes the settings in force for a service."""
        self.wallet = wallet.GrantWallet()
        self._agents: dict[ids.VmId, AgentInfo] = {}
        self._settings_of = settings_of

    def __iter__(self) -> Iterator[AgentInfo]:
        """Iterates over all agents."""
        return iter(self._agents.values())

    def get(self, vm_id: ids.VmId) -> AgentInfo | None:
        """Returns an agent, None if it is unknown."""
        return self._agents.get(vm_id)

    def report(
        self, message: messages.AgentReport, now_ms: clock.Millis
    ) -> bool:
        """Takes an agent's report.

        Returns:
          Whether it replaces an earlier incarnation, whose runs are lost.
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
            self.wallet.drop(vm_id)
        info = self._agents[vm_id]
        info.report = message
        info.heard_ms = now_ms
        if message.state is not messages.AgentState.READY:
            self.wallet.drop(vm_id)
        return restarted

    def settings_changed(self) -> None:
        """Applies settings that came into force."""
        for info in self._agents.values():
            values = self._settings_of(ids.ServiceId(info.report.service_id))
            info.breaker.configure(
                values.breaker_failures_max, values.breaker_open_ms
            )

    def heartbeat(
        self,
        vm_id: ids.VmId,
        message: messages.AgentHeartbeat,
        now_ms: clock.Millis,
    ) -> None:
        """Takes an agent's heartbeat."""
        info = self._agents.get(vm_id)
        if info is not None:
            info.heartbeat = message
            info.heard_ms = now_ms
            info.heartbeat_ms = now_ms

    def heard(self, vm_id: ids.VmId, now_ms: clock.Millis) -> None:
        """Records that an agent sent anything at all."""
        info = self._agents.get(vm_id)
        if info is not None:
            info.heard_ms = now_ms

    def remove(self, vm_id: ids.VmId) -> None:
        """Forgets an agent."""
        self._agents.pop(vm_id, None)
        self.wallet.drop(vm_id)

    def silent(self, now_ms: clock.Millis) -> list[ids.VmId]:
        """Returns the agents not heard from for too long."""
        return [
            vm_id
            for vm_id, info in self._agents.items()
            if now_ms - info.heard_ms > HEARD_TIMEOUT_MS
        ]

    def serving(self, service_id: ids.ServiceId) -> list[AgentInfo]:
        """Returns the agents of a service that take work."""
        return [
            info
            for info in self._agents.values()
            if info.report.service_id == service_id and info.takes_work
        ]

    def replicas(
        self, service_id: ids.ServiceId, now_ms: clock.Millis
    ) -> list[swap.Replica]:
        """Returns the replicas of a service for decisions about swaps."""
        return [
            swap.Replica(
                info.vm_id,
                info.takes_work and now_ms - info.heard_ms <= HEARD_TIMEOUT_MS,
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
        """Returns the upstreams that can take a request now.

        Args:
          service_id: the service.
          version: version the upstream must serve, empty for any.
          prefix: digest of the prompt prefix, empty for none.
          now_ms: the entry's time.
        """
        serving = self.serving(service_id)
        allowing = sum(1 for info in serving if info.breaker.allows(now_ms))
        panic = routing.panics(allowing, len(serving))
        return [
            self._candidate(info, prefix, now_ms, panic=panic)
            for info in serving
            if not info.ahead
            and version in ("", info.report.version)
            and self.wallet.count(info.vm_id, now_ms) > 0
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
