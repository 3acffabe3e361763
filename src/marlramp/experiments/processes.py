"""Processes that an experiment starts on loopback, and their ports."""

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
"""Range of the ports that processes listen on, without `LAST_PORT` itself.

It lies below the range from which Linux by default takes the ports of outgoing
connections (net.ipv4.ip_local_port_range, from 32768).
"""

BLOCK_PORTS = 100
"""Number of ports that an experiment's process reserves at once."""


class ProcessError(Exception):
    """A process did not behave as the experiment requires."""


class Process:
    """A process started by the experiment.

    Signals sent through this class don't reach the process's children.
    """

    def __init__(
        self, name: str, arguments: list[str], log: pathlib.Path
    ) -> None:
        """Starts the process and appends its output to a log file."""
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
        """Whether the process has not exited."""
        return self.process.poll() is None

    @property
    def crashed(self) -> bool:
        """Whether it exited with an error without being stopped.

        SIGTERM, SIGINT and `kill` stop it. SIGKILL through `send_signal` counts
        as a crash.
        """
        return self.process.poll() not in (None, 0) and not self.ended_by_us

    def send_signal(self, number: signal.Signals) -> None:
        """Sends the process a signal; SIGTERM and SIGINT count as a stop."""
        if number in (signal.SIGTERM, signal.SIGINT):
            self.ended_by_us = True
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits until it has exited."""
        self.ended_by_us = True
        self.process.kill()
        self.process.wait(STOP_TIMEOUT_S)

    def restart(self) -> None:
        """Waits until the process has exited and starts it again.

        It runs with the same arguments. State that it kept in memory is lost.
        """
        self.process.wait(STOP_TIMEOUT_S)
        self.ended_by_us = False
        self._start()

    async def wait(self, timeout_ms: float) -> int:
        """Waits until the process exits and returns its exit code."""
        for _ in range(int(timeout_ms / POLL_MS)):
            code = self.process.poll()
            if code is not None:
                return code
            await asyncio.sleep(POLL_MS / clock.MILLIS_PER_SECOND)
        raise ProcessError(
            f"{self.name} is still running after {timeout_ms} ms"
        )


_reservations: list[socket.socket] = []
"""Sockets that reserve blocks of ports for this process."""

_reserved: list[int] = []
"""Ports of the reserved blocks that are not handed out yet."""


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on now, each at most once.

    The ports lie below the range from which Linux by default takes the ports of
    outgoing connections, and in blocks that no other experiment on this
    machine has reserved. An unrelated program can still listen on one of them
    before its process starts.
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
    """Reserves a block by binding a UDP socket to its first port.

    The processes listen on TCP only, so they can still use that port.
    """
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT, BLOCK_PORTS)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind((HOST, first))
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        _reserved.extend(range(first, first + BLOCK_PORTS))
        return
