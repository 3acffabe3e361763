"""Interfaces of the platform's services that the system uses.

Support for another platform implements the same protocols.
"""

from __future__ import annotations

import enum
from typing import Annotated
from typing import Protocol

import msgspec

from marlramp import ids
from marlramp.protocol import messages

UNAVAILABLE_RETRY_MS = 500.0

_PORT_MAX = 65_535


class PlatformError(Exception):
    """A call to the platform got no usable answer.

    Attributes:
      asked_ms: delay before the next call that the platform asked for, None if
        it asked for none.
      answering: whether the platform was in service: at least a part of an
        answer arrived, and it did not state that the platform is unavailable.
    """

    def __init__(
        self,
        detail: str,
        asked_ms: float | None = None,
        *,
        answering: bool = False,
    ) -> None:
        """Records what is known about the failed call."""
        super().__init__(detail)
        self.asked_ms = asked_ms
        self.answering = answering

    @property
    def retry_after_ms(self) -> float:
        """Delay in milliseconds after which the call may be retried."""
        return UNAVAILABLE_RETRY_MS if self.asked_ms is None else self.asked_ms


class UnreachedError(PlatformError):
    """No connection could be opened, so that the platform did nothing."""


class UselessAnswerError(PlatformError):
    """An answer arrived that can't be used."""


class AnswerTooLargeError(UselessAnswerError):
    """An answer was larger than its call takes."""


class PausedError(PlatformError):
    """The call was not sent, since the platform had asked for a pause."""


class OrderRefusedError(PlatformError):
    """A replica refused an order to load weights, due to its state.

    The order has no effect.
    """


class VmRole(enum.Enum):
    """What runs on a listed VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """State of a VM that the platform reports."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True):
    """One VM in the platform's VM list, which is updated with a delay.

    Attributes:
      vm_id: id of the VM.
      role: what runs on the VM.
      data_centre: data centre of the VM.
      service: service of an upstream, empty for an entry.
      host: IP address.
      port: port of the links between processes of the system.
      http_port: port for callers of an entry, 0 for an upstream.
      state: live or leaving.
    """

    vm_id: str
    role: VmRole
    data_centre: str
    service: str
    host: str
    port: Annotated[int, msgspec.Meta(ge=1, le=_PORT_MAX)]
    http_port: Annotated[int, msgspec.Meta(ge=0, le=_PORT_MAX)]
    state: VmState


class ConfigurationClient(Protocol):
    """Read-only client of the configuration service."""

    async def read(self, keys: list[str]) -> list[messages.Document]:
        """Returns the current documents of `keys` that exist.

        Raises:
          PlatformError: if the call fails or its answer can't be used.
        """
        ...

    async def watch(
        self, keys: list[str], after: int, wait_ms: float
    ) -> list[messages.Document]:
        """Waits for documents with a revision above `after`.

        Revisions are counted over all keys.

        Returns:
          The changed documents, empty after `wait_ms` without a change.

        Raises:
          PlatformError: if the call fails or its answer can't be used.
        """
        ...


class VmListClient(Protocol):
    """Client of the platform's VM list, which is updated with a delay."""

    async def read(self) -> list[ListedVm]:
        """Returns the list.

        Raises:
          PlatformError: if the call fails or its answer can't be used.
        """
        ...


class WeightSource(Protocol):
    """Source from which weights can be downloaded."""

    async def manifest(self, digest: ids.Digest) -> bytes:
        """Returns a manifest, not yet verified.

        Raises:
          PlatformError: if the call fails or its answer can't be used.
        """
        ...

    async def chunk(self, digest: str) -> bytes:
        """Returns a chunk, not yet verified.

        Raises:
          PlatformError: if the call fails or its answer can't be used.
        """
        ...
