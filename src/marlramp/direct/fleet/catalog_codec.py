"""Encodes catalog changes for messages between processes."""

from __future__ import annotations

from typing import Annotated
import zlib

import msgspec

from marlramp.core.configuration import catalog

CHANGES_MAX = 65_536
"""Most changes in one message, a multiple of the replicas of a fleet."""

_Changes = Annotated[
    list[catalog.ConfigChange | catalog.TargetChange | catalog.ReplicaChange],
    msgspec.Meta(max_length=CHANGES_MAX),
]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Changes)

UNPACKED_BYTES_MAX = 16_777_216
"""Maximum decompressed size in bytes that a receiver accepts."""


def pack(changes: list[catalog.Change]) -> bytes:
    """Returns changes encoded and compressed, without those of evacuations.

    Compression reduces a configuration to a sixth of its size.
    """
    packed = [
        change
        for change in changes
        if not isinstance(change, catalog.EvacuationChange)
    ]
    return zlib.compress(_encoder.encode(packed))


def evacuations_of(
    changes: list[catalog.Change],
) -> list[catalog.EvacuationChange]:
    """Returns the changes of evacuations, which `pack` omits."""
    return [
        change
        for change in changes
        if isinstance(change, catalog.EvacuationChange)
    ]


def unpack(data: bytes) -> list[catalog.Change]:
    """Returns the changes that `pack` encoded.

    Raises:
      ValueError: if the data is malformed or too large.
    """
    unpacker = zlib.decompressobj()
    try:
        raw = unpacker.decompress(data, UNPACKED_BYTES_MAX)
    except zlib.error as error:
        raise ValueError(f"changes: {error}") from error
    if unpacker.unconsumed_tail:
        raise ValueError("changes are too large")
    changes: list[catalog.Change] = [*_decoder.decode(raw)]
    return changes
