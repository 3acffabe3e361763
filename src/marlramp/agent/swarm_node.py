"""Fetches, verifies and shares weights with neighbouring agents.

All tasks and timers of a node share one event loop and change the state of the
swarm without awaiting in between, so the state needs no lock. Uploads and
downloads are paced to the part of the link that live requests leave over.
"""

from __future__ import annotations

import asyncio
import collections
from collections.abc import Callable
import random

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.agent import uploads
from marlramp.agent import weight_sources
from marlramp.core import rendezvous
from marlramp.core.membership import neighbours
from marlramp.core.weights import chunk_bitmap
from marlramp.core.weights import manifest
from marlramp.core.weights import pacing
from marlramp.core.weights import swarm
from marlramp.platform import clients
from marlramp.protocol import codec
from marlramp.protocol import messages
from marlramp.settings import schema
from marlramp.shell import links
from marlramp.shell import safely

TICK_MS = 40.0
ANNOUNCE_MS = 100.0
"""Shortest interval between announcements of newly held chunks."""

KEEPALIVE_MS = 500.0
"""Interval of announcements without new chunks, until the swarm is settled."""

PEER_TIMEOUT_MS = 2_000.0
"""A neighbour from which nothing arrives for longer is dropped, unless the
swarm is settled."""

MANIFEST_RETRY_MS = 400.0
MANIFEST_READERS = 2
"""Number of agents that read a manifest from the weight store at once; the
others request it from neighbours first."""

MANIFESTS_KEPT = 2
LIVE_MARGIN = 1.25
"""Live traffic reserves this multiple of its recent rate on the link."""

LINK_SHARE_MIN = 0.05
"""Part of the link that weights may always use, whatever the live rate is."""

BYTES_MAX = messages.MESSAGE_BYTES_MAX


def _policy(
    use: swarm.OriginUse, credits_per_peer: int
) -> Callable[[schema.Settings], swarm.SwarmPolicy]:
    def make(values: schema.Settings) -> swarm.SwarmPolicy:
        return swarm.SwarmPolicy(
            values.origin_copies_max,
            values.origin_takeover_ms,
            use,
            credits_per_peer,
        )

    return make


_POLICIES = {
    schema.Distribution.SWARM: _policy(swarm.OriginUse.RANKED, 1),
    schema.Distribution.STAR: _policy(swarm.OriginUse.EVERYONE, 1),
    schema.Distribution.CHAIN: _policy(swarm.OriginUse.ROOT, 4),
    schema.Distribution.TREE: _policy(swarm.OriginUse.ROOT, 4),
}


class _Channel:
    """Connection to one neighbour.

    Messages go through the connector if this agent connected to the neighbour,
    else through the listener to the routing id.
    """

    def __init__(
        self,
        connector: links.Connector | None,
        routing_id: bytes | None,
        heard_ms: float,
    ) -> None:
        self.connector = connector
        self.routing_id = routing_id
        self.heard_ms = heard_ms
        self.task: asyncio.Task[None] | None = None


class SwarmNode:
    """This agent's part in the swarm that distributes weights.

    Attributes:
      origin_bytes: bytes of chunks fetched from the origin or the store.
    """

    def __init__(
        self,
        vm_id: ids.VmId,
        link_id: links.LinkId,
        context: links.LinkContext,
        listener: links.Listener,
        sources: weight_sources.RatedSources,
        totals: counters.Counters,
        time: clock.Clock,
        link_bytes_per_s: float | None,
    ) -> None:
        """Creates a node without a target.

        Args:
          vm_id: this VM.
          link_id: identity towards neighbours.
          context: creates links.
          listener: accepts connections of neighbours.
          sources: origin and weight store.
          totals: counters.
          time: the clock.
          link_bytes_per_s: rate of this VM's link, None to use the settings.
        """
        self._vm_id = vm_id
        self._link_id = link_id
        self._context = context
        self._listener = listener
        self._sources = sources
        self._totals = totals
        self._clock = time
        defaults = schema.Settings()
        self._link_override_bytes_per_s = link_bytes_per_s
        self._link_bytes_per_s = float(
            link_bytes_per_s or defaults.link_bytes_per_s
        )
        self._share = defaults.weights_link_share
        self._down = pacing.Pacer(self._link_bytes_per_s)
        self._decoder = codec.peer_decoder()
        self._channels: dict[ids.VmId, _Channel] = {}
        self._chunk_sets: collections.OrderedDict[
            ids.Digest, manifest.ChunkSet
        ] = collections.OrderedDict()
        self._manifest_bytes: dict[ids.Digest, bytes] = {}
        self._target: ids.Digest | None = None
        self._members: dict[ids.VmId, clients.ListedVm] = {}
        self._neighbour_count = 8
        self._swarm: swarm.Swarm | None = None
        self._policy = swarm.SwarmPolicy(1.0, 2_000.0)
        self._distribution = schema.Distribution.SWARM
        self._uploads = uploads.Uploads(
            self.chunk_set, self._send, time, self._link_bytes_per_s
        )
        self._wake = asyncio.Event()
        self._background: set[asyncio.Task[None]] = set()
        self._complete = asyncio.Event()
        self._announced_ms = 0.0
        self.origin_bytes = 0

    @property
    def target(self) -> ids.Digest | None:
        """Digest of the manifest being fetched or held."""
        return self._target

    @property
    def sent_bytes(self) -> int:
        """Bytes of chunks sent to neighbours."""
        return self._uploads.sent_bytes

    def progress(self) -> tuple[int, int]:
        """Returns how many chunks of the target are held and exist."""
        chunk_set = self._chunk_sets.get(self._target or ids.Digest(""))
        if chunk_set is None:
            return 0, 0
        return len(chunk_set.held), len(chunk_set.manifest.chunks)

    def chunk_set(self, digest: ids.Digest) -> manifest.ChunkSet | None:
        """Returns the held chunks of a manifest, None if it is unknown."""
        return self._chunk_sets.get(digest)

    def set_policy(self, values: schema.Settings) -> None:
        """Applies the settings in force; a current fetch keeps its policy."""
        self._distribution = values.distribution
        self._policy = _POLICIES[values.distribution](values)
        self._neighbour_count = values.neighbours
        self._share = values.weights_link_share
        if self._link_override_bytes_per_s is None:
            self._link_bytes_per_s = values.link_bytes_per_s
        self.set_live_rate(0.0)

    def set_live_rate(self, live_bytes_per_s: float) -> None:
        """Paces chunks to the link rate that live traffic leaves over.

        The rate stays within the share of the settings and does not fall below
        `LINK_SHARE_MIN`.
        """
        left = self._link_bytes_per_s - LIVE_MARGIN * live_bytes_per_s
        floor = self._link_bytes_per_s * LINK_SHARE_MIN
        share = self._link_bytes_per_s * self._share
        self._set_rates(max(floor, min(share, left)))

    def set_members(self, members: dict[ids.VmId, clients.ListedVm]) -> None:
        """Sets the agents that fetch the same target as this one."""
        self._members = members
        if self._swarm is not None:
            self._swarm.set_members(list(members))
        if self._target is not None:
            self._connect_neighbours(self._target)

    async def fetch_manifest(self, digest: ids.Digest) -> manifest.Manifest:
        """Returns a verified manifest from a neighbour or the weight store.

        Retries until one of them provides it.
        """
        self._connect_neighbours(digest)
        attempt = 0
        while digest not in self._chunk_sets:
            if self._should_read_manifest(digest, attempt):
                await self._read_manifest(digest)
            else:
                request = messages.ManifestRequest(manifest=digest)
                for peer_id in list(self._channels):
                    self._send(peer_id, request)
            if digest not in self._chunk_sets:
                await asyncio.sleep(MANIFEST_RETRY_MS / 1000)
            attempt += 1
        return self._chunk_sets[digest].manifest

    async def fetch(self, digest: ids.Digest) -> manifest.ChunkSet:
        """Fetches every chunk of a manifest that has been fetched.

        A fetch of another manifest replaces the current one; chunks that both
        share are kept.
        """
        if self._target != digest:
            self._retarget(digest)
        await self._complete.wait()
        return self._chunk_sets[digest]

    async def run(self) -> None:
        """Serves neighbours and runs fetches until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive_all())
            group.create_task(self._uploads.run())
            group.create_task(self._run_ticks())

    def _set_rates(self, bytes_per_s: float) -> None:
        self._uploads.pacer.bytes_per_s = bytes_per_s
        self._down.bytes_per_s = bytes_per_s

    def _should_read_manifest(self, digest: ids.Digest, attempt: int) -> bool:
        members = [*self._members, self._vm_id]
        rank = rendezvous.order(digest, members).index(self._vm_id)
        return rank < MANIFEST_READERS or attempt > 2 * rank

    async def _read_manifest(self, digest: ids.Digest) -> None:
        try:
            data = await self._sources.manifest(digest)
        except clients.PlatformError as error:
            logs.log("manifest_unavailable", detail=error)
            return
        self._add_manifest(digest, data)

    def _add_manifest(self, digest: ids.Digest, data: bytes) -> None:
        if digest in self._chunk_sets:
            return
        try:
            parsed = manifest.decode(data, digest)
        except manifest.ManifestError as error:
            self._totals.add(counters.CounterName.CHUNKS_REJECTED, "manifest")
            logs.log("manifest_refused", manifest=digest, detail=error)
            return
        chunk_set = manifest.ChunkSet(parsed)
        kept = sum(
            chunk_set.copy_common_chunks(other)
            for other in self._chunk_sets.values()
        )
        self._chunk_sets[digest] = chunk_set
        self._manifest_bytes[digest] = data
        logs.log("manifest_known", manifest=digest, chunks_kept=kept)

    def _retarget(self, digest: ids.Digest) -> None:
        chunk_set = self._chunk_sets[digest]
        self._chunk_sets.move_to_end(digest)
        while len(self._chunk_sets) > MANIFESTS_KEPT:
            old, _ = self._chunk_sets.popitem(last=False)
            self._manifest_bytes.pop(old, None)
        self._target = digest
        self._complete.clear()
        self._swarm = swarm.Swarm(
            self._vm_id,
            chunk_set.manifest.chunks,
            chunk_set.held,
            self._policy,
            self._clock.now_ms(),
            random.Random(),
        )
        self._swarm.set_members(list(self._members))
        self._connect_neighbours(digest)
        for peer_id, channel in self._channels.items():
            channel.heard_ms = self._clock.now_ms()
            self._send_hello(peer_id, reply=True)
        if self._swarm.complete:
            self._complete.set()
        self._wake.set()

    def _connect_neighbours(self, digest: ids.Digest) -> None:
        data_centres = {
            vm_id: ids.DataCentreId(vm.data_centre)
            for vm_id, vm in self._members.items()
        }
        if self._vm_id not in data_centres:
            return
        for peer_id in self._choose_neighbours(digest, data_centres):
            if peer_id not in self._channels:
                self._connect(peer_id)

    def _choose_neighbours(
        self,
        digest: ids.Digest,
        data_centres: dict[ids.VmId, ids.DataCentreId],
    ) -> list[ids.VmId]:
        match self._distribution:
            case schema.Distribution.STAR:
                return []
            case schema.Distribution.CHAIN:
                return neighbours.choose_parent(self._vm_id, [*data_centres], 1)
            case schema.Distribution.TREE:
                return neighbours.choose_parent(self._vm_id, [*data_centres], 2)
            case schema.Distribution.SWARM:
                return neighbours.choose_neighbours(
                    self._vm_id, digest, data_centres, self._neighbour_count
                )

    def _connect(self, peer_id: ids.VmId) -> None:
        vm = self._members[peer_id]
        connector = links.Connector(
            self._context, self._link_id, vm.host, vm.port
        )
        channel = _Channel(connector, None, self._clock.now_ms())
        channel.task = asyncio.create_task(
            self._receive_from(peer_id, connector)
        )
        self._channels[peer_id] = channel
        self._send_hello(peer_id, reply=True)

    def _drop_channel(self, peer_id: ids.VmId) -> None:
        channel = self._channels.pop(peer_id)
        if self._swarm is not None:
            self._swarm.remove_peer(peer_id)
        if channel.task is not None:
            channel.task.cancel()
        if channel.connector is not None:
            channel.connector.close()

    async def _receive_from(
        self, peer_id: ids.VmId, connector: links.Connector
    ) -> None:
        while True:
            for data in await connector.receive():
                self._handle(peer_id, data)

    async def _receive_all(self) -> None:
        while True:
            for received in await self._listener.receive():
                self._on_received(received)

    def _on_received(self, received: links.Received) -> None:
        link_id = links.LinkId.decode(received.routing_id)
        if link_id is None:
            self._drop_message("identity")
            return
        peer_id = ids.VmId(link_id.vm_id)
        channel = self._channels.get(peer_id)
        if channel is None:
            channel = _Channel(None, None, self._clock.now_ms())
            self._channels[peer_id] = channel
        channel.routing_id = received.routing_id
        self._handle(peer_id, received.data)

    def _handle(self, peer_id: ids.VmId, data: bytes) -> None:
        safely.run_safely(
            lambda: self._handle_data(peer_id, data), "peer", self._totals
        )

    def _handle_data(self, peer_id: ids.VmId, data: bytes) -> None:
        try:
            message = self._decoder.decode(data)
        except codec.DecodeError as error:
            self._drop_message(error.reason)
            return
        channel = self._channels.get(peer_id)
        if channel is not None:
            channel.heard_ms = self._clock.now_ms()
        match message:
            case messages.PeerHello():
                self._on_hello(peer_id, message)
            case messages.PeerHave():
                self._on_have(peer_id, message)
            case messages.ChunkRequest():
                self._uploads.request(peer_id, message)
            case messages.ChunkReply():
                self._on_chunk_reply(peer_id, message)
            case messages.ChunkCancel():
                self._uploads.cancel(peer_id, message)
            case messages.ManifestRequest():
                digest = ids.Digest(message.manifest)
                data = self._manifest_bytes.get(digest, b"")
                reply = messages.ManifestReply(manifest=digest, data=data)
                self._send(peer_id, reply)
            case messages.ManifestReply():
                if message.data:
                    digest = ids.Digest(message.manifest)
                    self._add_manifest(digest, message.data)

    def _drop_message(self, reason: str) -> None:
        self._totals.add(counters.CounterName.MESSAGES_DROPPED, reason)

    def _current(self, digest: str) -> swarm.Swarm | None:
        return self._swarm if digest == self._target else None

    def _on_hello(self, peer_id: ids.VmId, hello: messages.PeerHello) -> None:
        current = self._current(hello.manifest)
        if current is not None:
            current.clear_holdings(peer_id)
            current.record_holdings(
                peer_id,
                chunk_bitmap.from_bitmap(hello.held),
                chunk_bitmap.from_bitmap(hello.seen),
            )
            self._wake.set()
        if hello.reply and current is not None:
            self._send_hello(peer_id, reply=False)

    def _on_have(self, peer_id: ids.VmId, have: messages.PeerHave) -> None:
        current = self._current(have.manifest)
        if current is not None:
            current.record_holdings(peer_id, have.indexes, have.seen)
            self._wake.set()

    def _on_chunk_reply(
        self, peer_id: ids.VmId, reply: messages.ChunkReply
    ) -> None:
        if reply.data is None:
            current = self._current(reply.manifest)
            if current is not None:
                now_ms = self._clock.now_ms()
                current.record_refusal(reply.index, peer_id, now_ms)
            return
        wait_ms = self._down.reserve(len(reply.data), self._clock.now_ms())
        asyncio.get_running_loop().call_later(
            wait_ms / clock.MILLIS_PER_SECOND,
            self._add_chunk,
            ids.Digest(reply.manifest),
            reply.index,
            reply.data,
            peer_id,
        )

    def _add_chunk(
        self,
        digest: ids.Digest,
        index: int,
        data: bytes,
        peer_id: ids.VmId | None,
    ) -> None:
        chunk_set = self._chunk_sets.get(digest)
        if chunk_set is None:
            return
        known = chunk_set.get(index) is not None
        valid = known or chunk_set.add(index, data)
        source = "origin" if peer_id is None else "peer"
        if valid:
            reason = "duplicate" if known else source
            self._totals.add(counters.CounterName.CHUNKS_RECEIVED, reason)
        else:
            self._totals.add(counters.CounterName.CHUNKS_REJECTED, source)
            logs.log("chunk_corrupt", index=index, source=peer_id or source)
        current = self._current(digest)
        if current is None:
            return
        now_ms = self._clock.now_ms()
        current.record_chunk(index, peer_id, valid=valid, now_ms=now_ms)
        if current.complete:
            self._complete.set()
        self._wake.set()

    async def _run_ticks(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_MS / 1000):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            safely.run_safely(self._tick, "swarm", self._totals)

    def _tick(self) -> None:
        self._announce()
        self._drop_silent_peers()
        self._run_actions()

    def _run_actions(self) -> None:
        if self._swarm is None or self._target is None:
            return
        for action in self._swarm.next_actions(self._clock.now_ms()):
            match action:
                case swarm.FetchFromPeer():
                    request = messages.ChunkRequest(
                        manifest=self._target, index=action.index
                    )
                    if not self._send(action.peer_id, request):
                        self._swarm.record_refusal(
                            action.index, action.peer_id, self._clock.now_ms()
                        )
                case swarm.CancelFetch():
                    self._send(
                        action.peer_id,
                        messages.ChunkCancel(
                            manifest=self._target, index=action.index
                        ),
                    )
                case swarm.FetchFromOrigin():
                    self._start_origin_fetch(self._target, action.index)

    def _start_origin_fetch(self, digest: ids.Digest, index: int) -> None:
        task = asyncio.create_task(self._fetch_origin_chunk(digest, index))
        self._background.add(task)
        task.add_done_callback(self._background.discard)

    async def _fetch_origin_chunk(self, digest: ids.Digest, index: int) -> None:
        chunk_digest = self._chunk_sets[digest].manifest.chunks[index]
        try:
            data = await self._sources.chunk(chunk_digest)
        except clients.PlatformError as error:
            logs.log("chunk_unavailable", index=index, detail=error)
            current = self._current(digest)
            if current is not None:
                current.record_origin_failure(
                    index, error.retry_after_ms, self._clock.now_ms()
                )
            return
        self.origin_bytes += len(data)
        self._add_chunk(digest, index, data, None)

    def _announce(self) -> None:
        if self._swarm is None or self._target is None:
            return
        now_ms = self._clock.now_ms()
        if now_ms - self._announced_ms < ANNOUNCE_MS:
            return
        held, seen = self._swarm.drain_updates()
        quiet = not held and not seen
        since_ms = now_ms - self._announced_ms
        if quiet and (since_ms < KEEPALIVE_MS or self._swarm.settled):
            return
        self._announced_ms = now_ms
        have = messages.PeerHave(manifest=self._target, indexes=held, seen=seen)
        data = codec.encode(have)
        for peer_id in list(self._channels):
            self._send_bytes(peer_id, data)

    def _drop_silent_peers(self) -> None:
        if self._swarm is None or self._swarm.settled:
            return
        horizon_ms = self._clock.now_ms() - PEER_TIMEOUT_MS
        for peer_id, channel in list(self._channels.items()):
            if channel.heard_ms < horizon_ms:
                self._drop_channel(peer_id)
                if self._target is not None and not self._swarm.complete:
                    self._connect_neighbours(self._target)

    def _send_hello(self, peer_id: ids.VmId, *, reply: bool) -> None:
        if self._target is None or self._swarm is None:
            return
        hello = messages.PeerHello(
            vm_id=self._vm_id,
            manifest=self._target,
            held=chunk_bitmap.to_bitmap(self._swarm.held),
            seen=chunk_bitmap.to_bitmap(self._swarm.seen),
            reply=reply,
        )
        self._send(peer_id, hello)

    def _send(self, peer_id: ids.VmId, message: messages.FromPeer) -> bool:
        return self._send_bytes(peer_id, codec.encode(message))

    def _send_bytes(self, peer_id: ids.VmId, data: bytes) -> bool:
        channel = self._channels.get(peer_id)
        if channel is None:
            return False
        if channel.connector is not None:
            return channel.connector.send(data)
        if channel.routing_id is None:
            return False
        return self._listener.send(channel.routing_id, data)
