"""An agent's part in keeping what is known of crashing requests.

Entries that all end at once, or that are cut off from one another, find what
they knew at the agents that they reach. Each agent tells its digest to one
entry at a time, and the entry asks if its own differs; then both tell each
other what they lack. Agents set the pace, so that what an entry hears and tells
is spread over time and does not grow with the entries that an agent deals with.
"""

from __future__ import annotations

from collections.abc import Callable
import random

import msgspec

from marlramp import clock
from marlramp.core import crash_ledger
from marlramp.direct.fleet import entry_contacts
from marlramp.protocol import fleet_messages

DIGEST_MS = 500.0
"""Between two digests, each told to another entry that the agent deals with."""

PAUSE_PER_CRASH_MS = 35.0
"""By how much the next digest waits longer for each crash that was told in
answer to the last: 32, some 8 kB, for 1.1 s."""

FORGET_MS = 1_000.0
"""Between two looks for crashes that are old."""


class CrashKeeper:
    """Crashes that entries told an agent, for entries that lack them."""

    def __init__(
        self,
        contacts: entry_contacts.EntryContacts,
        send: Callable[[str, msgspec.Struct], object],
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Knows no crash.

        Args:
          contacts: the entries that the agent deals with.
          send: sends a message to one of them.
          time: the clock.
          rng: draws whom to tell, and what is told of much.
        """
        self._rng = rng
        self._contacts = contacts
        self._send = send
        self._clock = time
        self._ledger = crash_ledger.CrashLedger()
        self._turns: list[str] = []
        self._due_ms = float("-inf")
        self._forgot_ms = float("-inf")

    @property
    def digest(self) -> int:
        """Digest of the crashes known here."""
        return self._ledger.digest()

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        """Takes a message of an entry about crashes."""
        match message:
            case fleet_messages.CrashNews():
                now_ms = self._clock.now_ms()
                for crash in message.crashes:
                    self._ledger.merge(crash, now_ms)
                if message.answers:
                    self._pause(len(message.crashes))
            case fleet_messages.CrashRequest():
                self._answer(name, message)

    def tick(self) -> None:
        """Tells an entry what is known, and forgets what is old."""
        now_ms = self._clock.now_ms()
        if now_ms - self._forgot_ms >= FORGET_MS:
            self._forgot_ms = now_ms
            self._ledger.tick(now_ms)
        if now_ms < self._due_ms:
            return
        entry = self._next_entry()
        if entry is not None:
            self._due_ms = now_ms + DIGEST_MS
            self._send(entry, fleet_messages.CrashDigest(digest=self.digest))

    def _next_entry(self) -> str | None:
        """Returns the entry whose turn it is; each comes once a round."""
        entries = self._contacts.entries
        self._turns = [name for name in self._turns if name in entries]
        if not self._turns:
            self._turns = self._rng.sample(entries, len(entries))
        return self._turns.pop() if self._turns else None

    def _pause(self, crashes: int) -> None:
        """Puts the next digest off for what was told after the last."""
        self._due_ms += crashes * PAUSE_PER_CRASH_MS

    def _answer(self, name: str, request: fleet_messages.CrashRequest) -> None:
        """Tells an entry what it lacks, and asks it for the same."""
        crashes = self._ledger.differing(request.digests, self._rng)
        told = self._ledger.export(crashes, self._clock.now_ms())
        if told:
            news = fleet_messages.CrashNews(crashes=told, answers=True)
            self._send(name, news)
            self._pause(len(told))
        digests = self._ledger.digests()
        if digests != request.digests:
            self._send(name, fleet_messages.CrashRequest(digests=digests))
