"""Serves the calls beside the requests on their own addresses."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket

from starlette import applications
import uvicorn

from marlramp.settings import node

METRICS_PORT = 9_464
"""Port of the metrics on every VM, by OpenTelemetry's custom; the platform
gives no address for them, and its own ports change from day to day."""

_BACKLOG = 256


class _Server(uvicorn.Server):
    """uvicorn without signal handlers of its own."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leaves signals to the daemon."""
        yield


class HttpSide:
    """One application on several addresses."""

    def __init__(
        self,
        application: applications.Starlette,
        addresses: list[node.Address],
    ) -> None:
        """Binds nothing before `run`."""
        self._addresses = addresses
        config = uvicorn.Config(
            application,
            loop="asyncio",
            http="httptools",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=1,
        )
        self._server = _Server(config)

    async def run(self) -> None:
        """Serves until `stop`.

        Raises:
          OSError: if an address can't be bound.
        """
        sockets = [_bound(address) for address in self._addresses]
        await self._server.serve(sockets=sockets)

    def stop(self) -> None:
        """Ends `run` soon."""
        self._server.should_exit = True


def _bound(address: node.Address) -> socket.socket:
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((address.host, address.port))
    sock.listen(_BACKLOG)
    sock.setblocking(False)
    return sock
