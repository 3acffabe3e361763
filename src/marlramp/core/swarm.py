"""Choice of chunks to fetch, from which neighbour, and when from the origin.

The origin sends each chunk once: its fetcher is the first VM in the
rendezvous order of the chunk's group. Fetchers work through the chunks in one
common order, within a window that moves as chunks are seen anywhere, so the
first chunks leave the origin early instead of all at once. Neighbours tell
each other what they hold and what they have seen; everything else is pulled
from neighbours, rarest first.
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

ORIGIN_GROUPS = 256
"""Chunks are assigned to fetchers in this many groups."""

ORIGIN_WINDOW = 32
"""Chunks of the common order that may be under way from the origin, unless the
policy says else."""

ORIGIN_IN_FLIGHT_MAX = 2
"""Chunks one VM draws from the origin at once, unless the policy says else."""

LAST_CHUNKS = 16
LAST_IN_FLIGHT_MAX = 4
"""When only so many chunks are still unseen, one VM draws more of them at once:
nothing comes after them, and an origin that was away for a while would stand
idle while one VM draws several in turn (8 chunks took 1.1 s, not 0.4 s)."""

ORIGIN_CHECK_MS = 20.0
"""Least time between looks for chunks to draw from the origin: it stands idle
for as long after each chunk."""

LATE_FACTOR = 4.0
"""A chunk is late at this multiple of its neighbour's recent pace."""

LATE_FLOOR_MS = 400.0
"""No chunk is late before this, however fast its neighbour was."""

SLOW_PENALTY_MS = 2_000.0
"""How long a neighbour whose chunk was late is asked for nothing."""

BUSY_PENALTY_MS = 100.0
"""How long a neighbour that refused is asked for nothing."""

CORRUPT_MAX = 2
"""Corrupt chunks after which a neighbour is asked for nothing more."""

STANDSTILL_MS = 600.0
"""A VM to which no chunk came for so long waits for the origin, or for others
that do: a chunk takes a tenth of it on its own."""

PACE_SMOOTHING = 0.3
"""Weight of the newest transfer in a neighbour's smoothed pace."""

RELAY_IN_FLIGHT_MAX = 3
"""Chunks asked of relays at once: enough that the own link never stands idle
while they send, and few enough that what live calls send here waits little
behind them on it."""

RELAY_CREDITS = 2
"""Chunks asked of one relay at once."""

RELAY_PATIENCE_MS = 8_000.0
"""How long a VM that gets nothing leaves the origin and other regions to the
relays: longer than an origin is usually away, since chunks that both draw once
it is back come later to all."""


class FetchFromPeer(msgspec.Struct, frozen=True):
    """Ask a neighbour for a chunk."""

    peer_id: ids.VmId
    index: int


class FetchFromOrigin(msgspec.Struct, frozen=True):
    """Draw a chunk from the origin."""

    index: int


class CancelFetch(msgspec.Struct, frozen=True):
    """Withdraw a request that is late."""

    peer_id: ids.VmId
    index: int


Action: TypeAlias = FetchFromPeer | FetchFromOrigin | CancelFetch


class Peer(msgspec.Struct):
    """What is known of one neighbour.

    Attributes:
      held: chunks it holds.
      pace_ms: smoothed time per chunk, None before the first.
      in_flight: chunks asked for and when.
      not_before_ms: it is asked for nothing before this.
      corrupt: corrupt chunks it sent.
    """

    held: set[int]
    pace_ms: float | None = None
    in_flight: dict[int, float] = {}
    not_before_ms: float = 0.0
    corrupt: int = 0


class OriginUse(enum.Enum):
    """Who draws a chunk from the origin."""

    RANKED = "ranked"
    EVERYONE = "everyone"
    ROOT = "root"


class SwarmPolicy(msgspec.Struct, frozen=True):
    """Settings of the swarm.

    Attributes:
      origin_copies_max: copies that may leave the origin without a fault.
      takeover_ms: least wait per rank before a chunk is drawn again.
      origin_use: who draws from the origin; RANKED but for baselines.
      credits_per_peer: chunks asked of one neighbour at once.
      in_flight_max: chunks asked of all neighbours at once; few that arrive
        soon can be passed on sooner than many that share the link.
      origin_window: chunks of the common order that may be under way from the
        origin.
      origin_in_flight_max: chunks drawn from the origin at once; one comes
        sooner than several that share the origin's link.
      takeover_max_ms: most that the wait per rank grows to in a slow pass.
      rare_wait_ms: wait per rank before a chunk that has one holder only is
        drawn from the origin again, None for never.
      import_takeover_ms: least wait per rank before a chunk is brought into a
        region by another of its VMs.
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
        """Starts with the chunks already held and no neighbour.

        Args:
          vm_id: the own VM.
          chunk_digests: digest of each chunk.
          held: chunks already held.
          policy: settings.
          now_ms: the time.
          rng: breaks ties.
          origin_after_ms: wait before the origin is drawn from, for a version
            that neighbours are likely to hold.
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
        self._ranks: list[int] = [0] * len(self._group_keys)
        self._is_root = False
        self._started_ms: float = now_ms
        self._entered_ms: dict[int, float] = {}
        self._progress_ms: float = now_ms
        self._origin_failed_ms = float("-inf")
        self._origin_not_before_ms = now_ms + origin_after_ms
        self._new_held: list[int] = sorted(held)
        self._new_seen: list[int] = []
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
        """Whether this VM and every neighbour hold every chunk."""
        return self.complete and all(
            len(peer.held) == self._count
            for peer_id, peer in self._peers.items()
            if peer_id not in self._relays
        )

    @property
    def held(self) -> set[int]:
        """Chunks held."""
        return self._held

    def stands_still(self, now_ms: clock.Millis) -> bool:
        """Returns whether no chunk has arrived for a while."""
        return now_ms - self._progress_ms > STANDSTILL_MS

    def missing(self) -> list[tuple[int, int]]:
        """Returns chunks not held, each with its neighbours that hold it."""
        return [(index, self._holders[index]) for index in sorted(self._needed)]

    @property
    def seen(self) -> set[int]:
        """Chunks known to be held by any VM."""
        return self._seen

    @property
    def peer_ids(self) -> list[ids.VmId]:
        """Neighbours known."""
        return list(self._peers)

    def set_members(self, vm_ids: Sequence[ids.VmId]) -> None:
        """Takes the VMs that fetch this manifest, to rank origin fetchers."""
        members = set(vm_ids) | {self._vm_id}
        self._is_root = self._vm_id == min(members)
        self._ranks = self._ranks_among(self._group_keys, members)

    def set_near(self, vm_ids: Sequence[ids.VmId]) -> None:
        """Takes the members of the own region, itself included.

        From then on each chunk is brought into the region by one of them and
        fetched within it by the others: links between regions are scarce.
        """
        near = {*vm_ids, self._vm_id}
        self._near = frozenset(near)
        keys = [f"import\0{key}" for key in self._group_keys]
        self._import_ranks = self._ranks_among(keys, near)

    def set_relays(self, vm_ids: Collection[str]) -> None:
        """Takes the relays that work: VMs that hold chunks for those near.

        While there are any, chunks come from them first, and they alone bring
        them from the origin and from other regions.
        """
        self._relays = frozenset(vm_ids)

    def _ranks_among(
        self, keys: Sequence[str], members: set[ids.VmId]
    ) -> list[int]:
        """Returns the own place in the order of each key."""
        orders = rendezvous.balanced_orders(keys, members)
        return [ordered.index(self._vm_id) for ordered in orders]

    def peer_holds(
        self, peer_id: ids.VmId, indexes: Sequence[int], seen: Sequence[int]
    ) -> None:
        """Records chunks that a neighbour holds or has seen."""
        peer = self._peers.setdefault(peer_id, Peer(set(), in_flight={}))
        for index in indexes:
            if 0 <= index < self._count and index not in peer.held:
                peer.held.add(index)
                self._holders[index] += 1
                self._mark_seen(index)
        for index in seen:
            if 0 <= index < self._count:
                self._mark_seen(index)

    def peer_reset(self, peer_id: ids.VmId) -> None:
        """Forgets what a neighbour holds, before it tells anew."""
        peer = self._peers.get(peer_id)
        if peer is None:
            return
        for index in peer.held:
            self._holders[index] -= 1
        peer.held.clear()

    def peer_lost(self, peer_id: ids.VmId) -> None:
        """Forgets a neighbour; its chunk in flight is asked for elsewhere."""
        self.peer_reset(peer_id)
        peer = self._peers.pop(peer_id, None)
        if peer is not None:
            self._fetching.difference_update(peer.in_flight)

    def received(
        self,
        index: int,
        peer_id: ids.VmId | None,
        *,
        valid: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Records a chunk that arrived, from a neighbour or the origin."""
        if peer_id is None:
            self._from_origin.pop(index, None)
        else:
            self._peer_answered(peer_id, index, now_ms)
            if not valid:
                self._distrust(peer_id)
        if not valid:
            self._drop_fetch(index)
            return
        self._fetching.discard(index)
        if index not in self._needed:
            return
        self._needed.discard(index)
        self._held.add(index)
        self._mark_seen(index)
        self._new_held.append(index)
        self._progress_ms = now_ms

    def refused(
        self, index: int, peer_id: ids.VmId, now_ms: clock.Millis
    ) -> None:
        """Records that a neighbour cannot send a chunk now."""
        peer = self._peers.get(peer_id)
        if peer is None or index not in peer.in_flight:
            return
        del peer.in_flight[index]
        peer.not_before_ms = now_ms + BUSY_PENALTY_MS
        self._drop_fetch(index)

    def origin_failed(
        self, index: int, retry_after_ms: float, now_ms: clock.Millis
    ) -> None:
        """Records that the origin did not send a chunk."""
        self._from_origin.pop(index, None)
        self._drop_fetch(index)
        self._origin_failed_ms = now_ms
        self._origin_not_before_ms = now_ms + retry_after_ms

    def take_news(self) -> tuple[list[int], list[int]]:
        """Returns chunks newly held and newly seen, to tell neighbours."""
        held, seen = self._new_held, self._new_seen
        self._new_held, self._new_seen = [], []
        return held, seen

    def next_actions(self, now_ms: clock.Millis) -> list[Action]:
        """Returns the fetches to start and withdraw now."""
        actions: list[Action] = []
        if len(self._seen_ms) < len(self._seen):
            self._seen_last_ms = now_ms
            for index in self._seen:
                self._seen_ms.setdefault(index, now_ms)
        if self.complete:
            return actions
        actions.extend(self._cancel_late(now_ms))
        actions.extend(self._fetch_from_relays(now_ms))
        if not self._leans_on_relays(now_ms):
            actions.extend(self._fetch_from_origin(now_ms))
        actions.extend(self._fetch_from_peers(now_ms))
        return actions

    def _leans_on_relays(self, now_ms: clock.Millis) -> bool:
        """Returns whether relays bring chunks here that nobody near holds."""
        if not self._relays:
            return False
        return now_ms - self._progress_ms < RELAY_PATIENCE_MS

    def _mark_seen(self, index: int) -> None:
        if index not in self._seen:
            self._seen.add(index)
            self._new_seen.append(index)

    def _drop_fetch(self, index: int) -> None:
        if index not in self._from_origin:
            self._fetching.discard(index)

    def _peer_answered(
        self, peer_id: ids.VmId, index: int, now_ms: clock.Millis
    ) -> None:
        peer = self._peers.get(peer_id)
        if peer is None or index not in peer.in_flight:
            return
        taken_ms = now_ms - peer.in_flight.pop(index)
        if peer.pace_ms is None:
            peer.pace_ms = taken_ms
        else:
            peer.pace_ms += PACE_SMOOTHING * (taken_ms - peer.pace_ms)

    def _distrust(self, peer_id: ids.VmId) -> None:
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
                for index, asked_ms in peer.in_flight.items()
                if now_ms - asked_ms > limit_ms
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
            self._entered_ms.setdefault(index, now_ms)
            if self._may_draw(index, now_ms):
                self._fetching.add(index)
                self._from_origin[index] = now_ms
                actions.append(FetchFromOrigin(index))
        return actions

    def _origin_in_flight_max(self) -> int:
        """Returns how many chunks this VM may draw at once."""
        usual = self._policy.origin_in_flight_max
        if 0 < self._count - len(self._seen) <= LAST_CHUNKS:
            return max(usual, LAST_IN_FLIGHT_MAX)
        return usual

    def _may_draw(self, index: int, now_ms: clock.Millis) -> bool:
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
            since_ms = max(self._entered_ms[index], self._origin_failed_ms)
            return now_ms - since_ms > wait_ms
        if self._holders[index] > 0:
            return self._is_stuck(index, rank, now_ms)
        since_ms = max(self._progress_ms, self._origin_failed_ms)
        return now_ms - since_ms > wait_ms

    def _is_stuck(self, index: int, rank: int, now_ms: clock.Millis) -> bool:
        """Returns whether a chunk's only holder passes it on too slowly."""
        if self._holders[index] > 1 or self._policy.rare_wait_ms is None:
            return False
        seen_ms = self._seen_ms.get(index, now_ms)
        return now_ms - seen_ms > (1 + rank) * self._policy.rare_wait_ms

    def _takeover_wait_ms(self) -> float:
        """Returns the wait per rank, never shorter than the pass is slow."""
        # Up to the last progress only: a pass that stands still is not slow,
        # and waits that grow as it stands would never end.
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
        """Asks relays, those that were asked for least first."""
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
        return self._ask_each(
            [(peer_id, peer) for _, _, peer_id, peer in free], room, now_ms
        )

    def _fetch_from_peers(self, now_ms: clock.Millis) -> list[Action]:
        """Asks neighbours, unless relays keep the own link busy."""
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
            # What only this VM is to bring into its region goes first.
            free.sort(key=lambda item: item[0] in (self._near or ()))
        room = self._policy.in_flight_max - self._in_flight(self._peers)
        return self._ask_each(free, room, now_ms)

    def _in_flight(self, peer_ids: Collection[str]) -> int:
        """Returns the chunks asked of some neighbours."""
        return sum(
            len(peer.in_flight)
            for peer_id, peer in self._peers.items()
            if peer_id in peer_ids
        )

    def _ask_each(
        self,
        free: Sequence[tuple[ids.VmId, Peer]],
        room: int,
        now_ms: clock.Millis,
    ) -> list[Action]:
        """Asks each for the rarest chunk it holds, for `room` at most."""
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
        wanted = (peer.held & self._needed) - self._fetching
        is_far = self._near is not None and peer_id not in self._near
        if is_far and peer_id not in self._relays:
            if self._leans_on_relays(now_ms):
                return None
            wanted = {i for i in wanted if self._may_import(i, now_ms)}
        if not wanted:
            return None
        fewest = min(self._holders[index] for index in wanted)
        rarest = [i for i in wanted if self._holders[i] == fewest]
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
        # The only near holder may have a link too slow for the whole region.
        rank = self._import_ranks[index % len(self._group_keys)]
        turn = rank + 2 * holders
        seen_ms = self._seen_ms.get(index, self._started_ms)
        return now_ms - seen_ms >= turn * self._policy.import_takeover_ms
