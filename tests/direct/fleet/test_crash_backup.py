"""Agents keep what entries know of crashing requests."""

from __future__ import annotations

import random

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core import crash_ledger
from marlramp.core import members
from marlramp.direct.fleet import crash_backup
from marlramp.direct.fleet import entry_contacts
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages

CULPRIT = ids.Fingerprint("culprit")


class NoLinks:
    """Links that carry nothing."""

    def open(self, name: str, host: str, port: int) -> bool:
        return True

    def close(self, name: str) -> None:
        pass

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return False

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        return False


class Keeper:
    """A keeper and what it sent to entries."""

    def __init__(self, time: clock.Clock) -> None:
        self.sent: list[tuple[str, msgspec.Struct]] = []
        self.contacts = entry_contacts.EntryContacts(
            members.Member("a", members.MemberKind.AGENT, "dc", "h", 1),
            1,
            [],
            lambda _: None,
            lambda _: None,
            time,
        )
        self.keeper = crash_backup.CrashBackup(
            self.contacts, self._send, time, random.Random(1)
        )

    def meet(self, names: list[str]) -> None:
        """Has the agent deal with some entries."""
        entries = [
            members.Member(name, members.MemberKind.ENTRY, "dc", name, 1)
            for name in names
        ]
        self.contacts.attach(NoLinks())
        self.contacts.on_message(
            names[0],
            fleet_messages.Neighbours(
                after=0, number=1, entries=entries, joined=[], left=[]
            ),
        )
        self.contacts.tick()

    def _send(self, name: str, message: msgspec.Struct) -> None:
        self.sent.append((name, message))


@pytest.fixture
def keeper(time: clock.ManualClock) -> Keeper:
    """A keeper that knows no crash."""
    return Keeper(time)


def crash(number: int) -> crash_ledger.Crash:
    suspect = crash_ledger.Suspect(CULPRIT, begun=False)
    return crash_ledger.Crash(ids.CrashId(f"i-{number}@1"), 0.0, [suspect])


def test_entry_that_knows_nothing_is_told_all(keeper: Keeper) -> None:
    news = fleet_messages.CrashNews(crashes=[crash(n) for n in range(3)])
    keeper.keeper.on_message("entry-0", news)
    empty = crash_ledger.CrashLedger().digests()
    request = fleet_messages.CrashRequest(digests=empty)
    keeper.keeper.on_message("entry-1", request)
    name, told = keeper.sent[0]
    assert name == "entry-1"
    assert isinstance(told, fleet_messages.CrashNews)
    assert {each.crash_id for each in told.crashes} == {
        each.crash_id for each in news.crashes
    }


def test_keeper_asks_an_entry_that_knows_more(
    keeper: Keeper, time: clock.ManualClock
) -> None:
    entry = crash_ledger.CrashLedger()
    entry.merge(crash(0), time.now_ms())
    request = fleet_messages.CrashRequest(digests=entry.digests())
    keeper.keeper.on_message("entry-0", request)
    assert [type(message) for _, message in keeper.sent] == [
        fleet_messages.CrashRequest
    ]


def test_keeper_that_knows_the_same_is_silent(
    keeper: Keeper, time: clock.ManualClock
) -> None:
    entry = crash_ledger.CrashLedger()
    entry.merge(crash(0), time.now_ms())
    news = fleet_messages.CrashNews(crashes=[crash(0)])
    keeper.keeper.on_message("entry-0", news)
    request = fleet_messages.CrashRequest(digests=entry.digests())
    keeper.keeper.on_message("entry-0", request)
    assert keeper.sent == []


def test_each_digest_goes_to_another_entry(
    keeper: Keeper, time: clock.ManualClock
) -> None:
    keeper.meet(["entry-0", "entry-1", "entry-2"])
    for _ in range(6):
        keeper.keeper.tick()
        time.advance(crash_backup.DIGEST_MS)
    names = [name for name, _ in keeper.sent]
    assert sorted(names[:3]) == sorted(names[3:])
    assert sorted(names[:3]) == ["entry-0", "entry-1", "entry-2"]


def test_first_digest_is_told_as_soon_as_an_entry_is_known(
    keeper: Keeper, time: clock.ManualClock
) -> None:
    keeper.keeper.tick()
    assert keeper.sent == []
    keeper.meet(["entry-0"])
    time.advance(1.0)
    keeper.keeper.tick()
    assert [name for name, _ in keeper.sent] == ["entry-0"]


def test_next_digest_waits_longer_the_more_was_told(
    keeper: Keeper, time: clock.ManualClock
) -> None:
    keeper.meet(["entry-0"])
    keeper.keeper.tick()
    news = fleet_messages.CrashNews(
        crashes=[crash(n) for n in range(10)], answers=True
    )
    keeper.keeper.on_message("entry-0", news)
    wait_ms = crash_backup.DIGEST_MS + 10 * crash_backup.PAUSE_PER_CRASH_MS
    time.advance(wait_ms - 1.0)
    keeper.keeper.tick()
    assert len(keeper.sent) == 1
    time.advance(1.0)
    keeper.keeper.tick()
    assert len(keeper.sent) == 2
