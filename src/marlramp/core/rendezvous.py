"""Rendezvous hashing: an order of nodes that every process computes alike."""

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
    """Returns a number from 0 up to 1 that every process computes alike."""
    digest = blake3.blake3(key.encode()).digest(length=_SCORE_BYTES)
    return int.from_bytes(digest) / 256.0**_SCORE_BYTES


def subset(key: str, nodes: Iterable[Node], size: int) -> list[Node]:
    """Returns the first `size` nodes in the order for `key`."""
    return order(key, nodes)[:size]


def balanced_orders(
    keys: Sequence[str], nodes: Iterable[Node]
) -> list[list[Node]]:
    """Returns an order for each key in which no node is first too often.

    Each node is first for at most its equal share of the keys, rounded up:
    the one that has most work decides when all is done. Where plain orders
    give a node more, its further keys go to the next in their orders.

    Args:
      keys: what is to be divided, in the same order everywhere.
      nodes: who divides it; everyone who names the same gets the same orders.
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
