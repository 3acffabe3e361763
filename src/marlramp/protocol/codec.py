"""Encodes messages as a protocol version byte followed by MessagePack."""

from __future__ import annotations

from typing import Generic
from typing import TypeVar

import msgspec

from marlramp import decoding
from marlramp.protocol import fleet_messages
from marlramp.protocol import messages

MessageT = TypeVar("MessageT")

_VERSION_PREFIX = bytes([messages.PROTOCOL_VERSION])


class DecodeError(Exception):
    """Raised for a received message that cannot be decoded.

    Attributes:
      reason: label that counts dropped messages by cause.
    """

    def __init__(self, reason: str, detail: str) -> None:
        """Creates an error with a reason and a description of the cause."""
        super().__init__(f"{reason}: {detail}")
        self.reason = reason


_encoder = msgspec.msgpack.Encoder()


def encode(message: msgspec.Struct) -> bytes:
    """Returns the encoding of a message."""
    return _VERSION_PREFIX + _encoder.encode(message)


class Encoded(msgspec.Struct, frozen=True):
    """A message encoded once to be sent to several receivers.

    Attributes:
      kind: class name of the message, used as a counter label.
      data: encoding of the message.
    """

    kind: str
    data: bytes


def encode_once(message: msgspec.Struct) -> Encoded:
    """Encodes a message once to be sent to several receivers."""
    return Encoded(type(message).__name__, encode(message))


class Decoder(Generic[MessageT]):
    """Decodes the message types of one direction and rejects all others."""

    def __init__(self, message_type: type[MessageT]) -> None:
        """Creates a decoder for the members of the union `message_type`."""
        self._decoder = msgspec.msgpack.Decoder(message_type)

    def decode(self, data: bytes) -> MessageT:
        """Returns the message in `data`.

        Raises:
          DecodeError: if the message is too large, has another protocol
            version, is malformed or is of a type that this decoder does not
            accept.
        """
        if len(data) > messages.MESSAGE_BYTES_MAX:
            raise DecodeError("oversized", f"{len(data)} bytes")
        if data[:1] != _VERSION_PREFIX:
            raise DecodeError("protocol_version", repr(data[:1]))
        try:
            return self._decoder.decode(memoryview(data)[1:])
        except decoding.MALFORMED as error:
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
