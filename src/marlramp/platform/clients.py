"""What the system needs of the platform.

Another platform is supported by other implementations of these protocols.
"""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec

from marlramp import ids
from marlramp.protocol import messages

UNAVAILABLE_RETRY_MS = 500.0


class PlatformError(Exception):
    """The platform did not answer a call usefully.

    Attributes:
      asked_ms: time after which it asked to be called again, None if it named
        none.
      answering: whether it was there: a part of an answer had come that does
        not say that it serves nobody now.
    """

    def __init__(
        self,
        detail: str,
        asked_ms: float | None = None,
        *,
        answering: bool = False,
    ) -> None:
        """Records what the platform gave instead of an answer."""
        super().__init__(detail)
        self.asked_ms = asked_ms
        self.answering = answering

    @property
    def retry_after_ms(self) -> float:
        """When to come back."""
        return UNAVAILABLE_RETRY_MS if self.asked_ms is None else self.asked_ms


class UnreachedError(PlatformError):
    """No connection could be opened, so that the platform has done nothing."""


class UselessAnswerError(PlatformError):
    """A whole answer came that is of no use."""


class PausedError(PlatformError):
    """No call was made, since the platform had asked for a pause."""


class OrderRefusedError(PlatformError):
    """A replica refused an order that does not fit its state."""


class VmRole(enum.Enum):
    """What runs on a listed VM."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True):
    """One VM in the platform's lagging list.

    Attributes:
      vm_id: its id.
      role: what runs there.
      data_centre: where it is.
      service: service of an upstream, empty for an entry.
      host: IP address.
      port: port of the system's own links there.
      http_port: port for callers at an entry, 0 at an upstream.
      state: live or leaving.
    """

    vm_id: str
    role: VmRole
    data_centre: str
    service: str
    host: str
    port: int
    http_port: int
    state: VmState


class ConfigurationClient(Protocol):
    """The configuration service, which can only be read and watched."""

    async def read(self, keys: list[str]) -> list[messages.Document]:
        """Returns the current documents of `keys` that exist.

        Raises:
          PlatformError: if the service does not answer.
        """
        ...

    async def watch(
        self, keys: list[str], after: int, wait_ms: float
    ) -> list[messages.Document]:
        """Waits for documents with a revision above `after`.

        Returns:
          The changed documents, empty after `wait_ms` without a change.

        Raises:
          PlatformError: if the service does not answer.
        """
        ...


class VmListClient(Protocol):
    """The platform's lagging list of VMs."""

    async def read(self) -> list[ListedVm]:
        """Returns the list.

        Raises:
          PlatformError: if the list is not available.
        """
        ...


class WeightSource(Protocol):
    """A place that weights can be drawn from."""

    async def manifest(self, digest: ids.Digest) -> bytes:
        """Returns a manifest, not yet verified.

        Raises:
          PlatformError: if it is not to be had now.
        """
        ...

    async def chunk(self, digest: str) -> bytes:
        """Returns a chunk, not yet verified.

        Raises:
          PlatformError: if it is not to be had now.
        """
        ...
