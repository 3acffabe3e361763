"""Permits to stop serving for a version swap, issued by each entry.

An agent whose engine cannot hold two versions must stop serving to swap. The
agent first requests a permit from every entry that it hears from, and swaps
only when all of them grant one. Each entry limits how many of the agents linked
to it hold a permit at once, and never permits the last ready one of several to
stop. The entries need no agreement among themselves.

Permits expire on both sides. The agent counts from before its first request and
uses a permit only in the first half of its validity; the entry counts from the
arrival of the request. The agent's expiry is therefore always the earlier one,
and the second half of the validity remains for reporting to the entries that
the agent has stopped.
"""

from __future__ import annotations

import collections
import enum

import msgspec

from marlramp import clock
from marlramp import ids

HOLD_MIN_MS = 3_000.0
HOLD_MAX_MS = 48_000.0
"""Shortest and longest validity of a permit; late answers extend it."""

USABLE_FRACTION = 0.5
"""Fraction of a permit's validity in which the agent may begin its swap."""

REQUEST_RETRY_FRACTION = 0.25
"""Fraction of a permit's validity after which the agent repeats its request to
an entry that has not answered, since the request or the answer may be lost."""

HOLD_MARGIN = 1.5
"""Usable time of a permit as a multiple of the time that the answers took."""

ATTEMPTS_KEPT = 256
"""Attempts whose start is kept, so that the delay of late answers is known."""

RETRY_MIN_MS = 200.0
RETRY_MAX_MS = 800.0
"""Range of the random wait after an attempt that got only some permits. The
agent gives these back before it waits; the random wait keeps two agents from
refusing each other for ever."""


class AttemptState(enum.Enum):
    """State of an agent's attempt to collect permits.

    OVER means that no attempt is in progress or that its time has expired.
    """

    WAITING = "waiting"
    PERMITTED = "permitted"
    REFUSED = "refused"
    OVER = "over"


class Replica(msgspec.Struct, frozen=True):
    """A replica of a service as an entry sees it.

    Attributes:
      vm_id: the replica's VM.
      ready: whether the replica serves and is not silent.
    """

    vm_id: ids.VmId
    ready: bool


class PermitRequest(msgspec.Struct, frozen=True):
    """An agent's request for a permit.

    Attributes:
      vm_id: the agent's VM.
      service_id: the agent's service.
      incarnation: the incarnation of the agent.
      number: number of the agent's attempt.
      hold_ms: validity that the agent requests.
    """

    vm_id: ids.VmId
    service_id: ids.ServiceId
    incarnation: ids.Incarnation
    number: int
    hold_ms: float


class _Permit(msgspec.Struct, frozen=True):
    """A permit and when it expires."""

    request: PermitRequest
    expires_ms: float


class PermitIssuer:
    """Issues the permits of one entry."""

    def __init__(self, started_ms: clock.Millis) -> None:
        """Starts without permits and refuses all requests for `HOLD_MIN_MS`.

        An earlier process of this entry may have issued permits that are still
        valid.
        """
        self._permits: dict[ids.VmId, _Permit] = {}
        self._refuse_until_ms = started_ms + HOLD_MIN_MS

    def try_issue(
        self,
        request: PermitRequest,
        replicas: list[Replica],
        out_fraction: float,
        *,
        allow_sole: bool,
        now_ms: clock.Millis,
    ) -> bool:
        """Issues a permit if the agent may stop serving.

        Args:
          request: the agent's request.
          replicas: all replicas of the agent's service.
          out_fraction: fraction of the replicas that may be out of service at
            once.
          allow_sole: whether a sole replica may stop.
          now_ms: time on the entry's clock.

        Returns:
          Whether the permit is issued.
        """
        self._expire(now_ms)
        if now_ms < self._refuse_until_ms:
            return False
        vm_id = request.vm_id
        others = [r for r in replicas if r.vm_id != vm_id]
        staying = [
            r for r in others if r.ready and r.vm_id not in self._permits
        ]
        unlinked = self._unlinked_count(request, others)
        if not staying:
            return allow_sole and not others and not unlinked
        out_max = max(1, int(out_fraction * len(replicas)))
        out = len(others) - len(staying) + unlinked
        if vm_id not in self._permits and out >= out_max:
            return False
        hold_ms = min(request.hold_ms, HOLD_MAX_MS)
        self._permits[vm_id] = _Permit(request, now_ms + hold_ms)
        return True

    def release(
        self, vm_id: ids.VmId, incarnation: ids.Incarnation, number: int
    ) -> None:
        """Revokes a permit of an attempt or of an earlier one.

        A permit of a later attempt, or of another incarnation, remains.
        """
        permit = self._permits.get(vm_id)
        if permit is None or permit.request.incarnation != incarnation:
            return
        if permit.request.number <= number:
            del self._permits[vm_id]

    def drop(self, vm_id: ids.VmId) -> None:
        """Revokes a permit when the agent serves again or has ended."""
        self._permits.pop(vm_id, None)

    def _unlinked_count(
        self, request: PermitRequest, others: list[Replica]
    ) -> int:
        """Returns how many permits are held by replicas whose link is lost.

        Such a replica may still run and use its permit, so the permit counts
        until it expires.
        """
        seen = {request.vm_id, *(r.vm_id for r in others)}
        return sum(
            vm_id not in seen
            and permit.request.service_id == request.service_id
            for vm_id, permit in self._permits.items()
        )

    def _expire(self, now_ms: clock.Millis) -> None:
        for vm_id, permit in list(self._permits.items()):
            if permit.expires_ms <= now_ms:
                del self._permits[vm_id]


class PermitCollector:
    """Collects a permit from each entry, for one agent.

    An attempt begins with `begin` and is over when `end` is called, or when a
    permit or the time for collecting permits expires.
    """

    def __init__(self, hold_max_ms: float = HOLD_MAX_MS) -> None:
        """Starts without an attempt.

        Args:
          hold_max_ms: longest validity of a permit.
        """
        self._hold_max_ms = hold_max_ms
        self._number = 0
        self._open = False
        self._refused = False
        self._hold_ms = HOLD_MIN_MS
        self._slowest_answer_ms = 0.0
        self._started_ms: collections.OrderedDict[int, clock.Millis] = (
            collections.OrderedDict()
        )
        self._requested_ms: dict[ids.VmId, clock.Millis] = {}
        self._usable_until_ms: dict[ids.VmId, float] = {}

    @property
    def number(self) -> int:
        """The number of the latest attempt, sent with each request."""
        return self._number

    @property
    def hold_ms(self) -> float:
        """The validity of the permits to request, in milliseconds."""
        return self._hold_ms

    @property
    def requested(self) -> list[ids.VmId]:
        """The entries that were sent a request in the latest attempt."""
        return list(self._requested_ms)

    def begin(self, now_ms: clock.Millis) -> None:
        """Starts an attempt."""
        self._number += 1
        self._open = True
        self._refused = False
        self._slowest_answer_ms = 0.0
        self._started_ms[self._number] = now_ms
        if len(self._started_ms) > ATTEMPTS_KEPT:
            self._started_ms.popitem(last=False)
        self._requested_ms.clear()
        self._usable_until_ms.clear()

    def next_requests(
        self, entry_ids: list[ids.VmId], now_ms: clock.Millis
    ) -> list[ids.VmId]:
        """Returns the entries to send a request to, and records them as sent.

        These are the entries that have granted no permit in this attempt and
        were sent no request in the last `REQUEST_RETRY_FRACTION` of a permit's
        validity.
        """
        horizon_ms = now_ms - REQUEST_RETRY_FRACTION * self._hold_ms
        found = [
            entry_id
            for entry_id in entry_ids
            if entry_id not in self._usable_until_ms
            and self._requested_ms.get(entry_id, float("-inf")) <= horizon_ms
        ]
        for entry_id in found:
            self._requested_ms[entry_id] = now_ms
        return found

    def handle_answer(
        self,
        entry_id: ids.VmId,
        number: int,
        granted: bool,
        ttl_ms: float,
        now_ms: clock.Millis,
    ) -> bool:
        """Records an entry's answer.

        The validity of a permit counts from the start of its attempt.

        Args:
          entry_id: the entry that answers.
          number: number of the attempt that the answer belongs to.
          granted: whether the entry issued a permit.
          ttl_ms: validity of the permit.
          now_ms: time on the agent's clock.

        Returns:
          Whether the answer is a permit to give back because its attempt is
          over.
        """
        attempt_started_ms = self._started_ms.get(number)
        if attempt_started_ms is None:
            return granted
        delay_ms = now_ms - attempt_started_ms
        if number != self._number or not self._open:
            self._hold_ms = max(self._hold_ms, self._hold_for(delay_ms))
            return granted
        self._slowest_answer_ms = max(self._slowest_answer_ms, delay_ms)
        if granted:
            usable_until_ms = attempt_started_ms + USABLE_FRACTION * min(
                ttl_ms, self._hold_ms
            )
            self._usable_until_ms[entry_id] = usable_until_ms
        else:
            self._refused = True
        return False

    def state(
        self, entry_ids: list[ids.VmId], now_ms: clock.Millis
    ) -> AttemptState:
        """Returns the state of the attempt.

        Args:
          entry_ids: the entries that the agent hears from; all must permit the
            swap.
          now_ms: time on the agent's clock.
        """
        if self._refused:
            return AttemptState.REFUSED
        if not self._open or self._is_over(now_ms):
            return AttemptState.OVER
        if entry_ids and self._usable_until_ms.keys() >= set(entry_ids):
            return AttemptState.PERMITTED
        return AttemptState.WAITING

    def end(self) -> None:
        """Ends the attempt; its permits have been used or are given back."""
        if self._open and self._usable_until_ms and not self._refused:
            hold_ms = self._hold_for(self._slowest_answer_ms)
            self._hold_ms = max(hold_ms, self._hold_ms / 2)
        self._open = False

    def _is_over(self, now_ms: clock.Millis) -> bool:
        attempt_started_ms = self._started_ms[self._number]
        expiries_ms = [
            attempt_started_ms + USABLE_FRACTION * self._hold_ms,
            *self._usable_until_ms.values(),
        ]
        return now_ms >= min(expiries_ms)

    def _hold_for(self, delay_ms: float) -> float:
        """Returns the validity of permits whose answers take `delay_ms`."""
        hold_ms = HOLD_MARGIN * delay_ms / USABLE_FRACTION
        return min(max(hold_ms, HOLD_MIN_MS), self._hold_max_ms)
