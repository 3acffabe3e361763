"""Encoding of messages: a version byte, then MessagePack by msgspec."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

import msgspec

from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

MessageT = TypeVar("MessageT")

_VERSION_PREFIX = bytes([messages.PROTOCOL_VERSION])


class DecodeError(Exception):
    """A received message that cannot be used.

    Attributes:
      reason: short name for the counter of dropped messages.
    """

    def __init__(self, reason: str, detail: str) -> None:
        """Records the reason and its detail."""
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


_encoder = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Returns the bytes of a message."""
    return _VERSION_PREFIX + _encoder.encode(message)


class Encoded(msgspec.Struct, frozen=True):
    """An encoded message, to be sent to several.

    Attributes:
      kind: name of its class, for counters.
      data: its bytes.
    """

    kind: str
    data: bytes


def encode_once(message: msgspec.Struct) -> Encoded:
    """Returns a message encoded for several receivers."""
    return Encoded(type(message).__name__, encode(message))


class Decoder(Generic[MessageT]):
    """Decodes messages from one direction and rejects all others."""

    def __init__(self, message_type: type[MessageT]) -> None:
        """Accepts only the members of `message_type`."""
        self._decoder = msgspec.msgpack.Decoder(message_type)

    def decode(self, data: bytes) -> MessageT:
        """Returns the message in `data`.

        Raises:
          DecodeError: if it is too large, of another protocol version,
            malformed or of a kind not expected here.
        """
        if len(data) > messages.MESSAGE_BYTES_MAX:
            raise DecodeError("oversized", f"{len(data)} bytes")
        if data[:1] != _VERSION_PREFIX:
            raise DecodeError("protocol_version", repr(data[:1]))
        try:
            return self._decoder.decode(memoryview(data)[1:])
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError) as error:
            raise DecodeError("malformed", str(error)) from error


def agent_decoder() -> Decoder[messages.FromAgent]:
    """Returns a decoder for messages from agents to entries."""
    return Decoder(messages.FromAgent)  # type: ignore[arg-type]


def entry_decoder() -> Decoder[messages.FromEntry]:
    """Returns a decoder for messages from entries to agents."""
    return Decoder(messages.FromEntry)  # type: ignore[arg-type]


def peer_decoder() -> Decoder[messages.FromPeer]:
    """Returns a decoder for messages between agents."""
    return Decoder(messages.FromPeer)  # type: ignore[arg-type]


def member_decoder() -> Decoder[fleet_messages.FromMember]:
    """Returns a decoder for messages between members on the direct path."""
    return Decoder(fleet_messages.FromMember)  # type: ignore[arg-type]


def agent_peer_decoder() -> Decoder[fleet_messages.FromAgentPeer]:
    """Returns a decoder for messages between agents on the direct path."""
    return Decoder(fleet_messages.FromAgentPeer)  # type: ignore[arg-type]
