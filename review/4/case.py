"""The store cuts a waiting watch just before a replica's entry is removed."""

from __future__ import annotations

import asyncio
import pathlib

from review import support
from standins import direct_fleet
from standins import direct_replicas
from standins import direct_store
from standins import raw_http

GROUP = 164
ENTRIES = 2
REPLICAS = 8
"""One of eight is removed, a share of 0.125."""

DRAIN_S = 2.0
"""`drain_ms` of the small deployments."""

REMOVED_AFTER_S = 0.1
"""Time from the cut of the watches until the entry is removed."""

EXITS_AFTER_S = 2.4
"""Time from the removal until the replica exits: `drain_ms` and a little
longer."""

WORK_S = 0.11
"""Longest work of a request in the small deployments."""

REQUEST_EVERY_S = 0.015
BEFORE_S = 4.0
AFTER_S = 5.0


class CuttingStore(direct_store.Store):
    """A store that can cut the watches that wait."""

    def __init__(self) -> None:
        """Starts without waiting watches."""
        super().__init__()
        self._waiting: set[raw_http.Peer] = set()

    async def _watch(
        self,
        peer: raw_http.Peer,
        request: raw_http.SeenRequest,
        query: dict[str, str],
    ) -> None:
        self._waiting.add(peer)
        try:
            await super()._watch(peer, request, query)
        finally:
            self._waiting.discard(peer)

    def cut_watches(self) -> int:
        """Closes the connections of all waiting watches; returns how many."""
        waiting = list(self._waiting)
        for peer in waiting:
            peer.close()
        return len(waiting)


async def _call_regularly(
    fleet: direct_fleet.Fleet, count: int
) -> dict[str, bytes]:
    """Sends non-idempotent requests to the entries in turn.

    Returns:
      The status lines of the answers, by request.
    """
    calls = {}
    for number in range(count):
        host = fleet.entry_hosts[number % ENTRIES]
        name = f"s-{number}"
        call = fleet.call(host, "/order/x", name)
        calls[name] = asyncio.create_task(call)
        await asyncio.sleep(REQUEST_EVERY_S)
    return {
        name: (await answer).partition(b"\r\n")[0]
        for name, answer in calls.items()
    }


async def _exit_later(
    record: support.Record, replica: direct_replicas.PlainReplica
) -> None:
    await asyncio.sleep(EXITS_AFTER_S)
    assert replica.crashes.server is not None
    replica.crashes.server.crash(resets=False)
    record.write(f"{replica.replica_id} exits")


async def case(record: support.Record, folder: pathlib.Path) -> bool:
    """Returns whether the removed replica got nothing after `drain_ms`."""
    direct_store.Store = CuttingStore  # type: ignore[misc]
    direct_replicas.DESK_S = WORK_S
    fleet = direct_fleet.Fleet(folder, ENTRIES, 0, GROUP, desks=REPLICAS)
    store = fleet.store
    assert isinstance(store, CuttingStore)
    leaving = fleet.desks[0]
    loop = asyncio.get_running_loop()
    async with fleet:
        count = int((BEFORE_S + AFTER_S) / REQUEST_EVERY_S)
        calls = asyncio.create_task(_call_regularly(fleet, count))
        await asyncio.sleep(BEFORE_S)
        if support.has_trouble():
            record.write(
                f"the store cuts {store.cut_watches()} waiting watches"
            )
        await asyncio.sleep(REMOVED_AFTER_S)
        store.delete(f"servers/{leaving.replica_id}")
        removed_s = loop.time()
        record.write(f"the entry of {leaving.replica_id} is removed")
        exiting = asyncio.create_task(_exit_later(record, leaving))
        answers = await calls
        await exiting
    late = []
    for arrival in leaving.arrivals:
        after_s = arrival.at_s - removed_s
        if after_s > 0.0:
            record.write(
                f"{arrival.request_id} reaches {leaving.replica_id}"
                f" {after_s:.3f} s after the removal"
            )
        if after_s > DRAIN_S and not arrival.misdirected:
            late.append(arrival.request_id)
    record.write(f"later than {DRAIN_S} s after the removal: {late}")
    lost = {
        name: line for name, line in answers.items() if b" 200 " not in line
    }
    record.write(f"{len(answers)} requests, answered without success: {lost}")
    record.write(f"of these had run: {sorted(set(lost) & set(leaving.runs))}")
    for number in range(ENTRIES):
        for line in fleet.log(f"entry-{number}").splitlines():
            if "store_" in line or "replica_gone" in line:
                record.write(f"entry-{number}: {line}")
    return not late


if __name__ == "__main__":
    support.run(__file__, case)
