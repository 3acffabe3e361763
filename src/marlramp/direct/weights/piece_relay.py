"""An entry's part in distributing weights: it holds pieces for agents near it.

`core.relay_duty` says which pieces, `core.relay_fetch` when and from whom. What
comes is verified before anybody else gets it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import logs
from marlramp.core import chunk_bitmap
from marlramp.core import relay_assignment
from marlramp.core import relay_fetch
from marlramp.direct.weights import piece_downloads
from marlramp.direct.weights import piece_draws
from marlramp.direct.weights import piece_ticks
from marlramp.direct.weights import piece_uploads
from marlramp.direct.weights import version_digests
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

LINK_SHARE = 0.8
"""Part of an entry's link on which pieces may leave; requests use a tenth. The
first pieces are wanted by all agents of the cell at once."""

TICK_MS = 20.0
"""Between two looks at what to fetch and announce while pieces are missing."""

IDLE_TICK_MS = 500.0
"""The same while none is; a message ends the wait at once."""

HELLO_MS = 1_000.0
"""Between two greetings of the entries that hold the same pieces, while some
are missing: the answers mend what an announcement lost."""

ASKED_LATELY_MS = 2_000.0
"""A version that is not the newest is drawn only if an agent that lacks it has
asked this lately: three times as long as agents wait between two questions."""

VERSIONS_KEPT = 3
"""Versions of which pieces are held: the one in force and two after it."""


class Surroundings(Protocol):
    """What the relay asks the entry that it belongs to."""

    def places(self) -> Mapping[str, relay_assignment.Location]:
        """Returns the entries that relay pieces, this one among them."""
        ...

    def wanted(self) -> Sequence[version_digests.Wanted]:
        """Returns the newest version of each model."""
        ...

    def piece_ms(self) -> float:
        """Returns the time in which a piece leaves the origin."""
        ...

    def origin_connections(self) -> int:
        """Returns the connections that the origin takes in all."""
        ...

    def age_ms(self, wanted: version_digests.Wanted) -> float | None:
        """Returns the time since a version was named, None if not known."""
        ...

    def send_piece_message(self, name: str, message: msgspec.Struct) -> bool:
        """Sends to an entry or agent; opens a link to an entry."""
        ...


class _Version:
    """One version that pieces are held of.

    Attributes:
      fetch: what is asked for, None before the digests are known.
      listeners: processes that are told what comes.
      news: pieces that came since they were told last.
      finding: the search for the digests.
      greeted_ms: when the other entries were asked what they hold.
      asked_ms: when an agent that lacks pieces asked last.
      seen: pieces that somebody is known to hold.
    """

    def __init__(
        self,
        wanted: version_digests.Wanted,
        downloads: piece_downloads.PieceDownloads,
    ) -> None:
        self.wanted = wanted
        self.downloads = downloads
        self.fetch: relay_fetch.RelayFetch | None = None
        self.listeners: set[str] = set()
        self.news: list[int] = []
        self.finding: asyncio.Task[None] | None = None
        self.greeted_ms = float("-inf")
        self.asked_ms = float("-inf")
        self.seen: set[int] = set()


class PieceRelay:
    """Fetches the pieces that this entry is to hold, and serves them."""

    def __init__(
        self,
        own: str,
        surroundings: Surroundings,
        link_bytes_per_s: float,
        totals: counters.Counters,
        time: clock.Clock,
        rng: random.Random | None = None,
    ) -> None:
        """Holds nothing.

        Args:
          own: this entry.
          surroundings: the entry.
          link_bytes_per_s: rate of the VM's link.
          totals: counters.
          time: the clock.
          rng: draws whom to ask for digests; a seeded one makes runs repeat.
        """
        self._own = own
        self._surroundings = surroundings
        self._rate = link_bytes_per_s * LINK_SHARE
        self._totals = totals
        self._clock = time
        self._send = surroundings.send_piece_message
        self._digests = version_digests.VersionDigests(
            own, self._others, self._send, time, rng, asks_first=True
        )
        self._wholes = self._digests.wholes
        self._uploads = piece_uploads.PieceUploads(
            self._wholes, self._send, self._rate, time
        )
        self._draws = piece_draws.PieceDraws(
            self._on_drawn, self._on_not_drawn, time
        )
        self._versions: dict[str, _Version] = {}
        self._places: Mapping[str, relay_assignment.Location] = {}
        self._newest: dict[str, version_digests.Wanted] = {}
        self._wake = asyncio.Event()

    def set_origin(self, origin: version_digests.Origin | None) -> None:
        """Takes the origin to draw from."""
        self._digests.origin = origin
        self._draws.origin = origin

    def look(self) -> None:
        """Looks at once at what is named and who is there."""
        self._wake.set()

    async def run(self) -> None:
        """Fetches and serves for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._uploads.run())
            group.create_task(self._tick_all())

    def on_message(
        self, name: str, message: fleet_messages.FromAgentPeer
    ) -> None:
        """Takes a message of an agent or another entry about weights."""
        match message:
            case messages.PeerHello():
                self._on_hello(name, message)
            case messages.PeerHave():
                self._on_have(name, message)
            case fleet_messages.FragmentRequest():
                self._uploads.request(name, message)
            case fleet_messages.FragmentReply():
                self._on_fragment(name, message)
            case messages.ManifestRequest():
                self._digests.on_request(name, message)
            case messages.ManifestReply():
                self._digests.on_reply(message)
        self._wake.set()

    # What is wanted.

    def _others(self) -> list[str]:
        return [name for name in self._places if name != self._own]

    def _take_wanted(self) -> None:
        newest = self._surroundings.wanted()
        self._newest = {wanted.model: wanted for wanted in newest}
        for wanted in newest:
            self._want(wanted)

    def _is_newest(self, wanted: version_digests.Wanted) -> bool:
        return self._newest.get(wanted.model) == wanted

    def _may_draw(self, version: _Version) -> bool:
        """Returns whether a version is worth the origin's time."""
        if self._is_newest(version.wanted):
            return True
        return self._clock.now_ms() - version.asked_ms < ASKED_LATELY_MS

    def _want(self, wanted: version_digests.Wanted) -> _Version:
        """Starts to hold pieces of a version."""
        version = self._versions.get(wanted.name)
        if version is not None:
            return version
        downloads = piece_downloads.PieceDownloads(
            self._send, self._rate, self._clock
        )
        version = _Version(wanted, downloads)
        self._versions[wanted.name] = version
        version.finding = asyncio.create_task(self._find(version))
        while len(self._versions) > VERSIONS_KEPT:
            self._drop(self._least_wanted())
        return version

    def _least_wanted(self) -> str:
        """Returns the version longest here that is not the newest."""
        for name, version in self._versions.items():
            if not self._is_newest(version.wanted):
                return name
        return next(iter(self._versions))

    def _drop(self, name: str) -> None:
        version = self._versions.pop(name)
        if version.finding is not None:
            version.finding.cancel()
        self._wholes.pop(name, None)

    async def _find(self, version: _Version) -> None:
        """Learns the digests of a version, then begins to fetch."""
        whole = await self._digests.find(version.wanted)
        pieces = whole.manifest.chunks
        version.downloads.fetch(
            piece_downloads.Version(
                version.wanted.name, whole.manifest.chunk_size
            )
        )
        version.fetch = relay_fetch.RelayFetch(
            self._surroundings.piece_ms(),
            self._surroundings.origin_connections(),
            self._surroundings.age_ms(version.wanted),
            self._clock.now_ms(),
        )
        version.fetch.set_assignments(
            relay_assignment.assignments(self._own, self._places, pieces),
            len(self._places),
        )
        for index in whole.held:
            version.fetch.record_held(index, self._clock.now_ms())
        version.news.extend(sorted(whole.held))
        if version.asked_ms > float("-inf"):
            version.fetch.record_demand(self._clock.now_ms())
        self._wake.set()

    # Others.

    def _take_places(self) -> None:
        """Takes who is there; the duties follow.

        An entry that leaves keeps its duties until it ends: what is on its way
        to it is passed on, and others have them too by then.
        """
        places = self._surroundings.places()
        if places == self._places or self._own not in places:
            return
        gone = self._places.keys() - places.keys()
        self._places = places
        for version in self._versions.values():
            whole = self._wholes.get(version.wanted.name)
            if version.fetch is None or whole is None:
                continue
            for name in gone:
                version.fetch.remove_peer(name)
            version.fetch.set_assignments(
                relay_assignment.assignments(
                    self._own, places, whole.manifest.chunks
                ),
                len(places),
            )
            version.greeted_ms = float("-inf")

    def _greet(self, version: _Version) -> None:
        """Asks the entries that hold the same pieces what they hold."""
        now_ms = self._clock.now_ms()
        if version.fetch is None or version.fetch.complete:
            return
        if now_ms - version.greeted_ms < HELLO_MS:
            return
        version.greeted_ms = now_ms
        hello = self._hello(version.wanted.name, reply=True)
        for name in sorted(version.fetch.sources):
            self._send(name, hello)

    def _on_hello(self, name: str, hello: messages.PeerHello) -> None:
        version = self._versions.get(hello.manifest)
        if version is None:
            # An agent may lack one that is not the newest, or another entry
            # may have heard of a newer one first.
            self._take_wanted()
            wanted = version_digests.parse_name(hello.manifest)
            if wanted is None or wanted.model not in self._newest:
                return
            version = self._want(wanted)
        now_ms = self._clock.now_ms()
        held = chunk_bitmap.from_bitmap(hello.held)
        version.seen.update(held, chunk_bitmap.from_bitmap(hello.seen))
        if version.fetch is not None:
            version.fetch.record_holdings(name, held, now_ms)
        if not hello.reply:
            return
        version.listeners.add(name)
        if name not in self._places:
            version.asked_ms = now_ms
            if version.fetch is not None:
                version.fetch.record_demand(now_ms)
        self._send(name, self._hello(hello.manifest, reply=False))

    def _on_have(self, name: str, have: messages.PeerHave) -> None:
        version = self._versions.get(have.manifest)
        if version is None or version.fetch is None:
            return
        version.seen.update(have.indexes, have.seen)
        version.fetch.record_holdings(name, have.indexes, self._clock.now_ms())

    def _hello(self, name: str, *, reply: bool) -> messages.PeerHello:
        whole = self._wholes.get(name)
        held = b"" if whole is None else chunk_bitmap.to_bitmap(whole.held)
        return messages.PeerHello(
            vm_id=self._own, manifest=name, held=held, seen=held, reply=reply
        )

    # Pieces that arrive.

    def _on_fragment(
        self, name: str, reply: fleet_messages.FragmentReply
    ) -> None:
        version = self._versions.get(reply.manifest)
        if version is None or version.fetch is None:
            return
        if not version.downloads.awaits(name, reply):
            return
        if reply.data is None:
            version.downloads.cancel(reply.index)
            version.fetch.record_failed_request(
                reply.index, name, self._clock.now_ms()
            )
            return
        data = version.downloads.take(reply)
        if data is not None:
            self._take_piece(version, reply.index, data, name)

    def _on_drawn(
        self, wanted: version_digests.Wanted, index: int, data: bytes
    ) -> None:
        version = self._versions.get(wanted.name)
        if version is not None:
            self._take_piece(version, index, data, None)

    def _on_not_drawn(
        self, wanted: version_digests.Wanted, index: int, retry_after_ms: float
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
        """Returns the pieces that nobody is known to hold."""
        whole = self._wholes.get(version.wanted.name)
        if whole is None:
            return []
        count = len(whole.manifest.chunks)
        return sorted(set(range(count)) - version.seen - whole.held)

    def _take_piece(
        self, version: _Version, index: int, data: bytes, peer: str | None
    ) -> None:
        whole = self._wholes.get(version.wanted.name)
        if whole is None or version.fetch is None:
            return
        source = "origin" if peer is None else "peer"
        if not whole.add(index, data):
            self._totals.add(counters.CounterName.CHUNKS_REJECTED, source)
            logs.log("piece_corrupt", index=index, source=peer or source)
            version.fetch.record_failed_request(
                index, peer, self._clock.now_ms()
            )
            return
        self._totals.add(counters.CounterName.CHUNKS_RECEIVED, source)
        version.fetch.record_held(index, self._clock.now_ms())
        version.news.append(index)
        self._wake.set()

    # Regular work.

    async def _tick_all(self) -> None:
        await piece_ticks.run(
            self._wake,
            lambda: self._wait_ms,
            self._tick,
            "piece_relay",
            self._totals,
        )

    @property
    def _wait_ms(self) -> float:
        """Time to the next look, unless a message comes before."""
        missing = any(
            version.fetch is None or not version.fetch.complete
            for version in self._versions.values()
        )
        return TICK_MS if missing else IDLE_TICK_MS

    def _tick(self) -> None:
        self._take_places()
        if not self._places:
            return
        self._take_wanted()
        for version in self._versions.values():
            self._greet(version)
            self._announce(version)
            self._act(version)

    def _announce(self, version: _Version) -> None:
        if not version.news:
            return
        have = messages.PeerHave(
            manifest=version.wanted.name, indexes=version.news, seen=[]
        )
        version.news = []
        for name in sorted(version.listeners):
            if not self._send(name, have):
                version.listeners.discard(name)

    def _act(self, version: _Version) -> None:
        if version.fetch is None:
            return
        actions = version.fetch.next_actions(
            self._clock.now_ms(), may_use_origin=self._may_draw(version)
        )
        for action in actions:
            match action:
                case relay_fetch.FetchFromPeer():
                    version.downloads.start(action.index, action.peer)
                case relay_fetch.CancelFetch():
                    version.downloads.cancel(action.index)
                case relay_fetch.FetchFromOrigin():
                    self._draws.start(version.wanted, action.index)
