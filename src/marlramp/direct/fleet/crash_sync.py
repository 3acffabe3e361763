"""Keeps what all entries know of crashing requests alike.

News are told to entries and agents at once, and passed on by those that hear
them. What an entry misses (it started late, was cut off or suspended) shows in
the digests that entries exchange and agents tell, and is asked for.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core import crash_record
from marlramp.core import gossip
from marlramp.core import members
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages

COMPARE_MS = 500.0
"""Between two requests to entries for crashes that the own ledger lacks."""

COMPARE_MAX_MS = 2_000.0
"""The same while answers bring nothing new: ledgers that hold as many crashes
as they may forget them at different times, and differ for no good."""

TELL_MS = 50.0
"""Time taken up by each crash told in answer: 20 a second, some 5 kB/s."""

TELL_AHEAD_MS = 400.0
"""Time taken up ahead with which agents are still asked: many that join at once
are told of a few crashes at once, and of many in turn."""

GATHER_MS = 5.0
"""How long the requests that a crash broke off are gathered before they are
told in one message."""

FIRST_TARGETS = 16
"""Entries told of an own crash at once; the others hear it from them."""

AGENT_TARGETS = 2
"""Agents that each entry tells of an own crash; they ask entries for others."""

FORGET_MS = 1_000.0
"""Between two looks for crashes that are old."""


class CrashSync:
    """This entry's part in sharing crashes."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        sync: member_sync.MemberSync,
        agents: Callable[[], list[str]],
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Knows only what this entry sees itself.

        Args:
          record: what it sees.
          sync: the members.
          agents: tells the VMs of the agents that report to this entry.
          totals: counters.
          time: the clock.
          rng: draws whom to tell.
        """
        self._record = record
        self._sync = sync
        self._agents = agents
        self._rng = rng
        self._gathering = False
        self._totals = totals
        self._clock = time
        self._rumours: gossip.GossipQueue[ids.CrashId] = gossip.GossipQueue()
        self._compare_pause_ms = COMPARE_MS
        self._compared_ms = float("-inf")
        self._telling_until_ms = float("-inf")
        self._forgot_ms = float("-inf")

    @property
    def digest(self) -> int:
        """Digest of the crashes known here."""
        return self._record.ledger.digest()

    def on_digest(self, name: str, digest: int) -> None:
        """Asks an entry whose ledger differs for what it knows."""
        since_ms = self._clock.now_ms() - self._compared_ms
        if digest == self.digest or since_ms < self._compare_pause_ms:
            return
        self._compared_ms = self._clock.now_ms()
        self._ask(name)

    def on_agent_digest(self, name: str, digest: int) -> None:
        """Asks an agent whose ledger differs; it asks back what it lacks.

        Agents set the pace, see `crash_keeper`. Only an entry that has told
        more than it should lately leaves one to the next entry: choosing among
        those that differ would leave out the same ones again and again.
        """
        ahead_ms = self._telling_until_ms - self._clock.now_ms()
        if digest != self.digest and ahead_ms <= TELL_AHEAD_MS:
            self._ask(name)

    def _ask(self, name: str) -> None:
        digests = self._record.ledger.digests()
        self._sync.send(name, fleet_messages.CrashRequest(digests=digests))

    def on_news(self, news: fleet_messages.CrashNews) -> None:
        """Takes what another process knows."""
        is_new = self._record.merge(news.crashes, self._clock.now_ms())
        if is_new:
            self._compare_pause_ms = COMPARE_MS
        elif news.answers:
            doubled_ms = 2.0 * self._compare_pause_ms
            self._compare_pause_ms = min(COMPARE_MAX_MS, doubled_ms)

    def on_request(
        self, name: str, request: fleet_messages.CrashRequest
    ) -> None:
        """Tells an entry what its ledger may lack."""
        ledger = self._record.ledger
        crashes = ledger.differing(request.digests, self._rng)
        now_ms = self._clock.now_ms()
        told = ledger.export(crashes, now_ms)
        if told:
            news = fleet_messages.CrashNews(crashes=told, answers=True)
            self._sync.send(name, news)
            begun_ms = max(now_ms, self._telling_until_ms)
            self._telling_until_ms = begun_ms + len(told) * TELL_MS

    def tick(self) -> None:
        """Passes on what is new, and says what follows from it."""
        now_ms = self._clock.now_ms()
        if now_ms - self._forgot_ms >= FORGET_MS:
            self._forgot_ms = now_ms
            self._record.tick(now_ms)
        self._queue_untold(now_ms)
        crashes = self._record.ledger.export(
            self._rumours.next_batch(now_ms), now_ms
        )
        if crashes:
            self._sync.send_gossip(fleet_messages.CrashNews(crashes=crashes))
        self._log_verdicts()

    def tell_soon(self) -> None:
        """Tells others of a crash that this entry has noticed."""
        if not self._gathering:
            self._gathering = True
            delay_s = GATHER_MS / clock.MILLIS_PER_SECOND
            asyncio.get_running_loop().call_later(delay_s, self._tell_first)

    def _tell_first(self) -> None:
        self._gathering = False
        now_ms = self._clock.now_ms()
        crashes = self._record.ledger.export(self._queue_untold(now_ms), now_ms)
        if not crashes:
            return
        alive = self._sync.alive(members.MemberKind.ENTRY)
        targets = self._draw([entry.vm_id for entry in alive], FIRST_TARGETS)
        targets += self._draw(self._agents(), AGENT_TARGETS)
        self._sync.send_all(targets, fleet_messages.CrashNews(crashes=crashes))
        self._log_verdicts()

    def _queue_untold(self, now_ms: clock.Millis) -> set[ids.CrashId]:
        """Queues what changed to be passed on; returns it."""
        untold = self._record.pop_changed()
        for crash in untold:
            self._rumours.add(crash, crash, now_ms)
        return untold

    def _draw(self, vm_ids: list[str], count: int) -> list[str]:
        return self._rng.sample(vm_ids, min(count, len(vm_ids)))

    def _log_verdicts(self) -> None:
        verdicts = self._record.pop_block_changes()
        for fingerprint, evidence in verdicts.blocked.items():
            self._totals.add(counters.CounterName.CRASHES, "condemned")
            logs.log(
                "request_condemned",
                fingerprint=fingerprint,
                strikes=evidence.strikes,
                share=round(evidence.share, 2),
                crashes=evidence.crash_ids,
            )
        for fingerprint in verdicts.released:
            self._totals.add(counters.CounterName.CRASHES, "released")
            logs.log("request_released", fingerprint=fingerprint)
