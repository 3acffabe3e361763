"""HTTP server of an entry: uvicorn, run by the daemon."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from typing import TYPE_CHECKING

import msgspec
import uvicorn

if TYPE_CHECKING:
    from starlette import types


class Limits(msgspec.Struct, frozen=True):
    """Limits on what callers send."""


class Server(uvicorn.Server):
    """uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures no signals; the daemon handles them."""
        yield


def build(
    app: types.ASGIApp,
    host: str,
    port: int,
    limits: Limits,
    close_grace_s: int,
) -> Server:
    """Returns a server that does not listen yet.

    Args:
      app: the ASGI application.
      host: address to listen on.
      port: port to listen on, 0 for any.
      limits: limits on what callers send.
      close_grace_s: time that open connections have when it shuts down.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http="httptools",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=close_grace_s,
    )
    return Server(config)
