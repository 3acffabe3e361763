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


_handed_out: set[int] = set()
"""Ports given out before: their process may not have bound them yet."""


def free_ports(count: int) -> list[int]:
    """Returns ports that nothing listens on now.

    They lie below the range from which the system takes the ports of
    outgoing connections, so that none is taken before its process starts.
    """
    found: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(found) < count:
            port = random.randrange(FIRST_PORT, LAST_PORT)
            if port in _handed_out:
                continue
            probe = stack.enter_context(socket.socket())
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
            found.append(port)
            _handed_out.add(port)
    return found
