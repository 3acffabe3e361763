"""Starts stand-ins and daemons on loopback, for measurements and tests.

This is an experiment tool: the daemons themselves start no process.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import contextlib
import enum
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
from typing import TYPE_CHECKING

import msgspec
import zmq

from marlramp import clock
from marlramp.shell import http
from marlramp.shell import links

if TYPE_CHECKING:
    import types

HOST = "127.0.0.1"
ADMIN_KEY = "operators-only-0123456789"
TOKEN_KEY = "run-token-key-0123456789"
CALL_TIMEOUT_MS = 10_000.0
START_TIMEOUT_MS = 30_000.0
STOP_TIMEOUT_S = 10.0
POLL_MS = 50.0
_KEY_NAMES = (
    "server_public_key",
    "server_secret_key",
    "client_public_key",
    "client_secret_key",
)
_OK = 200
_FIRST_PORT = 20_000
_LAST_PORT = 30_000


class FleetError(Exception):
    """The fleet did not do what the experiment needs."""


class StandIn(enum.Enum):
    """Modules of the stand-ins."""

    PLATFORM = "standins.platform"
    WEIGHTS = "standins.weights"
    ENGINES = "standins.engines"


class AgentSpec(msgspec.Struct, frozen=True, kw_only=True):
    """What distinguishes one agent and the upstream behind it.

    Attributes:
      service: its service.
      data_centre: where it is.
      capacity: most requests at once.
      engine: further options of the engine stand-in.
      link_bytes_per_s: rate of its link.
      reports_load: whether its upstream reports load.
      two_versions: whether its engine holds two versions.
      checks_fencing: whether its engine refuses old fencing numbers.
    """

    service: str
    data_centre: str = "randstad"
    capacity: int = 8
    engine: dict[str, object] = {}
    link_bytes_per_s: int = 1_000_000_000
    reports_load: bool = True
    two_versions: bool = False
    checks_fencing: bool = True


class PutWeights(msgspec.Struct, frozen=True, kw_only=True):
    """A version of weights to add to origin and store."""

    model: str
    version: str
    seed: int
    total_bytes: int
    chunk_bytes: int
    base_seed: int = 0
    common: float = 0.0


class Weights(msgspec.Struct, frozen=True):
    """Digests of weights that were added."""

    manifest: str
    whole: str


class Process:
    """One process that the fleet started, and only that."""

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        """Starts the process with its output in a file."""
        self.name = name
        self.log = log
        self.ended_by_us = False
        self._arguments = arguments
        self._start()

    def _start(self) -> None:
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    @property
    def crashed(self) -> bool:
        """Whether it ended with an error although nobody asked it to."""
        return self.process.poll() not in (None, 0) and not self.ended_by_us

    def send_signal(self, number: signal.Signals) -> None:
        """Sends it a signal."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self.ended_by_us = True
        self.process.send_signal(number)

    def kill(self) -> None:
        """Ends it at once."""
        self.ended_by_us = True
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def restart(self) -> None:
        """Starts it anew after it ended, with empty memory."""
        self.process.wait(STOP_TIMEOUT_S)
        self.ended_by_us = False
        self._start()

    async def wait(self, timeout_ms: float) -> int:
        """Waits for its end and returns its exit code."""
        for _ in range(int(timeout_ms / POLL_MS)):
            code = self.process.poll()
            if code is not None:
                return code
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        raise FleetError(f"{self.name} still runs after {timeout_ms} ms")


_handed_out: set[int] = set()
"""Ports given out before: their process may not have bound them yet."""


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on now.

    They lie below the range from which the system takes the ports of
    outgoing connections, so that none is taken before its process starts.
    """
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = random.randrange(_FIRST_PORT, _LAST_PORT)
            if port in _handed_out:
                continue
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            found.append(port)
            _handed_out.add(port)
    return found


class Fleet:
    """Stand-ins, entries and agents of one deployment."""

    def __init__(self, data_centres: tuple[str, ...] = ("randstad",)) -> None:
        """Starts nothing yet."""
        self.data_centres = data_centres
        self.client = http.HttpClient()
        self.entries: dict[str, Process] = {}
        self.agents: dict[str, Process] = {}
        self.standins: dict[str, Process] = {}
        self.http_ports: dict[str, int] = {}
        self.vms: dict[str, dict[str, object]] = {}
        self._stack = contextlib.ExitStack()
        self._folder = pathlib.Path()
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
        """Makes the folder for settings and logs."""
        folder = self._stack.enter_context(
            tempfile.TemporaryDirectory(prefix="marlramp-")
        )
        self._folder = pathlib.Path(folder)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Ends every process of the fleet."""
        everything = [
            *self.entries.values(),
            *self.agents.values(),
            *self.standins.values(),
        ]
        crashed = [process for process in everything if process.crashed]
        if error is not None or crashed:
            self._print_logs()
        for process in everything:
            if process.running:
                process.process.kill()
        for process in everything:
            process.process.wait(STOP_TIMEOUT_S)
        self._stack.close()
        if crashed and error is None:
            found = [(p.name, p.process.returncode) for p in crashed]
            raise FleetError(f"ended by themselves: {found}")

    def _print_logs(self) -> None:
        """Shows the end of each log, for a run that failed."""
        for log in sorted(self._folder.glob("*.log")):
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
        ports = dict(zip(names, free_ports(len(names)), strict=True))
        self._standin("platform", StandIn.PLATFORM, ports["platform"])
        self._standin(
            "origin",
            StandIn.WEIGHTS,
            ports["origin"],
            "--bytes-per-s",
            str(origin_bytes_per_s),
        )
        self._standin(
            "store",
            StandIn.WEIGHTS,
            ports["store"],
            "--requests-per-s",
            str(store_requests_per_s),
        )
        for number in range(engine_processes):
            name = f"engines{number}"
            self._standin(name, StandIn.ENGINES, ports[name])
        paths = {
            "platform": "/calls",
            "origin": "/stats",
            "store": "/stats",
        }
        for name in names:
            await self._await_answer(name, paths.get(name, "/"))

    def _standin(
        self, name: str, module: StandIn, port: int, *arguments: str
    ) -> None:
        self._urls[name] = f"http://{HOST}:{port}"
        command = [sys.executable, "-m", module.value, "--port", str(port)]
        self.standins[name] = Process(
            name, [*command, *arguments], self._folder / f"{name}.log"
        )

    async def _await_answer(self, name: str, path: str) -> None:
        for _ in range(int(START_TIMEOUT_MS / POLL_MS)):
            with contextlib.suppress(http.HttpError):
                await self.client.request(
                    "GET", self._urls[name] + path, timeout_ms=1_000.0
                )
                return
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        raise FleetError(f"{name} did not start")

    async def standin_call(
        self, name: str, method: str, path: str, body: object = None
    ) -> bytes:
        """Calls a stand-in and returns the body of its answer."""
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
        """Publishes the VM list as it stands."""
        listed = list(self.vms.values())
        await self.standin_call("platform", "PUT", "/vms", listed)

    async def put_weights(self, weights: PutWeights) -> Weights:
        """Adds weights to the origin and the store."""
        body: dict[str, object] = msgspec.to_builtins(weights)
        if not weights.common:
            del body["base_seed"], body["common"]
        await self.standin_call("store", "PUT", "/weights", body)
        answer = await self.standin_call("origin", "PUT", "/weights", body)
        return msgspec.json.decode(answer, type=Weights)

    def link_keys(self) -> links.Keys:
        """Returns the keys of the fleet's own links."""
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
        ports = free_ports(2 * count)
        started = []
        for number in range(count):
            vm_id = f"entry-{number}"
            data_centre = self.data_centres[number % len(self.data_centres)]
            link_port, http_port = ports[2 * number : 2 * number + 2]
            self._list_vm(vm_id, "entry", data_centre, "", link_port, http_port)
            text = self._entry_settings(
                vm_id, data_centre, link_port, http_port
            )
            self.entries[vm_id] = self._daemon(vm_id, text)
            started.append(vm_id)
        await self.publish_vms()
        return started

    async def start_agents(self, specs: list[AgentSpec]) -> list[str]:
        """Creates engines and starts an agent beside each."""
        ports = free_ports(len(specs))
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
            self._list_vm(
                vm_id, "upstream", spec.data_centre, spec.service, port, 0
            )
            text = self._agent_settings(vm_id, spec, port)
            self.agents[vm_id] = self._daemon(vm_id, text)
            started.append(vm_id)
        await self.publish_vms()
        return started

    def _list_vm(
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
            "host": HOST,
            "port": port,
            "http_port": http_port,
            "state": "live",
        }

    def _daemon(self, vm_id: str, settings: str) -> Process:
        path = self._folder / f"{vm_id}.toml"
        path.write_text(settings)
        command = [sys.executable, "-m", "marlramp.console.daemon"]
        return Process(
            vm_id,
            [*command, "--settings", str(path)],
            self._folder / f"{vm_id}.log",
        )

    def _common_settings(
        self, role: str, vm_id: str, data_centre: str, port: int
    ) -> str:
        platform = {
            "configuration_url": self._urls["platform"],
            "vm_list_url": self._urls["platform"],
            "origin_url": self._urls["origin"],
            "weight_store_url": self._urls["store"],
        }
        identity = {
            "vm_id": vm_id,
            "data_centre": data_centre,
            "member": "standbouw",
            "deployment": "fairs",
        }
        return "\n".join(
            [
                f'role = "{role}"',
                _table("identity", identity),
                _table("links", {"host": HOST, **self._keys}),
                f"port = {port}",
                _table("platform", platform),
                "vm_list_interval_ms = 1000",
                "",
            ]
        )

    def _entry_settings(
        self, vm_id: str, data_centre: str, port: int, http_port: int
    ) -> str:
        entry = {
            "http_host": HOST,
            "admin_key": ADMIN_KEY,
            "token_key": TOKEN_KEY,
        }
        common = self._common_settings("entry", vm_id, data_centre, port)
        return common + _table("entry", entry) + f"\nhttp_port = {http_port}\n"

    def _agent_settings(self, vm_id: str, spec: AgentSpec, port: int) -> str:
        engine_url = f"{self._urls[self.engine_name(vm_id)]}/e/{vm_id}"
        upstream = {"service": spec.service, "url": engine_url}
        common = self._common_settings("agent", vm_id, spec.data_centre, port)
        return (
            common
            + _table("upstream", upstream)
            + f"\ncapacity = {spec.capacity}"
            + f"\nlink_bytes_per_s = {spec.link_bytes_per_s}"
            + f"\nreports_load = {str(spec.reports_load).lower()}"
            + f"\nholds_two_versions = {str(spec.two_versions).lower()}"
            + f"\nchecks_fencing = {str(spec.checks_fencing).lower()}\n"
        )

    def entry_url(self, entry_id: str) -> str:
        """Returns the address of an entry for callers."""
        return f"http://{HOST}:{self.http_ports[entry_id]}"

    async def admin(self, entry_id: str, path: str) -> bytes:
        """Reads the administration API of an entry."""
        reply = await self.client.request(
            "GET",
            f"{self.entry_url(entry_id)}/admin/v1/{path}",
            headers={"authorization": f"Bearer {ADMIN_KEY}"},
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
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
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


def _table(name: str, values: Mapping[str, str]) -> str:
    lines = [f'{key} = "{value}"' for key, value in values.items()]
    return "\n".join(["", f"[{name}]", *lines])
