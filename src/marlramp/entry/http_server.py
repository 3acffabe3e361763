"""HTTP server of an entry: uvicorn, run by the daemon."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
import socket
from typing import TYPE_CHECKING

import uvicorn

from marlramp import clock
from marlramp import counters
from marlramp.entry import caller_protocol
from marlramp.entry import unanswered
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import listening

if TYPE_CHECKING:
    from starlette import types


class Server(uvicorn.Server):
    """uvicorn server that installs no signal handlers.

    It accepts no more connections at once than it can close.
    """

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Binds the address, unless sockets are given, and listens."""
        if sockets is None:
            with contextlib.suppress(OSError):
                sock = listening.bind(self.config.host, self.config.port)
                sockets = [sock]
        # Without a socket, uvicorn reports why the address can't be bound.
        await super().startup(sockets)
        for sock in sockets or []:
            listening.queue_more(sock)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Captures no signals; the daemon handles them."""
        yield


def build(
    app: types.ASGIApp,
    host: str,
    port: int,
    limits: caller_protocol.Limits,
    unanswered_calls: unanswered.UnansweredCalls,
    close_grace_s: int,
    bounds: caller_bounds.CallerBounds | None = None,
) -> Server:
    """Returns a server that does not listen yet.

    Args:
      app: the ASGI application.
      host: address to listen on.
      port: port to listen on, 0 for any.
      limits: limits on what callers send, and on how slowly.
      unanswered_calls: records requests that get no answer.
      close_grace_s: time that open connections have when it shuts down.
      bounds: bounds on all connections, None for those of a VM with the
        default limits.
    """
    bounds = bounds or caller_bounds.CallerBounds(
        node.VmLimits(), counters.Counters(), clock.SystemClock()
    )
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=caller_protocol.bound(limits, unanswered_calls, bounds),
        backlog=listening.ACCEPTED_AT_ONCE,
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=close_grace_s,
    )
    return Server(config)
