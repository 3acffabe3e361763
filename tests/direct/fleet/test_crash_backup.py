"""Agents keep a backup of the crash ledger of entries."""

from __future__ import annotations

import random

import msgspec
import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_reports
from marlramp.core.membership import members
from marlramp.direct.fleet import crash_backup
from marlramp.direct.fleet import entry_contacts
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages

CULPRIT = ids.Fingerprint("culprit")


class NoLinks:
    """Links that deliver no message."""

    def open(self, name: str, host: str, port: int) -> bool:
        return True

    def close(self, name: str) -> None:
        pass

    def send(self, name: str, message: msgspec.Struct) -> bool:
        return False

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        return False


class BackupAgent:
    """A crash backup and the messages that it sent to entries."""

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
        self.backup = crash_backup.CrashBackup(
            self.contacts, self._send, time, random.Random(1)
        )

    def connect(self, names: list[str]) -> None:
        """Connects the agent to some entries."""
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
def agent(time: clock.ManualClock) -> BackupAgent:
    """A backup without crashes."""
    return BackupAgent(time)


def crash(number: int) -> crash_reports.Crash:
    suspect = crash_reports.Suspect(CULPRIT, begun=False)
    return crash_reports.Crash(ids.CrashId(f"i-{number}@1"), 0.0, [suspect])


def test_entry_that_knows_no_crash_is_sent_all(agent: BackupAgent) -> None:
    message = fleet_messages.CrashNews(crashes=[crash(n) for n in range(3)])
    agent.backup.on_message("entry-0", message)
    empty = crash_ledger.CrashLedger().digests()
    request = fleet_messages.CrashRequest(digests=empty)
    agent.backup.on_message("entry-1", request)
    name, sent = agent.sent[0]
    assert name == "entry-1"
    assert isinstance(sent, fleet_messages.CrashNews)
    assert {each.crash_id for each in sent.crashes} == {
        each.crash_id for each in message.crashes
    }


def test_backup_requests_crashes_from_an_entry_that_knows_more(
    agent: BackupAgent, time: clock.ManualClock
) -> None:
    entry = crash_ledger.CrashLedger()
    entry.merge(crash(0), time.now_ms())
    request = fleet_messages.CrashRequest(digests=entry.digests())
    agent.backup.on_message("entry-0", request)
    assert [type(message) for _, message in agent.sent] == [
        fleet_messages.CrashRequest
    ]


def test_backup_sends_nothing_to_an_entry_with_equal_ledger(
    agent: BackupAgent, time: clock.ManualClock
) -> None:
    entry = crash_ledger.CrashLedger()
    entry.merge(crash(0), time.now_ms())
    message = fleet_messages.CrashNews(crashes=[crash(0)])
    agent.backup.on_message("entry-0", message)
    request = fleet_messages.CrashRequest(digests=entry.digests())
    agent.backup.on_message("entry-0", request)
    assert agent.sent == []


def test_each_digest_goes_to_another_entry(
    agent: BackupAgent, time: clock.ManualClock
) -> None:
    agent.connect(["entry-0", "entry-1", "entry-2"])
    for _ in range(6):
        agent.backup.tick()
        time.advance(crash_backup.DIGEST_MS)
    names = [name for name, _ in agent.sent]
    assert sorted(names[:3]) == sorted(names[3:])
    assert sorted(names[:3]) == ["entry-0", "entry-1", "entry-2"]


def test_first_digest_is_sent_as_soon_as_an_entry_is_known(
    agent: BackupAgent, time: clock.ManualClock
) -> None:
    agent.backup.tick()
    assert agent.sent == []
    agent.connect(["entry-0"])
    time.advance(1.0)
    agent.backup.tick()
    assert [name for name, _ in agent.sent] == ["entry-0"]


def test_next_digest_is_delayed_by_the_crashes_sent(
    agent: BackupAgent, time: clock.ManualClock
) -> None:
    agent.connect(["entry-0"])
    agent.backup.tick()
    message = fleet_messages.CrashNews(
        crashes=[crash(n) for n in range(10)], answers=True
    )
    agent.backup.on_message("entry-0", message)
    wait_ms = crash_backup.DIGEST_MS + 10 * crash_backup.PAUSE_PER_UNIT_MS
    time.advance(wait_ms - 1.0)
    agent.backup.tick()
    assert len(agent.sent) == 1
    time.advance(1.0)
    agent.backup.tick()
    assert len(agent.sent) == 2
