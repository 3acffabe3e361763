"""Finds the other members and keeps links to those that are needed."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import members
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.settings import node
from marlramp.shell import member_links

SEED_RETRY_MS = 1_000.0
"""Between two greetings of the seeds while no other entry is alive."""

GREETING_RETRY_MS = 2_000.0
"""Between two greetings of a known entry that stays silent."""

_SEED = "seed:"


class MemberSync:
    """Greets seeds and members, and tells members of one another."""

    def __init__(
        self,
        own: members.Member,
        seeds: list[node.Address],
        time: clock.Clock,
        on_member: Callable[[members.Member], None],
    ) -> None:
        """Knows only itself until the seeds answer.

        Args:
          own: this process.
          seeds: entries to greet first, possibly down.
          time: the clock.
          on_member: called with each member that introduced itself anew.
        """
        self.members = members.Members(own)
        self._own = own
        self._seeds = seeds
        self._clock = time
        self._on_member = on_member
        self._links: (
            member_links.MemberLinks[fleet_messages.FromMember] | None
        ) = None
        self._greeted_ms: dict[str, float] = {}
        self._alive: set[str] = set()
        self._to_spread: dict[str, members.Member] = {}

    def attach(
        self, links: member_links.MemberLinks[fleet_messages.FromMember]
    ) -> None:
        """Takes the links to send on."""
        self._links = links

    def set_seeds(self, seeds: list[node.Address]) -> None:
        """Takes other seeds."""
        self._seeds = seeds

    def tick(self) -> None:
        """Greets who should be heard and is not, and logs who came or went."""
        now_ms = self._clock.now_ms()
        entries = self.members.alive(members.MemberKind.ENTRY, now_ms)
        if not entries:
            self._greet_seeds(now_ms)
        for known in self.members.known():
            silent = now_ms - known.heard_ms >= self.members.alive_ms
            if silent and known.member.kind is members.MemberKind.ENTRY:
                self._greet(known.member, now_ms)
        for vm_id in self.members.forget_silent(now_ms):
            self._open_links().close(vm_id)
        self._spread()
        self._log_changes(now_ms)

    def send(self, vm_id: str, message: msgspec.Struct) -> bool:
        """Sends to one member."""
        return self._open_links().send(vm_id, message)

    def send_all(self, vm_ids: Iterable[str], message: msgspec.Struct) -> None:
        """Sends to some members."""
        data = codec.encode(message)
        for vm_id in vm_ids:
            self._open_links().send_bytes(vm_id, data)

    def broadcast(
        self,
        kind: members.MemberKind,
        message: msgspec.Struct,
        within: Collection[str] | None = None,
    ) -> None:
        """Sends to all members of a kind that are alive.

        Args:
          kind: the kind.
          message: the message.
          within: data centres that it is sent to, None for all.
        """
        alive = self.members.alive(kind, self._clock.now_ms())
        names = [
            known.member.vm_id
            for known in alive
            if within is None or known.member.data_centre in within
        ]
        self.send_all(names, message)

    def told(self, found: Iterable[members.Member]) -> None:
        """Takes members that another process knows; greets new entries."""
        now_ms = self._clock.now_ms()
        for member in self.members.told(found, now_ms):
            self._note_new(member)
            if member.kind is members.MemberKind.ENTRY:
                self._greet(member, now_ms)

    def on_message(self, name: str, message: fleet_messages.FromMember) -> bool:
        """Takes a message; returns whether it was about members alone."""
        now_ms = self._clock.now_ms()
        self.members.heard(name, now_ms)
        match message:
            case fleet_messages.Hello():
                self._on_hello(name, message, now_ms)
                return True
            case fleet_messages.MembersFound():
                self.told(message.found)
                return True
            case fleet_messages.Heartbeat():
                self.members.heartbeat(name, message.pulse, now_ms)
        return False

    def _on_hello(
        self, name: str, hello: fleet_messages.Hello, now_ms: clock.Millis
    ) -> None:
        member = hello.member
        if name.startswith(_SEED):
            # The seed has a name now, under which it gets a link of its own.
            self._open_links().close(name)
        new = self.members.introduced(member, now_ms)
        if member.kind is members.MemberKind.ENTRY:
            self._open_links().open(member.vm_id, member.host, member.port)
        if new:
            self._note_new(member)
        if hello.reply:
            self.send(member.vm_id, self._hello(now_ms, reply=False))
        self.told(hello.others)
        if new or hello.reply:
            self._on_member(member)

    def _note_new(self, member: members.Member) -> None:
        """Keeps a new member until the other entries are told."""
        if self._own.kind is members.MemberKind.ENTRY:
            self._to_spread[member.vm_id] = member

    def _spread(self) -> None:
        """Tells the other entries of new members, all in one message.

        Agents hear of entries from those that guide them. A message for each
        new member to each member would be a flood when all start at once.
        """
        if not self._to_spread:
            return
        found = list(self._to_spread.values())
        self._to_spread.clear()
        message = fleet_messages.MembersFound(found=found)
        self.broadcast(members.MemberKind.ENTRY, message)

    def _greet(self, member: members.Member, now_ms: clock.Millis) -> None:
        last_ms = self._greeted_ms.get(member.vm_id, float("-inf"))
        if now_ms - last_ms < GREETING_RETRY_MS:
            return
        self._greeted_ms[member.vm_id] = now_ms
        self._open_links().open(member.vm_id, member.host, member.port)
        self.send(member.vm_id, self._hello(now_ms, reply=True))

    def _greet_seeds(self, now_ms: clock.Millis) -> None:
        for seed in self._seeds:
            own = (self._own.host, self._own.port)
            name = f"{_SEED}{seed}"
            last_ms = self._greeted_ms.get(name, float("-inf"))
            if (seed.host, seed.port) == own or (
                now_ms - last_ms < SEED_RETRY_MS
            ):
                continue
            self._greeted_ms[name] = now_ms
            self._open_links().open(name, seed.host, seed.port)
            self.send(name, self._hello(now_ms, reply=True))

    def _hello(
        self, now_ms: clock.Millis, *, reply: bool
    ) -> fleet_messages.Hello:
        # Entries hear every agent themselves.
        others: list[members.Member] = []
        if self._own.kind is members.MemberKind.ENTRY:
            others = self.members.to_tell(now_ms)
        return fleet_messages.Hello(
            member=self._own, others=others, reply=reply
        )

    def _log_changes(self, now_ms: clock.Millis) -> None:
        alive = {
            known.member.vm_id
            for kind in members.MemberKind
            for known in self.members.alive(kind, now_ms)
        }
        for vm_id in sorted(alive - self._alive):
            logs.log("member_up", vm=vm_id)
        for vm_id in sorted(self._alive - alive):
            logs.log("member_down", vm=vm_id)
        self._alive = alive

    def _open_links(
        self,
    ) -> member_links.MemberLinks[fleet_messages.FromMember]:
        if self._links is None:
            raise RuntimeError("no links are attached")
        return self._links
