"""Decides when, and from which source, an entry fetches the pieces it relays.

Load pattern: the origin's link carries one copy of a version in seconds, and
concurrent fetches share this link. Therefore the pieces leave the origin in
their order, and each is requested at the time at which those before it have
left. The agents then have the first pieces while the last ones still leave the
origin. After an outage of the origin, no piece that another entry already holds
is fetched from the origin again.
"""

from __future__ import annotations

import collections
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core.weights import mismatch_backoff
from marlramp.core.weights import origin_retry_slots
from marlramp.core.weights import relay_assignment

ORIGIN_FETCHES_MAX = 2
"""Pieces that one entry fetches from the origin at once while the pieces leave
it in order."""

OVERDUE_ORIGIN_FETCHES_MAX = 4
"""Pieces that one entry fetches from the origin at once after the time at which
all pieces should have left it. The origin was then unavailable, and its link
would be idle between the fetches of an entry that fetches one after another."""

CONNECTIONS_SHARE = 0.5
"""Fraction of the origin's connections that all entries together may open. The
origin resets connections beyond its limit, and the pieces that they were to
carry are retried later than the others."""

PEER_REQUESTS_MAX = 4
"""Pieces that are requested from other processes at once."""

FAR_REQUESTS_MAX = 2
"""Pieces that are requested from entries of other regions at once. What all
entries of a region request at once queues on one link, and live answers queue
behind it."""

TAKEOVER_MS = 500.0
"""Wait per rank before another entry fetches a piece from the origin. It covers
the transfer of the piece over the shared link of the origin, and the
announcement of the piece by the entry that fetched it."""

OUTAGE_TAKEOVER_MS = 6_000.0
"""Wait per rank before another entry fetches a piece while the origin does not
answer. The entries that precede it retry all the time, and pieces that several
entries fetch once the origin has recovered delay all other pieces."""

SLOTS_AFTER_FAILURES = 2
"""Consecutive fetches of one piece without an answer after which the missing
pieces are retried in slots. Up to this number, the cause may be a connection
that the origin reset, and the fetch is retried sooner."""

NEW_VERSION_MS = 2_000.0
"""A version that was announced less than this time ago is new: no other entry
holds it from before."""

HOLDER_QUERY_MS = 150.0
"""Wait before an entry fetches a version from the origin that other entries may
hold already and that an agent lacks. It covers the round trip of a query to
those entries."""

NO_DEMAND_WAIT_MS = 3_000.0
"""Wait before an entry fetches a version from the origin that other entries may
hold already and that no agent is known to lack. The holders have announced it
by then, so that nothing leaves the origin."""

REQUEST_TIMEOUT_MS = 700.0
"""Time without a reply from another process after which a piece is requested
elsewhere."""

PEER_BACKOFF_MS = 1_000.0
"""Time for which nothing is requested from a process that was late, refused a
request or sent a corrupt piece."""


class FetchFromPeer(msgspec.Struct, frozen=True):
    """Request a piece from another process."""

    peer: str
    index: int


class FetchFromOrigin(msgspec.Struct, frozen=True):
    """Fetch a piece from the origin."""

    index: int


class CancelFetch(msgspec.Struct, frozen=True):
    """Cancel the request for a piece that is late."""

    index: int


Action: TypeAlias = FetchFromPeer | FetchFromOrigin | CancelFetch


class _Request(msgspec.Struct, frozen=True):
    """A request for a piece that was sent to another process."""

    peer: str
    sent_ms: float


class RelayFetch:
    """Fetch state of the pieces of one version that an entry relays."""

    def __init__(
        self,
        piece_ms: float,
        connections: int,
        age_ms: float | None,
        now_ms: clock.Millis,
    ) -> None:
        """Starts without assignments, until `set_assignments` is called.

        Args:
          piece_ms: time that a piece takes to leave the origin.
          connections: number of connections that the origin accepts in total.
          age_ms: time since the version was announced, None if it is not known.
          now_ms: the current time.
        """
        self._piece_ms = piece_ms
        self._connections = connections
        self._named_ms = now_ms if age_ms is None else now_ms - age_ms
        is_new = age_ms is not None and age_ms < NEW_VERSION_MS
        self._uses_far_sources = is_new
        self._first_fetch_ms: float = now_ms + (
            0.0 if is_new else NO_DEMAND_WAIT_MS
        )
        self._entries = 1
        self._assignments: Mapping[int, relay_assignment.Assignment] = {}
        self._held: set[int] = set()
        self._holders: dict[int, set[str]] = {}
        self._requests: dict[int, _Request] = {}
        self._origin_fetches: set[int] = set()
        self._mismatches = mismatch_backoff.MismatchBackoff()
        self._backoff_until_ms: dict[str, float] = {}
        self._origin_not_before_ms = float("-inf")
        self._origin_failed_ms = float("-inf")
        self._failures: collections.Counter[int] = collections.Counter()
        self._slots_ms: dict[int, float] = {}
        self._update_ms = float("-inf")

    @property
    def complete(self) -> bool:
        """Whether all assigned pieces are held."""
        return self._assignments.keys() <= self._held

    @property
    def sources(self) -> set[str]:
        """Entries that the assigned pieces can be requested from."""
        return {
            s
            for assignment in self._assignments.values()
            for s in assignment.sources
        }

    def record_demand(self, now_ms: clock.Millis) -> None:
        """Records that an agent lacks the version.

        The wait is shortened, and pieces may come from other regions: without
        demand, the agents near this entry hold the pieces, and announce them
        once they have verified them.
        """
        self._uses_far_sources = True
        self._first_fetch_ms = min(
            self._first_fetch_ms, now_ms + HOLDER_QUERY_MS
        )

    def set_assignments(
        self,
        assignments: Mapping[int, relay_assignment.Assignment],
        entries: int,
    ) -> None:
        """Sets the assignments, which change with the members.

        Args:
          assignments: the assignments of this entry, by the index of the piece.
          entries: number of entries that have assignments, including this one.
        """
        self._assignments = assignments
        self._entries = entries

    def record_holdings(
        self, peer: str, indexes: Collection[int], now_ms: clock.Millis
    ) -> None:
        """Records pieces that another process holds."""
        for index in indexes:
            holders = self._holders.setdefault(index, set())
            if not holders:
                self._update_ms = now_ms
            holders.add(peer)

    def remove_peer(self, peer: str) -> None:
        """Removes a process that is lost, and the requests sent to it."""
        for holders in self._holders.values():
            holders.discard(peer)
        for index, request in list(self._requests.items()):
            if request.peer == peer:
                del self._requests[index]

    def record_held(self, index: int, now_ms: clock.Millis) -> None:
        """Records that this entry now holds a piece."""
        self._held.add(index)
        self._requests.pop(index, None)
        self._slots_ms.pop(index, None)
        self._mismatches.clear(index)
        if index in self._origin_fetches:
            self._origin_fetches.discard(index)
            self._update_ms = now_ms

    def record_mismatch(
        self, index: int, peer: str | None, now_ms: clock.Millis
    ) -> None:
        """Records that the bytes of a piece did not match its digest.

        Args:
          index: index of the piece.
          peer: process that sent it, None for the origin.
          now_ms: the current time.
        """
        self._mismatches.record_mismatch(index, now_ms)
        self.record_failed_request(index, peer, now_ms)

    def record_failed_request(
        self, index: int, peer: str | None, now_ms: clock.Millis
    ) -> None:
        """Records that a piece did not arrive.

        Args:
          index: index of the piece.
          peer: process that it was requested from, None for the origin.
          now_ms: the current time.
        """
        if peer is None:
            self._origin_fetches.discard(index)
            return
        request = self._requests.get(index)
        if request is not None and request.peer == peer:
            del self._requests[index]
        self._backoff_until_ms[peer] = now_ms + PEER_BACKOFF_MS
        # The process may be gone. If it is not, it announces its pieces again.
        self._holders.get(index, set()).discard(peer)

    def record_origin_failure(
        self,
        index: int,
        retry_after_ms: float,
        now_ms: clock.Millis,
        missing: Sequence[int] = (),
    ) -> None:
        """Records that the origin did not answer a fetch.

        Args:
          index: index of the piece.
          retry_after_ms: wait before the next fetch from the origin.
          now_ms: the current time.
          missing: indexes of the pieces without a known holder, in ascending
            order. They are retried in slots; if there are none, no slots are
            assigned.
        """
        self._origin_fetches.discard(index)
        if not self._origin_is_down:
            self._failures.clear()
        self._failures[index] += 1
        self._origin_failed_ms = now_ms
        self._origin_not_before_ms = now_ms + retry_after_ms
        self._slots_ms.pop(index, None)
        if missing:
            self._assign_slots(missing)

    def _assign_slots(self, missing: Sequence[int]) -> None:
        """Assigns the pieces that are not held their next retry slots.

        Pieces that other entries fetch first get a new slot with each failure,
        because the wait of this entry starts with the failure.
        """
        uses_slots = max(self._failures.values()) > SLOTS_AFTER_FAILURES
        for index, assignment in self._assignments.items():
            if index in self._held:
                continue
            if assignment.rank == 0 and (
                index in self._slots_ms or not uses_slots
            ):
                continue
            self._slots_ms[index] = origin_retry_slots.next_slot_ms(
                index,
                missing,
                self._piece_ms,
                self._named_ms,
                self._origin_not_before_ms
                + assignment.rank * OUTAGE_TAKEOVER_MS,
                assignment.rank,
            )

    def next_actions(
        self, now_ms: clock.Millis, *, may_use_origin: bool = True
    ) -> list[Action]:
        """Returns the requests to send and to cancel now.

        Args:
          now_ms: the current time.
          may_use_origin: whether the version may be fetched from the origin,
            because it is the newest one or was requested recently.
        """
        actions = self._cancel_late(now_ms)
        for index, assignment in self._assignments.items():
            if index in self._held or index in self._requests:
                continue
            if not self._mismatches.may_request(index, now_ms):
                continue
            peer = self._source(index, assignment, now_ms)
            if peer is not None:
                if (
                    len(self._requests) < PEER_REQUESTS_MAX
                    and index not in self._origin_fetches
                ):
                    self._requests[index] = _Request(peer, now_ms)
                    actions.append(FetchFromPeer(peer, index))
            elif self._holders.get(index):
                # Another process holds the piece and can send it soon.
                continue
            elif may_use_origin and self._may_fetch_from_origin(
                index, assignment, now_ms
            ):
                self._origin_fetches.add(index)
                actions.append(FetchFromOrigin(index))
        return actions

    def _cancel_late(self, now_ms: clock.Millis) -> list[Action]:
        late = [
            index
            for index, request in self._requests.items()
            if now_ms - request.sent_ms > REQUEST_TIMEOUT_MS
        ]
        for index in late:
            self.record_failed_request(
                index, self._requests[index].peer, now_ms
            )
        return [CancelFetch(index) for index in late]

    def _source(
        self,
        index: int,
        assignment: relay_assignment.Assignment,
        now_ms: clock.Millis,
    ) -> str | None:
        """Returns the process to request a piece from, None if there is none.

        The entry of the own region comes first, then agents, then entries of
        other regions.
        """
        holders = self._holders.get(index, set())
        near = [assignment.near] if assignment.near in holders else []
        agents = sorted(holders.difference(assignment.sources))
        if agents:
            # Spreads requests over the agents: their links are narrow, and each
            # of them holds all pieces.
            first = index % len(agents)
            agents = agents[first:] + agents[:first]
        far = [name for name in assignment.far if name in holders]
        if (
            not self._uses_far_sources
            or now_ms < self._first_fetch_ms
            or self._far_requests() >= FAR_REQUESTS_MAX
        ):
            far = []
        for name in [*near, *agents, *far]:
            if self._backoff_until_ms.get(name, 0.0) <= now_ms:
                return name
        return None

    def _far_requests(self) -> int:
        """Returns the number of pieces in flight from other regions."""
        return sum(
            request.peer in self._assignments[index].far
            for index, request in self._requests.items()
            if index in self._assignments
        )

    def _may_fetch_from_origin(
        self,
        index: int,
        assignment: relay_assignment.Assignment,
        now_ms: clock.Millis,
    ) -> bool:
        if index in self._origin_fetches or now_ms < self._origin_not_before_ms:
            return False
        if len(self._origin_fetches) >= self._origin_fetches_max(now_ms):
            return False
        planned_ms = max(
            self._first_fetch_ms, self._named_ms + index * self._piece_ms
        )
        slot_ms = self._slots_ms.get(index, planned_ms)
        if assignment.rank == 0:
            return now_ms >= max(planned_ms, slot_ms)
        if self._origin_is_down:
            wait_ms = assignment.rank * OUTAGE_TAKEOVER_MS
            since_ms = max(planned_ms, self._origin_failed_ms)
            return now_ms >= max(since_ms + wait_ms, slot_ms)
        since_ms = planned_ms
        if self._origin_failed_ms > float("-inf"):
            # After an outage pieces arrive late, and the entries that precede
            # this one are already fetching them.
            since_ms = max(planned_ms, self._update_ms)
        return now_ms >= since_ms + assignment.rank * TAKEOVER_MS

    @property
    def _origin_is_down(self) -> bool:
        """Whether no piece is known to have left the origin since it failed."""
        return self._origin_failed_ms > self._update_ms

    def _origin_fetches_max(self, now_ms: clock.Millis) -> int:
        """Returns how many pieces may be fetched from the origin at once."""
        if self._origin_is_down:
            return 1
        last = max(self._assignments, default=0)
        last_due_ms = self._named_ms + (last + 1) * self._piece_ms
        usual = (
            OVERDUE_ORIGIN_FETCHES_MAX
            if now_ms > last_due_ms
            else ORIGIN_FETCHES_MAX
        )
        fair_share = CONNECTIONS_SHARE * self._connections / self._entries
        return max(1, min(usual, int(fair_share)))
