"""Relays pieces of weights: an entry holds pieces for the agents near it.

`core.weights.relay_assignment` decides which pieces an entry holds,
`core.weights.relay_fetch` when and from which source they are fetched. Every
piece is verified before it is passed on. The classes of `core.weights.manifest`
and the counters call a piece a chunk; the field `manifest` of messages holds
the name of a version.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core.weights import chunk_bitmap
from marlramp.core.weights import relay_assignment
from marlramp.core.weights import relay_fetch
from marlramp.direct.weights import check_loop
from marlramp.direct.weights import origin_fetches
from marlramp.direct.weights import piece_downloads
from marlramp.direct.weights import piece_uploads
from marlramp.direct.weights import version_digests
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

LINK_SHARE = 0.8
"""Fraction of an entry's link that pieces may use. All agents of the cell
request the first pieces at once and use up this fraction; live requests use a
tenth of the link."""

TICK_MS = 20.0
"""Interval between checks for pieces to fetch and announce while pieces are
missing."""

IDLE_TICK_MS = 500.0
"""Interval between checks while no piece is missing; a message ends the wait at
once."""

HELLO_MS = 1_000.0
"""Interval between hello messages to the entries that are assigned the same
pieces, while assigned pieces are missing. The replies replace lost
announcements."""

DEMAND_MAX_AGE_MS = 2_000.0
"""Time after the last request of an agent that lacks pieces during which a
version that is not the newest may be fetched from the origin, and time after
the last request for its digests during which they are sought. It is about three
times `relay_contacts.HELLO_MS`, the interval between an agent's requests."""

VERSIONS_KEPT = 3
"""Maximum number of versions of all models whose pieces are held, enough for
the version in force and the next two of one model."""

PROCESSES_MAX = 2_048
"""Maximum number of processes of which a version's holdings are kept; beyond it
the one that was heard least recently is dropped."""


class EntryState(Protocol):
    """What the relay queries from the entry that it belongs to."""

    def locations(self) -> Mapping[str, relay_assignment.Location]:
        """Returns the locations, by name, of the entries that relay pieces.

        This entry is among them, unless it is leaving.
        """
        ...

    def wanted(self) -> Sequence[version_digests.ModelVersion]:
        """Returns the newest version of each model."""
        ...

    def piece_ms(self) -> float:
        """Returns the time in ms that the origin takes to send one piece."""
        ...

    def origin_connections(self) -> int:
        """Returns the number of connections that the origin accepts."""
        ...

    def age_ms(self, wanted: version_digests.ModelVersion) -> float | None:
        """Returns the least time in ms since a version was announced.

        It is None if the version is not announced or the time is unknown.
        """
        ...

    def send_piece_message(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message to an entry or agent.

        A link to an entry is opened if there is none.

        Returns:
          Whether a link accepted the message.
        """
        ...


class _Version:
    """State of one version whose pieces are held.

    Attributes:
      wanted: the version.
      downloads: downloads from other processes.
      fetch: state of the fetches, None before the digests are known.
      pieces: number of pieces, 0 before the digests are known.
      processes: processes that sent what they hold, the last heard last.
      subscribers: those that receive announcements of new pieces.
      unannounced: pieces that were added since the last announcement.
      start_task: task that finds the digests and then starts the fetches.
      hello_sent_ms: time of the last hello messages to the other entries.
      demand_ms: time of the last request of an agent that lacks pieces.
      digests_demand_ms: time of the last sign that the digests are of use: an
        agent's request for them, or a hello of any process, which knows them.
      seen: pieces that some process is known to hold.
    """

    def __init__(
        self,
        wanted: version_digests.ModelVersion,
        downloads: piece_downloads.PieceDownloads,
    ) -> None:
        self.wanted = wanted
        self.downloads = downloads
        self.fetch: relay_fetch.RelayFetch | None = None
        self.pieces = 0
        self.processes: dict[str, None] = {}
        self.subscribers: set[str] = set()
        self.unannounced: list[int] = []
        self.start_task: asyncio.Task[None] | None = None
        self.hello_sent_ms = float("-inf")
        self.demand_ms = float("-inf")
        self.digests_demand_ms = float("-inf")
        self.seen: set[int] = set()

    def record_holdings(
        self,
        name: str,
        held: Collection[int],
        seen: Collection[int],
        now_ms: clock.Millis,
    ) -> None:
        """Records pieces that a process holds or has seen elsewhere."""
        self.seen.update(held, seen)
        self.processes.pop(name, None)
        self.processes[name] = None
        if self.fetch is not None:
            listed = [index for index in held if index < self.pieces]
            self.fetch.record_holdings(name, listed, now_ms)
        if len(self.processes) > PROCESSES_MAX:
            dropped = next(iter(self.processes))
            del self.processes[dropped]
            self.subscribers.discard(dropped)
            if self.fetch is not None:
                self.fetch.remove_peer(dropped)


class PieceRelay:
    """Fetches the pieces that are assigned to this entry, and serves them."""

    def __init__(
        self,
        own: str,
        entry: EntryState,
        link_bytes_per_s: float,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Starts without pieces.

        Args:
          own: name of this entry.
          entry: the entry that the relay belongs to.
          link_bytes_per_s: rate of the VM's link.
          totals: counters.
          time: the clock.
          rng: random numbers that pick the processes to request digests from;
            seeded ones make runs repeatable.
        """
        self._own = own
        self._entry = entry
        self._rate = link_bytes_per_s * LINK_SHARE
        self._totals = totals
        self._clock = time
        self._send = entry.send_piece_message
        self._digests = version_digests.VersionDigests(
            own, self._others, self._send, time, rng, near=self._is_near
        )
        self._chunk_sets = self._digests.chunk_sets
        self._uploads = piece_uploads.PieceUploads(
            self._chunk_sets, self._send, self._rate, time
        )
        self._origin_fetches = origin_fetches.OriginFetches(
            self._on_fetched, self._on_fetch_failed, time
        )
        self._versions: dict[str, _Version] = {}
        self._locations: Mapping[str, relay_assignment.Location] = {}
        self._newest: dict[str, version_digests.ModelVersion] = {}
        self._wake = asyncio.Event()

    def set_origin(self, origin: version_digests.Origin | None) -> None:
        """Sets the origin to fetch from, None while it is unknown."""
        self._digests.origin = origin
        self._origin_fetches.origin = origin

    def wake(self) -> None:
        """Checks the announced versions and the relaying entries at once."""
        self._wake.set()

    async def run(self) -> None:
        """Fetches and serves pieces until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._uploads.run())
            group.create_task(self._run_checks())

    def on_message(
        self, name: str, message: fleet_messages.FromAgentPeer
    ) -> None:
        """Handles a message about weights from an agent or another entry."""
        match message:
            case messages.PeerHello():
                self._on_hello(name, message)
            case messages.PeerHave():
                self._on_have(name, message)
            case fleet_messages.FragmentRequest():
                self._uploads.handle_request(name, message)
            case fleet_messages.FragmentReply():
                self._on_fragment(name, message)
            case messages.ManifestRequest():
                self._on_digest_request(name, message)
            case messages.ManifestReply():
                self._digests.on_reply(message)
        self._wake.set()

    # Versions.

    def _others(self) -> list[str]:
        return [name for name in self._locations if name != self._own]

    def _is_near(self, name: str) -> bool:
        own = self._locations.get(self._own)
        other = self._locations.get(name)
        return name == self._own or (
            own is not None and other is not None and own.region == other.region
        )

    def _add_newest(self) -> None:
        newest = self._entry.wanted()
        self._newest = {wanted.model: wanted for wanted in newest}
        for wanted in newest:
            self._add_version(wanted)

    def _is_newest(self, wanted: version_digests.ModelVersion) -> bool:
        return self._newest.get(wanted.model) == wanted

    def _may_use_origin(self, version: _Version) -> bool:
        """Returns whether a version may be fetched from the origin.

        The newest version may, and a version that an agent requested within
        `DEMAND_MAX_AGE_MS`.
        """
        if self._is_newest(version.wanted):
            return True
        return self._clock.now_ms() - version.demand_ms < DEMAND_MAX_AGE_MS

    def _needs_digests(self, version: _Version) -> bool:
        """Returns whether the digests of a version are still of use."""
        age_ms = self._clock.now_ms() - version.digests_demand_ms
        is_announced = version.wanted in self._entry.wanted()
        return is_announced or age_ms < DEMAND_MAX_AGE_MS

    def _add_version(self, wanted: version_digests.ModelVersion) -> _Version:
        """Returns the state of a version; adds the version if it is new.

        If more than `VERSIONS_KEPT` versions are then held, others are dropped.
        """
        version = self._versions.get(wanted.name)
        if version is not None:
            return version
        downloads = piece_downloads.PieceDownloads(
            self._send, self._rate, self._clock
        )
        version = _Version(wanted, downloads)
        self._versions[wanted.name] = version
        version.start_task = asyncio.create_task(self._start_fetch(version))
        while len(self._versions) > VERSIONS_KEPT:
            self._drop(self._version_to_drop())
        return version

    def _version_to_drop(self) -> str:
        """Returns the name of the version to drop.

        It is the version that was added first among those that are not the
        newest of their model, or among all versions if there are none.
        """
        for name, version in self._versions.items():
            if not self._is_newest(version.wanted):
                return name
        return next(iter(self._versions))

    def _drop(self, name: str) -> None:
        version = self._versions.pop(name)
        if version.start_task is not None:
            version.start_task.cancel()
        self._chunk_sets.pop(name, None)

    async def _start_fetch(self, version: _Version) -> None:
        """Finds the digests of a version, then starts to fetch its pieces.

        A version that is not wanted any longer before its digests are known is
        dropped; a later request of an agent adds it again.
        """
        chunk_set = await self._digests.find(
            version.wanted, lambda: self._needs_digests(version)
        )
        if chunk_set is None:
            self._versions.pop(version.wanted.name, None)
            return
        pieces = chunk_set.manifest.chunks
        version.pieces = len(pieces)
        version.downloads.set_version(
            piece_downloads.Version(
                version.wanted.name, chunk_set.manifest.chunk_size
            )
        )
        version.fetch = relay_fetch.RelayFetch(
            self._entry.piece_ms(),
            self._entry.origin_connections(),
            self._entry.age_ms(version.wanted),
            self._clock.now_ms(),
        )
        version.fetch.set_assignments(
            relay_assignment.assignments(self._own, self._locations, pieces),
            len(self._locations),
        )
        for index in chunk_set.held:
            version.fetch.record_held(index, self._clock.now_ms())
        version.unannounced.extend(sorted(chunk_set.held))
        if version.demand_ms > float("-inf"):
            version.fetch.record_demand(self._clock.now_ms())
        self._wake.set()

    # Other processes.

    def _update_locations(self) -> None:
        """Updates the locations of entries and the assignments that follow.

        An entry that leaves keeps its own assignments until it stops: it
        passes on the pieces that are still in flight to it, and meanwhile they
        are assigned to other entries too.
        """
        locations = self._entry.locations()
        if locations == self._locations or self._own not in locations:
            return
        gone = self._locations.keys() - locations.keys()
        self._locations = locations
        for version in self._versions.values():
            chunk_set = self._chunk_sets.get(version.wanted.name)
            if version.fetch is None or chunk_set is None:
                continue
            for name in gone:
                version.fetch.remove_peer(name)
            version.fetch.set_assignments(
                relay_assignment.assignments(
                    self._own, locations, chunk_set.manifest.chunks
                ),
                len(locations),
            )
            version.hello_sent_ms = float("-inf")

    def _request_holdings(self, version: _Version) -> None:
        """Requests the holdings of entries with the same assigned pieces."""
        now_ms = self._clock.now_ms()
        if version.fetch is None or version.fetch.complete:
            return
        if now_ms - version.hello_sent_ms < HELLO_MS:
            return
        version.hello_sent_ms = now_ms
        hello = self._hello(version.wanted.name, reply=True)
        for name in sorted(version.fetch.sources):
            self._send(name, hello)

    def _on_hello(self, name: str, hello: messages.PeerHello) -> None:
        version = self._versions.get(hello.manifest)
        if version is None:
            # An agent may lack a version that is not the newest, or another
            # entry may have learned of a newer version first.
            self._add_newest()
            wanted = version_digests.parse_name(hello.manifest)
            if wanted is None or wanted.model not in self._newest:
                return
            version = self._add_version(wanted)
        now_ms = self._clock.now_ms()
        held = chunk_bitmap.from_bitmap(hello.held)
        seen = chunk_bitmap.from_bitmap(hello.seen)
        version.digests_demand_ms = now_ms
        version.record_holdings(name, held, seen, now_ms)
        if not hello.reply:
            return
        version.subscribers.add(name)
        if name not in self._locations:
            version.demand_ms = now_ms
            if version.fetch is not None:
                version.fetch.record_demand(now_ms)
        self._send(name, self._hello(hello.manifest, reply=False))

    def _on_digest_request(
        self, name: str, request: messages.ManifestRequest
    ) -> None:
        version = self._versions.get(request.manifest)
        if version is not None and name not in self._locations:
            version.digests_demand_ms = self._clock.now_ms()
        self._digests.on_request(name, request)

    def _on_have(self, name: str, have: messages.PeerHave) -> None:
        version = self._versions.get(have.manifest)
        if version is None or version.fetch is None:
            return
        version.record_holdings(
            name, have.indexes, have.seen, self._clock.now_ms()
        )

    def _hello(self, name: str, *, reply: bool) -> messages.PeerHello:
        chunk_set = self._chunk_sets.get(name)
        held = (
            b"" if chunk_set is None else chunk_bitmap.to_bitmap(chunk_set.held)
        )
        return messages.PeerHello(
            vm_id=self._own, manifest=name, held=held, seen=held, reply=reply
        )

    # Received pieces.

    def _on_fragment(
        self, name: str, reply: fleet_messages.FragmentReply
    ) -> None:
        version = self._versions.get(reply.manifest)
        if version is None or version.fetch is None:
            return
        if not version.downloads.expects(name, reply):
            return
        if reply.data is None:
            version.downloads.cancel(reply.index)
            version.fetch.record_failed_request(
                reply.index, name, self._clock.now_ms()
            )
            return
        data = version.downloads.add_fragment(reply)
        if data is not None:
            self._add_piece(version, reply.index, data, name)

    def _on_fetched(
        self, wanted: version_digests.ModelVersion, index: int, data: bytes
    ) -> None:
        version = self._versions.get(wanted.name)
        if version is not None:
            self._add_piece(version, index, data, None)

    def _on_fetch_failed(
        self,
        wanted: version_digests.ModelVersion,
        index: int,
        retry_after_ms: float,
    ) -> None:
        version = self._versions.get(wanted.name)
        if version is not None and version.fetch is not None:
            version.fetch.record_origin_failure(
                index,
                retry_after_ms,
                self._clock.now_ms(),
                self._missing(version),
            )

    def _missing(self, version: _Version) -> list[int]:
        """Returns the pieces that no process is known to hold."""
        chunk_set = self._chunk_sets.get(version.wanted.name)
        if chunk_set is None:
            return []
        count = len(chunk_set.manifest.chunks)
        return sorted(set(range(count)) - version.seen - chunk_set.held)

    def _add_piece(
        self, version: _Version, index: int, data: bytes, peer: str | None
    ) -> None:
        chunk_set = self._chunk_sets.get(version.wanted.name)
        if chunk_set is None or version.fetch is None:
            return
        source = "origin" if peer is None else "peer"
        if not chunk_set.add(index, data):
            self._totals.add(counters.CounterName.CHUNKS_REJECTED, source)
            logs.log("piece_corrupt", index=index, source=peer or source)
            version.fetch.record_mismatch(index, peer, self._clock.now_ms())
            return
        self._totals.add(counters.CounterName.CHUNKS_RECEIVED, source)
        version.fetch.record_held(index, self._clock.now_ms())
        version.unannounced.append(index)
        self._wake.set()

    # Regular checks.

    async def _run_checks(self) -> None:
        await check_loop.run(
            self._wake,
            lambda: self._wait_ms,
            self._tick,
            "piece_relay",
            self._totals,
        )

    @property
    def _wait_ms(self) -> float:
        """Time to the next check, unless a message ends the wait."""
        missing = any(
            version.fetch is None or not version.fetch.complete
            for version in self._versions.values()
        )
        return TICK_MS if missing else IDLE_TICK_MS

    def _tick(self) -> None:
        self._update_locations()
        if not self._locations:
            return
        self._add_newest()
        for version in self._versions.values():
            self._digests.check_doubted(version.wanted)
            self._request_holdings(version)
            self._announce(version)
            self._act(version)

    def _announce(self, version: _Version) -> None:
        if not version.unannounced:
            return
        have = messages.PeerHave(
            manifest=version.wanted.name, indexes=version.unannounced, seen=[]
        )
        version.unannounced = []
        for name in sorted(version.subscribers):
            if not self._send(name, have):
                version.subscribers.discard(name)

    def _act(self, version: _Version) -> None:
        if version.fetch is None:
            return
        actions = version.fetch.next_actions(
            self._clock.now_ms(), may_use_origin=self._may_use_origin(version)
        )
        for action in actions:
            match action:
                case relay_fetch.FetchFromPeer():
                    version.downloads.start(action.index, action.peer)
                case relay_fetch.CancelFetch():
                    version.downloads.cancel(action.index)
                case relay_fetch.FetchFromOrigin():
                    digests = self._chunk_sets[version.wanted.name].manifest
                    self._origin_fetches.start(
                        version.wanted, action.index, digests.chunk_bytes
                    )
