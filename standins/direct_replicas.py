"""Stand-in replicas of the direct path: engines and plain services.

Each VM has its own loopback address.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import time
from typing import NamedTuple
from typing import Protocol

from standins import cold_start
from standins import crashing_part
from standins import direct_documents
from standins import direct_store
from standins import direct_weights
from standins import endless_bytes
from standins import named_limit
from standins import raw_http
from standins import turning_away

LAYERS = 16
EVENTS = 6
EVENT_S = 0.02
DESK_S = 0.01

CRASHING_BODY = b"crashes the replica that runs it"
CRASH_DELAY_S = 0.03
ROT_EXCUSED_S = 3.0
"""Grace period within which loading a corrupted piece is not a violation.

The users' rules allow it for a piece that was corrupted this recently.
"""

DOWN_S = 2.0
"""Time until a crashed replica is back."""


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class Begin(NamedTuple):
    """The start of a response: its first token.

    Attributes:
      at_s: event loop time.
      weights: weight version that produced it.
    """

    at_s: float
    weights: int


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
      at_s: event loop time.
      request_id: id of the request.
      replica_id: id of the replica at that time.
      misdirected: whether the replica responded with 421.
    """

    at_s: float
    request_id: str
    replica_id: str
    misdirected: bool


class CrashingServer(Protocol):
    """Server of a replica that can crash."""

    def crash(self, *, resets: bool = True) -> None:
        """Ends all connections and stops accepting new ones."""
        ...

    async def listen(self) -> None:
        """Accepts connections again."""
        ...


class _Crashes:
    """Crashes a replica and brings it back after `DOWN_S`.

    Attributes:
      count: number of crashes.
      times_s: event loop times of the crashes.
      down: whether the replica is down.
    """

    def __init__(self) -> None:
        self.server: CrashingServer | None = None
        self.count = 0
        self.times_s: list[float] = []
        self.down = False

    async def end(
        self, back: Callable[[], None], *, resets: bool = True
    ) -> None:
        """Crashes the replica unless it is down.

        Args:
          back: called after the replica listens again.
          resets: whether connections are reset rather than closed cleanly.
        """
        if self.server is None or self.down:
            return
        self.down = True
        self.count += 1
        self.times_s.append(_now_s())
        self.server.crash(resets=resets)
        await asyncio.sleep(DOWN_S)
        await self.server.listen()
        self.down = False
        back()


class Engine:
    """Stand-in of a model engine with staged pieces of weights.

    Attributes:
      weights: loaded version, 0 for none.
      mixed: number of complete loads with missing or wrong pieces.
      spoilt: whether the loaded layers were taken from such pieces.
      runs_on_spoilt: ids of requests that ran on such layers.
      before_order: awaited between the arrival of an order and its
        acceptance; the caller may have given up meanwhile.
      runs: number of executions by request id.
      begins: first tokens of responses, in order.
      crashes: crash state; requests with `CRASHING_BODY` or
        `crashing_part.PART` cause a crash.
      crash_style: how a crash caused by such a part cuts off the response.
      need: the rate limit that it announces.
      turning_away: which requests it rejects, and whether it is leaving.
      endless: which requests it answers with bytes without end.
      arrivals: requests that reached it, executed or not.
      cold: its cold starts.
    """

    def __init__(
        self,
        replica_id: str,
        host: str,
        store: direct_store.Store,
        weights: int,
        port: int = direct_documents.REPLICA_PORT,
        data_centre: str = direct_documents.DATA_CENTRE,
        cold_start_s: float = 0.0,
    ) -> None:
        """Initializes an engine with loaded and staged weights.

        Args:
          replica_id: id of the replica.
          host: address of its VM.
          store: store that it registers in.
          weights: version loaded and staged, 0 for none.
          port: registered port; the proxy's port if it has one.
          data_centre: data centre of its VM.
          cold_start_s: length of the cold period after a restart.
        """
        self.replica_id = replica_id
        self.host = host
        self.port = port
        self.weights = weights
        self.mixed = 0
        self.spoilt = False
        self.runs_on_spoilt: list[str] = []
        self.before_order: Callable[[], Awaitable[None]] | None = None
        self.runs: dict[str, int] = {}
        self.begins: list[Begin] = []
        self.crashes = _Crashes()
        self.crash_style = crashing_part.CrashStyle.CHUNKED
        self.need = named_limit.NamedLimit()
        self.turning_away = turning_away.TurningAway(replica_id)
        self.endless = endless_bytes.Endless()
        self.arrivals: list[Arrival] = []
        self.data_centre = data_centre
        self.cold = cold_start.ColdStarts(cold_start_s)
        self._state = "healthy"
        self._store = store
        self._running = 0
        self._orders = 0
        self._born_ms = _unix_ms()
        self._loading = False
        self._held_layers = LAYERS if weights else 0
        self._corrupted_s: dict[int, float] = {}
        self._staged = {
            index: direct_weights.piece(weights, index)
            for index in range(direct_documents.PIECES)
            if weights
        }

    @property
    def address(self) -> str:
        """Registered address as "host:port"."""
        return f"{self.host}:{self.port}"

    def rot(self, index: int, age_s: float = 0.0) -> None:
        """Corrupts a staged piece, as if that had happened `age_s` ago."""
        self._staged[index] = b"rotten"
        now_s = asyncio.get_running_loop().time()
        self._corrupted_s[index] = now_s - age_s

    def missing(self, version: int) -> list[int]:
        """Returns the indices of pieces that are missing or wrong.

        Pieces corrupted within the last `ROT_EXCUSED_S` are left out.
        """
        horizon_s = asyncio.get_running_loop().time() - ROT_EXCUSED_S
        return [
            index
            for index in range(direct_documents.PIECES)
            if self._staged.get(index) != direct_weights.piece(version, index)
            and self._corrupted_s.get(index, float("-inf")) < horizon_s
        ]

    def restart(self, replica_id: str, *, staged: bool = True) -> None:
        """Restarts without loaded weights, under the same or another id.

        Args:
          replica_id: id after the restart. If it is unchanged, the store
            item is never removed.
          staged: whether staged pieces survive the restart.
        """
        if replica_id != self.replica_id:
            self.leave()
        if not staged:
            self._staged = {}
        self.replica_id = replica_id
        self.weights = 0
        self._held_layers = 0
        self.spoilt = False
        self._orders = 0
        self._loading = False
        self.turning_away.started_anew()
        self.cold.begin(self.replica_id)
        # Strictly increasing, even for two starts within one millisecond.
        self._born_ms = max(_unix_ms(), self._born_ms + 1)
        self.register()

    def leave(self) -> None:
        """Removes the engine's item from the store."""
        self._store.delete(f"servers/{self.replica_id}")

    def register(self, state: str = "healthy") -> None:
        """Writes the engine's item to the store."""
        self._state = state
        self._store.put(
            f"servers/{self.replica_id}",
            {
                "service": direct_documents.SERVICE,
                "address": self.address,
                "zone": self.data_centre,
                "version": "v1",
                "slots": 16,
                "state": state,
                "cold_left_ms": self.cold.left_ms(),
                "call_seq": self._orders,
                "born": self._born_ms,
                "layers": self._layers(),
            },
        )

    def renew(self) -> None:
        """Rewrites the store item, as a replica does on each heartbeat."""
        if not self.crashes.down:
            self.register(self._state)

    async def crash(self, *, resets: bool = True) -> None:
        """Crashes, and restarts under the same id after `DOWN_S`."""
        await self.crashes.end(
            lambda: self.restart(self.replica_id), resets=resets
        )

    async def serve(self, peer: raw_http.Peer) -> None:
        """Serves load reports, staging, load orders and requests."""
        while (request := await peer.read()) is not None:
            path, query = request.path, request.query
            if path == "/v1/report":
                poll = f"{_now_s()}"
                if self.endless.takes(poll):
                    await self.endless.write(peer, poll)
                    return
                leaving = self.turning_away.leaving
                headers = {"server_leaving": "1"} if leaving else {}
                report = json.dumps(self._report()).encode()
                await peer.answer(request, 200, report, **headers)
            elif path.startswith("/v1/stage-"):
                await self._stage(peer, request, query)
            elif path == "/v1/order":
                await self._order(peer, request)
            else:
                await self._run(peer, request)

    def _layers(self) -> dict[str, int]:
        layers = self._held_layers if self.weights else 0
        return {"source": 0, "target": layers, "version": self.weights}

    def _report(self) -> dict[str, object]:
        return {
            "born": self._born_ms,
            "busy": self._loading,
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
            self._corrupted_s.pop(int(query["index"]), None)
            await peer.answer(request, 200)
        elif "index" not in query:
            await peer.answer_json(request, {"held": sorted(self._staged)})
        else:
            data = self._staged.get(int(query["index"]))
            status = 404 if data is None else 200
            await peer.answer(request, status, data or b"")

    async def _order(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        order = json.loads(request.body)
        if self.before_order is not None:
            await self.before_order()
        if order.get("expect", self._orders) != self._orders:
            await peer.answer(request, 409)
            return
        version = int(order["version"])
        layers = int(order.get("target", LAYERS))
        if version == self.weights and layers <= self._held_layers:
            await peer.answer(request, 200)
            return
        self._orders += 1
        self._loading = True
        spoilt = bool(self.missing(version))
        if layers == LAYERS:
            self.mixed += spoilt
        with contextlib.suppress(ConnectionError):
            await peer.answer(request, 202)
        await asyncio.sleep(direct_documents.LOAD_S * layers / LAYERS)
        # Layers of the same version are kept.
        kept = version == self.weights and self._held_layers > 0
        self.spoilt = spoilt or (kept and self.spoilt)
        self.weights = version
        self._held_layers = layers
        self._loading = False
        self.register()

    async def _run(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        expected = request.headers.get("x-expect-version")
        matches_replica = (
            request.headers.get("x-expect-replica") == self.replica_id
        )
        name = request.headers["x-attempt-id"]
        self.need.arrived(name)
        misdirected = (
            not matches_replica
            or expected != str(self.weights)
            or self._held_layers < LAYERS
            or self._loading
        )
        self.arrivals.append(
            Arrival(_now_s(), name, self.replica_id, misdirected)
        )
        if misdirected:
            await peer.answer(request, 421)
            return
        if status := self.turning_away.takes(name):
            headers = self.turning_away.headers(name, status)
            await peer.answer(request, status, b"", **headers)
            return
        self.runs[name] = self.runs.get(name, 0) + 1
        if self.spoilt:
            self.runs_on_spoilt.append(name)
        if request.body == CRASHING_BODY:
            await asyncio.sleep(CRASH_DELAY_S)
            # The connection ends with the replica, so it can't await this.
            self._crash_task = asyncio.create_task(self.crash())
            return
        if self.endless.takes(name):
            await self.endless.write(peer, name, self._signature())
            return
        self._running += 1
        try:
            if crashing_part.crashes(request):
                await self._crash_while_writing(peer, name)
                return
            await self._stream(peer, request, name)
        finally:
            self._running -= 1

    def _signature(self) -> str:
        return (
            f"x-replica-signature: {self.replica_id}\r\n"
            f"x-weight-versions: {self.weights}\r\n"
        )

    async def _crash_while_writing(
        self, peer: raw_http.Peer, name: str
    ) -> None:
        headers = self._signature()
        style = self.crash_style
        await crashing_part.begin_answer(peer, name, style, headers)
        self._crash_task = asyncio.create_task(self.crash(resets=style.resets))

    async def _stream(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest, name: str
    ) -> None:
        headers = self.need.headers(name) | self.turning_away.headers(name, 0)
        more = "".join(
            f"{key.replace('_', '-')}: {value}\r\n"
            for key, value in headers.items()
        )
        await peer.write(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n"
            f"content-type: text/event-stream\r\n{more}"
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
            if number == first:
                now_s = asyncio.get_running_loop().time()
                self.begins.append(Begin(now_s, self.weights))
            event = f"id: {number}\ndata: e{number}\n\n".encode()
            await peer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await peer.write(b"0\r\n\r\n")


class PlainReplica:
    """Stand-in of a replica of the plain service.

    Attributes:
      service: name of its service; takes effect when it registers.
      runs: number of executions by request id.
      crashes: crash state; a request with `CRASHING_BODY` causes a crash.
      need: the rate limit that it announces.
      turning_away: which requests it rejects, and whether it is leaving.
      endless: which requests it answers with bytes without end.
      arrivals: requests that reached it, executed or not.
      cold: its cold starts.
    """

    def __init__(
        self,
        replica_id: str,
        host: str,
        store: direct_store.Store,
        port: int = direct_documents.REPLICA_PORT,
        data_centre: str = direct_documents.DATA_CENTRE,
        cold_start_s: float = 0.0,
    ) -> None:
        """Initializes a replica that is not yet registered.

        Args:
          replica_id: id of the replica.
          host: address of its VM.
          store: store that it registers in.
          port: registered port; the proxy's port if it has one.
          data_centre: data centre of its VM.
          cold_start_s: length of the cold period after a restart.
        """
        self.replica_id = replica_id
        self.host = host
        self.port = port
        self.service = direct_documents.DESK_SERVICE
        self.runs: dict[str, int] = {}
        self.crashes = _Crashes()
        self.need = named_limit.NamedLimit()
        self.turning_away = turning_away.TurningAway(replica_id)
        self.endless = endless_bytes.Endless()
        self.arrivals: list[Arrival] = []
        self.data_centre = data_centre
        self.cold = cold_start.ColdStarts(cold_start_s)
        self._state = "healthy"
        self._born_ms = _unix_ms()
        self._store = store

    def register(self, state: str = "healthy") -> None:
        """Writes the replica's item to the store."""
        self._state = state
        self._store.put(
            f"servers/{self.replica_id}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.data_centre,
                "version": "v1",
                "slots": 6,
                "state": state,
                "cold_left_ms": self.cold.left_ms(),
                "call_seq": 0,
                "born": self._born_ms,
            },
        )

    def renew(self) -> None:
        """Rewrites the store item, as a replica does on each heartbeat."""
        if not self.crashes.down:
            self.register(self._state)

    async def crash(self) -> None:
        """Crashes, and restarts under the same id after `DOWN_S`."""
        await self.crashes.end(self._restart)

    def restart(self) -> None:
        """Restarts under the same id; connections stay open."""
        self._restart()

    def _restart(self) -> None:
        self.turning_away.started_anew()
        self.cold.begin(self.replica_id)
        self._born_ms = max(_unix_ms(), self._born_ms + 1)
        self.register()

    async def serve(self, peer: raw_http.Peer) -> None:
        """Responds to requests with their own id as the body."""
        while (request := await peer.read()) is not None:
            name = request.headers["x-attempt-id"]
            self.need.arrived(name)
            expected = request.headers.get("x-expect-replica")
            misdirected = expected != self.replica_id
            self.arrivals.append(
                Arrival(_now_s(), name, self.replica_id, misdirected)
            )
            if misdirected:
                await peer.answer(request, 421)
                continue
            if status := self.turning_away.takes(name):
                headers = self.turning_away.headers(name, status)
                await peer.answer(request, status, b"", **headers)
                continue
            self.runs[name] = self.runs.get(name, 0) + 1
            if self.endless.takes(name):
                signature = f"x-replica-signature: {self.replica_id}\r\n"
                await self.endless.write(peer, name, signature)
                return
            await asyncio.sleep(DESK_S)
            if request.body == CRASHING_BODY:
                self._crash_task = asyncio.create_task(self.crash())
                return
            await peer.answer(
                request,
                200,
                name.encode(),
                x_replica_signature=self.replica_id,
                **self.need.headers(name),
                **self.turning_away.headers(name, 0),
            )
