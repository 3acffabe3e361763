"""Rendezvous hashing: an order of nodes that every process computes alike."""

from __future__ import annotations

from collections.abc import Iterable

import blake3

_SCORE_BYTES = 8


def _score(key: str, node: str) -> bytes:
    digest = blake3.blake3(f"{key}\0{node}".encode())
    return digest.digest(length=_SCORE_BYTES)


def order[Node: str](key: str, nodes: Iterable[Node]) -> list[Node]:
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


def subset[Node: str](key: str, nodes: Iterable[Node], size: int) -> list[Node]:
    """Returns the first `size` nodes in the order for `key`."""
    return order(key, nodes)[:size]
