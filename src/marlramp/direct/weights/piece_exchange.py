"""Fetches the pieces of weights and shares them between agents.

`core.weights.swarm` decides from where each piece is fetched. Pieces are
transferred in fragments, each of which the receiver requests: a complete piece
at once would occupy the link of a VM for 70 ms and delay the events of live
requests.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import ids
from marlramp import logs
from marlramp.core.membership import members
from marlramp.core.membership import neighbours
from marlramp.core.weights import chunk_bitmap
from marlramp.core.weights import manifest
from marlramp.core.weights import swarm
from marlramp.direct.weights import check_loop
from marlramp.direct.weights import origin_fetches
from marlramp.direct.weights import piece_downloads
from marlramp.direct.weights import piece_policy
from marlramp.direct.weights import piece_uploads
from marlramp.direct.weights import relay_contacts
from marlramp.direct.weights import stall_monitor
from marlramp.direct.weights import version_digests
from marlramp.protocol import codec
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

LINK_SHARE = 0.92
"""Fraction of the incoming link that pieces may use. Live requests need about
3 % and headers as much; on an overloaded link each request is delayed by
everything that queues there."""

UPLINK_SHARE = 0.88
"""Fraction of the outgoing link that pieces may use; events of live streams
leave on this link too. The links of the receivers are the bottleneck, so that
this limit delays no piece."""

TICK_MS = 25.0
"""Interval between checks for pieces to fetch, announce or cancel while pieces
are missing here or at a neighbour."""

IDLE_TICK_MS = 250.0
"""Interval between checks while no piece is missing; a message ends the wait at
once. Checks every 25 ms cost an idle agent a sixth of its processor time."""

ANNOUNCE_MS = 70.0
"""Minimum time between announcements. Each lists all pieces added since the
previous one."""

KEEPALIVE_MS = 500.0
"""Time without an announcement after which an empty one is sent, while pieces
are missing here or at a neighbour."""

PEER_TIMEOUT_MS = 2_000.0
"""Time without a message after which a neighbour is removed from the swarm."""

NEIGHBOURS_FIRST_MS = 800.0
"""Time for which a starting agent fetches a version that was announced earlier
only from its neighbours: they hold it, unless all agents are new."""

NEIGHBOURS = 16
"""Agents that each agent is linked to, including links that the other side
opened."""

CHUNK_SETS_KEPT = 2
"""Versions whose pieces are kept."""

_MS = clock.MILLIS_PER_SECOND


class PeerLinks(relay_contacts.Links, Protocol):
    """Links that carry messages to other agents."""

    def open(self, name: str, host: str, port: int) -> bool:
        """Opens a link under a name; returns False if it is open already."""
        ...

    def close(self, name: str) -> None:
        """Closes a link that this process opened."""
        ...

    def send_encoded(self, name: str, message: codec.Encoded) -> bool:
        """Sends an encoded message; returns whether a link took it."""
        ...


class PieceExchange:
    """Exchanges pieces of weights with other agents, relays and the origin."""

    def __init__(
        self,
        own: members.Member,
        link_bytes_per_s: float,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Starts without pieces; fetches after `start_fetch` was called.

        Args:
          own: this agent.
          link_bytes_per_s: rate of the VM's link in each direction.
          totals: counters.
          time: the clock.
          rng: random numbers that break ties; seeded ones make runs repeatable.
        """
        self._own = own
        self._totals = totals
        self._clock = time
        self._rng = rng or random.Random()
        self._link_bytes_per_s = link_bytes_per_s
        up_rate = link_bytes_per_s * UPLINK_SHARE
        self._links: PeerLinks | None = None
        self._relays = relay_contacts.RelayContacts(
            lambda name, reply: self._send_hello(name, reply=reply), time
        )
        self._digests = version_digests.VersionDigests(
            own.vm_id,
            lambda: self._peers,
            self._send,
            time,
            self._rng,
            lambda: self._relays.names,
        )
        self._chunk_sets = self._digests.chunk_sets
        self._wanted: version_digests.ModelVersion | None = None
        self._linked_version: version_digests.ModelVersion | None = None
        self._swarm: swarm.Swarm | None = None
        self._peers: dict[str, members.Member] = {}
        self._region_peers: set[str] = set()
        self._last_message_ms: dict[str, float] = {}
        self._downloads = piece_downloads.PieceDownloads(
            self._send, link_bytes_per_s * LINK_SHARE, time
        )
        self._uploads = piece_uploads.PieceUploads(
            self._chunk_sets, self._send, up_rate, time
        )
        self._wake = asyncio.Event()
        self.changed = asyncio.Event()
        self._origin_fetches = origin_fetches.OriginFetches(
            self._on_fetched, self._on_fetch_failed, time
        )
        self._stall_monitor = stall_monitor.StallMonitor(time)
        self._announced_ms = 0.0

    def attach(self, links: PeerLinks) -> None:
        """Sets the links to other agents."""
        self._links = links

    def attach_relays(self, links: relay_contacts.Links) -> None:
        """Sets the links to the entries that relay pieces."""
        self._relays.attach(links)

    def set_relays(self, names: Iterable[str]) -> None:
        """Sets the nearby entries that relay pieces."""
        self._relays.set_names(names)
        self._wake.set()

    def set_origin(self, origin: version_digests.Origin | None) -> None:
        """Sets the origin to fetch from, None while it is unknown."""
        self._digests.origin = origin
        self._origin_fetches.origin = origin

    def set_peers(
        self, peers: dict[str, members.Member], near: set[str]
    ) -> None:
        """Sets the other agents.

        Args:
          peers: the other agents, by name.
          near: names of those in this region.
        """
        if peers == self._peers and near == self._region_peers:
            return
        self._peers = peers
        self._region_peers = near
        self._link_peers()
        self._update_swarm_members()

    def chunk_set(
        self, wanted: version_digests.ModelVersion
    ) -> manifest.ChunkSet | None:
        """Returns the pieces held of a version.

        Returns:
          None if the digests of the version are unknown.
        """
        return self._chunk_sets.get(wanted.name)

    def completes_in_ms(
        self, wanted: version_digests.ModelVersion
    ) -> float | None:
        """Returns the least time until all pieces of a version are held.

        Returns:
          The time in ms, None if the digests are unknown or no piece arrives.
        """
        chunk_set = self._chunk_sets.get(wanted.name)
        if chunk_set is None:
            return None
        if chunk_set.complete:
            return 0.0
        current = self._swarm_of(wanted.name)
        if current is None or current.is_stalled(self._clock.now_ms()):
            return None
        left_bytes = chunk_set.manifest.chunk_bytes * len(current.missing())
        return left_bytes / self._link_bytes_per_s * _MS

    def add(
        self, wanted: version_digests.ModelVersion, index: int, data: bytes
    ) -> bool:
        """Adds a piece that was found on this VM.

        Returns:
          Whether the digest of the piece matches.
        """
        chunk_set = self._chunk_sets.get(wanted.name)
        if chunk_set is None or not chunk_set.add(index, data):
            return False
        current = self._swarm_of(wanted.name)
        if current is not None:
            now_ms = self._clock.now_ms()
            current.record_chunk(index, None, valid=True, now_ms=now_ms)
            self._wake.set()
        return True

    async def find_manifest(
        self,
        wanted: version_digests.ModelVersion,
        is_wanted: Callable[[], bool],
    ) -> manifest.ChunkSet | None:
        """Returns the pieces of a version once its digests are known.

        The digests come from the origin or from other agents.

        Args:
          wanted: the version.
          is_wanted: returns whether the version is still wanted.

        Returns:
          None once the version is not wanted any longer.
        """
        # The links are opened first: without them all agents of a fleet could
        # learn the digests only from the origin, and request them at once.
        self._linked_version = wanted
        self._link_peers()
        return await self._digests.find(wanted, is_wanted)

    def start_fetch(
        self, wanted: version_digests.ModelVersion, *, is_new: bool
    ) -> None:
        """Starts to fetch a version whose digests are known.

        Args:
          wanted: the version.
          is_new: whether it was announced just now, so that no agent holds it.
        """
        if wanted == self._wanted:
            return
        chunk_set = self._chunk_sets[wanted.name]
        self._chunk_sets.move_to_end(wanted.name)
        while len(self._chunk_sets) > CHUNK_SETS_KEPT:
            self._chunk_sets.popitem(last=False)
        self._wanted = wanted
        self._downloads.set_version(
            piece_downloads.Version(wanted.name, chunk_set.manifest.chunk_size)
        )
        self._swarm = swarm.Swarm(
            ids.VmId(self._own.vm_id),
            chunk_set.manifest.chunks,
            chunk_set.held,
            piece_policy.POLICY,
            self._clock.now_ms(),
            self._rng,
            0.0 if is_new else NEIGHBOURS_FIRST_MS,
        )
        self._update_swarm_members()
        self._linked_version = wanted
        self._link_peers()
        for name in self._peers:
            self._send_hello(name, reply=True)
        self._relays.restart()
        self._wake.set()

    async def run(self) -> None:
        """Serves neighbours and fetches pieces until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._uploads.run())
            group.create_task(self._run_checks())

    def on_message(
        self, name: str, message: fleet_messages.FromAgentPeer
    ) -> None:
        """Handles a message of another agent or of a relay."""
        self._last_message_ms[name] = self._clock.now_ms()
        self._relays.record_message(name)
        match message:
            case messages.PeerHello():
                self._on_hello(name, message)
            case messages.PeerHave():
                current = self._swarm_of(message.manifest)
                if current is not None:
                    peer = ids.VmId(name)
                    current.record_holdings(peer, message.indexes, message.seen)
                    self._wake.set()
            case fleet_messages.FragmentRequest():
                self._uploads.handle_request(name, message)
            case fleet_messages.FragmentReply():
                self._on_fragment(name, message)
            case messages.ManifestRequest():
                self._digests.on_request(name, message)
            case messages.ManifestReply():
                self._digests.on_reply(message)

    # Neighbours.

    def _link_peers(self) -> None:
        wanted = self._linked_version
        if self._links is None or wanted is None:
            return
        data_centres = {
            ids.VmId(name): ids.DataCentreId(peer.data_centre)
            for name, peer in self._peers.items()
        }
        own = ids.VmId(self._own.vm_id)
        data_centres[own] = ids.DataCentreId(self._own.data_centre)
        chosen = neighbours.choose_neighbours(
            own, ids.Digest(wanted.name), data_centres, NEIGHBOURS
        )
        for name in chosen:
            peer = self._peers[name]
            if self._links.open(name, peer.host, peer.port):
                self._last_message_ms[name] = self._clock.now_ms()
                self._send_hello(name, reply=True)

    def _update_swarm_members(self) -> None:
        if self._swarm is None:
            return
        self._swarm.set_members([ids.VmId(name) for name in self._peers])
        self._swarm.set_region_members(
            [ids.VmId(name) for name in self._region_peers]
        )

    def _on_hello(self, name: str, hello: messages.PeerHello) -> None:
        current = self._swarm_of(hello.manifest)
        if current is not None:
            peer = ids.VmId(name)
            current.clear_holdings(peer)
            current.record_holdings(
                peer,
                chunk_bitmap.from_bitmap(hello.held),
                chunk_bitmap.from_bitmap(hello.seen),
            )
            self._wake.set()
        if hello.reply:
            self._send_hello(name, reply=False, about=hello.manifest)

    def _send_hello(self, name: str, *, reply: bool, about: str = "") -> None:
        """Sends the pieces held and seen of a version if its digests are known.

        Args:
          name: the receiver.
          reply: whether the receiver is to reply.
          about: name of the version; if empty, the version that is fetched.
        """
        manifest_name = about
        if not manifest_name and self._wanted is not None:
            manifest_name = self._wanted.name
        chunk_set = self._chunk_sets.get(manifest_name)
        if chunk_set is None:
            return
        current = self._swarm_of(manifest_name)
        seen = chunk_set.held if current is None else current.seen
        hello = messages.PeerHello(
            vm_id=self._own.vm_id,
            manifest=manifest_name,
            held=chunk_bitmap.to_bitmap(chunk_set.held),
            seen=chunk_bitmap.to_bitmap(seen),
            reply=reply,
        )
        self._send(name, hello)

    # Received pieces.

    def _on_fragment(
        self, name: str, reply: fleet_messages.FragmentReply
    ) -> None:
        current = self._swarm_of(reply.manifest)
        if current is None or not self._downloads.expects(name, reply):
            return
        if reply.data is None:
            self._downloads.cancel(reply.index)
            now_ms = self._clock.now_ms()
            current.record_refusal(reply.index, ids.VmId(name), now_ms)
            return
        data = self._downloads.add_fragment(reply)
        if data is not None:
            self._add_piece(reply.manifest, reply.index, data, name)

    def _add_piece(
        self, name: str, index: int, data: bytes, peer: str | None
    ) -> None:
        chunk_set = self._chunk_sets.get(name)
        if chunk_set is None:
            return
        known = chunk_set.get(index) is not None
        valid = known or chunk_set.add(index, data)
        source = "origin" if peer is None else "peer"
        if valid:
            reason = "duplicate" if known else source
            self._totals.add(counters.CounterName.CHUNKS_RECEIVED, reason)
        else:
            self._totals.add(counters.CounterName.CHUNKS_REJECTED, source)
            logs.log("piece_corrupt", index=index, source=peer or source)
        current = self._swarm_of(name)
        if current is not None:
            sender = None if peer is None else ids.VmId(peer)
            now_ms = self._clock.now_ms()
            current.record_chunk(index, sender, valid=valid, now_ms=now_ms)
            if current.complete and valid and not known:
                logs.log("pieces_complete", name=name)
        self.changed.set()
        self._wake.set()

    # Regular checks.

    async def _run_checks(self) -> None:
        await check_loop.run(
            self._wake,
            lambda: self._wait_ms,
            self._tick,
            "swarm",
            self._totals,
        )

    @property
    def _wait_ms(self) -> float:
        """Time to the next check, unless a message ends the wait."""
        missing = self._swarm is not None and not self._swarm.settled
        return TICK_MS if missing else IDLE_TICK_MS

    def _tick(self) -> None:
        self._forget_strangers()
        if self._swarm is None or self._wanted is None:
            return
        self._digests.check_doubted(self._wanted)
        self._announce(self._swarm, self._wanted)
        self._relays.tick(self._swarm)
        self._drop_silent(self._swarm)
        self._stall_monitor.check(self._swarm)
        for action in self._swarm.next_actions(self._clock.now_ms()):
            match action:
                case swarm.FetchFromPeer():
                    self._downloads.start(action.index, action.peer_id)
                case swarm.CancelFetch():
                    self._downloads.cancel(action.index)
                case swarm.FetchFromOrigin():
                    digests = self._chunk_sets[self._wanted.name].manifest
                    self._origin_fetches.start(
                        self._wanted, action.index, digests.chunk_bytes
                    )

    def _on_fetched(
        self, wanted: version_digests.ModelVersion, index: int, data: bytes
    ) -> None:
        self._add_piece(wanted.name, index, data, None)

    def _on_fetch_failed(
        self,
        wanted: version_digests.ModelVersion,
        index: int,
        retry_after_ms: float,
    ) -> None:
        current = self._swarm_of(wanted.name)
        if current is not None:
            now_ms = self._clock.now_ms()
            current.record_origin_failure(index, retry_after_ms, now_ms)

    def _announce(
        self, current: swarm.Swarm, wanted: version_digests.ModelVersion
    ) -> None:
        now_ms = self._clock.now_ms()
        since_ms = now_ms - self._announced_ms
        if since_ms < ANNOUNCE_MS:
            return
        held, seen = current.drain_updates()
        quiet = not held and not seen
        if quiet and (since_ms < KEEPALIVE_MS or current.settled):
            return
        self._announced_ms = now_ms
        have = messages.PeerHave(manifest=wanted.name, indexes=held, seen=seen)
        encoded = codec.encode_once(have)
        for name in self._peers:
            if self._links is not None:
                self._links.send_encoded(name, encoded)

    def _drop_silent(self, current: swarm.Swarm) -> None:
        if current.settled:
            return
        horizon_ms = self._clock.now_ms() - PEER_TIMEOUT_MS
        for name in current.peer_ids:
            if self._last_message_ms.get(name, 0.0) < horizon_ms:
                current.remove_peer(name)
                self._downloads.drop_peer(name)

    def _forget_strangers(self) -> None:
        """Removes silent processes that are neither peers nor relays.

        A peer whose engine is silent is none for a while, but sends its pieces.
        """
        horizon_ms = self._clock.now_ms() - PEER_TIMEOUT_MS
        known = self._peers.keys() | self._relays.names
        for name, heard_ms in list(self._last_message_ms.items()):
            if name in known or heard_ms >= horizon_ms:
                continue
            del self._last_message_ms[name]
            if self._links is not None:
                self._links.close(name)
            if self._swarm is not None:
                self._swarm.remove_peer(ids.VmId(name))
                self._downloads.drop_peer(name)

    def _swarm_of(self, name: str) -> swarm.Swarm | None:
        wanted = self._wanted is not None and name == self._wanted.name
        return self._swarm if wanted else None

    def _send(self, name: str, message: msgspec.Struct) -> bool:
        if name in self._relays.names:
            return self._relays.send(name, message)
        return self._links is not None and self._links.send(name, message)
