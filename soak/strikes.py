"""Injects the faults of a plan into a running fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import signal

import msgspec

from soak import promises
from soak import schedule
from standins import direct_documents
from standins import direct_fleet
from standins import endless_bytes
from standins import fault_proxy

REVOCABLE_KEYS = ["spare-key-0", "spare-key-1", "spare-key-2"]
"""API keys that a run may revoke; `direct_documents.KEY` is never revoked."""

SPOILT_PIECES = (1, 4)
"""Staged pieces that turn corrupt while their agent is suspended."""

PROXY_DELAY_MS = 180.0
STOP_WAIT_S = 10.0
AGAIN_PAUSE_S = 0.4
INTERPRETER_MS = 500.0
"""Minimum age of a process before it is sent SIGHUP.

SIGHUP terminates a process until its handler is installed. The interpreter
takes 50 ms to run the first line on an idle machine.
"""

ENDING_FAULTS = frozenset({fault_proxy.Fault.RESET, fault_proxy.Fault.SILENCE})
"""Faults of a proxy that open connections do not outlast."""

_MS = 1_000.0


class FaultInjector:
    """Injects faults into one fleet from outside its processes.

    Attributes:
      keys: valid API keys.
      revoked: time of revocation by API key, in ms.
      stops: shutdowns of daemons.
      starts: number of restarts by daemon.
      evacuations: completed evacuations of data centres.
      network_faults: completed faults of proxies, silences among them.
      outages: completed faults that end the connections of replicas or
        callers, or that never let them carry a byte again.
      kills: daemons that were killed.
    """

    def __init__(
        self, fleet: direct_fleet.Fleet, now_ms: Callable[[], float]
    ) -> None:
        """Initializes the injector without injecting anything."""
        self._fleet = fleet
        self._now_ms = now_ms
        self._locks: dict[str, asyncio.Lock] = {}
        self._config_version = 1
        self._weights = 1
        self._engine_starts = 0
        self._active_evacuations: dict[str, int] = {}
        self._evacuated_ms: dict[str, float] = {}
        self.evacuations: list[promises.Evacuation] = []
        self.network_faults: list[promises.NetworkFault] = []
        self.outages: list[promises.NetworkFault] = []
        self.kills: list[promises.Kill] = []
        self._active_proxy_faults: dict[str, int] = {}
        self._active_store_faults = 0
        self.keys = [direct_documents.KEY, *REVOCABLE_KEYS]
        self.revoked: dict[str, float] = {}
        self.stops: list[promises.Stop] = []
        self.starts: dict[str, int] = {}
        self._started_ms: dict[str, float] = {}
        self._injectors: dict[
            schedule.FaultKind, Callable[[schedule.Fault], Awaitable[None]]
        ] = {
            schedule.FaultKind.PROXY: self._fail_network,
            schedule.FaultKind.STOP: self._stop,
            schedule.FaultKind.KILL: self._kill,
            schedule.FaultKind.PAUSE: self._pause,
            schedule.FaultKind.RELOAD: self._reload,
            schedule.FaultKind.KILL_ALL: self._kill_all,
            schedule.FaultKind.ENGINE_RESTART: self._restart_engine,
            schedule.FaultKind.ENGINE_DRAIN: self._drain_engine,
            schedule.FaultKind.ROT: self._corrupt_piece,
            schedule.FaultKind.STORE_DOWN: self._fail_store,
            schedule.FaultKind.CONFIG: self._change_config,
            schedule.FaultKind.REVOKE: self._revoke,
            schedule.FaultKind.WEIGHTS: self._publish_version,
            schedule.FaultKind.EVACUATE: self._evacuate,
            schedule.FaultKind.EVACUATE_AGAIN: self._evacuate_again,
            schedule.FaultKind.SILENT: self._silence,
            schedule.FaultKind.ENDLESS: self._send_without_end,
            schedule.FaultKind.SPOIL: self._spoil,
            schedule.FaultKind.LATE_ORDER: self._hold_order,
        }

    def publish(self) -> None:
        """Publishes a configuration with the valid keys."""
        self._config_version += 3
        config = direct_documents.configuration(
            self._fleet.origin_address,
            self._config_version,
            self.keys,
            self._fleet.constraints,
        )
        self._fleet.store.put("op/config", config)

    async def inject(self, fault: schedule.Fault) -> None:
        """Injects a fault at its time and ends it after its duration."""
        wait_ms = fault.at_ms - self._now_ms()
        await asyncio.sleep(max(0.0, wait_ms) / _MS)
        await self._injectors[fault.kind](fault)

    # The network.

    async def _fail_network(self, fault: schedule.Fault) -> None:
        proxy = self._fleet.proxies[fault.target]
        active = self._active_proxy_faults
        active[fault.target] = active.get(fault.target, 0) + 1
        proxy.set_fault(fault.network, PROXY_DELAY_MS)
        from_ms = self._now_ms()
        await asyncio.sleep(fault.for_ms / _MS)
        period = self._period(fault.target, from_ms)
        self.network_faults.append(period)
        if fault.network in ENDING_FAULTS:
            self.outages.append(period)
        active[fault.target] -= 1
        if not active[fault.target]:
            proxy.set_fault(fault_proxy.Fault.NONE)

    async def _silence(self, fault: schedule.Fault) -> None:
        proxy = self._fleet.proxies[fault.target]
        proxy.begin_silence()
        from_ms = self._now_ms()
        await asyncio.sleep(fault.for_ms / _MS)
        proxy.end_silence()
        self.network_faults.append(self._period(fault.target, from_ms))

    def _period(self, target: str, from_ms: float) -> promises.NetworkFault:
        """Returns a fault that ends now."""
        return promises.NetworkFault(
            target=target, from_ms=from_ms, until_ms=self._now_ms()
        )

    async def _fail_store(self, fault: schedule.Fault) -> None:
        self._active_store_faults += 1
        self._fleet.store.down = True
        await asyncio.sleep(fault.for_ms / _MS)
        self._active_store_faults -= 1
        self._fleet.store.down = self._active_store_faults > 0

    # Processes.

    def _lock(self, name: str) -> asyncio.Lock:
        """Returns the lock that serializes signals to a process."""
        return self._locks.setdefault(name, asyncio.Lock())

    async def _stop(self, fault: schedule.Fault) -> None:
        async with self._lock(fault.target):
            process = self._fleet.processes[fault.target]
            if process.returncode is not None:
                return
            asked_ms = self._now_ms()
            started_ms = self._started_ms.get(fault.target, float("-inf"))
            process.send_signal(signal.SIGTERM)
            exit_code: int | None = None
            try:
                async with asyncio.timeout(STOP_WAIT_S):
                    exit_code = await process.wait()
            except TimeoutError:
                await self._kill_process(fault.target)
            self.stops.append(
                promises.Stop(
                    process=fault.target,
                    lifetime=self.starts.get(fault.target, 0),
                    asked_ms=asked_ms,
                    exit_code=exit_code,
                    ran_ms=asked_ms - started_ms,
                    taken_ms=self._now_ms() - asked_ms,
                )
            )
            await self._restart_process(fault)

    async def _kill(self, fault: schedule.Fault) -> None:
        async with self._lock(fault.target):
            process = self._fleet.processes[fault.target]
            if process.returncode is None:
                await self._kill_process(fault.target)
                await self._restart_process(fault)

    async def _kill_process(self, name: str) -> None:
        self.kills.append(
            promises.Kill(
                process=name,
                lifetime=self.starts.get(name, 0),
                at_ms=self._now_ms(),
            )
        )
        self._fleet.processes[name].kill()
        await self._fleet.processes[name].wait()

    async def _restart_process(self, fault: schedule.Fault) -> None:
        await asyncio.sleep(fault.for_ms / _MS)
        self.starts[fault.target] = self.starts.get(fault.target, 0) + 1
        self._started_ms[fault.target] = self._now_ms()
        role, _, number = fault.target.partition("-")
        if role == "entry":
            await self._fleet.start_entry(int(number))
        else:
            await self._fleet.start_agent(int(number))

    async def _pause(self, fault: schedule.Fault) -> None:
        async with self._lock(fault.target):
            process = self._fleet.processes[fault.target]
            if process.returncode is not None:
                return
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(fault.for_ms / _MS)
            process.send_signal(signal.SIGCONT)
            # A stopped process makes no progress with its startup.
            if fault.target in self._started_ms:
                self._started_ms[fault.target] += fault.for_ms

    async def _reload(self, fault: schedule.Fault) -> None:
        async with self._lock(fault.target):
            started_ms = self._started_ms.get(fault.target, float("-inf"))
            wait_ms = started_ms + INTERPRETER_MS - self._now_ms()
            await asyncio.sleep(max(0.0, wait_ms) / _MS)
            process = self._fleet.processes[fault.target]
            if process.returncode is None:
                process.send_signal(signal.SIGHUP)

    async def _kill_all(self, fault: schedule.Fault) -> None:
        kills = [
            self._kill(
                schedule.Fault(
                    at_ms=fault.at_ms,
                    for_ms=fault.for_ms,
                    kind=schedule.FaultKind.KILL,
                    target=name,
                )
            )
            for name in list(self._fleet.processes)
        ]
        await asyncio.gather(*kills)

    # Engines.

    async def _restart_engine(self, fault: schedule.Fault) -> None:
        engine = self._fleet.engines[int(fault.target)]
        proxy = self._fleet.proxies[f"engine-{fault.target}"]
        proxy.set_fault(fault_proxy.Fault.RESET)
        from_ms = self._now_ms()
        await asyncio.sleep(fault.for_ms / _MS)
        self._engine_starts += 1
        replica_id = f"i-again-{self._engine_starts}"
        if self._fleet.constraints is not None and self._engine_starts % 2:
            # A restart under the same id makes a replica cold as well.
            replica_id = engine.replica_id
        engine.restart(replica_id)
        proxy.set_fault(fault_proxy.Fault.NONE)
        self.outages.append(self._period(f"engine-{fault.target}", from_ms))

    async def _send_without_end(self, fault: schedule.Fault) -> None:
        endless = self._fleet.replica(fault.target).endless
        endless.periods += 1
        from_ms = self._now_ms()
        await asyncio.sleep(fault.for_ms / _MS)
        endless.periods -= 1
        await asyncio.sleep(endless_bytes.ENDLESS_S)
        self.outages.append(self._period(fault.target, from_ms))

    async def _drain_engine(self, fault: schedule.Fault) -> None:
        engine = self._fleet.engines[int(fault.target)]
        engine.register("draining")
        await asyncio.sleep(fault.for_ms / _MS)
        engine.register()

    async def _corrupt_piece(self, fault: schedule.Fault) -> None:
        self._fleet.engines[int(fault.target)].rot(0)

    async def _spoil(self, fault: schedule.Fault) -> None:
        """Corrupts staged pieces while the agent is suspended."""
        engine = self._fleet.engines[int(fault.target)]
        for index in SPOILT_PIECES:
            engine.rot(index)
        agent = msgspec.structs.replace(fault, target=f"agent-{fault.target}")
        await self._pause(agent)

    async def _hold_order(self, fault: schedule.Fault) -> None:
        """Lets an engine handle its next load order late."""
        engine = self._fleet.engines[int(fault.target)]

        async def hold() -> None:
            engine.before_order = None
            await asyncio.sleep(fault.for_ms / _MS)

        engine.before_order = hold
        await asyncio.sleep(fault.for_ms / _MS)

    # The operator.

    async def _change_config(self, fault: schedule.Fault) -> None:
        del fault
        self.publish()

    async def _revoke(self, fault: schedule.Fault) -> None:
        del fault
        if len(self.keys) > 1:
            key = self.keys.pop()
            self.publish()
            self.revoked[key] = self._now_ms()

    async def _evacuate(self, fault: schedule.Fault) -> None:
        self._start_evacuation(fault.target)
        await asyncio.sleep(fault.for_ms / _MS)
        self._end_evacuation(fault.target)

    async def _evacuate_again(self, fault: schedule.Fault) -> None:
        """Starts an evacuation, ends it and starts it again within a second."""
        self._start_evacuation(fault.target)
        await asyncio.sleep(AGAIN_PAUSE_S)
        self._end_evacuation(fault.target)
        await asyncio.sleep(AGAIN_PAUSE_S)
        await self._evacuate(fault)

    def _start_evacuation(self, data_centre: str) -> None:
        active = self._active_evacuations
        if not active.get(data_centre):
            self._evacuated_ms[data_centre] = self._now_ms()
        active[data_centre] = active.get(data_centre, 0) + 1
        self._fleet.store.evacuate(data_centre)

    def _end_evacuation(self, data_centre: str) -> None:
        self._active_evacuations[data_centre] -= 1
        if self._active_evacuations[data_centre]:
            return
        self.evacuations.append(
            promises.Evacuation(
                data_centre=data_centre,
                from_ms=self._evacuated_ms[data_centre],
                until_ms=self._now_ms(),
            )
        )
        self._fleet.store.end_evacuation(data_centre)

    async def _publish_version(self, fault: schedule.Fault) -> None:
        del fault
        self._weights += 1
        model = direct_documents.MODEL
        self._fleet.store.put(
            f"op/version/{model}",
            {"model_name": model, "version": self._weights},
        )
