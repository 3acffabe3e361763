"""Serves pages other than callers' requests: lookup, readiness, metrics.

The pages use the HTTP server that also serves callers' requests. A separate web
framework would cost 0.05 s of processor time at the start of each process,
during which the process serves no request.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import counters
from marlramp import errors
from marlramp import logs
from marlramp.core.configuration import fleet
from marlramp.settings import node
from marlramp.shell import caller_bounds
from marlramp.shell import http1_server
from marlramp.shell import port_opener

METRICS_PORT = 9_464
"""Port of the metrics on every VM, OpenTelemetry's customary one. The platform
assigns no address for metrics, and the ports that it assigns change daily."""

METRICS_PATH = "/metrics"

PAGE_MAX_MS = 5_000.0
"""Time in which a page is answered; the first metrics load their libraries."""

BODY_BYTES_MAX = 4_096
"""Size of a request's body, which no page reads."""

_LIMITS = fleet.CallerLimits(body_bytes_max=BODY_BYTES_MAX)

_OK = 200
_NOT_FOUND = 404
_FAILED = 500
_LATE = 503


class Page(msgspec.Struct, frozen=True):
    """Answer to a request for a page.

    Attributes:
      status: HTTP status code.
      content_type: media type of the body.
      body: the body.
    """

    status: int
    content_type: bytes
    body: bytes


Pages: TypeAlias = Mapping[str, Callable[[str], Awaitable[Page]]]
"""Handlers by path or by "METHOD path". A handler receives the query string."""


def metrics_address(settings: node.NodeSettings) -> node.Address:
    """Returns the address at which a process serves its metrics."""
    return node.Address(settings.host, METRICS_PORT)


def metrics_pages(text: Callable[[], Awaitable[bytes]]) -> Pages:
    """Returns the metrics page.

    Args:
      text: returns the metrics in the Prometheus text format.
    """

    async def serve(_: str) -> Page:
        return Page(_OK, b"text/plain", await text())

    return {METRICS_PATH: serve}


class PageServer:
    """Serves one set of pages on several addresses."""

    def __init__(
        self,
        pages: Pages,
        addresses: Mapping[str, node.Address],
        totals: counters.Counters,
        time: clock.Clock,
        bounds: caller_bounds.CallerBounds | None = None,
    ) -> None:
        """Creates the servers; no port is bound before its opening is started.

        Args:
          pages: the handlers.
          addresses: the addresses by name; the name appears in log lines.
          totals: counters.
          time: the clock.
          bounds: bounds on the connections of all servers of the process,
            None for bounds of each server.
        """
        self._pages = pages
        self._addresses = addresses
        self._totals = totals
        self._servers = {
            name: http1_server.CallerServer(self._answer, self, time, bounds)
            for name in addresses
        }
        self._stopped = False

    def openings(self) -> list[port_opener.Opening]:
        """Returns the ports to open."""
        return [
            port_opener.Opening(
                name, address.host, address.port, self._servers[name].start
            )
            for name, address in self._addresses.items()
        ]

    def stop(self) -> None:
        """Stops listening; closes connections after their current answer."""
        self._stopped = True
        for server in self._servers.values():
            server.stop_listening()
            server.close_idle()

    # Methods that the HTTP server calls.

    @property
    def closing(self) -> bool:
        """Whether each connection is closed after its current answer."""
        return self._stopped

    def limits(self) -> fleet.CallerLimits:
        """Returns the limits on callers, which are constant."""
        return _LIMITS

    def refused(
        self, error: errors.CallError, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Logs a request that was rejected while being read."""
        del headers
        logs.log("side_call_unreadable", kind=error.kind.value)

    def unanswered(
        self,
        request: http1_server.Request,
        reason: http1_server.UnansweredReason,
    ) -> None:
        """Counts and logs a request that gets no complete answer."""
        self._totals.add(counters.CounterName.PAGES_UNANSWERED, reason.value)
        logs.log(
            "side_call_unanswered",
            reason=reason.value,
            path=request.target.partition(b"?")[0].decode("latin-1"),
        )

    async def _answer(
        self,
        request: http1_server.Request,
        responder: http1_server.Responder,
    ) -> None:
        path, _, query = request.target.partition(b"?")
        name = path.decode("latin-1")
        handler = self._pages.get(f"{request.method} {name}")
        handler = handler or self._pages.get(name)
        if handler is None:
            responder.answer(_NOT_FOUND, [], b"")
            return
        try:
            async with asyncio.timeout(PAGE_MAX_MS / clock.MILLIS_PER_SECOND):
                answer = await handler(query.decode("latin-1"))
        except TimeoutError:
            logs.log("side_call_late", path=name)
            responder.answer(_LATE, [], b"")
            return
        except Exception as error:
            logs.log_exception("internal_error", error, where="side_server")
            responder.answer(_FAILED, [], b"")
            return
        headers = [(b"content-type", answer.content_type)]
        responder.answer(answer.status, headers, answer.body)
