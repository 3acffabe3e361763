"""Processes of the system, and updates on their state that they exchange."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec

ALIVE_MS = 1_600.0
"""A process from which this process received something within this time is
alive, whatever other processes report."""

ALIVE_TO_AGENT_MS = 3_200.0
"""Time since an agent last received something from an entry within which the
agent counts the entry as alive. It is longer than `ALIVE_MS`, since an agent
receives messages from few entries, rarely from each, and loses nothing by
sending its reports to an entry that is down."""


NAME_LENGTH_MAX = 256
"""Longest name or address of a process, in characters."""

_Name = Annotated[str, msgspec.Meta(max_length=NAME_LENGTH_MAX)]


class MemberKind(enum.Enum):
    """Role of a process; the values are numbers to keep messages short."""

    ENTRY = 1
    AGENT = 2


class MemberState(enum.Enum):
    """State of a process, reported by itself or by others that suspect it.

    Of two states reported for one incarnation, the one with the higher value
    counts. A process that did not respond to another one is SUSPECT. Each
    process marks it as DOWN if it does not refute this within
    `roster.SUSPECT_MS`, and ignores updates by which others report it as DOWN.
    """

    STARTING = 1
    READY = 2
    LEAVING = 3
    SUSPECT = 4
    DOWN = 5


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A process of the system.

    Attributes:
      vm_id: VM on which the process runs.
      kind: role of the process.
      data_centre: data centre of the VM.
      host: IP address of the process.
      port: port on which the process accepts connections of other processes.
      callers: address ("host:port") at which an entry accepts the requests of
        callers, "" for an agent.
    """

    vm_id: _Name
    kind: MemberKind
    data_centre: _Name
    host: _Name
    port: int
    callers: _Name = ""


class MemberUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update on the state of a process, as processes forward it.

    Attributes:
      member: the process.
      incarnation: number that only the process itself raises, at each start and
        whenever it refutes an update of another process, for example that it is
        suspect. An update with a higher incarnation replaces one with a lower
        incarnation.
      state: state of the process.
    """

    member: Member
    incarnation: int
    state: MemberState

    @property
    def vm_id(self) -> str:
        """The VM of the process."""
        return self.member.vm_id

    def replaces(self, other: MemberUpdate) -> bool:
        """Returns whether this takes precedence over another update.

        The update with the higher incarnation does, and of two with equal
        incarnations the one with the higher state.
        """
        own = (self.incarnation, self.state.value)
        return own > (other.incarnation, other.state.value)
