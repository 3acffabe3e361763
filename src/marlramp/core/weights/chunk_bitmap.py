"""Converts sets of chunk indexes to the bitmaps that messages carry."""

from __future__ import annotations


def to_bitmap(indexes: set[int]) -> bytes:
    """Returns chunk indexes as a bitmap, least significant bit first."""
    if not indexes:
        return b""
    bits = bytearray(max(indexes) // 8 + 1)
    for index in indexes:
        bits[index // 8] |= 1 << (index % 8)
    return bytes(bits)


def from_bitmap(bitmap: bytes) -> list[int]:
    """Returns the chunk indexes in a bitmap, in ascending order."""
    return [
        8 * position + bit
        for position, byte in enumerate(bitmap)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    ]
