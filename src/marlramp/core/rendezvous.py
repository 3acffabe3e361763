"""Rendezvous hashing: every process computes an identical order of nodes."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence
from typing import TypeVar

import blake3

Node = TypeVar("Node", bound=str)

_SCORE_BYTES = 8


def _score(key: str, node: str) -> bytes:
    digest = blake3.blake3(f"{key}\0{node}".encode())
    return digest.digest(length=_SCORE_BYTES)


def order(key: str, nodes: Iterable[Node]) -> list[Node]:
    """Returns the nodes ordered by their score for `key`, highest first.

    Removing a node leaves the order of the others unchanged.
    """
    return sorted(
        nodes, key=lambda node: (_score(key, node), node), reverse=True
    )


def fraction(key: str) -> float:
    """Returns a hash of `key` in [0, 1), identical in every process."""
    digest = blake3.blake3(key.encode()).digest(length=_SCORE_BYTES)
    return int.from_bytes(digest) / 256.0**_SCORE_BYTES


def subset(key: str, nodes: Iterable[Node], size: int) -> list[Node]:
    """Returns the first `size` nodes in the order for `key`."""
    return order(key, nodes)[:size]


def balanced_orders(
    keys: Sequence[str], nodes: Iterable[Node]
) -> list[list[Node]]:
    """Returns an order of the nodes for each key, with balanced first nodes.

    Each node is first for at most its equal share of the keys, rounded up,
    since the node with the most work determines when all work is done. Where
    the plain rendezvous order makes a node first for more keys, the first
    node of each further key is the next one in its order below that share.

    Args:
      keys: keys to divide; every process must pass them in an identical order.
      nodes: nodes to divide the keys among, in any order.

    Returns:
      One order of all nodes for each key, identical in every process.
    """
    members = set(nodes)
    share = -(-len(keys) // max(1, len(members)))
    firsts = dict.fromkeys(members, 0)
    orders = []
    for key in keys:
        ordered = order(key, members)
        first = next((n for n in ordered if firsts[n] < share), None)
        if first is not None:
            firsts[first] += 1
            ordered.remove(first)
            ordered.insert(0, first)
        orders.append(ordered)
    return orders
