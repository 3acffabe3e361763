"""Pages beside the requests, by the platform's names: addresses, readiness."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from marlramp.direct import side_server

LOOKUP_PATH = "/v1/lookup"
READY_PATH = "/v1/readyz"

_OK = 200
_UNAVAILABLE = 503


class _Lookup(msgspec.Struct):
    addresses: list[str]
    # How long callers keep the addresses, in seconds.
    ttl_s: float


def build(
    addresses: Callable[[], list[str]],
    ttl_s: float,
    ready: Callable[[], bool],
) -> side_server.Pages:
    """Returns the pages.

    Args:
      addresses: gives the entries that callers may use.
      ttl_s: how long callers keep them.
      ready: tells whether this entry takes callers.
    """

    async def lookup() -> side_server.Page:
        body = msgspec.json.encode(_Lookup(addresses(), ttl_s))
        return side_server.Page(_OK, b"application/json", body)

    async def readyz() -> side_server.Page:
        status = _OK if ready() else _UNAVAILABLE
        return side_server.Page(status, b"text/plain", b"")

    return {LOOKUP_PATH: lookup, READY_PATH: readyz}
