"""Processes of the system, and what they tell of themselves and each other."""

from __future__ import annotations

import enum

import msgspec

ALIVE_MS = 1_600.0
"""A process that was heard this lately is alive, whatever others say of it."""

ALIVE_TO_AGENT_MS = 3_200.0
"""The same of an entry at an agent, which hears few entries, each rarely, and
loses nothing by reporting to one that is down."""


class MemberKind(enum.Enum):
    """What a process of the system does; numbers keep messages short."""

    ENTRY = 1
    AGENT = 2


class MemberState(enum.Enum):
    """How a process is, by itself or by those who lost it.

    Of two states told of one incarnation the later one here counts.
    """

    STARTING = 1
    READY = 2
    LEAVING = 3
    SUSPECT = 4
    DOWN = 5


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


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """The state of a process, as it is passed on.

    Attributes:
      member: the process.
      incarnation: raised by the process alone, at each start and whenever it
        contradicts others; news of a higher one replace those of a lower one.
      state: its state.
    """

    member: Member
    incarnation: int
    state: MemberState

    @property
    def vm_id(self) -> str:
        """The VM of the process."""
        return self.member.vm_id

    def replaces(self, other: MemberNews) -> bool:
        """Returns whether this is newer than other news of the process."""
        own = (self.incarnation, self.state.value)
        return own > (other.incarnation, other.state.value)
