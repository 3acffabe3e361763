"""TCP proxy on loopback that injects network faults.

Bytes held back by a cut are delivered once it ends, like TCP retransmissions. A
silenced connection never carries a byte again, while new connections work.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import socket
import struct

_READ_BYTES = 65_536
_MS = 1_000.0


class Fault(enum.Enum):
    """Fault that the proxy injects into connections."""

    NONE = "none"
    DELAY = "delay"
    NARROW = "narrow"
    RESET = "reset"
    CUT_TO_SERVER = "cut_to_server"
    CUT_TO_CLIENT = "cut_to_client"
    CUT = "cut"
    SILENCE = "silence"


_STOPS_TO_SERVER = frozenset({Fault.CUT_TO_SERVER, Fault.CUT})
_STOPS_TO_CLIENT = frozenset({Fault.CUT_TO_CLIENT, Fault.CUT})


class _Connection:
    """The client and server side of one proxied connection."""

    def __init__(
        self, to_client: asyncio.StreamWriter, to_server: asyncio.StreamWriter
    ) -> None:
        self.to_client = to_client
        self.to_server = to_server
        self.silenced = False

    def reset(self) -> None:
        """Resets both sides."""
        for writer in (self.to_client, self.to_server):
            sock = writer.get_extra_info("socket")
            if sock is not None and not writer.is_closing():
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
            writer.transport.abort()


class FaultProxy:
    """Forwards connections to one address; use as a context manager.

    Attributes:
      fault: the active fault.
      delay_ms: delay of each block of bytes while the fault is `DELAY`.
      bytes_per_s: rate limit per connection and direction while the fault is
        `NARROW`.
      silences: number of silences in progress; while there are any, bytes are
        held back in both directions, whatever the active fault is.
      refused: ports of clients whose connection the server did not accept.
      called_s: event loop time at which a client last sent bytes.
    """

    def __init__(
        self, host: str, port: int, target_host: str, target_port: int
    ) -> None:
        """Initializes the proxy; it listens once the context is entered."""
        self._listen = (host, port)
        self._target = (target_host, target_port)
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._changed = asyncio.Event()
        self.fault = Fault.NONE
        self.delay_ms = 0.0
        self.bytes_per_s = float("inf")
        self.silences = 0
        self.refused: set[int] = set()
        self.called_s = float("-inf")

    @property
    def address(self) -> str:
        """Listening address as "host:port"."""
        return f"{self._listen[0]}:{self._listen[1]}"

    async def __aenter__(self) -> FaultProxy:
        """Starts listening."""
        self._server = await asyncio.start_server(self._serve, *self._listen)
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.reset()

    def narrow(self, bytes_per_s: float) -> None:
        """Limits the rate of each connection in each direction."""
        self.bytes_per_s = bytes_per_s
        self.set_fault(Fault.NARROW)

    def set_fault(self, fault: Fault, delay_ms: float = 0.0) -> None:
        """Replaces the active fault; `NONE` ends it."""
        self.fault = fault
        self.delay_ms = delay_ms
        if fault is Fault.RESET:
            for connection in list(self._connections):
                connection.reset()
        if fault is Fault.SILENCE:
            for connection in self._connections:
                connection.silenced = True
        self._notify()

    def begin_silence(self) -> None:
        """Begins a silence; it may overlap faults and other silences."""
        self.silences += 1

    def end_silence(self) -> None:
        """Ends a silence that was begun."""
        self.silences -= 1
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            from_server, to_server = await asyncio.open_connection(
                *self._target
            )
        except OSError:
            # Nothing listens at the target: the client sees a clean close.
            self.refused.add(writer.get_extra_info("peername")[1])
            writer.close()
            return
        connection = _Connection(writer, to_server)
        if self.fault is Fault.RESET:
            connection.reset()
            return
        self._connections.add(connection)
        outbound = self._pump(connection, reader, to_server, _STOPS_TO_SERVER)
        inbound = self._pump(connection, from_server, writer, _STOPS_TO_CLIENT)
        try:
            await asyncio.gather(outbound, inbound)
        finally:
            self._connections.discard(connection)

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        stopped_by: frozenset[Fault],
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(_READ_BYTES):
                if stopped_by is _STOPS_TO_SERVER:
                    self.called_s = asyncio.get_running_loop().time()
                await self._wait_while_stopped(stopped_by)
                if self.fault is Fault.NARROW:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
                if connection.silenced:
                    continue
                writer.write(data)
                await writer.drain()
            await self._wait_while_stopped(stopped_by)
        if not connection.silenced:
            writer.close()

    async def _wait_while_stopped(self, stopped_by: frozenset[Fault]) -> None:
        """Waits until the active fault lets bytes through."""
        while self.silences or self.fault in stopped_by:
            await self._changed.wait()
        if self.fault is Fault.DELAY:
            await asyncio.sleep(self.delay_ms / _MS)
