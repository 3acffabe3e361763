"""An agent's part in keeping what is known of crashing requests.

Entries that all end at once, or that are cut off from one another, find what
they knew at the agents that they reach.
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
"""Between two digests told to the entries that the agent deals with."""

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
          rng: draws what is told of much.
        """
        self._rng = rng
        self._contacts = contacts
        self._send = send
        self._clock = time
        self._ledger = crash_ledger.CrashLedger()
        self._told_ms = float("-inf")
        self._forgot_ms = float("-inf")

    def on_message(self, name: str, message: fleet_messages.FromMember) -> None:
        """Takes a message of an entry about crashes."""
        match message:
            case fleet_messages.CrashNews():
                now_ms = self._clock.now_ms()
                for crash in message.crashes:
                    self._ledger.merge(crash, now_ms)
            case fleet_messages.CrashRequest():
                self._answer(name, message)

    def tick(self) -> None:
        """Tells the entries what is known, and forgets what is old."""
        now_ms = self._clock.now_ms()
        if now_ms - self._forgot_ms >= FORGET_MS:
            self._forgot_ms = now_ms
            self._ledger.tick(now_ms)
        if now_ms - self._told_ms >= DIGEST_MS:
            self._told_ms = now_ms
            digest = self._ledger.digest()
            self._contacts.broadcast(fleet_messages.CrashDigest(digest=digest))

    def _answer(self, name: str, request: fleet_messages.CrashRequest) -> None:
        """Tells an entry what it lacks, and asks it for the same."""
        crashes = self._ledger.differing(request.digests, self._rng)
        told = self._ledger.told(crashes, self._clock.now_ms())
        if told:
            news = fleet_messages.CrashNews(crashes=told, answers=True)
            self._send(name, news)
        digests = self._ledger.digests()
        if digests != request.digests:
            self._send(name, fleet_messages.CrashRequest(digests=digests))
