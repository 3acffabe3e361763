"""Decides which chunks a VM fetches from neighbours and from the origin.

The origin sends each chunk once: its fetcher is the first VM in the rendezvous
order of the chunk's group. All fetchers process the chunks in one common order,
within a window that advances as chunks are seen on any VM. The first chunks
therefore leave the origin early, instead of all chunks leaving it together.
Neighbours announce to each other the chunks that they hold and those that they
have seen. A VM fetches all other chunks from its neighbours, rarest first.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Sequence
import enum
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import rendezvous
from marlramp.core.weights import mismatch_backoff

ORIGIN_GROUPS = 256
"""Maximum number of groups in which chunks are assigned to fetchers."""

ORIGIN_WINDOW = 32
"""Default width of the window, in chunks of the common order, within which
chunks may be in flight from the origin."""

ORIGIN_IN_FLIGHT_MAX = 2
"""Default number of chunks that one VM fetches from the origin at once."""

LAST_CHUNKS = 16
"""Number of unseen chunks from which on a VM fetches up to `LAST_IN_FLIGHT_MAX`
chunks from the origin at once."""

LAST_IN_FLIGHT_MAX = 4
"""Chunks that one VM fetches from the origin at once when at most `LAST_CHUNKS`
are unseen. No chunks follow the last ones, and after an outage the origin would
be idle between the fetches of a VM that fetches several chunks one after
another: 8 chunks took 1.1 s instead of 0.4 s."""

ORIGIN_CHECK_MS = 20.0
"""Minimum time between checks for chunks to fetch from the origin. The origin
is idle for up to this time after each chunk."""

LATE_FACTOR = 4.0
"""Multiple of a neighbour's smoothed time per chunk after which a chunk from it
is late."""

LATE_FLOOR_MS = 400.0
"""Minimum time after which a chunk is late, however fast the neighbour was."""

SLOW_PENALTY_MS = 2_000.0
"""Backoff for a neighbour whose chunk was late."""

BUSY_PENALTY_MS = 100.0
"""Backoff for a neighbour that refused a request."""

CORRUPT_MAX = 2
"""Number of corrupt chunks after which a neighbour gets no more requests."""

STALL_MS = 600.0
"""Time without a new chunk after which the transfer is stalled: the VM waits
for the origin, or for VMs that wait for the origin. The transfer of a single
chunk takes a tenth of this time."""

PACE_SMOOTHING = 0.3
"""Weight of the newest transfer in a neighbour's smoothed time per chunk."""

RELAY_IN_FLIGHT_MAX = 3
"""Chunks that are requested from all relays at once. They are enough to keep
the own link busy while the relays send, and few enough that the traffic of live
calls on this link is hardly delayed."""

RELAY_CREDITS = 2
"""Chunks that are requested from one relay at once."""

RELAY_TIMEOUT_MS = 8_000.0
"""Time without a new chunk after which a VM stops leaving the origin and other
regions to the relays. It is longer than a usual outage of the origin, because
chunks that both the VM and a relay fetch after an outage delay all VMs."""


class FetchFromPeer(msgspec.Struct, frozen=True):
    """Request a chunk from a neighbour."""

    peer_id: ids.VmId
    index: int


class FetchFromOrigin(msgspec.Struct, frozen=True):
    """Fetch a chunk from the origin."""

    index: int


class CancelFetch(msgspec.Struct, frozen=True):
    """Cancel a request whose chunk is late."""

    peer_id: ids.VmId
    index: int


Action: TypeAlias = FetchFromPeer | FetchFromOrigin | CancelFetch


class Peer(msgspec.Struct):
    """State of one neighbour.

    Attributes:
      held: chunks that the neighbour holds.
      pace_ms: smoothed time per chunk, None before the first chunk.
      in_flight: chunks requested from the neighbour, with the request's time.
      not_before_ms: end of the backoff, before which nothing is requested.
      corrupt: number of corrupt chunks that the neighbour sent.
    """

    held: set[int]
    pace_ms: float | None = None
    in_flight: dict[int, float] = {}
    not_before_ms: float = 0.0
    corrupt: int = 0


class OriginUse(enum.Enum):
    """Selection of the VMs that fetch a chunk from the origin.

    Attributes:
      RANKED: the first VM of the chunk's order, and others after a wait.
      EVERYONE: all VMs.
      ROOT: one VM for all chunks.
    """

    RANKED = "ranked"
    EVERYONE = "everyone"
    ROOT = "root"


class SwarmPolicy(msgspec.Struct, frozen=True):
    """Settings of the swarm.

    Attributes:
      origin_copies_max: copies of a chunk that may leave the origin while
        nothing fails.
      takeover_ms: minimum wait per rank before another VM fetches a chunk from
        the origin.
      origin_use: VMs that fetch from the origin; other values than RANKED are
        baselines for comparison.
      credits_per_peer: chunks requested from one neighbour at once.
      in_flight_max: chunks requested from all neighbours at once. A few chunks
        that arrive soon can be forwarded sooner than many that share the link.
      import_takeover_ms: minimum wait per rank before another VM of a region
        fetches a chunk from other regions.
      rare_wait_ms: wait per rank before a chunk with only one holder is fetched
        from the origin again, None for never.
      takeover_max_ms: limit to which the wait per rank grows while chunks
        arrive slowly.
      origin_in_flight_max: chunks that one VM fetches from the origin at once.
        One chunk arrives sooner than several that share the origin's link.
      origin_window: chunks of the common order that may be in flight from the
        origin.
    """

    origin_copies_max: float
    takeover_ms: float
    origin_use: OriginUse = OriginUse.RANKED
    credits_per_peer: int = 1
    in_flight_max: int = 1_000_000
    import_takeover_ms: float = 2_500.0
    rare_wait_ms: float | None = None
    takeover_max_ms: float = float("inf")
    origin_in_flight_max: int = ORIGIN_IN_FLIGHT_MAX
    origin_window: int = ORIGIN_WINDOW


class Swarm:
    """Fetch state of one VM for one manifest."""

    def __init__(
        self,
        vm_id: ids.VmId,
        chunk_digests: Sequence[str],
        held: set[int],
        policy: SwarmPolicy,
        now_ms: clock.Millis,
        rng: random.Random,
        origin_after_ms: float = 0.0,
    ) -> None:
        """Starts with the chunks that are held already, without neighbours.

        Args:
          vm_id: ID of the own VM.
          chunk_digests: digest of each chunk.
          held: indexes of the chunks that are held already.
          policy: settings of the swarm.
          now_ms: the current time.
          rng: breaks ties.
          origin_after_ms: wait before the first fetch from the origin, for a
            version that neighbours are likely to hold.
        """
        self._vm_id = vm_id
        self._count = len(chunk_digests)
        self._group_keys = [
            chunk_digests[group]
            for group in range(min(ORIGIN_GROUPS, self._count))
        ]
        self._policy = policy
        self._rng = rng
        self._needed = set(range(self._count)) - held
        self._held = set(held)
        self._seen = set(held)
        self._peers: dict[ids.VmId, Peer] = {}
        self._holders = [0] * self._count
        self._fetching: set[int] = set()
        self._from_origin: dict[int, float] = {}
        self._mismatches = mismatch_backoff.MismatchBackoff()
        self._ranks: list[int] = [0] * len(self._group_keys)
        self._is_root = False
        self._started_ms: float = now_ms
        self._window_entry_ms: dict[int, float] = {}
        self._progress_ms: float = now_ms
        self._origin_failed_ms = float("-inf")
        self._origin_not_before_ms = now_ms + origin_after_ms
        self._unsent_held: list[int] = sorted(held)
        self._unsent_seen: list[int] = []
        self._near: frozenset[str] | None = None
        self._import_ranks: list[int] = [0] * len(self._group_keys)
        self._seen_ms: dict[int, float] = {}
        self._seen_last_ms: float = now_ms
        self._relays: frozenset[str] = frozenset()

    @property
    def complete(self) -> bool:
        """Whether every chunk is held."""
        return not self._needed

    @property
    def settled(self) -> bool:
        """Whether this VM and all neighbours but relays hold every chunk."""
        return self.complete and all(
            len(peer.held) == self._count
            for peer_id, peer in self._peers.items()
            if peer_id not in self._relays
        )

    @property
    def held(self) -> set[int]:
        """Indexes of the chunks that this VM holds."""
        return self._held

    def is_stalled(self, now_ms: clock.Millis) -> bool:
        """Returns whether no new chunk has arrived for `STALL_MS`."""
        return now_ms - self._progress_ms > STALL_MS

    def missing(self) -> list[tuple[int, int]]:
        """Returns each chunk not held, with its number of known holders."""
        return [(index, self._holders[index]) for index in sorted(self._needed)]

    @property
    def seen(self) -> set[int]:
        """Indexes of the chunks that at least one VM is known to hold."""
        return self._seen

    @property
    def peer_ids(self) -> list[ids.VmId]:
        """IDs of the known neighbours."""
        return list(self._peers)

    def set_members(self, vm_ids: Sequence[ids.VmId]) -> None:
        """Sets the VMs that fetch this manifest, and ranks them as fetchers."""
        members = set(vm_ids) | {self._vm_id}
        self._is_root = self._vm_id == min(members)
        self._ranks = self._ranks_among(self._group_keys, members)

    def set_region_members(self, vm_ids: Sequence[ids.VmId]) -> None:
        """Sets the VMs of the own region; the own VM is added to them.

        From then on, one of these VMs fetches each chunk from other regions and
        the others fetch it within the region, because links between regions
        have little capacity.
        """
        near = {*vm_ids, self._vm_id}
        self._near = frozenset(near)
        keys = [f"import\0{key}" for key in self._group_keys]
        self._import_ranks = self._ranks_among(keys, near)

    def set_relays(self, vm_ids: Collection[str]) -> None:
        """Sets the working relays, which hold chunks for the VMs near them.

        While there are relays, this VM requests chunks from them first, and
        only relays fetch chunks from the origin and from other regions.
        """
        self._relays = frozenset(vm_ids)

    def _ranks_among(
        self, keys: Sequence[str], members: set[ids.VmId]
    ) -> list[int]:
        """Returns the own rank in the rendezvous order of each key."""
        orders = rendezvous.balanced_orders(keys, members)
        return [ordered.index(self._vm_id) for ordered in orders]

    def record_holdings(
        self, peer_id: ids.VmId, indexes: Sequence[int], seen: Sequence[int]
    ) -> None:
        """Records the chunks that a neighbour holds, and those it has seen."""
        peer = self._peers.setdefault(peer_id, Peer(set(), in_flight={}))
        for index in indexes:
            if 0 <= index < self._count and index not in peer.held:
                peer.held.add(index)
                self._holders[index] += 1
                self._mark_seen(index)
        for index in seen:
            if 0 <= index < self._count:
                self._mark_seen(index)

    def clear_holdings(self, peer_id: ids.VmId) -> None:
        """Clears the chunks of a neighbour, before it announces all of them."""
        peer = self._peers.get(peer_id)
        if peer is None:
            return
        for index in peer.held:
            self._holders[index] -= 1
        peer.held.clear()

    def remove_peer(self, peer_id: ids.VmId) -> None:
        """Removes a neighbour; its chunks in flight are requested elsewhere."""
        self.clear_holdings(peer_id)
        peer = self._peers.pop(peer_id, None)
        if peer is not None:
            self._fetching.difference_update(peer.in_flight)

    def record_chunk(
        self,
        index: int,
        peer_id: ids.VmId | None,
        *,
        valid: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Records a chunk that arrived.

        Args:
          index: index of the chunk.
          peer_id: neighbour that sent it, None for the origin.
          valid: whether the digest of the chunk matches.
          now_ms: the current time.
        """
        if peer_id is None:
            self._from_origin.pop(index, None)
        else:
            self._record_answer(peer_id, index, now_ms)
            if not valid:
                self._record_corrupt_chunk(peer_id)
        if not valid:
            self._mismatches.record_mismatch(index, now_ms)
            self._drop_fetch(index)
            return
        self._mismatches.clear(index)
        self._fetching.discard(index)
        if index not in self._needed:
            return
        self._needed.discard(index)
        self._held.add(index)
        self._mark_seen(index)
        self._unsent_held.append(index)
        self._progress_ms = now_ms

    def record_refusal(
        self, index: int, peer_id: ids.VmId, now_ms: clock.Millis
    ) -> None:
        """Records that a neighbour refused to send a chunk now."""
        peer = self._peers.get(peer_id)
        if peer is None or index not in peer.in_flight:
            return
        del peer.in_flight[index]
        peer.not_before_ms = now_ms + BUSY_PENALTY_MS
        self._drop_fetch(index)

    def record_origin_failure(
        self, index: int, retry_after_ms: float, now_ms: clock.Millis
    ) -> None:
        """Records that the origin did not send a chunk.

        Args:
          index: index of the chunk.
          retry_after_ms: wait before the next fetch from the origin.
          now_ms: the current time.
        """
        self._from_origin.pop(index, None)
        self._drop_fetch(index)
        self._origin_failed_ms = now_ms
        self._origin_not_before_ms = now_ms + retry_after_ms

    def drain_updates(self) -> tuple[list[int], list[int]]:
        """Returns and clears the chunks to announce to neighbours.

        Returns:
          The chunks newly held, and the chunks newly seen.
        """
        held, seen = self._unsent_held, self._unsent_seen
        self._unsent_held, self._unsent_seen = [], []
        return held, seen

    def next_actions(self, now_ms: clock.Millis) -> list[Action]:
        """Returns the fetches to start and to cancel now."""
        actions: list[Action] = []
        if len(self._seen_ms) < len(self._seen):
            self._seen_last_ms = now_ms
            for index in self._seen:
                self._seen_ms.setdefault(index, now_ms)
        if self.complete:
            return actions
        actions.extend(self._cancel_late(now_ms))
        actions.extend(self._fetch_from_relays(now_ms))
        if not self._waits_for_relays(now_ms):
            actions.extend(self._fetch_from_origin(now_ms))
        actions.extend(self._fetch_from_peers(now_ms))
        return actions

    def _waits_for_relays(self, now_ms: clock.Millis) -> bool:
        """Returns whether to leave the origin and other regions to relays."""
        if not self._relays:
            return False
        return now_ms - self._progress_ms < RELAY_TIMEOUT_MS

    def _mark_seen(self, index: int) -> None:
        if index not in self._seen:
            self._seen.add(index)
            self._unsent_seen.append(index)

    def _drop_fetch(self, index: int) -> None:
        if index not in self._from_origin:
            self._fetching.discard(index)

    def _record_answer(
        self, peer_id: ids.VmId, index: int, now_ms: clock.Millis
    ) -> None:
        peer = self._peers.get(peer_id)
        if peer is None or index not in peer.in_flight:
            return
        elapsed_ms = now_ms - peer.in_flight.pop(index)
        if peer.pace_ms is None:
            peer.pace_ms = elapsed_ms
        else:
            peer.pace_ms += PACE_SMOOTHING * (elapsed_ms - peer.pace_ms)

    def _record_corrupt_chunk(self, peer_id: ids.VmId) -> None:
        peer = self._peers.get(peer_id)
        if peer is None:
            return
        peer.corrupt += 1
        if peer.corrupt >= CORRUPT_MAX:
            peer.not_before_ms = float("inf")

    def _cancel_late(self, now_ms: clock.Millis) -> list[Action]:
        actions: list[Action] = []
        paces = [p.pace_ms for p in self._peers.values() if p.pace_ms]
        usual_ms = (
            sum(paces) / len(paces) if paces else self._policy.takeover_ms
        )
        for peer_id, peer in self._peers.items():
            pace_ms = peer.pace_ms or usual_ms
            limit_ms = max(LATE_FLOOR_MS, LATE_FACTOR * pace_ms)
            late = [
                index
                for index, sent_ms in peer.in_flight.items()
                if now_ms - sent_ms > limit_ms
            ]
            for index in late:
                actions.append(CancelFetch(peer_id, index))
                del peer.in_flight[index]
                self._drop_fetch(index)
                peer.not_before_ms = now_ms + SLOW_PENALTY_MS
        return actions

    def _fetch_from_origin(self, now_ms: clock.Millis) -> list[Action]:
        actions: list[Action] = []
        if now_ms < self._origin_not_before_ms:
            return actions
        self._origin_not_before_ms = now_ms + ORIGIN_CHECK_MS
        window_end = min(
            self._count, len(self._seen) + self._policy.origin_window
        )
        if self._policy.origin_use is not OriginUse.RANKED:
            window_end = self._count
        in_flight_max = self._origin_in_flight_max()
        for index in range(window_end):
            if len(self._from_origin) >= in_flight_max:
                break
            if index not in self._needed or index in self._fetching:
                continue
            if not self._mismatches.may_request(index, now_ms):
                continue
            self._window_entry_ms.setdefault(index, now_ms)
            if self._may_fetch_from_origin(index, now_ms):
                self._fetching.add(index)
                self._from_origin[index] = now_ms
                actions.append(FetchFromOrigin(index))
        return actions

    def _origin_in_flight_max(self) -> int:
        """Returns how many chunks may be fetched from the origin at once."""
        usual = self._policy.origin_in_flight_max
        if 0 < self._count - len(self._seen) <= LAST_CHUNKS:
            return max(usual, LAST_IN_FLIGHT_MAX)
        return usual

    def _may_fetch_from_origin(self, index: int, now_ms: clock.Millis) -> bool:
        if self._policy.origin_use is OriginUse.EVERYONE:
            return True
        if self._policy.origin_use is OriginUse.ROOT:
            return self._is_root
        rank = self._ranks[index % len(self._group_keys)]
        if rank == 0 and index not in self._seen:
            return True
        all_seen = len(self._seen) == self._count
        if all_seen and rank < int(self._policy.origin_copies_max):
            return True
        wait_ms = max(1, rank) * self._takeover_wait_ms()
        if index not in self._seen:
            since_ms = max(self._window_entry_ms[index], self._origin_failed_ms)
            return now_ms - since_ms > wait_ms
        if self._holders[index] > 0:
            return self._is_stuck(index, rank, now_ms)
        since_ms = max(self._progress_ms, self._origin_failed_ms)
        return now_ms - since_ms > wait_ms

    def _is_stuck(self, index: int, rank: int, now_ms: clock.Millis) -> bool:
        """Returns whether a chunk's only holder forwards it too slowly."""
        if self._holders[index] > 1 or self._policy.rare_wait_ms is None:
            return False
        seen_ms = self._seen_ms.get(index, now_ms)
        return now_ms - seen_ms > (1 + rank) * self._policy.rare_wait_ms

    def _takeover_wait_ms(self) -> float:
        """Returns the wait per rank, which grows if chunks arrive slowly."""
        # The time per chunk counts only up to the last progress: a transfer
        # that is stalled is not slow, and a wait that grew during the stall
        # would never end.
        elapsed_ms = self._seen_last_ms - self._started_ms
        per_chunk_ms = elapsed_ms / max(1, len(self._seen))
        window = self._policy.origin_window
        if len(self._seen) < window:
            per_chunk_ms = 0.0
        slow_ms = 2.0 * window * per_chunk_ms
        return max(
            self._policy.takeover_ms,
            min(slow_ms, self._policy.takeover_max_ms),
        )

    def _fetch_from_relays(self, now_ms: clock.Millis) -> list[Action]:
        """Requests chunks from relays, least loaded first."""
        relays = [
            (peer_id, peer)
            for peer_id, peer in self._peers.items()
            if peer_id in self._relays and peer.not_before_ms <= now_ms
        ]
        free = [
            (len(peer.in_flight) + more, self._rng.random(), peer_id, peer)
            for peer_id, peer in relays
            for more in range(RELAY_CREDITS - len(peer.in_flight))
        ]
        free.sort(key=lambda item: item[:2])
        room = RELAY_IN_FLIGHT_MAX - self._in_flight(self._relays)
        return self._request_from_each(
            [(peer_id, peer) for _, _, peer_id, peer in free], room, now_ms
        )

    def _fetch_from_peers(self, now_ms: clock.Millis) -> list[Action]:
        """Requests chunks from neighbours unless relays fill the own link."""
        if self._in_flight(self._relays) >= RELAY_IN_FLIGHT_MAX:
            return []
        free = [
            (peer_id, peer)
            for peer_id, peer in self._peers.items()
            if peer.not_before_ms <= now_ms and peer_id not in self._relays
            for _ in range(self._policy.credits_per_peer - len(peer.in_flight))
        ]
        self._rng.shuffle(free)
        if self._near is not None:
            # Chunks that this VM alone fetches into its region go first.
            free.sort(key=lambda item: item[0] in (self._near or ()))
        room = self._policy.in_flight_max - self._in_flight(self._peers)
        return self._request_from_each(free, room, now_ms)

    def _in_flight(self, peer_ids: Collection[str]) -> int:
        """Returns the number of chunks in flight from the given neighbours."""
        return sum(
            len(peer.in_flight)
            for peer_id, peer in self._peers.items()
            if peer_id in peer_ids
        )

    def _request_from_each(
        self,
        free: Sequence[tuple[ids.VmId, Peer]],
        room: int,
        now_ms: clock.Millis,
    ) -> list[Action]:
        """Requests from each neighbour the rarest needed chunk that it holds.

        Args:
          free: neighbours that can receive a request, once per request.
          room: maximum number of requests.
          now_ms: the current time.
        """
        actions: list[Action] = []
        for peer_id, peer in free:
            if len(actions) >= room:
                break
            index = self._rarest(peer_id, peer, now_ms)
            if index is None:
                continue
            peer.in_flight[index] = now_ms
            self._fetching.add(index)
            actions.append(FetchFromPeer(peer_id, index))
        return actions

    def _rarest(
        self, peer_id: ids.VmId, peer: Peer, now_ms: clock.Millis
    ) -> int | None:
        candidates = {
            index
            for index in (peer.held & self._needed) - self._fetching
            if self._mismatches.may_request(index, now_ms)
        }
        is_far = self._near is not None and peer_id not in self._near
        if is_far and peer_id not in self._relays:
            if self._waits_for_relays(now_ms):
                return None
            candidates = {i for i in candidates if self._may_import(i, now_ms)}
        if not candidates:
            return None
        fewest = min(self._holders[index] for index in candidates)
        rarest = [i for i in candidates if self._holders[i] == fewest]
        return self._rng.choice(rarest)

    def _may_import(self, index: int, now_ms: clock.Millis) -> bool:
        """Returns whether a chunk may be fetched from another region."""
        near = self._near or frozenset()
        holders = sum(
            index in peer.held
            for peer_id, peer in self._peers.items()
            if peer_id in near
        )
        if holders > 1:
            return False
        # A single holder in the region may have too slow a link to serve all
        # of it.
        rank = self._import_ranks[index % len(self._group_keys)]
        rank_delay = rank + 2 * holders
        seen_ms = self._seen_ms.get(index, self._started_ms)
        return now_ms - seen_ms >= rank_delay * self._policy.import_takeover_ms
