"""Stand-ins of the replicas on the direct path: engines and plain services.

Each VM has a loopback address of its own.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import json
import time
from typing import NamedTuple
from typing import Protocol

from standins import cold_start
from standins import crashing_part
from standins import direct_documents
from standins import direct_store
from standins import direct_weights
from standins import named_limit
from standins import raw_http
from standins import turning_away

EVENTS = 6
EVENT_S = 0.02
DESK_S = 0.01

CRASHING_BODY = b"crashes the replica that runs it"
CRASH_AFTER_S = 0.03
ROT_EXCUSED_S = 3.0
"""A piece that turned bad this lately may be loaded, by the users' rules."""

DOWN_S = 2.0
"""Time until a replica that crashed is back."""


def _unix_ms() -> int:
    return time.time_ns() // 1_000_000


def _now_s() -> float:
    return asyncio.get_running_loop().time()


class Begin(NamedTuple):
    """The first token of a request.

    Attributes:
      at_s: time of the event loop.
      weights: version on which it began.
    """

    at_s: float
    weights: int


class Arrival(NamedTuple):
    """A request that reached a replica.

    Attributes:
      at_s: time of the event loop.
      request_id: id of the request.
      replica_id: id of the replica at that time.
      misdirected: whether it was answered with 421.
    """

    at_s: float
    request_id: str
    replica_id: str
    misdirected: bool


class CrashingServer(Protocol):
    """The server of a replica that may crash."""

    def crash(self, *, resets: bool = True) -> None:
        """Ends every connection and takes no more."""
        ...

    async def listen(self) -> None:
        """Takes connections again."""
        ...


class _Crashes:
    """Ends a replica, and has it back after a while.

    Attributes:
      count: how often it ended.
      down: whether it is down now.
    """

    def __init__(self) -> None:
        self.server: CrashingServer | None = None
        self.count = 0
        self.down = False

    async def end(
        self, back: Callable[[], None], *, resets: bool = True
    ) -> None:
        """Ends the replica once; `back` is called when it starts anew."""
        if self.server is None or self.down:
            return
        self.down = True
        self.count += 1
        self.server.crash(resets=resets)
        await asyncio.sleep(DOWN_S)
        await self.server.listen()
        self.down = False
        back()


class Engine:
    """A model engine with staged pieces.

    Attributes:
      weights: version loaded, 0 for none.
      mixed: loads of pieces that were missing or wrong.
      runs: how often each request id ran.
      begins: first tokens of requests, in order.
      crashes: its crashes; a request with `CRASHING_BODY` causes one, and one
        with `crashing_part.PART`.
      crash_style: how the answer looks that such a part ends.
      need: the limit that it names.
      turning_away: what it turns away, and whether it leaves.
      arrivals: requests that reached it, run or not.
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
        """Holds `weights`, which are staged too; 0 for an empty engine.

        Args:
          replica_id: its id.
          host: its VM's address.
          store: where it registers.
          weights: version that it holds.
          port: port under which it is listed, of a proxy if need be.
          data_centre: data centre of its VM.
          cold_start_s: how long it is cold after a restart.
        """
        self.replica_id = replica_id
        self.host = host
        self.port = port
        self.weights = weights
        self.mixed = 0
        self.runs: dict[str, int] = {}
        self.begins: list[Begin] = []
        self.crashes = _Crashes()
        self.crash_style = crashing_part.CrashStyle.CHUNKED
        self.need = named_limit.NamedLimit()
        self.turning_away = turning_away.TurningAway(replica_id)
        self.arrivals: list[Arrival] = []
        self.data_centre = data_centre
        self.cold = cold_start.ColdStarts(cold_start_s)
        self._state = "healthy"
        self._store = store
        self._running = 0
        self._orders = 0
        self._born_ms = _unix_ms()
        self._busy = False
        self._rotted_s: dict[int, float] = {}
        self._staged = {
            index: direct_weights.piece(weights, index)
            for index in range(direct_documents.PIECES)
            if weights
        }

    @property
    def address(self) -> str:
        """Address under which it is listed, "host:port"."""
        return f"{self.host}:{self.port}"

    def rot(self, index: int) -> None:
        """Spoils a staged piece."""
        self._staged[index] = b"rotten"
        self._rotted_s[index] = asyncio.get_running_loop().time()

    def missing(self, version: int) -> list[int]:
        """Returns the pieces of a version that lie here wrong, or not at all.

        Those that turned bad just now are left out.
        """
        horizon_s = asyncio.get_running_loop().time() - ROT_EXCUSED_S
        return [
            index
            for index in range(direct_documents.PIECES)
            if self._staged.get(index) != direct_weights.piece(version, index)
            and self._rotted_s.get(index, float("-inf")) < horizon_s
        ]

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
        self.turning_away.started_anew()
        self.cold.begin(self.replica_id)
        # Later than any start before, also within one millisecond.
        self._born_ms = max(_unix_ms(), self._born_ms + 1)
        self.register()

    def leave(self) -> None:
        """Removes the engine's entry from the store."""
        self._store.delete(f"servers/{self.replica_id}")

    def register(self, state: str = "healthy") -> None:
        """Writes the engine's entry into the store."""
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
        """Writes the entry again, as a replica does at each heartbeat."""
        if not self.crashes.down:
            self.register(self._state)

    async def crash(self, *, resets: bool = True) -> None:
        """Ends, and starts anew under the same id after `DOWN_S`."""
        await self.crashes.end(
            lambda: self.restart(self.replica_id), resets=resets
        )

    async def serve(self, peer: raw_http.Peer) -> None:
        """Answers reports, staging, orders and requests."""
        while (request := await peer.read()) is not None:
            path, query = request.path, request.query
            if path == "/v1/report":
                leaving = self.turning_away.leaving
                said = {"server_leaving": "1"} if leaving else {}
                report = json.dumps(self._report()).encode()
                await peer.answer(request, 200, report, **said)
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
            self._rotted_s.pop(int(query["index"]), None)
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
        if order.get("expect", self._orders) != self._orders:
            await peer.answer(request, 409)
            return
        self._orders += 1
        self._busy = True
        await peer.answer(request, 202)
        version = int(order["version"])
        if self.missing(version):
            self.mixed += 1
        await asyncio.sleep(direct_documents.LOAD_S)
        self.weights = version
        self._busy = False
        self.register()

    async def _run(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        expected = request.headers.get("x-expect-version")
        right = request.headers.get("x-expect-replica") == self.replica_id
        name = request.headers["x-attempt-id"]
        self.need.arrived(name)
        misdirected = not right or expected != str(self.weights) or self._busy
        self.arrivals.append(
            Arrival(_now_s(), name, self.replica_id, misdirected)
        )
        if misdirected:
            await peer.answer(request, 421)
            return
        if status := self.turning_away.takes(name):
            said = self.turning_away.headers(name, status)
            await peer.answer(request, status, b"", **said)
            return
        self.runs[name] = self.runs.get(name, 0) + 1
        if request.body == CRASHING_BODY:
            await asyncio.sleep(CRASH_AFTER_S)
            # Not awaited by the connection, which ends with the replica.
            self._ending = asyncio.create_task(self.crash())
            return
        self._running += 1
        try:
            if crashing_part.crashes(request):
                await self._crash_while_writing(peer, name)
                return
            await self._stream(peer, request, name)
        finally:
            self._running -= 1

    async def _crash_while_writing(
        self, peer: raw_http.Peer, name: str
    ) -> None:
        headers = (
            f"x-replica-signature: {self.replica_id}\r\n"
            f"x-weight-versions: {self.weights}\r\n"
        )
        style = self.crash_style
        await crashing_part.begin_answer(peer, name, style, headers)
        self._ending = asyncio.create_task(self.crash(resets=style.resets))

    async def _stream(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest, name: str
    ) -> None:
        said = self.need.headers(name) | self.turning_away.headers(name, 0)
        more = "".join(
            f"{key.replace('_', '-')}: {value}\r\n"
            for key, value in said.items()
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
    """A replica of the plain service.

    Attributes:
      runs: how often each request id ran.
      crashes: its crashes; a request with `CRASHING_BODY` causes one.
      need: the limit that it names.
      turning_away: what it turns away, and whether it leaves.
      arrivals: requests that reached it, run or not.
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
        """Is listed under `port`, of a proxy if need be.

        Args:
          replica_id: its id.
          host: its VM's address.
          store: where it registers.
          port: port under which it is listed.
          data_centre: data centre of its VM.
          cold_start_s: how long it is cold after a restart.
        """
        self.replica_id = replica_id
        self.host = host
        self.port = port
        self.runs: dict[str, int] = {}
        self.crashes = _Crashes()
        self.need = named_limit.NamedLimit()
        self.turning_away = turning_away.TurningAway(replica_id)
        self.arrivals: list[Arrival] = []
        self.data_centre = data_centre
        self.cold = cold_start.ColdStarts(cold_start_s)
        self._state = "healthy"
        self._born_ms = _unix_ms()
        self._store = store

    def register(self, state: str = "healthy") -> None:
        """Writes the replica's entry into the store."""
        self._state = state
        self._store.put(
            f"servers/{self.replica_id}",
            {
                "service": direct_documents.DESK_SERVICE,
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
        """Writes the entry again, as a replica does at each heartbeat."""
        if not self.crashes.down:
            self.register(self._state)

    async def crash(self) -> None:
        """Ends, and starts anew under the same id after `DOWN_S`."""
        await self.crashes.end(self._start_anew)

    def restart(self) -> None:
        """Starts anew under its id; connections stay."""
        self._start_anew()

    def _start_anew(self) -> None:
        self.turning_away.started_anew()
        self.cold.begin(self.replica_id)
        self._born_ms = max(_unix_ms(), self._born_ms + 1)
        self.register()

    async def serve(self, peer: raw_http.Peer) -> None:
        """Answers requests with their own id as the body."""
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
                said = self.turning_away.headers(name, status)
                await peer.answer(request, status, b"", **said)
                continue
            self.runs[name] = self.runs.get(name, 0) + 1
            await asyncio.sleep(DESK_S)
            if request.body == CRASHING_BODY:
                self._ending = asyncio.create_task(self.crash())
                return
            await peer.answer(
                request,
                200,
                name.encode(),
                x_replica_signature=self.replica_id,
                **self.need.headers(name),
                **self.turning_away.headers(name, 0),
            )
