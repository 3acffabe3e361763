"""Attempts at a stream that run beside each other."""

from __future__ import annotations

import asyncio
from unittest import mock

import pytest

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.requests import event_stream
from marlramp.direct.calls import attempts
from marlramp.direct.calls import wire
from marlramp.platform import headers
from marlramp.settings import node
from marlramp.shell import http1_client
from marlramp.shell import http1_server
from tests import processor_time

CALL = wire.RequestInfo(
    request_id=ids.RequestId("id-1"),
    host="a.example",
    path="/stream/x",
    authorization="",
    wait_ms=1_000.0,
    prompt_tokens=10,
    output_tokens_max=10,
    output_tokens_hint=0,
)
HEAD = http1_client.ResponseHead(
    200,
    [
        (b"x-attempt-id", b"id-1"),
        (b"x-replica-signature", b"s"),
        (b"content-type", b"text/event-stream"),
    ],
)
COMMENT = b":4567890\n\n"
LIMIT_MS = 2_000.0


def test_comments_held_back_beside_another_attempt_cost_little() -> None:
    """Guards against copying all that is held back for each part."""

    async def hold_back() -> errors.CallError | None:
        time = clock.ManualClock(0.0)
        responder = mock.create_autospec(http1_server.Responder, instance=True)
        responder.started = True
        relay = attempts.StreamRelay(responder, time)
        first, _ = (
            attempts.StreamAttempt(
                headers.PlatformCallCodec(),
                CALL,
                mock.create_autospec(attempts.Observer, instance=True),
                time,
                attempts.answer_buffers(node.VmLimits()),
                relay,
            )
            for _ in range(2)
        )
        first.on_head(HEAD)
        for _ in range(event_stream.EVENT_BYTES_MAX // len(COMMENT)):
            first.on_body(COMMENT)
        assert not first.finished.done()
        first.on_body(COMMENT)
        assert first.finished.done()
        return first.finished.result().failure

    with processor_time.at_most(LIMIT_MS):
        failure = asyncio.run(hold_back())
    assert failure is not None
    assert failure.kind is errors.ErrorKind.ANSWER_INVALID


@pytest.mark.parametrize(
    ("memory_bytes", "bytes_max"),
    [
        (1_000_000, 2 * attempts.PLAIN_BODY_BYTES_MAX),
        (160_000_000, 27_500_000),
        (552_000_000, attempts.BUFFERED_BYTES_MAX),
    ],
)
def test_answers_are_bounded_by_the_memory_of_the_vm(
    memory_bytes: int, bytes_max: int
) -> None:
    """Guards against large answers that fill a VM with little memory."""
    limits = node.VmLimits(memory_bytes=memory_bytes)
    assert attempts.buffered_bytes_max(limits) == bytes_max
