"""HTTP server of an entry: uvicorn, run by the daemon."""

from __future__ import annotations

from collections.abc import Iterator
import contextlib
from typing import TYPE_CHECKING

import uvicorn

from marlramp.entry import caller_protocol
from marlramp.entry import unanswered

if TYPE_CHECKING:
    from starlette import types


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
    limits: caller_protocol.Limits,
    unanswered_calls: unanswered.UnansweredCalls,
    close_grace_s: int,
) -> Server:
    """Returns a server that does not listen yet.

    Args:
      app: the ASGI application.
      host: address to listen on.
      port: port to listen on, 0 for any.
      limits: limits on what callers send, and on how slowly.
      unanswered_calls: records requests that get no answer.
      close_grace_s: time that open connections have when it shuts down.
    """
    config = uvicorn.Config(
        app,
        host=host,
        port=port,
        loop="asyncio",
        http=caller_protocol.bound(limits, unanswered_calls),
        ws="none",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_graceful_shutdown=close_grace_s,
    )
    return Server(config)
