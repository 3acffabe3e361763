"""Replicates the crash ledger of entries on agents.

Entries that all end at once, or that are partitioned from each other, recover
their ledger from the agents that they reach. Each agent sends its digest to one
entry at a time, and the entry requests crashes if its own digest differs; then
both send each other what they lack. Agents set the pace. The traffic of an
entry is thereby spread over time and does not grow with the number of entries
that an agent is in contact with.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import msgspec

from marlramp import clock
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_reports
from marlramp.direct.fleet import entry_contacts
from marlramp.protocol import fleet_messages

DIGEST_MS = 500.0
"""Time between two digests. Each goes to another entry that the agent is in
contact with."""

PAUSE_PER_UNIT_MS = 35.0
"""Delay of the next digest for each unit of the size of the crashes that were
sent in answer to the last one: 1.1 s for 32 units, some 8 kB."""

REMOVE_INTERVAL_MS = 1_000.0
"""Time between two removals of old crashes."""


class CrashBackup:
    """Keeps the crashes that entries send, for entries that lack them."""

    def __init__(
        self,
        contacts: entry_contacts.EntryContacts,
        send: Callable[[str, msgspec.Struct], object],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Starts with an empty ledger.

        Args:
          contacts: the entries that the agent is in contact with.
          send: sends a message to one of them.
          time: the clock.
          rng: picks receivers, and crashes if there are more than one answer
            holds, at random.
        """
        self._rng = rng
        self._contacts = contacts
        self._send = send
        self._clock = time
        self._ledger = crash_ledger.CrashLedger()
        self._cycle: list[str] = []
        self._digest_due_ms = float("-inf")
        self._removed_ms = float("-inf")

    @property
    def digest(self) -> int:
        """Digest of the crashes that this agent knows."""
        return self._ledger.digest()

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        """Handles an entry's message about crashes."""
        match message:
            case fleet_messages.CrashNews():
                now_ms = self._clock.now_ms()
                for crash in message.crashes:
                    self._ledger.merge(crash, now_ms)
                if message.answers:
                    self._delay_digest(message.crashes)
            case fleet_messages.CrashRequest():
                self._answer(name, message)

    def tick(self) -> None:
        """Sends the digest to an entry when due, and removes old crashes."""
        now_ms = self._clock.now_ms()
        if now_ms - self._removed_ms >= REMOVE_INTERVAL_MS:
            self._removed_ms = now_ms
            self._ledger.tick(now_ms)
        if now_ms < self._digest_due_ms:
            return
        entry = self._next_entry()
        if entry is not None:
            self._digest_due_ms = now_ms + DIGEST_MS
            self._send(entry, fleet_messages.CrashDigest(digest=self.digest))

    def _next_entry(self) -> str | None:
        """Returns the next entry of the current cycle, None if there is none.

        Each cycle contains every entry once, in random order.
        """
        entries = self._contacts.entries
        self._cycle = [name for name in self._cycle if name in entries]
        if not self._cycle:
            self._cycle = self._rng.sample(entries, len(entries))
        return self._cycle.pop() if self._cycle else None

    def _delay_digest(self, crashes: list[crash_reports.Crash]) -> None:
        """Delays the next digest for crashes exchanged after the last one."""
        size = sum(crash.size for crash in crashes)
        self._digest_due_ms += size * PAUSE_PER_UNIT_MS

    def _answer(self, name: str, request: fleet_messages.CrashRequest) -> None:
        """Sends an entry what it lacks, and requests what this agent lacks."""
        crashes = self._ledger.differing(request.digests, self._rng)
        answer = self._ledger.export(crashes, self._clock.now_ms())
        if answer:
            message = fleet_messages.CrashNews(crashes=answer, answers=True)
            self._send(name, message)
            self._delay_digest(answer)
        digests = self._ledger.digests()
        if digests != request.digests:
            self._send(name, fleet_messages.CrashRequest(digests=digests))
