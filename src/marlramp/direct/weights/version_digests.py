"""Learns the digests of versions, from the origin or from other agents."""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import logs
from marlramp.core import manifest
from marlramp.core import origin_requests
from marlramp.core import rendezvous
from marlramp.platform import clients
from marlramp.protocol import messages

POLL_MS = 100.0
"""Between two rounds of asking other agents for digests that are missing."""

PEERS_ASKED = 8
"""Agents asked in each round, drawn anew: one that knows is found within some
rounds in a fleet of any size, and rounds cost the same in all of them."""

RELAYS_ASKED = 2
"""Relays asked in each round in place of agents, where there are any: they know
soon after a version is named, and each answer has some kilobytes."""

FIRST_ASKED = 2
"""Of those that ask the origin first, so many are asked where all ask them."""

ASKED_MAX = 4
"""Versions for which it is remembered who asked: the ones named lately."""


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


def parse_name(name: str) -> Wanted | None:
    """Returns the version that a name among agents means, None if none."""
    model, _, version = name.rpartition("@")
    if not model or not version.isdecimal():
        return None
    return Wanted(model, int(version))


class VersionDigests:
    """Versions whose digests are known, with the pieces held of each."""

    def __init__(
        self,
        own: str,
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], bool],
        time: clock.Clock,
        rng: random.Random | None = None,
        relays: Callable[[], Iterable[str]] = tuple,
        *,
        asks_first: bool = False,
    ) -> None:
        """Knows none.

        Args:
          own: this agent.
          peers: names the other agents.
          send: sends to one of them.
          time: the clock.
          rng: draws whom to ask.
          relays: names the relays that work.
          asks_first: whether those that ask the origin first are asked first;
            all ask them, so their links must bear it.
        """
        self._own = own
        self._peers = peers
        self._relays = relays
        self._asks_first = asks_first
        self._send = send
        self._clock = time
        self._rng = rng or random.Random()
        self._asked_by: dict[str, set[str]] = {}
        self._news = asyncio.Event()
        self.origin: Origin | None = None
        self.wholes: collections.OrderedDict[str, manifest.ChunkSet] = (
            collections.OrderedDict()
        )

    async def find(self, wanted: Wanted) -> manifest.ChunkSet:
        """Learns the digests of a version from the origin or neighbours."""
        asks = origin_requests.OriginRequests(self._clock.now_ms(), self._rng)
        asking: asyncio.Task[None] | None = None
        try:
            if self._asks_first:
                self._ask_each(wanted, self._ordered(wanted)[:FIRST_ASKED])
            while wanted.name not in self.wholes:
                if not self._asks_first or asks.overdue(self._clock.now_ms()):
                    self._ask_peers(wanted)
                if asking is not None and asking.done():
                    await asking
                    asking = None
                if asking is None and self._is_due(wanted, asks):
                    asking = asyncio.create_task(self._ask(wanted, asks))
                await self._wait_news()
        finally:
            if asking is not None:
                asking.cancel()
        return self.wholes[wanted.name]

    def on_request(self, name: str, request: messages.ManifestRequest) -> None:
        """Answers another agent that asks for digests, once they are known."""
        if request.manifest in self.wholes:
            self._tell(name, request.manifest)
            return
        if len(self._asked_by) >= ASKED_MAX:
            self._asked_by.clear()
        self._asked_by.setdefault(request.manifest, set()).add(name)

    def on_reply(self, reply: messages.ManifestReply) -> None:
        """Takes digests from another agent."""
        if not reply.data or reply.manifest in self.wholes:
            return
        found = msgspec.json.decode(reply.data, type=manifest.Manifest)
        if Wanted(found.model, int(found.version)).name == reply.manifest:
            self._take_manifest(reply.manifest, found)

    def _ask_peers(self, wanted: Wanted) -> None:
        """Asks some agents; each answers as soon as it knows."""
        relays = list(self._relays())
        count = RELAYS_ASKED if relays else PEERS_ASKED
        known = relays or list(self._peers())
        self._ask_each(wanted, self._rng.sample(known, min(count, len(known))))

    def _ask_each(self, wanted: Wanted, names: Iterable[str]) -> None:
        request = messages.ManifestRequest(manifest=wanted.name)
        for name in names:
            if name != self._own:
                self._send(name, request)

    def _ordered(self, wanted: Wanted) -> list[str]:
        """Returns who asks the origin, the first in front."""
        return rendezvous.order(wanted.name, {self._own, *self._peers()})

    def _is_due(
        self, wanted: Wanted, asks: origin_requests.OriginRequests
    ) -> bool:
        if self.origin is None:
            return False
        rank = self._ordered(wanted).index(self._own)
        return asks.due(rank, self._clock.now_ms())

    async def _ask(
        self, wanted: Wanted, asks: origin_requests.OriginRequests
    ) -> None:
        if self.origin is None:
            return
        try:
            found = await self.origin.manifest(wanted.model, wanted.version)
        except clients.PlatformError as error:
            logs.log("manifest_unavailable", name=wanted.name, detail=error)
            agents = 1 + len(list(self._peers()))
            asks.record_failure(agents, self._clock.now_ms())
            return
        self._take_manifest(wanted.name, found)

    async def _wait_news(self) -> None:
        self._news.clear()
        try:
            async with asyncio.timeout(POLL_MS / clock.MILLIS_PER_SECOND):
                await self._news.wait()
        except TimeoutError:
            pass

    def _take_manifest(self, name: str, found: manifest.Manifest) -> None:
        if name in self.wholes:
            return
        whole = manifest.ChunkSet(found, manifest.sha256_of)
        kept = sum(
            whole.copy_common_chunks(other) for other in self.wholes.values()
        )
        self.wholes[name] = whole
        self._news.set()
        logs.log("manifest_known", name=name, pieces_kept=kept)
        for peer in self._asked_by.pop(name, ()):
            self._tell(peer, name)

    def _tell(self, peer: str, name: str) -> None:
        data = manifest.encode(self.wholes[name].manifest)
        self._send(peer, messages.ManifestReply(manifest=name, data=data))
