"""Processes that an experiment starts on loopback, and free ports for them."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import random
import signal
import socket
import subprocess

from marlramp import clock

HOST = "127.0.0.1"
STOP_TIMEOUT_S = 10.0
POLL_MS = 50.0
FIRST_PORT = 20_000
LAST_PORT = 30_000
"""Ports that processes listen on: below those of outgoing connections."""

BLOCK_PORTS = 100
"""Ports that one process of an experiment reserves together."""


class ProcessError(Exception):
    """A process did not do what the experiment needs."""


class Process:
    """One process that the experiment started, and only that."""

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        """Starts the process with its output in a file."""
        self.name = name
        self.log = log
        self.ended_by_us = False
        self._arguments = arguments
        self._start()

    def _start(self) -> None:
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                self._arguments,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.process.poll() is None

    @property
    def crashed(self) -> bool:
        """Whether it ended with an error although nobody asked it to."""
        return self.process.poll() not in (None, 0) and not self.ended_by_us

    def send_signal(self, number: signal.Signals) -> None:
        """Sends it a signal."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self.ended_by_us = True
        self.process.send_signal(number)

    def kill(self) -> None:
        """Ends it at once."""
        self.ended_by_us = True
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def restart(self) -> None:
        """Starts it anew after it ended, with empty memory."""
        self.process.wait(STOP_TIMEOUT_S)
        self.ended_by_us = False
        self._start()

    async def wait(self, timeout_ms: float) -> int:
        """Waits for its end and returns its exit code."""
        for _ in range(int(timeout_ms / POLL_MS)):
            code = self.process.poll()
            if code is not None:
                return code
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        raise ProcessError(f"{self.name} still runs after {timeout_ms} ms")


_reservations: list[socket.socket] = []
"""Sockets that hold the blocks of ports reserved for this process."""

_reserved: list[int] = []
"""Ports of those blocks that were not given out yet."""


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on now, each at most once.

    They lie below the range from which the system takes the ports of
    outgoing connections, and in blocks that no other experiment on this
    machine has, so that none is taken before its process starts.
    """
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            if not _reserved:
                _reserve_block()
            port = _reserved.pop()
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            found.append(port)
    return found


def _reserve_block() -> None:
    """Reserves a block by a datagram socket on its first port.

    Processes listen on streams only, which it doesn't keep from that port.
    """
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
        held = socket.socket(type=socket.SOCK_DGRAM)
        try:
            held.bind((HOST, first))
        except OSError:
            held.close()
            continue
        _reservations.append(held)
        _reserved.extend(range(first, first + BLOCK_PORTS))
        return
