"""Pages beside the requests, by the platform's names: addresses, readiness."""

from __future__ import annotations

from collections.abc import Callable
import urllib.parse

import msgspec

from marlramp.direct import page_server

LOOKUP_PATH = "/v1/lookup"
READY_PATH = "/v1/readyz"

_OK = 200
_UNAVAILABLE = 503


class _Lookup(msgspec.Struct):
    addresses: list[str]
    # How long callers keep the addresses, in seconds.
    ttl_s: float


def build(
    addresses: Callable[[str], list[str]],
    ttl_s: float,
    ready: Callable[[], bool],
) -> page_server.Pages:
    """Returns the pages.

    Args:
      addresses: gives the entries that callers of a data centre may use.
      ttl_s: how long callers keep them.
      ready: tells whether this entry takes callers.
    """

    async def lookup(query: str) -> page_server.Page:
        (place,) = urllib.parse.parse_qs(query).get("zone", [""])[:1]
        body = msgspec.json.encode(_Lookup(addresses(place), ttl_s))
        return page_server.Page(_OK, b"application/json", body)

    async def readyz(_: str) -> page_server.Page:
        status = _OK if ready() else _UNAVAILABLE
        return page_server.Page(status, b"text/plain", b"")

    return {LOOKUP_PATH: lookup, READY_PATH: readyz}
