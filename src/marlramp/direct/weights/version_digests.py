"""Obtains the digests of versions from the origin or from other processes."""

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
from marlramp.core import rendezvous
from marlramp.core.weights import manifest
from marlramp.core.weights import origin_requests
from marlramp.platform import clients
from marlramp.protocol import messages

POLL_MS = 100.0
"""Interval between requests to other agents for missing digests."""

PEERS_QUERIED = 8
"""Agents that are picked at random and queried in each interval. An agent that
knows the digests is found within a few intervals in a fleet of any size, at a
cost that does not depend on the size."""

RELAYS_QUERIED = 2
"""Relays that are queried in each interval instead of agents, if there are any.
Relays know the digests soon after a version is announced, and each reply has
some kilobytes."""

FETCHERS_QUERIED = 2
"""Processes at the front of the order of requests to the origin that are
queried first, in the own region or in all regions: all processes query them."""

RECHECK_MS = 1_000.0
"""Minimum interval between two requests for digests that are doubted."""

PENDING_VERSIONS_MAX = 4
"""Maximum number of versions with pending requests of other processes: the
versions that were announced recently. Once it is reached, the next request
discards all pending ones."""

PENDING_NAMES_MAX = 2_048
"""Maximum number of processes with a pending request for one version; further
ones request it again after `POLL_MS`."""


class Origin(Protocol):
    """The origin of weights."""

    async def manifest(self, model: str, version: int) -> manifest.Manifest:
        """Returns the digests of a version's pieces.

        Raises:
          clients.PlatformError: the origin did not answer or refused.
        """
        ...

    async def piece(
        self, model: str, version: int, index: int, bytes_max: int
    ) -> bytes:
        """Returns a piece of at most `bytes_max`, not verified.

        Raises:
          clients.PlatformError: the origin did not answer or refused.
        """
        ...


class ModelVersion(msgspec.Struct, frozen=True):
    """One version of one model."""

    model: str
    version: int

    @property
    def name(self) -> str:
        """Name of the version in messages between processes, such as `m@7`."""
        return f"{self.model}@{self.version}"


def parse_name(name: str) -> ModelVersion | None:
    """Returns the version that a name denotes, None if the name is invalid."""
    model, _, version = name.rpartition("@")
    if not model or not version.isdecimal():
        return None
    return ModelVersion(model, int(version))


class VersionDigests:
    """Versions whose digests are known, with the pieces held of each.

    Attributes:
      origin: the origin, None while it is unknown.
      chunk_sets: pieces held, by name of the version.
    """

    def __init__(
        self,
        own: str,
        peers: Callable[[], Iterable[str]],
        send: Callable[[str, msgspec.Struct], bool],
        time: clock.Clock,
        rng: random.Random | None = None,
        relays: Callable[[], Iterable[str]] = tuple,
        *,
        near: Callable[[str], bool] | None = None,
    ) -> None:
        """Starts without digests.

        Args:
          own: name of this process.
          peers: function that returns the names of the other processes.
          send: sends a message to a process; returns whether a link took it.
          time: the clock.
          rng: random numbers that pick the processes to query.
          relays: function that returns the names of the relays.
          near: returns whether a process is in the own region. If it is given,
            the processes that request the digests from the origin first are
            queried first, see `_fetchers`; None to query random processes.
        """
        self._own = own
        self._peers = peers
        self._relays = relays
        self._near = near
        self._send = send
        self._clock = time
        self._rng = rng or random.Random()
        self._pending_requests: dict[str, set[str]] = {}
        self._sought: list[str] = []
        self._learned = asyncio.Event()
        self._recheck: asyncio.Task[None] | None = None
        self._rechecked_ms = float("-inf")
        self._asks_origin = False
        self.origin: Origin | None = None
        self.chunk_sets: collections.OrderedDict[str, manifest.ChunkSet] = (
            collections.OrderedDict()
        )

    async def find(
        self, wanted: ModelVersion, is_wanted: Callable[[], bool]
    ) -> manifest.ChunkSet | None:
        """Returns the pieces of a version once its digests are known.

        The digests come from the origin or from other processes. No process may
        have them any longer: the origin drops old versions.

        Args:
          wanted: the version.
          is_wanted: returns whether the version is still wanted; it is checked
            at least every `POLL_MS`.

        Returns:
          None once the version is not wanted any longer.
        """
        origin_schedule = origin_requests.OriginRequests(
            self._clock.now_ms(), self._rng
        )
        fetch: asyncio.Task[None] | None = None
        self._sought.append(wanted.name)
        try:
            self._send_requests(wanted, self._fetchers(wanted))
            while wanted.name not in self.chunk_sets:
                if not is_wanted():
                    logs.log("digests_not_wanted", name=wanted.name)
                    return None
                if self._near is None or origin_schedule.overdue(
                    self._clock.now_ms()
                ):
                    self._query_peers(wanted)
                if fetch is not None and fetch.done():
                    await fetch
                    fetch = None
                if fetch is None and self._is_due(wanted, origin_schedule):
                    fetch = asyncio.create_task(
                        self._fetch_manifest(wanted, origin_schedule)
                    )
                await self._wait_learned()
        finally:
            self._sought.remove(wanted.name)
            if fetch is not None:
                fetch.cancel()
        return self.chunk_sets[wanted.name]

    def on_request(self, name: str, request: messages.ManifestRequest) -> None:
        """Replies to a request for digests, at once or when they are known.

        Digests are not passed on while one of them is doubted.
        """
        known = self.chunk_sets.get(request.manifest)
        if known is not None and not known.doubted:
            self._send_manifest(name, request.manifest)
            return
        if len(self._pending_requests) >= PENDING_VERSIONS_MAX:
            self._pending_requests.clear()
        pending = self._pending_requests.setdefault(request.manifest, set())
        if len(pending) < PENDING_NAMES_MAX:
            pending.add(name)

    def on_reply(self, reply: messages.ManifestReply) -> None:
        """Adds the digests that another process sent, if they are sought.

        They also replace digests that are doubted. Digests that nobody waits
        for would be kept without a bound. A reply that is malformed or names
        another version is dropped, and the search goes on.
        """
        known = self.chunk_sets.get(reply.manifest)
        if known is None and reply.manifest not in self._sought:
            return
        if not reply.data or (known is not None and not known.doubted):
            return
        try:
            found = manifest.decode_unverified(reply.data)
        except manifest.ManifestError as error:
            logs.log("digests_refused", name=reply.manifest, detail=error)
            return
        found_name = f"{found.model}@{found.version}"
        if found_name != reply.manifest:
            logs.log("digests_refused", name=reply.manifest, detail=found_name)
            return
        if known is None:
            self._add_manifest(reply.manifest, found)
        else:
            self._replace_doubted(reply.manifest, found, confirms=False)

    def check_doubted(self, wanted: ModelVersion) -> None:
        """Requests the digests of a version anew while some are doubted.

        Other processes and the origin are queried in turn.
        """
        chunk_set = self.chunk_sets.get(wanted.name)
        if chunk_set is None:
            return
        if not chunk_set.doubted:
            self._answer_pending(wanted.name)
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._rechecked_ms < RECHECK_MS:
            return
        self._rechecked_ms = now_ms
        if self._asks_origin and self.origin is not None:
            self._recheck = asyncio.create_task(self._read_again(wanted))
        else:
            self._query_peers(wanted)
        self._asks_origin = not self._asks_origin

    async def _read_again(self, wanted: ModelVersion) -> None:
        if self.origin is None:
            return
        try:
            found = await self.origin.manifest(wanted.model, wanted.version)
        except clients.PlatformError as error:
            logs.log("manifest_unavailable", name=wanted.name, detail=error)
            return
        self._replace_doubted(wanted.name, found, confirms=True)

    def _replace_doubted(
        self, name: str, found: manifest.Manifest, *, confirms: bool
    ) -> None:
        chunk_set = self.chunk_sets.get(name)
        if chunk_set is None:
            return
        replaced = chunk_set.replace_doubted(found, confirms=confirms)
        if replaced:
            logs.log("digests_replaced", name=name, indexes=sorted(replaced))
        if not chunk_set.doubted:
            self._answer_pending(name)

    def _query_peers(self, wanted: ModelVersion) -> None:
        """Requests digests from some processes, which reply once they know."""
        relays = list(self._relays())
        count = RELAYS_QUERIED if relays else PEERS_QUERIED
        known = relays or list(self._peers())
        self._send_requests(
            wanted, self._rng.sample(known, min(count, len(known)))
        )

    def _send_requests(
        self, wanted: ModelVersion, names: Iterable[str]
    ) -> None:
        request = messages.ManifestRequest(manifest=wanted.name)
        for name in names:
            if name != self._own:
                self._send(name, request)

    def _fetch_order(self, wanted: ModelVersion) -> list[str]:
        """Returns the order in which processes query the origin."""
        return rendezvous.order(wanted.name, {self._own, *self._peers()})

    def _fetchers(self, wanted: ModelVersion) -> list[str]:
        """Returns the processes that are queried first.

        The first processes of each region query the first ones of all, and all
        others query the first ones of their region, so that digests cross into
        a region a few times and not once for each process.
        """
        if self._near is None:
            return []
        order = self._fetch_order(wanted)
        near = [name for name in order if self._near(name)]
        first = near[:FETCHERS_QUERIED]
        return order[:FETCHERS_QUERIED] if self._own in first else first

    def _is_due(
        self,
        wanted: ModelVersion,
        origin_schedule: origin_requests.OriginRequests,
    ) -> bool:
        if self.origin is None:
            return False
        rank = self._fetch_order(wanted).index(self._own)
        return origin_schedule.due(rank, self._clock.now_ms())

    async def _fetch_manifest(
        self,
        wanted: ModelVersion,
        origin_schedule: origin_requests.OriginRequests,
    ) -> None:
        if self.origin is None:
            return
        try:
            found = await self.origin.manifest(wanted.model, wanted.version)
        except clients.PlatformError as error:
            logs.log("manifest_unavailable", name=wanted.name, detail=error)
            agents = 1 + len(list(self._peers()))
            origin_schedule.record_failure(agents, self._clock.now_ms())
            return
        self._add_manifest(wanted.name, found)

    async def _wait_learned(self) -> None:
        self._learned.clear()
        try:
            async with asyncio.timeout(POLL_MS / clock.MILLIS_PER_SECOND):
                await self._learned.wait()
        except TimeoutError:
            pass

    def _add_manifest(self, name: str, found: manifest.Manifest) -> None:
        if name in self.chunk_sets:
            return
        chunk_set = manifest.ChunkSet(found, manifest.sha256_of)
        kept = sum(
            chunk_set.copy_common_chunks(other)
            for other in self.chunk_sets.values()
        )
        self.chunk_sets[name] = chunk_set
        self._learned.set()
        logs.log("manifest_known", name=name, pieces_kept=kept)
        self._answer_pending(name)

    def _answer_pending(self, name: str) -> None:
        for peer in self._pending_requests.pop(name, ()):
            self._send_manifest(peer, name)

    def _send_manifest(self, peer: str, name: str) -> None:
        data = manifest.encode(self.chunk_sets[name].manifest)
        self._send(peer, messages.ManifestReply(manifest=name, data=data))
