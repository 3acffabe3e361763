"""Stand-in for a platform whose replicas are called directly.

It speaks the dialect that `marlramp.platform` decodes: a store that can only
be read, an origin of weights, model engines with staged pieces and orders, and
plain replicas. Each VM has a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import time
import urllib.parse

from standins import raw_http

STORE_PORT = 8007
REPLICA_PORT = 8001
MODEL = "m"
SERVICE = "pool"
PIECES = 8
PIECE_BYTES = 32_768
EVENTS = 6
EVENT_S = 0.02
LOAD_S = 0.1
DESK_SERVICE = "desk"
DESK_S = 0.01
HOST = "fleet.example"
KEY = "secret-key"


def piece(version: int, index: int) -> bytes:
    """Returns the bytes of a piece."""
    seed = f"{version}:{index}".encode()
    return (hashlib.sha256(seed).digest() * PIECE_BYTES)[:PIECE_BYTES]


def digest(data: bytes) -> str:
    """Returns the digest that the origin's manifest has for `data`."""
    return hashlib.sha256(data).hexdigest()


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


def _query(request: raw_http.SeenRequest) -> tuple[str, dict[str, str]]:
    parts = urllib.parse.urlsplit(request.target)
    return parts.path, dict(urllib.parse.parse_qsl(parts.query))


async def _json(
    peer: raw_http.Peer, request: raw_http.SeenRequest, value: object
) -> None:
    await peer.answer(request, 200, json.dumps(value).encode())


class Store:
    """The store: items with revisions, and watches.

    Attributes:
      down: whether every call is refused.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self._items: dict[str, dict[str, object]] = {}
        self._events: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self.revision = 1
        self.down = False

    def put(self, key: str, value: object) -> None:
        """Writes an item, as operators and replicas do."""
        self.revision += 1
        data = base64.b64encode(json.dumps(value).encode()).decode()
        event = {"key": key, "revision": self.revision, "data": data}
        self._items[key] = event
        self._note(event)

    def delete(self, key: str) -> None:
        """Removes an item."""
        self.revision += 1
        self._items.pop(key, None)
        self._note({"key": key, "revision": self.revision, "deleted": True})

    async def serve(self, peer: raw_http.Peer) -> None:
        """Answers reads and watches."""
        while (request := await peer.read()) is not None:
            path, query = _query(request)
            if self.down:
                await peer.answer(request, 503)
            elif path == "/v1/kv-range":
                await _json(
                    peer,
                    request,
                    {
                        "entries": list(self._items.values()),
                        "has_more": False,
                        "at": self.revision,
                    },
                )
            else:
                await self._watch(peer, request, query)

    async def _watch(
        self,
        peer: raw_http.Peer,
        request: raw_http.SeenRequest,
        query: dict[str, str],
    ) -> None:
        after = int(query["after"])
        wait_s = int(query["wait_ms"]) / 1_000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while self.revision <= after:
                    self._changed.clear()
                    await self._changed.wait()
        events = [e for e in self._events if int(str(e["revision"])) > after]
        await _json(peer, request, {"events": events, "at": self.revision})

    def _note(self, event: dict[str, object]) -> None:
        self._events.append(event)
        self._changed.set()


class Origin:
    """The origin of weights; counts the pieces that it sent."""

    def __init__(self) -> None:
        """Starts with nothing sent."""
        self.sent = 0

    async def serve(self, peer: raw_http.Peer) -> None:
        """Answers calls for manifests and pieces."""
        while (request := await peer.read()) is not None:
            path, query = _query(request)
            version = int(query["version"])
            if path.startswith("/v1/manifest/"):
                hashes = [digest(piece(version, n)) for n in range(PIECES)]
                await _json(
                    peer,
                    request,
                    {
                        "model_name": MODEL,
                        "version": version,
                        "block_bytes": PIECE_BYTES,
                        "hashes": hashes,
                    },
                )
            else:
                self.sent += 1
                data = piece(version, int(query["index"]))
                await peer.answer(request, 200, data)


class Engine:
    """A model engine with staged pieces.

    Attributes:
      weights: version loaded, 0 for none.
      mixed: loads of pieces that were missing or wrong.
      runs: how often each request id ran.
    """

    def __init__(
        self,
        replica_id: str,
        host: str,
        store: Store,
        weights: int,
        port: int = REPLICA_PORT,
    ) -> None:
        """Holds `weights`, which are staged too; 0 for an empty engine.

        Args:
          replica_id: its id.
          host: its VM's address.
          store: where it registers.
          weights: version that it holds.
          port: port under which it is listed, of a proxy if need be.
        """
        self.replica_id = replica_id
        self.host = host
        self.port = port
        self.weights = weights
        self.mixed = 0
        self.runs: dict[str, int] = {}
        self._store = store
        self._running = 0
        self._orders = 0
        self._born_ms = _unix_ms()
        self._busy = False
        self._staged = {
            index: piece(weights, index) for index in range(PIECES) if weights
        }

    @property
    def address(self) -> str:
        """Address under which it is listed, "host:port"."""
        return f"{self.host}:{self.port}"

    def rot(self, index: int) -> None:
        """Spoils a staged piece."""
        self._staged[index] = b"rotten"

    def restart(self, replica_id: str, *, staged: bool = True) -> None:
        """Starts anew with no weights, under another id or the one it had.

        Args:
          replica_id: the id; under the one it had its entry never goes.
          staged: whether the pieces that lay there survive.
        """
        if replica_id != self.replica_id:
            self.leave()
        if not staged:
            self._staged = {}
        self.replica_id = replica_id
        self.weights = 0
        self._orders = 0
        self._busy = False
        # Later than any start before, also within one millisecond.
        self._born_ms = max(_unix_ms(), self._born_ms + 1)
        self.register()

    def leave(self) -> None:
        """Removes the engine's entry from the store."""
        self._store.delete(f"servers/{self.replica_id}")

    def register(self, state: str = "healthy") -> None:
        """Writes the engine's entry into the store."""
        self._store.put(
            f"servers/{self.replica_id}",
            {
                "service": SERVICE,
                "address": self.address,
                "zone": "dc-1",
                "version": "v1",
                "slots": 16,
                "state": state,
                "cold_left_ms": 0,
                "call_seq": self._orders,
                "born": self._born_ms,
                "layers": self._layers(),
            },
        )

    async def serve(self, peer: raw_http.Peer) -> None:
        """Answers reports, staging, orders and requests."""
        while (request := await peer.read()) is not None:
            path, query = _query(request)
            if path == "/v1/report":
                await _json(peer, request, self._report())
            elif path.startswith("/v1/stage-"):
                await self._stage(peer, request, query)
            elif path == "/v1/order":
                await self._order(peer, request)
            else:
                await self._run(peer, request)

    def _layers(self) -> dict[str, int]:
        held = 16 if self.weights else 0
        return {"source": 0, "target": held, "version": self.weights}

    def _report(self) -> dict[str, object]:
        return {
            "born": self._born_ms,
            "busy": self._busy,
            "call_seq": self._orders,
            "queued": 0,
            "active": self._running,
            "layers": self._layers(),
            "pace": 1.0,
        }

    async def _stage(
        self,
        peer: raw_http.Peer,
        request: raw_http.SeenRequest,
        query: dict[str, str],
    ) -> None:
        if request.method == "PUT":
            self._staged[int(query["index"])] = request.body
            await peer.answer(request, 200)
        elif "index" not in query:
            await _json(peer, request, {"held": sorted(self._staged)})
        else:
            data = self._staged.get(int(query["index"]))
            status = 404 if data is None else 200
            await peer.answer(request, status, data or b"")

    async def _order(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        order = json.loads(request.body)
        if order.get("expect", self._orders) != self._orders:
            await peer.answer(request, 409)
            return
        self._orders += 1
        self._busy = True
        await peer.answer(request, 202)
        version = int(order["version"])
        whole = [self._staged.get(n) for n in range(PIECES)]
        if whole != [piece(version, n) for n in range(PIECES)]:
            self.mixed += 1
        await asyncio.sleep(LOAD_S)
        self.weights = version
        self._busy = False
        self.register()

    async def _run(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        expected = request.headers.get("x-expect-version")
        right = request.headers.get("x-expect-replica") == self.replica_id
        if not right or expected != str(self.weights) or self._busy:
            await peer.answer(request, 421)
            return
        name = request.headers["x-attempt-id"]
        self.runs[name] = self.runs.get(name, 0) + 1
        self._running += 1
        try:
            await self._stream(peer, request, name)
        finally:
            self._running -= 1

    async def _stream(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest, name: str
    ) -> None:
        await peer.write(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            "content-type: text/event-stream\r\n"
            f"x-attempt-id: {name}\r\nx-replica-signature: {self.replica_id}"
            f"\r\nx-weight-versions: {self.weights}\r\n\r\n".encode()
        )
        first = int(request.headers.get("last-event-id", "0")) + 1
        born_ms = self._born_ms
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            if born_ms != self._born_ms:
                peer.reset()
                return
            event = f"id: {number}\ndata: e{number}\n\n".encode()
            await peer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await peer.write(b"0\r\n\r\n")


class PlainReplica:
    """A replica of the plain service.

    Attributes:
      runs: how often each request id ran.
    """

    def __init__(
        self,
        replica_id: str,
        host: str,
        store: Store,
        port: int = REPLICA_PORT,
    ) -> None:
        """Is listed under `port`, of a proxy if need be."""
        self.replica_id = replica_id
        self.host = host
        self.port = port
        self.runs: dict[str, int] = {}
        self._born_ms = _unix_ms()
        self._store = store

    def register(self, state: str = "healthy") -> None:
        """Writes the replica's entry into the store."""
        self._store.put(
            f"servers/{self.replica_id}",
            {
                "service": DESK_SERVICE,
                "address": f"{self.host}:{self.port}",
                "zone": "dc-1",
                "version": "v1",
                "slots": 6,
                "state": state,
                "cold_left_ms": 0,
                "call_seq": 0,
                "born": self._born_ms,
            },
        )

    async def serve(self, peer: raw_http.Peer) -> None:
        """Answers requests with their own id as the body."""
        while (request := await peer.read()) is not None:
            if request.headers.get("x-expect-replica") != self.replica_id:
                await peer.answer(request, 421)
                continue
            name = request.headers["x-attempt-id"]
            self.runs[name] = self.runs.get(name, 0) + 1
            await asyncio.sleep(DESK_S)
            await peer.answer(
                request,
                200,
                name.encode(),
                x_replica_signature=self.replica_id,
            )


def _plain_route(name: str, kind: str) -> dict[str, object]:
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "route_kind": kind,
        "timeout_ms": 2_500,
        "target_latency_ms": 200,
        "service": DESK_SERVICE,
        "max_attempts": 2,
    }


def configuration(
    origin: str, version: int = 1, keys: list[str] | None = None
) -> dict[str, object]:
    """Returns a configuration with a streaming and two plain routes.

    Args:
      origin: address of the origin of weights.
      version: its version.
      keys: keys of its customer, else `KEY` alone.
    """
    return {
        "version": version,
        "route_table": [
            _plain_route("order", "non_idempotent"),
            _plain_route("stock", "idempotent"),
            {
                "name": "r",
                "host": HOST,
                "path_prefix": "/chat/",
                "route_kind": "streaming",
                "timeout_ms": 6_000,
                "target_latency_ms": 400,
                "target_itl_ms": 400,
                "service": SERVICE,
                "max_attempts": 2,
                "resumable": True,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "max_conns": 64,
                "runtime": {
                    "slots": 16,
                    "pass_steps": 5,
                    "step_ms": 4.0,
                    "read_per_s": 20_700.0,
                    "kv_capacity": 317_000,
                    "layers": 16,
                    "blocks": PIECES,
                    "block_bytes": PIECE_BYTES,
                    "model_list": [{"name": MODEL, "warmup_s": LOAD_S}],
                },
            },
            {"name": DESK_SERVICE, "max_conns": 64},
            {"name": "origin", "upstream": origin, "max_conns": 48},
        ],
        "limits": {},
        "tenants": [{"name": "c", "api_keys": keys or [KEY], "priority": 1}],
    }


def settings_text(
    name: str,
    host: str,
    *,
    seeds: list[str],
    store: str,
    entry: bool,
    replica_port: int = REPLICA_PORT,
) -> str:
    """Returns the platform's settings file of one process.

    Args:
      name: name of its VM.
      host: address of its VM.
      seeds: hosts of entries.
      store: address of the store.
      entry: whether it is an entry, else an agent.
      replica_port: port of the engine beside an agent.
    """
    lines = [
        f"node_name={name}",
        f"ip={host}",
        "zone=dc-1",
        "region=north",
        "zones.dc-1=north",
        "port_range=7700,7715",
        "seed_nodes=" + ",".join(f"{seed}:8000" for seed in seeds),
        "limits.link_mbps=1000",
        "heartbeat_ms=1200",
        f"platform.address={store}",
        "bounds.drain_ms=2000",
        "bounds.grace_s=8",
        "bounds.config_apply_ms=2000",
        "bounds.version_ms=4000",
        "bounds.retry_ratio=0.2",
        "bounds.retry_window_s=10",
        "bounds.budget_slack=104",
        "bounds.ttl_max_s=5",
    ]
    if entry:
        lines += [
            "serves=edge,control,registry",
            f"listen.frontend={host}:8005",
            f"listen.ready={host}:8002",
            f"listen.control_plane={host}:8000",
            f"listen.directory_addr={host}:8009",
        ]
    else:
        lines += ["serves=side", f"app={host}:{replica_port}"]
    return "\n".join(lines) + "\n"
