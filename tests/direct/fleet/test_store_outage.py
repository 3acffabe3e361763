"""When an entry considers the store unavailable to all entries."""

from __future__ import annotations

import msgspec
import pytest

from marlramp import clock
from marlramp import counters
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.core.configuration import fleet
from marlramp.core.configuration import outage_detector
from marlramp.core.crashes import crash_record
from marlramp.core.membership import members
from marlramp.core.replicas import replica_table
from marlramp.direct.fleet import entry_fleet
from marlramp.direct.fleet import store_reader
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from tests.direct import conftest

CALL_MS = 1_000.0
TICK_MS = 100.0
NAMED = catalog.TargetChange(
    3, fleet.WeightsTarget(model="m", version=2), event_time.Ages(0.0, 0.0)
)


class NoStore:
    """A store that is never called."""

    async def read_all(self) -> catalog.Snapshot:
        raise NotImplementedError

    async def check(self) -> None:
        raise NotImplementedError

    async def watch(self, after: int, wait_ms: float) -> catalog.Snapshot:
        raise NotImplementedError


class SilencedReader(store_reader.StoreReader):
    """A reader whose calls all get no response."""

    def __init__(self, known: catalog.Catalog, time: clock.Clock) -> None:
        super().__init__(
            NoStore(),
            known,
            lambda: True,
            lambda _after, _changes: None,
            counters.Counters(),
            time,
        )
        self.requested_ms: float | None = None
        self.last: outage_detector.SilentCall | None = None

    @property
    def silent_ms(self) -> float | None:
        return None if self.last is None else self.last.requested_ms

    @property
    def silent_call(self) -> outage_detector.SilentCall | None:
        return self.last

    @property
    def retry_requested_ms(self) -> float | None:
        return self.requested_ms


class Links:
    """Records the queries that are sent."""

    def __init__(self) -> None:
        self.queried: list[tuple[str, int]] = []

    def open(self, name: str, host: str, port: int) -> bool:
        return True

    def close(self, name: str) -> None:
        pass

    def send(self, name: str, message: msgspec.Struct) -> bool:
        if isinstance(message, fleet_messages.VersionAgesRequest):
            self.queried.append((name, message.number))
        return True

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        return True


def member(name: str, data_centre: str) -> members.Member:
    return members.Member(
        name, members.MemberKind.ENTRY, data_centre, "127.0.0.1", 1
    )


class Entry:
    """An entry that receives answers to its queries after `latency_ms`."""

    def __init__(self, time: clock.ManualClock, latency_ms: float) -> None:
        self.time = time
        self.latency_ms = latency_ms
        self.known = catalog.Catalog()
        self.links = Links()
        self.due: list[tuple[float, str, int]] = []
        self.queried: set[str] = set()
        self.reader = SilencedReader(self.known, time)
        self.fleet = entry_fleet.EntryFleet(
            member("vm-1", "dc-1"),
            1,
            conftest.SETTINGS,
            self.known,
            replica_table.ReplicaTable(),
            crash_record.CrashRecord(),
            lambda _: None,
            lambda _: None,
            lambda _: None,
            lambda _: None,
            counters.Counters(),
            time,
        )
        self.fleet.attach(self.links, self.reader, lambda _: NoOrigin())
        self.known.apply([NAMED], time.now_ms())

    def pass_time(self) -> None:
        """Advances the clock by one tick; the other entries are alive."""
        self.time.advance(TICK_MS)
        now_ms = self.time.now_ms()
        for name, data_centre in (("vm-2", "dc-1"), ("vm-3", "dc-2")):
            update = members.MemberUpdate(
                member(name, data_centre), 1, members.MemberState.READY
            )
            self.fleet.sync.roster.apply_direct(update, now_ms)
        for due_ms, name, number in list(self.due):
            if due_ms <= now_ms:
                self.due.remove((due_ms, name, number))
                answer = fleet_messages.VersionAges(number=number, versions=[])
                self.fleet.on_message(name, answer)
        self.fleet.tick()
        for name, number in self.links.queried:
            self.queried.add(name)
            self.due.append((now_ms + self.latency_ms, name, number))
        self.links.queried.clear()

    def time_out_call(self) -> None:
        """Lets a call of the reader time out without a response."""
        requested_ms = self.time.now_ms()
        self.reader.requested_ms = requested_ms
        for _ in range(round(CALL_MS / TICK_MS)):
            self.pass_time()
        self.reader.requested_ms = None
        self.reader.last = outage_detector.SilentCall(
            requested_ms, self.time.now_ms()
        )
        self.pass_time()


class NoOrigin:
    """An origin that is never called."""

    async def manifest(self, model: str, version: int) -> bytes:
        raise NotImplementedError

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        raise NotImplementedError


def restarts_time(latency_ms: float) -> tuple[bool, set[str]]:
    """Returns whether a version's time restarts, and the entries queried."""
    time = clock.ManualClock()
    entry = Entry(time, latency_ms)
    named_ms = entry.known.targets["m"].named_ms
    for _ in range(2):
        entry.time_out_call()
    return entry.known.targets["m"].named_ms != named_ms, entry.queried


@pytest.mark.parametrize("latency_ms", [900.0, 2_600.0])
def test_saturated_link_without_response_to_two_calls_is_no_outage(
    latency_ms: float,
) -> None:
    # The time of a version restarted although the store was available, so that
    # the old version was used for too long.
    restarted, _ = restarts_time(latency_ms)
    assert not restarted


def test_silent_store_is_unavailable_if_an_entry_elsewhere_answers() -> None:
    restarted, queried = restarts_time(5.0)
    assert restarted
    assert queried == {"vm-3"}
