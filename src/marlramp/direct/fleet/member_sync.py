"""Synchronises the rosters of the entries (a gossip membership protocol).

An entry introduces itself to the seeds, probes a few other entries, forwards
updates on members, and compares rosters that differ. Its traffic does not grow
with the number of members, except for the updates on members that join and
leave.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core.membership import fleet_size
from marlramp.core.membership import gossip
from marlramp.core.membership import members
from marlramp.core.membership import prober
from marlramp.core.membership import roster
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node

SEED_RETRY_MS = 1_000.0
"""Interval between introductions to all seeds while no other entry is alive."""

SEED_CHECK_MS = 5_000.0
"""Interval between introductions to one seed otherwise, through which the parts
of a partitioned fleet find each other again."""

COMPARE_MS = 1_000.0
"""Minimum interval between two requests for members that the roster lacks."""

COMPARE_STARTING_MS = 250.0
"""Minimum interval between two requests for members while a process starts. The
answers are limited in size: 130 members arrive in three of them."""

STARTING_MS = 5_000.0
"""Time after its start during which a process requests members more often."""

FAR_COMPARE_SHARE = 0.2
"""Share of the differences from rosters of other regions that lead to a
request. Rosters of the own region show the same differences, and requests for
them cause no traffic between regions."""

SAMPLE_MAX = 6
"""Number of members listed in the answer to an introduction."""

RECORD_REPORT_MS = 400.0
"""Minimum interval between two reports to a process whose record here is
suspect, down or of a newer incarnation."""

_SEED = "seed:"


class Links(Protocol):
    """Links to other processes, identified by name."""

    def open(self, name: str, host: str, port: int) -> bool:
        """Opens a link; returns False if it is open already."""
        ...

    def close(self, name: str) -> None:
        """Closes a link that this process opened."""
        ...

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message; returns whether a link accepted it."""
        ...

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        """Sends an encoded message; returns whether a link accepted it."""
        ...


class EntryState(Protocol):
    """The rest of the entry, as `MemberSync` uses it."""

    @property
    def revision(self) -> int:
        """Revision up to which this entry's catalog is complete."""
        ...

    @property
    def crash_digest(self) -> int:
        """Digest of the crashes that this entry knows."""
        ...

    def on_crash_digest(self, name: str, digest: int) -> None:
        """Handles the digest of the crashes that another entry knows."""
        ...

    @property
    def limit_digest(self) -> int:
        """Digest of the rate limits that this entry knows."""
        ...

    def on_limit_digest(self, name: str, digest: int) -> None:
        """Handles the digest of the rate limits that another entry knows."""
        ...

    def on_member(self, member: members.Member) -> None:
        """Handles a member that is new, restarted or requests an answer."""
        ...

    def on_revision(self, name: str, revision: int) -> None:
        """Handles the revision of another entry's catalog."""
        ...


class MemberSync:
    """Tracks the members of the fleet and opens links to entries."""

    def __init__(
        self,
        own: members.Member,
        incarnation: int,
        seeds: list[node.Address],
        near: Collection[str],
        size: fleet_size.FleetSize,
        entry: EntryState,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Starts with a roster that holds no other member.

        Args:
          own: this process.
          incarnation: its incarnation, see `roster.Roster`.
          seeds: entries to contact first; some may be down.
          near: data centres of the own region.
          size: estimates the number of entries.
          entry: the rest of the entry.
          time: the clock.
          rng: picks the entries to probe and to send updates to.
        """
        self.roster = roster.Roster(own, incarnation)
        self._own = own
        self._seeds = seeds
        self._near = near
        self._size = size
        self._entry = entry
        self._clock = time
        self._rng = rng
        self._prober = prober.Prober(self.roster, near, rng)
        self._gossip_queue: gossip.GossipQueue[members.MemberUpdate] = (
            gossip.GossipQueue()
        )
        self._links: Links | None = None
        self._started_ms = time.now_ms()
        self._counted_changes = -1
        self._entry_data_centres: list[str] = []
        self._remembered_entries = 1
        self._compared_ms = float("-inf")
        self._seeds_ms = float("-inf")
        self._reported_ms: dict[str, float] = {}
        self._probe_requesters: dict[str, set[str]] = {}
        self._lost: set[str] = set()

    def attach(self, links: Links) -> None:
        """Sets the links to send messages on."""
        self._links = links

    def set_seeds(self, seeds: list[node.Address]) -> None:
        """Replaces the seeds."""
        self._seeds = seeds

    @property
    def other_seeds(self) -> list[node.Address]:
        """The seeds without this entry."""
        own = node.Address(self._own.host, self._own.port)
        return [seed for seed in self._seeds if seed != own]

    def set_state(self, state: members.MemberState) -> None:
        """Sets this process's state and announces it if it changed."""
        if self.roster.set_own_state(state):
            self._queue_update(self.roster.own, self._clock.now_ms())

    # Members.

    def alive(self, kind: members.MemberKind) -> list[members.Member]:
        """Returns the other members of a kind that are alive, ordered by VM."""
        return self.roster.alive(kind, self._clock.now_ms())

    def entries_in_state(
        self, state: members.MemberState
    ) -> list[members.Member]:
        """Returns the other entries alive and in a state, ordered by VM."""
        return [
            member
            for member in self.alive(members.MemberKind.ENTRY)
            if self._state_of(member) is state
        ]

    def _state_of(self, member: members.Member) -> members.MemberState | None:
        record = self.roster.get(member.vm_id)
        return None if record is None else record.update.state

    def estimated_entries(self) -> int:
        """Returns the number of entries to divide a bound over the fleet by."""
        if self.roster.changes != self._counted_changes:
            self._counted_changes = self.roster.changes
            kind = members.MemberKind.ENTRY
            self._entry_data_centres = self.roster.data_centres(kind)
            self._remembered_entries = len(self.roster.remembered(kind))
        self._size.observe(
            self._entry_data_centres,
            self._remembered_entries,
            expects_others=bool(self.other_seeds),
        )
        return self._size.entries

    @property
    def estimate_is_provisional(self) -> bool:
        """Whether a better estimate of the entries is due soon."""
        return self._size.is_provisional

    def is_near(self, member: members.Member) -> bool:
        """Returns whether a member is in the own region."""
        return member.data_centre in self._near

    # Sending.

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        """Sends a message to a member; opens a missing link to an entry.

        Returns:
          Whether a link accepted the message.
        """
        links = self._open_links()
        if links.send(vm_id, message):
            return True
        record = self.roster.get(vm_id)
        if record is None:
            return False
        member = record.update.member
        if member.kind is not members.MemberKind.ENTRY:
            return False
        links.open(vm_id, member.host, member.port)
        return links.send(vm_id, message)

    def send_all(self, vm_ids: Iterable[str], message: msgspec.Struct) -> None:
        """Sends a message to members; opens missing links to entries."""
        encoded = codec.encode_once(message)
        links = self._open_links()
        for vm_id in vm_ids:
            if links.send_encoded(vm_id, encoded):
                continue
            record = self.roster.get(vm_id)
            if record is None:
                continue
            member = record.update.member
            if member.kind is members.MemberKind.ENTRY:
                links.open(vm_id, member.host, member.port)
                links.send_encoded(vm_id, encoded)

    def suspect(self, vm_id: str) -> None:
        """Suspects a silent member and announces it, also to the member."""
        now_ms = self._clock.now_ms()
        update = self.roster.suspect(vm_id, now_ms)
        if update is not None:
            self._queue_update(update, now_ms)
            self.send(vm_id, fleet_messages.MembersNews(news=[update]))

    # Regular work.

    def tick(self) -> None:
        """Sends the probes, updates and introductions that are due."""
        now_ms = self._clock.now_ms()
        self._contact_seeds(now_ms)
        for action in self._prober.tick(now_ms):
            match action:
                case prober.DirectProbe():
                    self.send(action.vm_id, self._ping())
                case prober.IndirectProbe():
                    request = fleet_messages.ProbeRequest(vm_id=action.vm_id)
                    self.send_all(action.helpers, request)
                case prober.Suspect():
                    self.suspect(action.vm_id)
        for vm_id in self.roster.tick(now_ms):
            self._reported_ms.pop(vm_id, None)
            self._probe_requesters.pop(vm_id, None)
        self._update_lost()
        self.estimated_entries()
        self._send_updates(now_ms)

    def _queue_update(
        self, update: members.MemberUpdate, now_ms: clock.Millis
    ) -> None:
        self._gossip_queue.add(update.vm_id, update, now_ms)

    def _send_updates(self, now_ms: clock.Millis) -> None:
        updates = self._gossip_queue.next_batch(now_ms)
        if updates:
            self.send_gossip(fleet_messages.MembersNews(news=updates))

    def send_gossip(self, message: msgspec.Struct) -> None:
        """Sends a message to a few random entries (one gossip cycle)."""
        entries = self.alive(members.MemberKind.ENTRY)
        near = [entry.vm_id for entry in entries if self.is_near(entry)]
        far = [entry.vm_id for entry in entries if not self.is_near(entry)]
        targets = self._sample(near, gossip.NEAR_TARGETS)
        missing = gossip.NEAR_TARGETS - len(targets)
        targets += self._sample(far, gossip.FAR_TARGETS + missing)
        self.send_all(targets, message)

    def _sample(self, vm_ids: list[str], count: int) -> list[str]:
        return self._rng.sample(vm_ids, min(count, len(vm_ids)))

    def _update_lost(self) -> None:
        """Logs members that went down or came up, and closes links."""
        lost = {
            record.update.vm_id
            for record in self.roster.records()
            if record.update.state is members.MemberState.DOWN
        }
        for vm_id in sorted(lost - self._lost):
            logs.log("member_down", vm=vm_id)
            self._open_links().close(vm_id)
        for vm_id in sorted(self._lost - lost):
            if self.roster.get(vm_id) is not None:
                logs.log("member_up", vm=vm_id)
        self._lost = lost

    # Messages.

    def on_message(self, name: str, message: fleet_messages.FromMember) -> bool:
        """Handles a message if it is about members.

        Returns:
          Whether the message was about members. Any other message is only
          recorded as a sign of life of its sender.
        """
        now_ms = self._clock.now_ms()
        if isinstance(message, fleet_messages.Hello):
            self._on_hello(name, message, now_ms)
            return True
        name = self._known_name(name)
        match message:
            case fleet_messages.Ping():
                self._on_ping(name, message, now_ms)
                return True
            case fleet_messages.Ack():
                self._on_ack(name, message, now_ms)
                return True
        self._record_message(name, now_ms)
        match message:
            case fleet_messages.MembersNews():
                self._apply_all(message.news, now_ms)
                return True
            case fleet_messages.ProbeRequest():
                self._on_probe_request(name, message.vm_id)
                return True
            case fleet_messages.ProbeReply():
                self._prober.record_indirect_answer(message.vm_id)
                return True
            case fleet_messages.RosterRequest():
                self._on_roster_request(name, message)
                return True
        return False

    def _known_name(self, name: str) -> str:
        """Returns the VM to which a link leads, its name if that is unknown.

        Links to seeds are named by address until the seed introduces itself.
        """
        if not name.startswith(_SEED):
            return name
        for record in self.roster.records():
            member = record.update.member
            if name == f"{_SEED}{member.host}:{member.port}":
                return member.vm_id
        return name

    def _on_hello(
        self, name: str, hello: fleet_messages.Hello, now_ms: clock.Millis
    ) -> None:
        member = hello.news.member
        if name.startswith(_SEED):
            # The seed introduced itself: from now on, its link is named by VM.
            self._open_links().close(name)
        if member.vm_id == self._own.vm_id:
            return
        self._size.record_report(hello.entries)
        known = self.roster.get(member.vm_id)
        new = known is None or known.update.incarnation < hello.news.incarnation
        self._apply_direct(hello.news, now_ms)
        if hello.reply:
            self.send(member.vm_id, self._introduction(reply=False))
        self._apply_all(hello.sample, now_ms)
        if new or hello.reply:
            self._entry.on_member(member)

    def _on_ping(
        self, name: str, ping: fleet_messages.Ping, now_ms: clock.Millis
    ) -> None:
        if not self._apply_summary(name, ping, now_ms):
            self._open_links().send(name, self._introduction(reply=True))
            return
        ack = fleet_messages.Ack(
            incarnation=self.roster.own.incarnation,
            state=self.roster.own.state,
            digest=self.roster.digest(),
            revision=self._entry.revision,
            crash_digest=self._entry.crash_digest,
            limit_digest=self._entry.limit_digest,
        )
        self.send(name, ack)

    def _on_ack(
        self, name: str, ack: fleet_messages.Ack, now_ms: clock.Millis
    ) -> None:
        if not self._apply_summary(name, ack, now_ms):
            return
        for sender in self._probe_requesters.pop(name, ()):
            self.send(sender, fleet_messages.ProbeReply(vm_id=name))
        self._compare(name, ack.digest, now_ms)

    def _apply_summary(
        self,
        name: str,
        summary: fleet_messages.Ping | fleet_messages.Ack,
        now_ms: clock.Millis,
    ) -> bool:
        """Applies an entry's summary of itself; returns False if unknown."""
        record = self.roster.get(name)
        if record is None:
            return False
        update = members.MemberUpdate(
            record.update.member, summary.incarnation, summary.state
        )
        self._apply_direct(update, now_ms)
        self._entry.on_revision(name, summary.revision)
        self._entry.on_crash_digest(name, summary.crash_digest)
        self._entry.on_limit_digest(name, summary.limit_digest)
        return True

    def _on_probe_request(self, sender: str, vm_id: str) -> None:
        known = self.roster.get(sender) is not None
        if known and self.roster.get(vm_id) is not None:
            self._probe_requesters.setdefault(vm_id, set()).add(sender)
            self.send(vm_id, self._ping())

    def _on_roster_request(
        self, name: str, request: fleet_messages.RosterRequest
    ) -> None:
        updates = self.roster.in_buckets(self.roster.differing(request.digests))
        chosen = self._rng.sample(updates, min(gossip.BATCH_MAX, len(updates)))
        if chosen:
            self.send(name, fleet_messages.MembersNews(news=chosen))

    def _apply_all(
        self, updates: Iterable[members.MemberUpdate], now_ms: clock.Millis
    ) -> None:
        for each in updates:
            forwarded = self.roster.apply(each, now_ms)
            if forwarded is not None:
                self._queue_update(forwarded, now_ms)

    def _apply_direct(
        self, update: members.MemberUpdate, now_ms: clock.Millis
    ) -> None:
        known = self.roster.get(update.vm_id)
        if known is not None and update.incarnation < known.update.incarnation:
            # The clock of its VM was set back before it started. It must raise
            # its incarnation above that of its earlier process.
            self._report_record(known, now_ms)
        forwarded = self.roster.apply_direct(update, now_ms)
        if forwarded is not None:
            self._queue_update(forwarded, now_ms)

    def _record_message(self, name: str, now_ms: clock.Millis) -> None:
        """Records a sign of life; reports to the member if it is held lost."""
        record = self.roster.record_message(name, now_ms)
        if record is None:
            return
        state = record.update.state
        if state in (members.MemberState.SUSPECT, members.MemberState.DOWN):
            self._report_record(record, now_ms)

    def _report_record(
        self, record: roster.Record, now_ms: clock.Millis
    ) -> None:
        """Sends a process the record of it, so that it refutes the record."""
        vm_id = record.update.vm_id
        last_ms = self._reported_ms.get(vm_id, float("-inf"))
        if now_ms - last_ms >= RECORD_REPORT_MS:
            self._reported_ms[vm_id] = now_ms
            message = fleet_messages.MembersNews(news=[record.update])
            self.send(vm_id, message)

    def _compare(self, name: str, digest: int, now_ms: clock.Millis) -> None:
        """Requests the members that another roster has and this one lacks."""
        if digest == self.roster.digest():
            return
        starting = now_ms - self._started_ms < STARTING_MS
        pause_ms = COMPARE_STARTING_MS if starting else COMPARE_MS
        if now_ms - self._compared_ms < pause_ms:
            return
        record = self.roster.get(name)
        if record is None:
            return
        far = not self.is_near(record.update.member)
        if far and self._rng.random() >= FAR_COMPARE_SHARE:
            return
        self._compared_ms = now_ms
        digests = self.roster.digests()
        self.send(name, fleet_messages.RosterRequest(digests=digests))

    # Introductions.

    def _contact_seeds(self, now_ms: clock.Millis) -> None:
        """Introduces itself to all seeds while alone, otherwise to one."""
        since_ms = now_ms - self._seeds_ms
        if since_ms < SEED_RETRY_MS:
            return
        alone = not self.alive(members.MemberKind.ENTRY)
        if not alone and since_ms < SEED_CHECK_MS:
            return
        self._seeds_ms = now_ms
        seeds = self.other_seeds
        if not alone:
            seeds = self._rng.sample(seeds, min(1, len(seeds)))
        for seed in seeds:
            name = f"{_SEED}{seed}"
            self._open_links().open(name, seed.host, seed.port)
            self._open_links().send(name, self._introduction(reply=True))

    def _introduction(self, *, reply: bool) -> fleet_messages.Hello:
        """Returns an introduction; an answer lists some other entries too."""
        entries = self.estimated_entries()
        sample: list[members.MemberUpdate] = []
        if not reply:
            known = [
                record.update
                for record in self.roster.records()
                if record.update.state is members.MemberState.READY
                and record.update.member.kind is members.MemberKind.ENTRY
            ]
            sample = self._rng.sample(known, min(SAMPLE_MAX, len(known)))
        return fleet_messages.Hello(
            news=self.roster.own,
            sample=sample,
            reply=reply,
            entries=entries if self._size.is_settled else 0,
        )

    def _ping(self) -> fleet_messages.Ping:
        return fleet_messages.Ping(
            incarnation=self.roster.own.incarnation,
            state=self.roster.own.state,
            digest=self.roster.digest(),
            revision=self._entry.revision,
            crash_digest=self._entry.crash_digest,
            limit_digest=self._entry.limit_digest,
        )

    def _open_links(self) -> Links:
        if self._links is None:
            raise RuntimeError("no links are attached")
        return self._links
