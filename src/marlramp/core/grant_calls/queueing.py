"""Queues an entry's waiting requests by priority, then fairly by customer."""

from __future__ import annotations

import collections
import enum
import itertools

import msgspec

from marlramp import clock
from marlramp import ids


class Priority(enum.IntEnum):
    """Priority of a request. Higher priorities are always served first."""

    LOW = 0
    NORMAL = 1
    HIGH = 2


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that waits for a grant, an agent's single-use permission.

    Attributes:
      request_id: id of the request.
      customer_id: the customer that sent the request.
      service_id: the service that the request needs.
      priority: priority of the request.
      cost: expected work in tokens, by which customers share the service.
      deadline_ms: reading of the entry's clock at which the request expires.
    """

    request_id: ids.RequestId
    customer_id: ids.CustomerId
    service_id: ids.ServiceId
    priority: Priority
    cost: float
    deadline_ms: float


class FairQueue:
    """Queue of one service, with start-time fair queueing per customer.

    Each customer has a virtual time that grows by the cost of each request
    served. Among the customers with requests of the highest waiting priority,
    the one with the lowest virtual time is served next.

    A full queue evicts a request of the lowest priority, counting the new
    request. Among the customers with requests of that priority, the one with
    the most waiting requests of all priorities loses its latest one. Within one
    priority, a customer that floods the queue therefore displaces only its own
    requests; a flood of higher priority also displaces requests of lower
    priority of other customers.
    """

    def __init__(self, length_max: int) -> None:
        """Creates an empty queue.

        Args:
          length_max: largest number of waiting requests.
        """
        self.length_max = length_max
        self._lanes: dict[
            tuple[Priority, ids.CustomerId], collections.deque[WaitingRequest]
        ] = {}
        self._virtual: dict[ids.CustomerId, float] = {}
        self._virtual_now = 0.0
        self._length = 0

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return self._length

    def ahead(
        self, priority: Priority, customer_id: ids.CustomerId
    ) -> list[WaitingRequest]:
        """Estimates which requests would be served before a new request.

        These are all requests of higher priority and, of equal priority, the
        customer's own n requests and up to n + 1 of each other customer.
        """
        own = self._lanes.get((priority, customer_id), ())
        found: list[WaitingRequest] = []
        for (other_priority, other_id), lane in self._lanes.items():
            if other_priority > priority or other_id == customer_id:
                count = len(lane) if other_priority >= priority else 0
            elif other_priority == priority:
                count = len(own) + 1
            else:
                count = 0
            found.extend(itertools.islice(lane, count))
        return found

    def push(self, waiting: WaitingRequest) -> WaitingRequest | None:
        """Adds a request.

        Returns:
          The request that was displaced to make room, which may be the added
          one, or None.
        """
        displaced = None
        if self._length >= self.length_max:
            displaced = self._displace(waiting)
            if displaced is waiting:
                return waiting
        if not any(c == waiting.customer_id for _, c in self._lanes):
            start = self._virtual.get(waiting.customer_id, 0.0)
            self._virtual[waiting.customer_id] = max(start, self._virtual_now)
        key = (waiting.priority, waiting.customer_id)
        self._lanes.setdefault(key, collections.deque()).append(waiting)
        self._length += 1
        return displaced

    def pop(self) -> WaitingRequest | None:
        """Removes and returns the request to serve next, None if empty."""
        if not self._lanes:
            return None
        top = max(priority for priority, _ in self._lanes)
        customer_id = min(
            (customer for priority, customer in self._lanes if priority == top),
            key=lambda customer: (self._virtual[customer], customer),
        )
        waiting = self._lanes[top, customer_id][0]
        self._remove(waiting)
        self._virtual_now = self._virtual[customer_id]
        self._virtual[customer_id] += waiting.cost
        return waiting

    def push_front(self, waiting: WaitingRequest) -> None:
        """Puts back a popped request that could not be started."""
        key = (waiting.priority, waiting.customer_id)
        self._lanes.setdefault(key, collections.deque()).appendleft(waiting)
        self._length += 1
        self._virtual[waiting.customer_id] -= waiting.cost

    def remove(self, waiting: WaitingRequest) -> bool:
        """Removes a request; returns whether it was waiting."""
        lane = self._lanes.get((waiting.priority, waiting.customer_id))
        if lane is None or waiting not in lane:
            return False
        self._remove(waiting)
        return True

    def pop_expired(self, now_ms: clock.Millis) -> list[WaitingRequest]:
        """Removes and returns the requests whose deadline has passed."""
        late = [
            waiting
            for lane in self._lanes.values()
            for waiting in lane
            if waiting.deadline_ms <= now_ms
        ]
        for waiting in late:
            self._remove(waiting)
        return late

    def _displace(self, newcomer: WaitingRequest) -> WaitingRequest:
        counts: collections.Counter[ids.CustomerId] = collections.Counter()
        for (_, customer), lane in self._lanes.items():
            counts[customer] += len(lane)
        counts[newcomer.customer_id] += 1
        lowest = min(priority for priority, _ in self._lanes)
        if newcomer.priority < lowest:
            return newcomer
        candidates = {c for p, c in self._lanes if p == lowest}
        if newcomer.priority == lowest:
            candidates.add(newcomer.customer_id)
        victim = max(
            candidates, key=lambda customer: (counts[customer], customer)
        )
        if victim == newcomer.customer_id and newcomer.priority == lowest:
            return newcomer
        displaced = self._lanes[lowest, victim][-1]
        self._remove(displaced)
        return displaced

    def _remove(self, waiting: WaitingRequest) -> None:
        key = (waiting.priority, waiting.customer_id)
        lane = self._lanes[key]
        lane.remove(waiting)
        self._length -= 1
        if not lane:
            del self._lanes[key]
