"""Runs real daemons against the stand-in platform on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
import contextlib
import os
import pathlib
import socket
import sys
from typing import Self

from standins import direct_documents
from standins import direct_replicas
from standins import direct_store
from standins import direct_weights
from standins import fault_proxy
from standins import raw_http

ROOT = pathlib.Path(__file__).parents[1]
NETWORK = "127.21"
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
LOOKUP_PORT = 8_009
CALLERS_PORT = 8_005
GROUPS = 256
_MS = 1_000.0
RESERVED_PORT = 8_999
"""Port bound as a lock on the fleet's group of addresses."""

PROXY_PORT_OFFSET = 1_000
"""Offset from a server's port to the port of its proxy."""


class Fleet:
    """A fleet of entries, engines with agents, a store and an origin.

    Attributes:
      store: the platform's store.
      origin: the origin of weights.
      engines: model engines, one per agent's VM.
      desks: replicas of the plain service.
      processes: daemon processes by VM name.
      proxies: proxies of the store ("store:VM"), replicas ("engine-N",
        "desk-N") and entries ("callers:VM"); empty unless the fleet is
        proxied.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int,
        engines: int,
        group: int,
        desks: int = 0,
        *,
        proxied: bool = False,
        regions: Mapping[str, str] = direct_documents.REGIONS,
        constraints: direct_documents.Constraints | None = None,
        retry_budget: direct_documents.RetryBudget = (
            direct_documents.RETRY_BUDGET
        ),
        vm_limits: direct_documents.VmLimits = direct_documents.VM_LIMITS,
        caller_limits: Mapping[str, int] | None = None,
    ) -> None:
        """Initializes the fleet; nothing runs until the context is entered.

        Args:
          folder: directory for settings files and logs.
          entries: number of entries.
          engines: number of engines, each with an agent.
          group: address group, 0 to 255; the next free group is used if
            another fleet on this machine has taken it.
          desks: number of replicas of the plain service.
          proxied: whether connections pass through fault-injecting proxies.
          regions: region by data centre. Entries, engines and desks are
            each distributed round-robin over the data centres.
          constraints: placement constraints, None for no constraints.
          retry_budget: the retries of each service.
          vm_limits: what each daemon may use on its VM.
          caller_limits: limits on callers that differ from the defaults.
        """
        self.retry_budget = retry_budget
        self.vm_limits = vm_limits
        self._caller_limits = caller_limits
        self._regions = regions
        self.constraints = constraints
        cold_start_s = constraints.cold_start_s if constraints else 0.0
        self._folder = folder
        self._stack = contextlib.AsyncExitStack()
        self._group = self._reserve(group)
        self._proxied = proxied
        self.proxies: dict[str, fault_proxy.FaultProxy] = {}
        self.store = direct_store.Store()
        self.origin = direct_weights.Origin()
        self.entry_hosts = [self._host(1 + n) for n in range(entries)]
        replica_port = self._client_port(direct_documents.REPLICA_PORT)
        self.engines = [
            direct_replicas.Engine(
                f"i-{n}",
                self._host(100 + n),
                self.store,
                weights=1,
                port=replica_port,
                data_centre=self.data_centre(n),
                cold_start_s=cold_start_s,
            )
            for n in range(engines)
        ]
        self.desks = [
            direct_replicas.PlainReplica(
                f"d-{n}",
                self._host(150 + n),
                self.store,
                replica_port,
                self.data_centre(n),
                cold_start_s,
            )
            for n in range(desks)
        ]
        self.processes: dict[str, asyncio.subprocess.Process] = {}

    async def __aenter__(self) -> Self:
        """Starts all processes and waits until every entry is ready."""
        store_host = self._host(250)
        await self._listen(
            self.store.serve, store_host, direct_documents.STORE_PORT
        )
        await self._listen(self.origin.serve, store_host, 8_006)
        await self._start_replicas()
        self.store.put(
            "op/config",
            direct_documents.configuration(
                self.origin_address,
                constraints=self.constraints,
                caller_limits=self._caller_limits,
            ),
        )
        if self.constraints and self.constraints.cold_start_s:
            self._heartbeats = asyncio.create_task(self._renew_records())
            self._stack.callback(self._heartbeats.cancel)
        for number in range(len(self.entry_hosts)):
            await self.start_entry(number)
        for number in range(len(self.engines)):
            await self.start_agent(number)
        for host in self.entry_hosts:
            await self.wait_ready(host)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Kills the daemons and releases all servers and sockets."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        await self._stack.aclose()

    def data_centre(self, number: int) -> str:
        """Returns the data centre of the entry, engine or desk `number`."""
        names = list(self._regions)
        return names[number % len(names)]

    @property
    def replicas(
        self,
    ) -> list[direct_replicas.Engine | direct_replicas.PlainReplica]:
        """All engines and desks."""
        return [*self.engines, *self.desks]

    def replica(
        self, name: str
    ) -> direct_replicas.Engine | direct_replicas.PlainReplica:
        """Returns the replica behind a proxy, "engine-N" or "desk-N"."""
        role, _, number = name.partition("-")
        replicas = self.engines if role == "engine" else self.desks
        return replicas[int(number)]

    async def _renew_records(self) -> None:
        while True:
            await asyncio.sleep(direct_documents.HEARTBEAT_MS / _MS)
            for replica in self.replicas:
                replica.renew()

    @property
    def origin_address(self) -> str:
        """Address of the origin of weights."""
        return f"{self._host(250)}:8006"

    async def _start_replicas(self) -> None:
        port = direct_documents.REPLICA_PORT
        for number, engine in enumerate(self.engines):
            server = await self._listen(engine.serve, engine.host, port)
            engine.crashes.server = server
            await self._proxy(f"engine-{number}", engine.host, port)
            engine.register()
        for number, desk in enumerate(self.desks):
            server = await self._listen(desk.serve, desk.host, port)
            desk.crashes.server = server
            await self._proxy(f"desk-{number}", desk.host, port)
            desk.register()

    async def start_entry(self, number: int) -> None:
        """Starts an entry; may be called again after it exited."""
        host = self.entry_hosts[number]
        await self._proxy(f"callers:entry-{number}", host, CALLERS_PORT)
        name = f"entry-{number}"
        await self._start(name, host, self.data_centre(number), entry=True)

    async def start_agent(self, number: int) -> None:
        """Starts the agent beside an engine."""
        host = self.engines[number].host
        name = f"agent-{number}"
        await self._start(name, host, self.data_centre(number), entry=False)

    async def wait_ready(self, host: str) -> None:
        """Waits until an entry reports that it is ready."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while b" 200 " not in await self._get(host, 8_002, "/v1/readyz"):
                await asyncio.sleep(POLL_S)

    async def lookup(self, host: str, region: str = "") -> bytes:
        """Looks up the service at an entry; returns the raw response."""
        path = f"/v1/lookup?name={direct_documents.HOST}"
        if region:
            path += f"&region={region}"
        return await self._get(host, LOOKUP_PORT, path)

    async def stream(
        self,
        host: str,
        request_id: str,
        body: bytes = b"",
        *,
        path: str = "/chat/x",
        parts: str = "",
    ) -> bytes:
        """Sends a streaming request; returns the raw response."""
        return await self.call(host, path, request_id, body, parts=parts)

    async def call(
        self,
        host: str,
        path: str,
        request_id: str,
        body: bytes = b"",
        *,
        parts: str = "",
        key: str = direct_documents.KEY,
    ) -> bytes:
        """Sends a request; returns the raw response.

        Args:
          host: address of the entry.
          path: request path.
          request_id: id of the attempt.
          body: request body.
          parts: prompt parts, comma-separated "ID:TOKENS".
          key: API key of the customer.
        """
        prefix_header = f"x-prefix-hash: {parts}\r\n" if parts else ""
        return await self._get(
            host,
            CALLERS_PORT,
            path,
            "POST",
            f"host: {direct_documents.HOST}\r\nx-attempt-id: {request_id}\r\n"
            f"x-deadline-ms: 6050\r\nx-token-usage: 100,30\r\n"
            f"authorization: Bearer {key}\r\n{prefix_header}",
            body,
        )

    async def metrics(self, host: str) -> bytes:
        """Returns the raw response of a daemon's metrics endpoint."""
        return await self._get(host, 9_464, "/metrics")

    def log(self, name: str) -> str:
        """Returns the log output of a daemon."""
        return (self._folder / f"{name}.log").read_text()

    def _reserve(self, group: int) -> int:
        """Reserves and returns the first free group, starting at `group`.

        Two fleets sharing addresses would answer each other's requests. The
        reservation lasts until the fleet is closed.
        """
        for number in range(group, group + GROUPS):
            reservation = socket.socket()
            try:
                reservation.bind(
                    (f"{NETWORK}.{number % GROUPS}.254", RESERVED_PORT)
                )
            except OSError:
                reservation.close()
                continue
            self._stack.callback(reservation.close)
            return number % GROUPS
        raise RuntimeError("all address groups are in use by other fleets")

    def _host(self, number: int) -> str:
        return f"{NETWORK}.{self._group}.{number}"

    async def _listen(
        self, script: raw_http.Script, host: str, port: int
    ) -> raw_http.ScriptedServer:
        return await self._stack.enter_async_context(
            raw_http.ScriptedServer(script, host, port)
        )

    async def _proxy(
        self,
        name: str,
        host: str,
        port: int,
        target_host: str = "",
    ) -> str:
        """Starts a port's proxy if needed; returns the address to use."""
        if not self._proxied:
            return f"{target_host or host}:{port}"
        if name not in self.proxies:
            proxy = fault_proxy.FaultProxy(
                host, self._client_port(port), target_host or host, port
            )
            self.proxies[name] = await self._stack.enter_async_context(proxy)
        return self.proxies[name].address

    def _client_port(self, port: int) -> int:
        return port + PROXY_PORT_OFFSET if self._proxied else port

    async def _start(
        self, name: str, host: str, data_centre: str, *, entry: bool
    ) -> None:
        store = await self._proxy(
            f"store:{name}", host, direct_documents.STORE_PORT, self._host(250)
        )
        file = self._folder / f"{name}.conf"
        file.write_text(
            direct_documents.settings_text(
                name,
                host,
                seeds=self.entry_hosts[:3],
                store=store,
                entry=entry,
                replica_port=self._client_port(direct_documents.REPLICA_PORT),
                data_centre=data_centre,
                regions=self._regions,
                constrained=self.constraints is not None,
                retry_budget=self.retry_budget,
                vm_limits=self.vm_limits,
            )
        )
        with (self._folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "src" / "marlrampd.py"),
                stdout=log,
                stderr=log,
                env={**os.environ, "MARLRAMP_SETTINGS": str(file)},
            )

    async def _get(
        self,
        host: str,
        port: int,
        path: str,
        method: str = "GET",
        headers: str = "",
        body: bytes = b"",
    ) -> bytes:
        """Sends a request on a new connection.

        Returns:
          The bytes received, up to the failure if the connection fails.
        """
        data = b""
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                f"{method} {path} HTTP/1.1\r\n{headers or 'host: x'}"
                f"{'' if headers else chr(13) + chr(10)}"
                f"connection: close\r\ncontent-length: {len(body)}"
                "\r\n\r\n".encode()
                + body
            )
            while part := await reader.read(65_536):
                data += part
            writer.close()
        except ConnectionError:
            return data
        return data
