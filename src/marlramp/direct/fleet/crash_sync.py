"""Synchronises the crash ledger of an entry with other entries and agents.

An entry sends new crashes to other entries and to agents at once, and entries
forward them by gossip. An entry misses crashes if it starts late, is
partitioned or is suspended. Entries exchange digests of their ledgers and
agents send theirs to entries. An entry that receives a digest that differs from
its own requests the crashes that it lacks; an agent that receives the request
answers it and also requests the crashes that it lacks.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp.core.crashes import crash_record
from marlramp.core.membership import gossip
from marlramp.core.membership import members
from marlramp.direct.fleet import member_sync
from marlramp.protocol import fleet_messages
from marlramp.shell import block_logs

COMPARE_MS = 500.0
"""Least time between two requests to entries for crashes that this entry
lacks."""

COMPARE_MAX_MS = 2_000.0
"""Upper bound of the time between two requests to entries. The time doubles
with each answer that brings nothing new: full ledgers drop crashes at different
times, so their digests keep differing although no crash is missing."""

ANSWER_MS_PER_UNIT = 50.0
"""Time that is charged for each unit of the size of the crashes in an answer:
20 units per second, some 5 kB/s. No answer is delayed by the charge;
`ANSWER_AHEAD_MS` limits the requests to agents."""

ANSWER_AHEAD_MS = 400.0
"""Maximum time charged in advance at which agents with a different digest are
still sent requests. Above it they are sent none, so that they request nothing
in return. If several agents join together, a few crashes are sent to all of
them at once, and many crashes to one agent after the other."""

GATHER_MS = 5.0
"""How long changes of crashes are collected before they are sent in one
message; one crash may abort several requests."""

FIRST_TARGETS = 16
"""Entries that a crash noticed here is sent to at once; they forward it."""

FORWARD_CYCLES = 1
"""Number of gossip cycles in which a crash is forwarded. A changed crash is
sent with all its suspects, and each entry that notices one sends it to many."""

AGENT_TARGETS = 2
"""Agents that a crash noticed here is sent to; agents request other crashes
from entries."""

REMOVE_INTERVAL_MS = 1_000.0
"""Time between two removals of old crashes."""


class CrashSync:
    """Shares the crashes that this entry knows with other processes."""

    def __init__(
        self,
        record: crash_record.CrashRecord,
        sync: member_sync.MemberSync,
        agents: Callable[[], list[str]],
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Starts with the crashes in `record` and no updates to send.

        Args:
          record: the crashes that this entry knows.
          sync: the members.
          agents: returns the VMs of the agents that report to this entry.
          totals: counters.
          time: the clock.
          rng: picks receivers and crashes at random.
        """
        self._record = record
        self._sync = sync
        self._agents = agents
        self._rng = rng
        self._send_scheduled = False
        self._totals = totals
        self._clock = time
        self._gossip_queue: gossip.GossipQueue[ids.CrashId] = (
            gossip.GossipQueue(FORWARD_CYCLES)
        )
        self._compare_pause_ms = COMPARE_MS
        self._compared_ms = float("-inf")
        self._answering_until_ms = float("-inf")
        self._removed_ms = float("-inf")

    @property
    def digest(self) -> int:
        """Digest of the crashes that this entry knows."""
        return self._record.ledger.digest()

    def on_digest(self, name: str, digest: int) -> None:
        """Requests crashes from an entry whose ledger differs."""
        since_ms = self._clock.now_ms() - self._compared_ms
        if digest == self.digest or since_ms < self._compare_pause_ms:
            return
        self._compared_ms = self._clock.now_ms()
        self._request_crashes(name)

    def on_agent_digest(self, name: str, digest: int) -> None:
        """Requests crashes from an agent whose ledger differs.

        The agent then also requests the crashes that it lacks. Agents limit how
        often they send digests, see `crash_backup`. An entry skips an agent
        only while the time charged for its answers exceeds `ANSWER_AHEAD_MS`;
        the agent sends its next digest to another entry. An entry that chose
        among the agents that differ would skip the same agents every time.
        """
        ahead_ms = self._answering_until_ms - self._clock.now_ms()
        if digest != self.digest and ahead_ms <= ANSWER_AHEAD_MS:
            self._request_crashes(name)

    def _request_crashes(self, name: str) -> None:
        digests = self._record.ledger.digests()
        self._sync.send(name, fleet_messages.CrashRequest(digests=digests))

    def on_updates(self, message: fleet_messages.CrashNews) -> None:
        """Merges crashes that another process sends."""
        is_new = self._record.merge(message.crashes, self._clock.now_ms())
        if is_new:
            self._compare_pause_ms = COMPARE_MS
        elif message.answers:
            doubled_ms = 2.0 * self._compare_pause_ms
            self._compare_pause_ms = min(COMPARE_MAX_MS, doubled_ms)

    def on_request(
        self, name: str, request: fleet_messages.CrashRequest
    ) -> None:
        """Sends a process crashes that its ledger may lack."""
        ledger = self._record.ledger
        crashes = ledger.differing(request.digests, self._rng)
        now_ms = self._clock.now_ms()
        answer = ledger.export(crashes, now_ms)
        if answer:
            message = fleet_messages.CrashNews(crashes=answer, answers=True)
            self._sync.send(name, message)
            start_ms = max(now_ms, self._answering_until_ms)
            size = sum(crash.size for crash in answer)
            self._answering_until_ms = start_ms + size * ANSWER_MS_PER_UNIT

    def tick(self) -> None:
        """Forwards new crashes, removes old ones and logs blocked requests."""
        now_ms = self._clock.now_ms()
        if now_ms - self._removed_ms >= REMOVE_INTERVAL_MS:
            self._removed_ms = now_ms
            self._record.tick(now_ms)
        if self._record.judge_parts(now_ms):
            self._send_first()
        self._queue_changed(now_ms)
        crashes = self._record.ledger.export(
            self._gossip_queue.next_batch(now_ms), now_ms
        )
        if crashes:
            self._sync.send_gossip(fleet_messages.CrashNews(crashes=crashes))
        self._log_block_changes()

    def schedule_send(self) -> None:
        """Schedules sending of the crashes noticed here to other processes."""
        if not self._send_scheduled:
            self._send_scheduled = True
            delay_s = GATHER_MS / clock.MILLIS_PER_SECOND
            asyncio.get_running_loop().call_later(delay_s, self._send_first)

    def _send_first(self) -> None:
        self._send_scheduled = False
        now_ms = self._clock.now_ms()
        crashes = self._record.ledger.export(
            self._queue_changed(now_ms), now_ms
        )
        if not crashes:
            return
        alive = self._sync.alive(members.MemberKind.ENTRY)
        targets = self._sample([entry.vm_id for entry in alive], FIRST_TARGETS)
        targets += self._sample(self._agents(), AGENT_TARGETS)
        self._sync.send_all(targets, fleet_messages.CrashNews(crashes=crashes))
        self._log_block_changes()

    def _queue_changed(self, now_ms: clock.Millis) -> set[ids.CrashId]:
        """Queues changed crashes for gossip and returns them."""
        changed = self._record.pop_changed()
        for crash in changed:
            self._gossip_queue.add(crash, crash, now_ms)
        return changed

    def _sample(self, vm_ids: list[str], count: int) -> list[str]:
        return self._rng.sample(vm_ids, min(count, len(vm_ids)))

    def _log_block_changes(self) -> None:
        block_logs.log_changes(self._record.pop_block_changes(), self._totals)
