"""This entry's part in keeping all entries' rosters alike.

Greets seeds, asks a few others whether they are there, passes news on, and
compares rosters where they differ. Its traffic does not grow with the number
of members, but for the news of those that come and go.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import gossip
from marlramp.core import members
from marlramp.core import prober
from marlramp.core import roster
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node

SEED_RETRY_MS = 1_000.0
"""Between two greetings of the seeds while no other entry is alive."""

SEED_CHECK_MS = 5_000.0
"""Between two greetings of one seed otherwise: parts of the fleet that lost
sight of each other meet again there."""

COMPARE_MS = 1_000.0
"""Between two requests for members that the own roster lacks."""

COMPARE_STARTING_MS = 250.0
"""The same in the first seconds of a process: 130 members come in three
answers."""

STARTING_MS = 5_000.0

FAR_COMPARE_SHARE = 0.2
"""Part of the differences to entries of other regions that are looked into:
those to near ones show the same, and cost no bytes between regions."""

SAMPLE = 6
"""Members named in the answer to an introduction."""

CONTRADICTION_MS = 400.0
"""Between two times that one process is told that it is taken as lost."""

_SEED = "seed:"


class Links(Protocol):
    """Links to other processes, by name."""

    def open(self, name: str, host: str, port: int) -> bool:
        """Opens a link; returns False if it is open already."""
        ...

    def close(self, name: str) -> None:
        """Closes a link that was opened here."""
        ...

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message; returns whether a link took it."""
        ...

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        """Sends an encoded message; returns whether a link took it."""
        ...


class Surroundings(Protocol):
    """The rest of the entry."""

    @property
    def revision(self) -> int:
        """Revision up to which the catalog is known here."""
        ...

    @property
    def crash_digest(self) -> int:
        """Digest of the crashes known here."""
        ...

    def on_crash_digest(self, name: str, digest: int) -> None:
        """Takes the digest of the crashes that another entry knows."""
        ...

    @property
    def limit_digest(self) -> int:
        """Digest of the replicas known to name a limit."""
        ...

    def on_limit_digest(self, name: str, digest: int) -> None:
        """Takes the digest of the limits that another entry knows."""
        ...

    def on_member(self, member: members.Member) -> None:
        """Takes a member that introduced itself anew."""
        ...

    def on_revision(self, name: str, revision: int) -> None:
        """Takes the revision that another entry knows."""
        ...


class MemberSync:
    """Knows the members and keeps links to those that are needed."""

    def __init__(
        self,
        own: members.Member,
        incarnation: int,
        seeds: list[node.Address],
        near: Collection[str],
        surroundings: Surroundings,
        time: clock.Clock,
        rng: random.Random,
    ) -> None:
        """Knows only itself until the seeds answer.

        Args:
          own: this process.
          incarnation: its incarnation, see `roster.Roster`.
          seeds: entries to greet first, possibly down.
          near: data centres of the own region.
          surroundings: the rest of the entry.
          time: the clock.
          rng: draws whom to ask and tell.
        """
        self.roster = roster.Roster(own, incarnation)
        self._own = own
        self._seeds = seeds
        self._near = near
        self._surroundings = surroundings
        self._clock = time
        self._rng = rng
        self._prober = prober.Prober(self.roster, near, rng)
        self._rumours: gossip.GossipQueue[members.MemberUpdate] = (
            gossip.GossipQueue()
        )
        self._links: Links | None = None
        self._started_ms = time.now_ms()
        self._compared_ms = float("-inf")
        self._seeds_ms = float("-inf")
        self._contradicted_ms: dict[str, float] = {}
        self._asked_for: dict[str, set[str]] = {}
        self._lost: set[str] = set()

    def attach(self, links: Links) -> None:
        """Takes the links to send on."""
        self._links = links

    def set_seeds(self, seeds: list[node.Address]) -> None:
        """Takes other seeds."""
        self._seeds = seeds

    def set_state(self, state: members.MemberState) -> None:
        """Takes this process's state and tells the others if it changed."""
        if self.roster.set_own_state(state):
            self._pass_on(self.roster.own, self._clock.now_ms())

    # Who is there.

    def alive(self, kind: members.MemberKind) -> list[members.Member]:
        """Returns the other members of a kind that are there, by VM."""
        return self.roster.alive(kind, self._clock.now_ms())

    def entries_in_state(
        self, state: members.MemberState
    ) -> list[members.Member]:
        """Returns the other entries that are there and in a state, by VM."""
        return [
            member
            for member in self.alive(members.MemberKind.ENTRY)
            if self._state_of(member) is state
        ]

    def _state_of(self, member: members.Member) -> members.MemberState | None:
        record = self.roster.get(member.vm_id)
        return None if record is None else record.update.state

    def is_near(self, member: members.Member) -> bool:
        """Returns whether a member is in the own region."""
        return member.data_centre in self._near

    # Sending.

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        """Sends to one member; opens a link to an entry if there is none."""
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
        """Sends to some members."""
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
        """Suspects a member that fell silent and tells the others."""
        now_ms = self._clock.now_ms()
        news = self.roster.suspect(vm_id, now_ms)
        if news is not None:
            self._pass_on(news, now_ms)
            self.send(vm_id, fleet_messages.MembersNews(news=[news]))

    # Regular work.

    def tick(self) -> None:
        """Asks, tells and greets whoever is to be; logs who came or went."""
        now_ms = self._clock.now_ms()
        self._greet_seeds(now_ms)
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
            self._contradicted_ms.pop(vm_id, None)
        self._note_lost()
        self._spread(now_ms)

    def _pass_on(
        self, news: members.MemberUpdate, now_ms: clock.Millis
    ) -> None:
        self._rumours.add(news.vm_id, news, now_ms)

    def _spread(self, now_ms: clock.Millis) -> None:
        news = self._rumours.next_batch(now_ms)
        if news:
            self.send_some(fleet_messages.MembersNews(news=news))

    def send_some(self, message: msgspec.Struct) -> None:
        """Sends news to a few entries drawn anew, which pass them on."""
        entries = self.alive(members.MemberKind.ENTRY)
        near = [entry.vm_id for entry in entries if self.is_near(entry)]
        far = [entry.vm_id for entry in entries if not self.is_near(entry)]
        targets = self._draw(near, gossip.NEAR_TARGETS)
        missing = gossip.NEAR_TARGETS - len(targets)
        targets += self._draw(far, gossip.FAR_TARGETS + missing)
        self.send_all(targets, message)

    def _draw(self, vm_ids: list[str], count: int) -> list[str]:
        return self._rng.sample(vm_ids, min(count, len(vm_ids)))

    def _note_lost(self) -> None:
        """Logs who came and went, and closes links to those that are down."""
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
        """Takes a message; returns whether it was about members alone."""
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
        self._note_heard(name, now_ms)
        match message:
            case fleet_messages.MembersNews():
                self._take(message.news, now_ms)
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
        """Returns the VM at the other end of a link to a seed, if known."""
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
            # The seed has a name now, under which it gets a link of its own.
            self._open_links().close(name)
        if member.vm_id == self._own.vm_id:
            return
        known = self.roster.get(member.vm_id)
        new = known is None or known.update.incarnation < hello.news.incarnation
        self._take_direct(hello.news, now_ms)
        if hello.reply:
            self.send(member.vm_id, self._hello(reply=False))
        self._take(hello.sample, now_ms)
        if new or hello.reply:
            self._surroundings.on_member(member)

    def _on_ping(
        self, name: str, ping: fleet_messages.Ping, now_ms: clock.Millis
    ) -> None:
        if not self._take_summary(name, ping, now_ms):
            self._open_links().send(name, self._hello(reply=True))
            return
        ack = fleet_messages.Ack(
            incarnation=self.roster.own.incarnation,
            state=self.roster.own.state,
            digest=self.roster.digest(),
            revision=self._surroundings.revision,
            crash_digest=self._surroundings.crash_digest,
            limit_digest=self._surroundings.limit_digest,
        )
        self.send(name, ack)

    def _on_ack(
        self, name: str, ack: fleet_messages.Ack, now_ms: clock.Millis
    ) -> None:
        if not self._take_summary(name, ack, now_ms):
            return
        for asker in self._asked_for.pop(name, ()):
            self.send(asker, fleet_messages.ProbeReply(vm_id=name))
        self._compare(name, ack.digest, now_ms)

    def _take_summary(
        self,
        name: str,
        summary: fleet_messages.Ping | fleet_messages.Ack,
        now_ms: clock.Millis,
    ) -> bool:
        """Takes what an entry tells of itself; returns False if unknown."""
        record = self.roster.get(name)
        if record is None:
            return False
        news = members.MemberUpdate(
            record.update.member, summary.incarnation, summary.state
        )
        self._take_direct(news, now_ms)
        self._surroundings.on_revision(name, summary.revision)
        self._surroundings.on_crash_digest(name, summary.crash_digest)
        self._surroundings.on_limit_digest(name, summary.limit_digest)
        return True

    def _on_probe_request(self, asker: str, vm_id: str) -> None:
        if self.roster.get(vm_id) is not None:
            self._asked_for.setdefault(vm_id, set()).add(asker)
            self.send(vm_id, self._ping())

    def _on_roster_request(
        self, name: str, request: fleet_messages.RosterRequest
    ) -> None:
        news = self.roster.in_buckets(self.roster.differing(request.digests))
        chosen = self._rng.sample(news, min(gossip.BATCH_MAX, len(news)))
        if chosen:
            self.send(name, fleet_messages.MembersNews(news=chosen))

    def _take(
        self, news: Iterable[members.MemberUpdate], now_ms: clock.Millis
    ) -> None:
        for each in news:
            passed_on = self.roster.apply(each, now_ms)
            if passed_on is not None:
                self._pass_on(passed_on, now_ms)

    def _take_direct(
        self, news: members.MemberUpdate, now_ms: clock.Millis
    ) -> None:
        known = self.roster.get(news.vm_id)
        if known is not None and news.incarnation < known.update.incarnation:
            # Its clock went back before it started: it is to rise above what
            # is known of its earlier process.
            self._contradict(known, now_ms)
        passed_on = self.roster.apply_direct(news, now_ms)
        if passed_on is not None:
            self._pass_on(passed_on, now_ms)

    def _note_heard(self, name: str, now_ms: clock.Millis) -> None:
        """Records a sign of life; asks one that is taken as lost to object."""
        record = self.roster.record_message(name, now_ms)
        if record is None:
            return
        state = record.update.state
        if state in (members.MemberState.SUSPECT, members.MemberState.DOWN):
            self._contradict(record, now_ms)

    def _contradict(self, record: roster.Record, now_ms: clock.Millis) -> None:
        """Tells a process what is believed of it, for it to object."""
        vm_id = record.update.vm_id
        last_ms = self._contradicted_ms.get(vm_id, float("-inf"))
        if now_ms - last_ms >= CONTRADICTION_MS:
            self._contradicted_ms[vm_id] = now_ms
            message = fleet_messages.MembersNews(news=[record.update])
            self.send(vm_id, message)

    def _compare(self, name: str, digest: int, now_ms: clock.Millis) -> None:
        """Asks for what another roster has and the own has not."""
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

    def _greet_seeds(self, now_ms: clock.Millis) -> None:
        """Greets all seeds while alone, and one of them now and then."""
        since_ms = now_ms - self._seeds_ms
        if since_ms < SEED_RETRY_MS:
            return
        alone = not self.alive(members.MemberKind.ENTRY)
        if not alone and since_ms < SEED_CHECK_MS:
            return
        self._seeds_ms = now_ms
        own = node.Address(self._own.host, self._own.port)
        seeds = [seed for seed in self._seeds if seed != own]
        if not alone:
            seeds = self._rng.sample(seeds, min(1, len(seeds)))
        for seed in seeds:
            name = f"{_SEED}{seed}"
            self._open_links().open(name, seed.host, seed.port)
            self._open_links().send(name, self._hello(reply=True))

    def _hello(self, *, reply: bool) -> fleet_messages.Hello:
        """Returns an introduction; one that asks for none names some others."""
        sample: list[members.MemberUpdate] = []
        if not reply:
            known = [
                record.update
                for record in self.roster.records()
                if record.update.state is members.MemberState.READY
                and record.update.member.kind is members.MemberKind.ENTRY
            ]
            sample = self._rng.sample(known, min(SAMPLE, len(known)))
        return fleet_messages.Hello(
            news=self.roster.own, sample=sample, reply=reply
        )

    def _ping(self) -> fleet_messages.Ping:
        return fleet_messages.Ping(
            incarnation=self.roster.own.incarnation,
            state=self.roster.own.state,
            digest=self.roster.digest(),
            revision=self._surroundings.revision,
            crash_digest=self._surroundings.crash_digest,
            limit_digest=self._surroundings.limit_digest,
        )

    def _open_links(self) -> Links:
        if self._links is None:
            raise RuntimeError("no links are attached")
        return self._links
