from __future__ import annotations

import asyncio
import socket

from marlramp import clock
from marlramp.shell import http1_client

LONG_BODY = b"x" * 1_000_000
HEAD = b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n"


class SlowReplica:
    """Accepts a connection, reads slowly and records how it ends."""

    def __init__(self) -> None:
        self.bytes_read = 0
        self.was_reset = False
        self.ended = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(4_096):
                self.bytes_read += len(data)
                await asyncio.sleep(0.004)
        except ConnectionResetError:
            self.was_reset = True
        self.ended.set()
        writer.close()


def abort_request(body: bytes) -> tuple[SlowReplica, float]:
    """Sends a request and aborts it.

    Returns:
      The replica, and the milliseconds until the connection ended there.
    """
    time = clock.SystemClock()

    async def run() -> tuple[SlowReplica, float]:
        replica = SlowReplica()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            listener.bind(("127.0.0.1", 0))
            port = listener.getsockname()[1]
            server = await asyncio.start_server(
                replica.serve, sock=listener, limit=4_096
            )
            connection = await http1_client.connect("127.0.0.1", port, time)
            connection.send("POST", HEAD % len(body), body, _IgnoringReader())
            await asyncio.sleep(0.05)
            aborted_ms = time.now_ms()
            connection.abort()
            async with asyncio.timeout(4):
                await replica.ended.wait()
            server.close()
        return replica, time.now_ms() - aborted_ms

    return asyncio.run(run())


class _IgnoringReader:
    """Ignores the response."""

    def on_head(self, head: http1_client.ResponseHead) -> None:
        pass

    def on_body(self, data: bytes) -> None:
        pass

    def on_complete(self) -> None:
        pass

    def on_lost(self, kind: http1_client.LossKind) -> None:
        pass


def test_abort_does_not_wait_behind_unsent_bytes() -> None:
    """Guards against a replica that goes on reading an aborted request."""
    replica, delay_ms = abort_request(LONG_BODY)
    assert replica.was_reset
    assert replica.bytes_read < len(LONG_BODY)
    assert delay_ms < 300.0


def test_abort_of_a_fully_sent_request_is_no_reset() -> None:
    """Guards against resets without unsent bytes: they aren't retransmitted."""
    replica, _ = abort_request(b"x" * 100)
    assert not replica.was_reset
    assert replica.bytes_read > 100
