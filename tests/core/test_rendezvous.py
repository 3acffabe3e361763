from __future__ import annotations

import collections

from marlramp.core import rendezvous

KEYS = [f"piece-{n}" for n in range(64)]
NODES = [f"vm-{n}" for n in range(15)]


def firsts(nodes: list[str]) -> list[str]:
    return [order[0] for order in rendezvous.balanced_orders(KEYS, nodes)]


def test_no_node_is_first_more_often_than_its_share() -> None:
    counts = collections.Counter(firsts(NODES))
    assert max(counts.values()) <= 5
    plain = [rendezvous.order(key, NODES)[0] for key in KEYS]
    assert max(collections.Counter(plain).values()) > 5


def test_orders_hold_every_node_once_and_ignore_the_order_of_nodes() -> None:
    orders = rendezvous.balanced_orders(KEYS, NODES)
    assert all(sorted(order) == sorted(NODES) for order in orders)
    assert orders == rendezvous.balanced_orders(KEYS, list(reversed(NODES)))


def test_removing_a_node_changes_few_first_nodes() -> None:
    before = firsts(NODES)
    after = firsts(NODES[1:])
    moved = sum(a != b for a, b in zip(before, after, strict=True))
    assert moved <= 2 * 5
