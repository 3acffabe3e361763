"""Answers the calls beside the requests: addresses, readiness, metrics.

They are answered by the server that takes callers' requests: an own framework
for them would cost 0.05 s of processor time at the start of each process,
during which nobody is served.
"""

from __future__ import annotations

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp import errors
from marlramp import logs
from marlramp.core import fleet
from marlramp.settings import node
from marlramp.shell import http1_server
from marlramp.shell import port_opener

METRICS_PORT = 9_464
"""Port of the metrics on every VM, by OpenTelemetry's custom; the platform
gives no address for them, and its own ports change from day to day."""

METRICS_PATH = "/metrics"

_OK = 200
_NOT_FOUND = 404
_FAILED = 500


class Page(msgspec.Struct, frozen=True):
    """One answer.

    Attributes:
      status: HTTP status code.
      content_type: media type of the body.
      body: the body.
    """

    status: int
    content_type: bytes
    body: bytes


Pages: TypeAlias = Mapping[str, Callable[[str], Awaitable[Page]]]
"""What answers each path, or each "METHOD path"; takes the query."""


def metrics_address(settings: node.NodeSettings) -> node.Address:
    """Returns where a process shows its metrics."""
    return node.Address(settings.host, METRICS_PORT)


def metrics_pages(text: Callable[[], Awaitable[bytes]]) -> Pages:
    """Returns the page with the metrics, which `text` gives."""

    async def show(_: str) -> Page:
        return Page(_OK, b"text/plain", await text())

    return {METRICS_PATH: show}


class SideServer:
    """The same pages on several addresses."""

    def __init__(
        self,
        pages: Pages,
        addresses: Mapping[str, node.Address],
        time: clock.Clock,
    ) -> None:
        """Binds nothing before its openings are started.

        Args:
          pages: what is answered.
          addresses: where, by what each address is for.
          time: the clock.
        """
        self._pages = pages
        self._addresses = addresses
        self._servers = {
            name: http1_server.CallerServer(self._answer, self, time)
            for name in addresses
        }

    def openings(self) -> list[port_opener.Opening]:
        """Returns the ports to open."""
        return [
            port_opener.Opening(
                name, address.host, address.port, self._servers[name].start
            )
            for name, address in self._addresses.items()
        ]

    def stop(self) -> None:
        """Stops listening and closes connections without a call."""
        for server in self._servers.values():
            server.stop_listening()
            server.close_idle()

    # What the server asks for.

    @property
    def closing(self) -> bool:
        """Whether connections are closed after their answer."""
        return False

    def limits(self) -> fleet.CallerLimits:
        """Returns the bounds on those who call."""
        return fleet.CallerLimits()

    def refused(self, error: errors.CallError) -> None:
        """Logs a call that could not be read."""
        logs.log("side_call_unreadable", kind=error.kind.value)

    async def _answer(
        self,
        request: http1_server.Request,
        responder: http1_server.Responder,
    ) -> None:
        path, _, query = request.target.partition(b"?")
        name = path.decode("latin-1")
        page = self._pages.get(f"{request.method} {name}")
        page = page or self._pages.get(name)
        if page is None:
            responder.answer(_NOT_FOUND, [], b"")
            return
        try:
            shown = await page(query.decode("latin-1"))
        except Exception as error:
            logs.log_exception("internal_error", error, where="side_server")
            responder.answer(_FAILED, [], b"")
            return
        headers = [(b"content-type", shown.content_type)]
        responder.answer(shown.status, headers, shown.body)
