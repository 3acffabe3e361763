"""Simulates entries that send to cold replicas, in virtual time.

`python -m tests.direct.fleet.cold_fleet [ENTRIES ...]` compares ways to divide
what cold replicas tolerate among the entries.
"""

from __future__ import annotations

import sys

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.configuration import catalog
from marlramp.core.configuration import fleet
from marlramp.core.membership import members
from marlramp.core.replicas import cold_shares
from marlramp.core.replicas import replica_table
from marlramp.core.replicas import replica_view
from tests.direct.fleet import limited_fleet
from tests.direct.fleet import virtual_fleet

COLD_PER_S = 17.0
COLD_MS = 600_000.0
HEARTBEAT_MS = 2_000.0
BOUND = COLD_PER_S * 1.5 + 5.0
"""Requests per second below which all entries together must stay."""

REPLICAS = 8
LOAD_PER_S = 3.0 * REPLICAS * COLD_PER_S
CONNECT_MS = (1.0, 40.0)
"""Time from the selection of a replica until the request can be written."""

SUSPENDED_POLL_MS = 5.0
CONFIG = fleet.FleetConfig(
    version=1,
    routes=[],
    services=[
        fleet.Service(
            service_id=limited_fleet.SERVICE,
            connections_max=64,
            cold_start_ms=COLD_MS,
            cold_per_s=COLD_PER_S,
        )
    ],
    customers=[],
    limits=fleet.CallerLimits(),
)


class ColdFleet(limited_fleet.LimitedFleet):
    """Entries whose replicas are all cold and in one data centre.

    Attributes:
      sent: for each replica, when each request was written and arrived.
    """

    def __init__(
        self, count: int, replicas: int = REPLICAS, seed: int = 1
    ) -> None:
        self.sent: dict[str, list[tuple[float, float]]] = {}
        super().__init__(count, replicas, seed=seed)

    def start(
        self, number: int, incarnation: int = 1_000
    ) -> virtual_fleet.VirtualEntry:
        if self.known.config is None:
            self._list_cold()
        entry = super().start(number, incarnation)
        roster = entry.sync.roster

        entry.table = replica_table.ReplicaTable(
            cold_shares.ColdShares(
                entry.name,
                lambda: roster.remembered(members.MemberKind.ENTRY),
                lambda: roster.changes,
                lambda: bool(entry.sync.other_seeds),
                self.virtual,
            ),
            HEARTBEAT_MS,
        )
        entry.table.sync(self.known, self.virtual.now_ms())
        return entry

    def _list_cold(self) -> None:
        changes: list[catalog.Change] = [catalog.ConfigChange(1_000, CONFIG)]
        for number, (name, replica) in enumerate(self.replicas.items()):
            self.sent[name] = []
            listed = msgspec.structs.replace(
                replica.listed,
                data_centre=ids.DataCentreId("dc-0"),
                cold_left_ms=COLD_MS,
            )
            changes.append(catalog.ReplicaChange(1_001 + number, name, listed))
        self.known.apply(changes, clock.Millis(0))

    async def _send(
        self, entry: virtual_fleet.VirtualEntry, view: replica_view.ReplicaView
    ) -> None:
        view.record_sent(0, self.virtual.now_ms())
        await self.sleep(self.rng.uniform(*CONNECT_MS))
        while entry.suspended:
            await self.sleep(SUSPENDED_POLL_MS)
        written_ms = self.virtual.now_ms()
        if not entry.running:
            return
        if view.cold_wait_ms(written_ms) > 0.0:
            view.record_ended()
            await self._call(entry)
            return
        view.record_written(written_ms)
        await self.sleep(self.rng.uniform(*limited_fleet.PATH_LATENCY_MS))
        arrived_ms = self.virtual.now_ms()
        self.sent[view.replica.replica_id].append((written_ms, arrived_ms))
        await self.sleep(limited_fleet.ANSWER_MS)
        view.record_ended()
        self.served += 1

    def most_in_a_second(self) -> int:
        """Returns the most requests of a replica in any second."""
        return max(most_in_a_second(times) for times in self.sent.values())

    def used_share(self, start_ms: float) -> float:
        """Returns the used part of what the replicas tolerate since a time."""
        used = sum(
            sent_ms >= start_ms
            for times in self.sent.values()
            for sent_ms, _ in times
        )
        seconds = (self.virtual.now_ms() - start_ms) / clock.MILLIS_PER_SECOND
        return used / (len(self.sent) * COLD_PER_S * seconds)


def most_in_a_second(times: list[tuple[float, float]]) -> int:
    """Returns the most requests that were sent and arrived in any second."""
    ordered = sorted(times)
    most = first = 0
    for last, (sent_ms, _) in enumerate(ordered):
        while ordered[first][0] <= sent_ms - 1_000.0:
            first += 1
        end_ms = ordered[first][0] + 1_000.0
        within = sum(t[1] <= end_ms for t in ordered[first : last + 1])
        most = max(most, within)
    return most


async def _compare_shares(count: int, seconds: float) -> None:
    simulated = ColdFleet(count, seed=3)
    await simulated.sleep(6_000.0)
    start_ms = simulated.virtual.now_ms()
    before = {e.name: limited_fleet.limit_bytes(e) for e in simulated.running()}
    await simulated.load(LOAD_PER_S, seconds * clock.MILLIS_PER_SECOND)
    _print(
        simulated,
        "fixed shares",
        simulated.most_in_a_second(),
        simulated.used_share(start_ms),
        before,
        seconds,
    )


async def _compare_reserved(count: int, seconds: float) -> None:
    simulated = limited_fleet.LimitedFleet(count, REPLICAS, seed=3)
    await simulated.sleep(6_000.0)
    for replica in simulated.replicas.values():
        replica.name(COLD_PER_S)
    await simulated.load(LOAD_PER_S, limited_fleet.CONTACT_MS)
    start_ms = simulated.virtual.now_ms()
    before = {e.name: limited_fleet.limit_bytes(e) for e in simulated.running()}
    await simulated.load(LOAD_PER_S, seconds * clock.MILLIS_PER_SECOND)
    most, used = 0, 0
    for replica in simulated.replicas.values():
        ms = [a.at_s * clock.MILLIS_PER_SECOND for a in replica.need.arrivals]
        counted = [(at_ms, at_ms) for at_ms in ms if at_ms >= start_ms]
        most = max(most, most_in_a_second(counted))
        used += len(counted)
    share = used / (REPLICAS * COLD_PER_S * seconds)
    _print(simulated, "reserved times", most, share, before, seconds)


def _print(
    simulated: limited_fleet.LimitedFleet,
    name: str,
    most: int,
    used: float,
    before: dict[str, int],
    seconds: float,
) -> None:
    rates = [
        (limited_fleet.limit_bytes(e) - before[e.name]) / seconds
        for e in simulated.running()
    ]
    print(
        f"| {name} | {len(before)} | {most} | {used:.2f} | "
        f"{sum(rates) / len(rates):.0f}, {max(rates):.0f} |",
        flush=True,
    )


def main() -> None:
    """Prints the comparison as rows of a table."""
    for count in [int(arg) for arg in sys.argv[1:]] or [3, 7, 42, 150]:
        for compare in (_compare_shares, _compare_reserved):
            limited_fleet.play(lambda c=count, f=compare: f(c, 10.0))


if __name__ == "__main__":
    main()
