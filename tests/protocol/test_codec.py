from __future__ import annotations

from hypothesis import given
from hypothesis import strategies
import pytest

from marlramp.protocol import codec
from marlramp.protocol import messages

DECODERS = [
    codec.agent_decoder(),
    codec.entry_decoder(),
    codec.peer_decoder(),
]


@given(data=strategies.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    """Guards against an unexpected exception for arbitrary input."""
    for decoder in DECODERS:
        for candidate in (data, b"\x01" + data):
            try:
                decoder.decode(candidate)
            except codec.DecodeError as error:
                assert error.reason


@given(data=strategies.data())
def test_damaged_messages_are_decoded_or_refused(
    data: strategies.DataObject,
) -> None:
    """Guards against an unexpected exception for a damaged message."""
    message = messages.PeerHave(manifest="m", indexes=[1, 2], seen=[3])
    encoded = bytearray(codec.encode(message))
    position = data.draw(strategies.integers(0, len(encoded) - 1))
    encoded[position] = data.draw(strategies.integers(0, 255))
    try:
        codec.peer_decoder().decode(bytes(encoded))
    except codec.DecodeError as error:
        assert error.reason


def test_message_of_another_direction_is_refused() -> None:
    """Guards against an entry that handles a message meant for an agent."""
    encoded = codec.encode(messages.Reserve(request_id="a"))
    with pytest.raises(codec.DecodeError) as caught:
        codec.agent_decoder().decode(encoded)
    assert caught.value.reason == "malformed"


def test_other_protocol_version_is_refused() -> None:
    """Guards against decoding a message whose format may differ."""
    encoded = codec.encode(messages.Reserve(request_id="a"))
    with pytest.raises(codec.DecodeError) as caught:
        codec.entry_decoder().decode(b"\x02" + encoded[1:])
    assert caught.value.reason == "protocol_version"


def test_oversized_message_is_refused() -> None:
    """Guards against decoding a message of unbounded size."""
    with pytest.raises(codec.DecodeError) as caught:
        codec.peer_decoder().decode(b"\x01" * (messages.MESSAGE_BYTES_MAX + 1))
    assert caught.value.reason == "oversized"
