"""An agent is paused between its check of the staged weights and the order."""

from __future__ import annotations

import asyncio
import pathlib
import signal

from review import support
from standins import direct_documents
from standins import direct_fleet
from standins import direct_replicas
from standins import raw_http

GROUP = 160
ENTRIES = 2
ENGINES = 9
"""As in the small deployment: one of nine VMs pauses, a share of 0.11."""

ROT_AFTER_S = 0.05
"""Time from the end of the check until pieces turn bad."""

PAUSE_AFTER_S = 0.05
"""Time from then until the pause begins. After the check the agent waits up to
0.3 s for running streams to end before it orders the load."""

PAUSE_S = 4.0

ROTTEN_PIECES = (5, 21, 40)
"""At most 0.06 of the 64 pieces turn bad."""

NEW_VERSION = 2
LOADED_S_MAX = 30.0
POLL_S = 0.02
REQUEST_EVERY_S = 0.02
BUSY_REQUEST_EVERY_S = 0.01
"""Time between two requests once all engines have loaded: 200 streams run at
nine engines of 16 slots, so that each engine is needed."""

SEND_BEFORE_S = 4.0
"""Time for which requests are sent before the version is named."""

SEND_AFTER_S = 8.0
"""Time for which requests are sent after all engines have loaded."""


EVENTS = 40
"""Events of a stream, which then runs for 2 s."""

EVENT_S = 0.05


class WatchedEngine(direct_replicas.Engine):
    """An engine that shows when its staged pieces were read back.

    Attributes:
      read_back: set once each piece was read after all of them were staged.
      spoilt_runs: requests that it ran with missing or spoilt pieces.
    """

    def watch(self) -> None:
        """Starts to watch; no piece was read back yet."""
        self.read_back = asyncio.Event()
        self._unread = set(range(direct_documents.PIECES))
        self.spoilt_runs: list[str] = []

    @property
    def orders(self) -> int:
        """Number of orders that were accepted."""
        return self._orders

    async def _run(
        self, peer: raw_http.Peer, request: raw_http.SeenRequest
    ) -> None:
        spoilt = self.mixed > 0 and self.weights == NEW_VERSION
        await super()._run(peer, request)
        name = request.headers["x-attempt-id"]
        if spoilt and self.runs.get(name):
            self.spoilt_runs.append(name)

    async def _stage(
        self,
        peer: raw_http.Peer,
        request: raw_http.SeenRequest,
        query: dict[str, str],
    ) -> None:
        await super()._stage(peer, request, query)
        if request.method == "PUT" or "index" not in query:
            return
        if self.missing(NEW_VERSION):
            self._unread = set(range(direct_documents.PIECES))
            return
        self._unread.discard(int(query["index"]))
        if not self._unread:
            self.read_back.set()


async def _pause_agent(
    record: support.Record, fleet: direct_fleet.Fleet, engine: WatchedEngine
) -> None:
    """Spoils staged pieces of an engine, and pauses its agent."""
    name = f"agent-{fleet.engines.index(engine)}"
    agent = fleet.processes[name]
    await engine.read_back.wait()
    record.write(f"{name} has read back all pieces")
    await asyncio.sleep(ROT_AFTER_S)
    for index in ROTTEN_PIECES:
        engine.rot(index)
    record.write(
        f"staged pieces {ROTTEN_PIECES} of {engine.replica_id} turn bad"
    )
    await asyncio.sleep(PAUSE_AFTER_S)
    if engine.orders:
        raise support.CaseError("the load was ordered before the pause")
    agent.send_signal(signal.SIGSTOP)
    record.write(f"the VM of {name} pauses")
    await asyncio.sleep(PAUSE_S)
    agent.send_signal(signal.SIGCONT)
    record.write(f"the VM of {name} goes on after {PAUSE_S} s")


async def _wait_loaded(
    record: support.Record, fleet: direct_fleet.Fleet
) -> None:
    async with asyncio.timeout(LOADED_S_MAX):
        for engine in fleet.engines:
            while engine.weights != NEW_VERSION:
                await asyncio.sleep(POLL_S)
    for engine in fleet.engines:
        record.write(
            f"{engine.replica_id} has loaded version {engine.weights};"
            f" loads with missing or spoilt pieces: {engine.mixed}"
        )


class Load:
    """Requests that are sent at a steady rate, to the entries in turn.

    Attributes:
      every_s: time between two requests.
    """

    def __init__(self, fleet: direct_fleet.Fleet) -> None:
        """Sends nothing before `run`."""
        self._fleet = fleet
        self._stopped = False
        self.every_s = REQUEST_EVERY_S

    async def run(self) -> dict[str, bytes]:
        """Sends until stopped; returns the status lines by request."""
        calls = {}
        while not self._stopped:
            host = self._fleet.entry_hosts[len(calls) % ENTRIES]
            name = f"a-{len(calls)}"
            calls[name] = asyncio.create_task(self._fleet.stream(host, name))
            await asyncio.sleep(self.every_s)
        return {
            name: (await call).partition(b"\r\n")[0]
            for name, call in calls.items()
        }

    def stop(self) -> None:
        """Sends no further request."""
        self._stopped = True


async def case(record: support.Record, folder: pathlib.Path) -> bool:
    """Returns whether no token was made with a spoilt piece."""
    direct_replicas.Engine = WatchedEngine  # type: ignore[misc]
    direct_replicas.EVENTS = EVENTS
    direct_replicas.EVENT_S = EVENT_S
    fleet = direct_fleet.Fleet(folder, ENTRIES, ENGINES, GROUP)
    engines = [e for e in fleet.engines if isinstance(e, WatchedEngine)]
    for each in engines:
        each.watch()
    load = Load(fleet)
    async with fleet:
        answer = await fleet.stream(fleet.entry_hosts[0], "a-before")
        if b" 200 " not in answer:
            raise support.CaseError(f"no answer before: {answer[:80]!r}")
        record.write("a request is answered on version 1")
        loading = asyncio.create_task(load.run())
        await asyncio.sleep(SEND_BEFORE_S)
        # The entries use some engines more than others.
        engine = max(engines, key=lambda each: len(each.runs))
        pause = None
        if support.has_trouble():
            pause = asyncio.create_task(_pause_agent(record, fleet, engine))
        fleet.store.put(
            f"op/version/{direct_documents.MODEL}",
            {"model_name": direct_documents.MODEL, "version": NEW_VERSION},
        )
        record.write("version 2 is named")
        await _wait_loaded(record, fleet)
        if pause is not None:
            await pause
        load.every_s = BUSY_REQUEST_EVERY_S
        await asyncio.sleep(SEND_AFTER_S)
        load.stop()
        statuses = await loading
    for each in fleet.engines:
        record.write(f"{each.replica_id} ran {len(each.runs)} requests")
    served = sum(b" 200 " in status for status in statuses.values())
    record.write(f"{len(statuses)} requests sent, {served} answered with 200")
    for name in engine.spoilt_runs:
        record.write(f"{name} ran on spoilt weights: {statuses[name]!r}")
    return not engine.spoilt_runs


if __name__ == "__main__":
    support.run(__file__, case)
