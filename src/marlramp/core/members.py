"""Which other processes of the system exist and which of them are alive.

Processes learn of each other from the seeds and from one another. Being told
of a member makes it known; only hearing it makes it alive.
"""

from __future__ import annotations

from collections.abc import Iterable
import enum

import msgspec

from marlramp import clock

ALIVE_MS = 1_600.0
"""A member that was silent this long is taken as down: four heartbeats."""

ALIVE_TO_AGENT_MS = 3_200.0
"""The same at an agent, which hears most entries less often and loses nothing
by reporting to one that is down."""

FORGET_MS = 60_000.0
"""A member that was silent this long is forgotten."""


class MemberKind(enum.Enum):
    """What a process of the system does."""

    ENTRY = "entry"
    AGENT = "agent"


class MemberState(enum.Enum):
    """Whether callers may be sent to an entry."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A process of the system.

    Attributes:
      vm_id: its VM.
      kind: what it does.
      data_centre: where it is.
      host: IP address.
      port: port of its links.
      callers: "host:port" for callers of an entry, "" of an agent.
    """

    vm_id: str
    kind: MemberKind
    data_centre: str
    host: str
    port: int
    callers: str = ""


class Pulse(msgspec.Struct, frozen=True, array_like=True):
    """What an entry tells of itself with every heartbeat.

    Attributes:
      state: whether callers may be sent there.
      revision: the store's revision up to which it knows all.
      store_age_ms: time since the store last answered it, None if it never
        did.
      reads_store: whether it watches the store.
    """

    state: MemberState
    revision: int
    store_age_ms: float | None
    reads_store: bool


class KnownMember(msgspec.Struct):
    """A member and what was last heard of it.

    Attributes:
      member: who and where it is.
      known_ms: when it was first told of.
      heard_ms: when it was last heard.
      pulse: its last heartbeat, None before the first.
    """

    member: Member
    known_ms: float
    heard_ms: float = float("-inf")
    pulse: Pulse | None = None


class Members:
    """The members known to one process."""

    def __init__(self, own: Member) -> None:
        """Starts knowing only itself."""
        self.own = own
        self.alive_ms = (
            ALIVE_TO_AGENT_MS if own.kind is MemberKind.AGENT else ALIVE_MS
        )
        self._known: dict[str, KnownMember] = {}

    def get(self, vm_id: str) -> KnownMember | None:
        """Returns a member, None if it is not known."""
        return self._known.get(vm_id)

    def known(self) -> list[KnownMember]:
        """Returns all members known, alive or not, without itself."""
        return list(self._known.values())

    def told(
        self, members: Iterable[Member], now_ms: clock.Millis
    ) -> list[Member]:
        """Takes members that another process knows; returns the new ones."""
        new = []
        for member in members:
            if member.vm_id == self.own.vm_id:
                continue
            if member.vm_id not in self._known:
                self._known[member.vm_id] = KnownMember(member, now_ms)
                new.append(member)
        return new

    def introduced(self, member: Member, now_ms: clock.Millis) -> bool:
        """Takes what a member says of itself; returns whether it is new."""
        known = self._known.get(member.vm_id)
        if known is not None and known.member == member:
            known.heard_ms = now_ms
            return False
        self._known[member.vm_id] = KnownMember(member, now_ms, now_ms)
        return True

    def heard(self, vm_id: str, now_ms: clock.Millis) -> None:
        """Records that a member was heard."""
        known = self._known.get(vm_id)
        if known is not None:
            known.heard_ms = now_ms

    def heartbeat(
        self,
        vm_id: str,
        pulse: Pulse,
        now_ms: clock.Millis,
    ) -> None:
        """Takes a member's heartbeat."""
        known = self._known.get(vm_id)
        if known is not None:
            known.heard_ms = now_ms
            known.pulse = pulse

    def alive(
        self, kind: MemberKind, now_ms: clock.Millis
    ) -> list[KnownMember]:
        """Returns the members of a kind heard lately, without itself."""
        return [
            known
            for known in self._known.values()
            if known.member.kind is kind
            and now_ms - known.heard_ms < self.alive_ms
        ]

    def to_tell(self, now_ms: clock.Millis) -> list[Member]:
        """Returns the members worth telling others of."""
        return [
            known.member
            for known in self._known.values()
            if now_ms - max(known.heard_ms, known.known_ms) < FORGET_MS
        ]

    def forget_silent(self, now_ms: clock.Millis) -> list[str]:
        """Forgets members silent for long; returns their ids."""
        gone = [
            vm_id
            for vm_id, known in self._known.items()
            if now_ms - max(known.heard_ms, known.known_ms) > FORGET_MS
        ]
        for vm_id in gone:
            del self._known[vm_id]
        return gone

    def count(self, kind: MemberKind) -> int:
        """Returns how many members of a kind are known, itself too."""
        others = sum(
            known.member.kind is kind for known in self._known.values()
        )
        return others + (self.own.kind is kind)
