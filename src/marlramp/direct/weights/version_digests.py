"""Learns the digests of versions, from the origin or from other agents."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import manifest
from marlramp.platform import clients
from marlramp.protocol import messages

MANIFEST_RETRY_MS = 200.0


class Origin(Protocol):
    """The origin of weights."""

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        """Returns the digests of a version's pieces."""
        ...

    async def piece(self, model: str, version: int, index: int) -> bytes:
        """Returns a piece, not verified."""
        ...


class Wanted(msgspec.Struct, frozen=True):
    """One version of one model."""

    model: str
    version: int

    @property
    def name(self) -> str:
        """Name that agents use among themselves."""
        return f"{self.model}@{self.version}"


class VersionDigests:
    """Versions whose digests are known, with the pieces held of each."""

    def __init__(
        self,
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], bool],
    ) -> None:
        """Asks the agents that `peers` names through `send`."""
        self._peers = peers
        self._send = send
        self.origin: Origin | None = None
        self.wholes: collections.OrderedDict[str, manifest.Whole] = (
            collections.OrderedDict()
        )

    async def find(self, wanted: Wanted) -> manifest.Whole:
        """Learns the digests of a version from the origin or neighbours."""
        while wanted.name not in self.wholes:
            await self._ask_manifest(wanted)
            if wanted.name not in self.wholes:
                await asyncio.sleep(MANIFEST_RETRY_MS / clock.MILLIS_PER_SECOND)
        return self.wholes[wanted.name]

    def on_request(self, name: str, request: messages.ManifestRequest) -> None:
        """Answers another agent that asks for digests."""
        whole = self.wholes.get(request.manifest)
        if whole is not None:
            data = manifest.encode(whole.manifest)
            self._send(
                name,
                messages.ManifestReply(manifest=request.manifest, data=data),
            )

    def on_reply(self, reply: messages.ManifestReply) -> None:
        """Takes digests from another agent."""
        if not reply.data or reply.manifest in self.wholes:
            return
        found = msgspec.json.decode(reply.data, type=manifest.Manifest)
        if Wanted(found.model, int(found.version)).name == reply.manifest:
            self._take_manifest(reply.manifest, found)

    async def _ask_manifest(self, wanted: Wanted) -> None:
        request = messages.ManifestRequest(manifest=wanted.name)
        for name in self._peers():
            self._send(name, request)
        if self.origin is None:
            return
        try:
            found = await self.origin.manifest(wanted.model, wanted.version)
        except clients.PlatformError as error:
            logs.log("manifest_unavailable", name=wanted.name, detail=error)
            return
        self._take_manifest(wanted.name, found)

    def _take_manifest(self, name: str, found: manifest.Manifest) -> None:
        if name in self.wholes:
            return
        whole = manifest.Whole(found, manifest.sha256_of)
        kept = sum(whole.adopt(other) for other in self.wholes.values())
        self.wholes[name] = whole
        logs.log("manifest_known", name=name, pieces_kept=kept)
