from __future__ import annotations

import itertools

import pytest

from marlramp import clock
from marlramp import ids
from marlramp.core.grant_calls import queueing

_numbers = itertools.count()


def waiting(
    customer: str,
    priority: queueing.Priority = queueing.Priority.NORMAL,
    cost: float = 1.0,
    deadline_ms: float = 1e9,
) -> queueing.WaitingRequest:
    return queueing.WaitingRequest(
        ids.RequestId(str(next(_numbers))),
        ids.CustomerId(customer),
        ids.ServiceId("pool"),
        priority,
        cost,
        deadline_ms,
    )


@pytest.fixture
def queue() -> queueing.FairQueue:
    return queueing.FairQueue(6)


def pop_customers(queue: queueing.FairQueue) -> list[str]:
    popped = []
    while (found := queue.pop()) is not None:
        popped.append(found.customer_id)
    return popped


def test_customers_alternate(queue: queueing.FairQueue) -> None:
    for customer in ("flood", "flood", "flood", "small", "small"):
        queue.push(waiting(customer))
    assert pop_customers(queue)[:4] == ["flood", "small", "flood", "small"]


def test_fairness_counts_cost_and_not_requests(
    queue: queueing.FairQueue,
) -> None:
    for customer, cost in (("long", 9.0), ("long", 9.0), ("short", 3.0)):
        queue.push(waiting(customer, cost=cost))
    queue.push(waiting("short", cost=3.0))
    assert pop_customers(queue) == ["long", "short", "short", "long"]


def test_higher_priority_goes_first(queue: queueing.FairQueue) -> None:
    queue.push(waiting("a", queueing.Priority.LOW))
    queue.push(waiting("b", queueing.Priority.HIGH))
    assert pop_customers(queue) == ["b", "a"]


def test_full_queue_displaces_the_flooding_customer(
    queue: queueing.FairQueue,
) -> None:
    for _ in range(6):
        queue.push(waiting("flood"))
    displaced = queue.push(waiting("small"))
    assert displaced is not None
    assert displaced.customer_id == "flood"
    newcomer = waiting("flood")
    assert queue.push(newcomer) is newcomer


def test_full_queue_displaces_lower_priority(
    queue: queueing.FairQueue,
) -> None:
    for _ in range(6):
        queue.push(waiting("a", queueing.Priority.LOW))
    displaced = queue.push(waiting("a", queueing.Priority.HIGH))
    assert displaced is not None
    assert displaced.priority is queueing.Priority.LOW


def test_expired_requests_leave_the_queue(queue: queueing.FairQueue) -> None:
    late = waiting("a", deadline_ms=5.0)
    queue.push(late)
    queue.push(waiting("a"))
    assert queue.pop_expired(clock.Millis(6.0)) == [late]
    assert len(queue) == 1
