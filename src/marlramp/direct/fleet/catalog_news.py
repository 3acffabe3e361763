"""Packs changes of the catalog into messages between processes."""

from __future__ import annotations

import zlib

import msgspec

from marlramp.core import catalog

_Changes = list[
    catalog.ConfigChange | catalog.TargetChange | catalog.ReplicaChange
]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Changes)

UNPACKED_BYTES_MAX = 16_777_216
"""Size of changes that a receiver is willing to unpack."""


def pack(changes: list[catalog.Change]) -> bytes:
    """Returns changes in compact form: a configuration shrinks sixfold."""
    return zlib.compress(_encoder.encode(changes))


def unpack(data: bytes) -> list[catalog.Change]:
    """Returns the changes in a message.

    Raises:
      ValueError: if they are malformed or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(data, UNPACKED_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"changes: {error}") from error
    if unpacker.unconsumed_tail:
        raise ValueError("changes are too large")
    changes: list[catalog.Change] = _decoder.decode(raw)
    return changes
