"""Starts stand-ins and daemons on loopback, for measurements and tests.

This is an experiment tool: the daemons themselves start no process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import contextlib
import enum
import pathlib
import sys
import tempfile
from typing import TYPE_CHECKING

import msgspec
import zmq

from marlramp import clock
from marlramp.experiments import fleet_settings
from marlramp.experiments import processes
from marlramp.shell import http
from marlramp.shell import links

if TYPE_CHECKING:
    import types

CALL_TIMEOUT_MS = 10_000.0
START_TIMEOUT_MS = 30_000.0
_KEY_NAMES = (
    "server_public_key",
    "server_secret_key",
    "client_public_key",
    "client_secret_key",
)
_OK = 200


class FleetError(Exception):
    """The fleet did not behave as the experiment requires."""


class StandIn(enum.Enum):
    """Modules of the stand-ins."""

    PLATFORM = "standins.platform"
    WEIGHTS = "standins.weights"
    ENGINES = "standins.engines"


class PutWeights(msgspec.Struct, frozen=True, kw_only=True):
    """A version of weights to add to the origin or the store."""

    model: str
    version: str
    seed: int
    total_bytes: int
    chunk_bytes: int
    base_seed: int = 0
    common: float = 0.0


class Weights(msgspec.Struct, frozen=True):
    """Digests of an added version of weights."""

    manifest: str
    whole: str


class Fleet:
    """Stand-ins, entries and agents of one deployment."""

    def __init__(self, data_centres: tuple[str, ...] = ("randstad",)) -> None:
        """Creates a fleet without starting a process."""
        self.data_centres = data_centres
        self.client = http.HttpClient()
        self.entries: dict[str, processes.Process] = {}
        self.agents: dict[str, processes.Process] = {}
        self.standins: dict[str, processes.Process] = {}
        self.http_ports: dict[str, int] = {}
        self.vms: dict[str, dict[str, object]] = {}
        self._stack = contextlib.ExitStack()
        self._directory = pathlib.Path()
        self._urls: dict[str, str] = {}
        server = zmq.curve_keypair()
        client = zmq.curve_keypair()
        self._keys = {
            "server_public_key": server[0].decode(),
            "server_secret_key": server[1].decode(),
            "client_public_key": client[0].decode(),
            "client_secret_key": client[1].decode(),
        }

    async def __aenter__(self) -> Fleet:
        """Creates the directory for settings and logs."""
        directory = self._stack.enter_context(
            tempfile.TemporaryDirectory(prefix="marlramp-")
        )
        self._directory = pathlib.Path(directory)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Ends every process of the fleet."""
        await self.client.close()
        all_processes = [
            *self.entries.values(),
            *self.agents.values(),
            *self.standins.values(),
        ]
        crashed = [process for process in all_processes if process.crashed]
        if error is not None or crashed:
            self._print_logs()
        for process in all_processes:
            if process.running:
                process.process.kill()
        for process in all_processes:
            process.process.wait(processes.STOP_TIMEOUT_S)
        self._stack.close()
        if crashed and error is None:
            exit_codes = [(p.name, p.process.returncode) for p in crashed]
            raise FleetError(f"processes crashed: {exit_codes}")

    def _print_logs(self) -> None:
        """Prints the last lines of each log after a failed run."""
        for log in sorted(self._directory.glob("*.log")):
            lines = log.read_text(errors="replace").splitlines()[-8:]
            for line in lines:
                print(f"{log.stem}: {line}", file=sys.stderr)

    async def start_standins(
        self,
        *,
        origin_bytes_per_s: float = 1e9,
        store_requests_per_s: float = 1e6,
        engine_processes: int = 1,
    ) -> None:
        """Starts the platform, the origin, the store and engines."""
        names = ["platform", "origin", "store"]
        names += [f"engines{n}" for n in range(engine_processes)]
        ports = dict(zip(names, processes.free_ports(len(names)), strict=True))
        self._start_standin("platform", StandIn.PLATFORM, ports["platform"])
        self._start_standin(
            "origin",
            StandIn.WEIGHTS,
            ports["origin"],
            "--bytes-per-s",
            str(origin_bytes_per_s),
        )
        self._start_standin(
            "store",
            StandIn.WEIGHTS,
            ports["store"],
            "--requests-per-s",
            str(store_requests_per_s),
        )
        for number in range(engine_processes):
            name = f"engines{number}"
            self._start_standin(name, StandIn.ENGINES, ports[name])
        paths = {
            "platform": "/calls",
            "origin": "/stats",
            "store": "/stats",
        }
        for name in names:
            await self._await_start(name, paths.get(name, "/"))

    def _start_standin(
        self, name: str, module: StandIn, port: int, *arguments: str
    ) -> None:
        self._urls[name] = f"http://{processes.HOST}:{port}"
        command = [sys.executable, "-m", module.value, "--port", str(port)]
        self.standins[name] = processes.Process(
            name, [*command, *arguments], self._directory / f"{name}.log"
        )

    async def _await_start(self, name: str, path: str) -> None:
        for _ in range(int(START_TIMEOUT_MS / processes.POLL_MS)):
            with contextlib.suppress(http.HttpError):
                await self.client.request(
                    "GET", self._urls[name] + path, timeout_ms=1_000.0
                )
                return
            await asyncio.sleep(processes.POLL_MS / clock.MILLIS_PER_SECOND)
        raise FleetError(f"{name} did not start")

    async def standin_call(
        self, name: str, method: str, path: str, body: object = None
    ) -> bytes:
        """Calls a stand-in and returns the response body."""
        reply = await self.client.request(
            method,
            self._urls[name] + path,
            body=b"" if body is None else msgspec.json.encode(body),
            headers={"content-type": "application/json"},
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if reply.status != _OK:
            raise FleetError(f"{name}{path}: status {reply.status}")
        return reply.body

    async def publish(
        self, key: str, text: str, revision: int | None = None
    ) -> None:
        """Publishes a settings document."""
        document: dict[str, object] = {"key": key, "text": text}
        if revision is not None:
            document["revision"] = revision
        await self.standin_call("platform", "PUT", "/documents", document)

    async def publish_vms(self) -> None:
        """Publishes the current VM list."""
        listed = list(self.vms.values())
        await self.standin_call("platform", "PUT", "/vms", listed)

    async def put_weights(self, weights: PutWeights) -> Weights:
        """Adds weights to the origin and the store."""
        body: dict[str, object] = msgspec.to_builtins(weights)
        if not weights.common:
            del body["base_seed"], body["common"]
        await self.standin_call("store", "PUT", "/weights", body)
        response = await self.standin_call("origin", "PUT", "/weights", body)
        return msgspec.json.decode(response, type=Weights)

    def link_keys(self) -> links.Keys:
        """Returns the keys of the links between the fleet's processes."""
        return links.Keys(*(self._keys[name].encode() for name in _KEY_NAMES))

    def engine_name(self, vm_id: str) -> str:
        """Returns the stand-in process that hosts a VM's engine."""
        count = sum(1 for name in self.standins if name.startswith("engines"))
        number = int(vm_id.rpartition("-")[2]) % count
        return f"engines{number}"

    async def engine_call(
        self, vm_id: str, method: str, path: str, body: object = None
    ) -> bytes:
        """Calls the engine stand-in of one VM."""
        name = self.engine_name(vm_id)
        return await self.standin_call(name, method, f"/e/{vm_id}{path}", body)

    async def start_entries(self, count: int) -> list[str]:
        """Starts entries, spread over the data centres."""
        ports = processes.free_ports(2 * count)
        started = []
        for number in range(count):
            vm_id = f"entry-{number}"
            data_centre = self.data_centres[number % len(self.data_centres)]
            link_port, http_port = ports[2 * number : 2 * number + 2]
            self._add_vm(vm_id, "entry", data_centre, "", link_port, http_port)
            text = fleet_settings.entry_text(
                self._shared_settings, vm_id, data_centre, link_port, http_port
            )
            self.entries[vm_id] = self._start_daemon(vm_id, text)
            started.append(vm_id)
        await self.publish_vms()
        return started

    async def start_agents(
        self, specs: list[fleet_settings.AgentSpec]
    ) -> list[str]:
        """Creates engines and starts an agent beside each."""
        ports = processes.free_ports(len(specs))
        first = len(self.agents)
        started = []
        for number, (spec, port) in enumerate(zip(specs, ports, strict=True)):
            vm_id = f"vm-{first + number}"
            options = {
                "capacity": spec.capacity,
                "two_versions": spec.two_versions,
                "checks_fencing": spec.checks_fencing,
                **spec.engine,
            }
            await self.engine_call(vm_id, "PUT", "", options)
            self._add_vm(
                vm_id, "upstream", spec.data_centre, spec.service, port, 0
            )
            engine_url = f"{self._urls[self.engine_name(vm_id)]}/e/{vm_id}"
            text = fleet_settings.agent_text(
                self._shared_settings, vm_id, spec, port, engine_url
            )
            self.agents[vm_id] = self._start_daemon(vm_id, text)
            started.append(vm_id)
        await self.publish_vms()
        return started

    def _add_vm(
        self,
        vm_id: str,
        role: str,
        data_centre: str,
        service: str,
        port: int,
        http_port: int,
    ) -> None:
        self.http_ports[vm_id] = http_port
        self.vms[vm_id] = {
            "vm_id": vm_id,
            "role": role,
            "data_centre": data_centre,
            "service": service,
            "host": processes.HOST,
            "port": port,
            "http_port": http_port,
            "state": "live",
        }

    def _start_daemon(self, vm_id: str, settings: str) -> processes.Process:
        path = self._directory / f"{vm_id}.toml"
        path.write_text(settings)
        command = [sys.executable, "-m", "marlramp.console.daemon"]
        return processes.Process(
            vm_id,
            [*command, "--settings", str(path)],
            self._directory / f"{vm_id}.log",
        )

    @property
    def _shared_settings(self) -> fleet_settings.Surroundings:
        return fleet_settings.Surroundings(
            self._urls["platform"],
            self._urls["origin"],
            self._urls["store"],
            self._keys,
        )

    def entry_url(self, entry_id: str) -> str:
        """Returns the URL at which callers reach an entry."""
        return f"http://{processes.HOST}:{self.http_ports[entry_id]}"

    async def admin(self, entry_id: str, path: str) -> bytes:
        """Reads the administration API of an entry."""
        reply = await self.client.request(
            "GET",
            f"{self.entry_url(entry_id)}/admin/v1/{path}",
            headers={"authorization": f"Bearer {fleet_settings.ADMIN_KEY}"},
            timeout_ms=CALL_TIMEOUT_MS,
        )
        if reply.status != _OK:
            raise FleetError(f"{entry_id} {path}: status {reply.status}")
        return reply.body

    async def await_ready(
        self, service_counts: Mapping[str, int], timeout_ms: float
    ) -> None:
        """Waits until every entry has that many ready agents per service."""
        time = clock.SystemClock()
        end_ms = time.now_ms() + timeout_ms
        while time.now_ms() < end_ms:
            if await self._all_ready(service_counts):
                return
            await asyncio.sleep(processes.POLL_MS / clock.MILLIS_PER_SECOND)
        raise FleetError(f"not ready within {timeout_ms} ms: {service_counts}")

    async def _all_ready(self, service_counts: Mapping[str, int]) -> bool:
        running = [name for name, p in self.entries.items() if p.running]
        if not running:
            raise FleetError("no entry is running")
        for entry_id in running:
            try:
                body = await self.admin(entry_id, "vms")
            except (http.HttpError, FleetError):
                return False
            vms = msgspec.json.decode(body, type=list[_VmState])
            for service, count in service_counts.items():
                ready = [
                    vm
                    for vm in vms
                    if vm.service == service and vm.state == "ready"
                ]
                if len(ready) < count:
                    return False
        return True


class _VmState(msgspec.Struct):
    service: str
    state: str
    version: str
