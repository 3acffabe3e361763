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


class Lookup(msgspec.Struct, frozen=True):
    """A caller's question where to connect.

    Attributes:
      host: host of the caller's requests, in lower case, "" if not named.
      region: region of the caller, "" if not named.
      data_centre: data centre of the caller, "" if not named.
    """

    host: str
    region: str
    data_centre: str


class _Answer(msgspec.Struct):
    addresses: list[str]
    # How long callers keep the addresses, in seconds.
    ttl_s: float


def build(
    addresses: Callable[[Lookup], list[str]],
    ttl_s: float,
    ready: Callable[[], bool],
) -> page_server.Pages:
    """Returns the pages.

    Args:
      addresses: returns the addresses of the entries for a lookup.
      ttl_s: how long callers keep them.
      ready: tells whether this entry takes callers.
    """

    async def lookup(query: str) -> page_server.Page:
        fields = urllib.parse.parse_qs(query)
        found = addresses(
            Lookup(
                host=_first(fields, "name").lower(),
                region=_first(fields, "region"),
                data_centre=_first(fields, "zone"),
            )
        )
        body = msgspec.json.encode(_Answer(found, ttl_s))
        return page_server.Page(_OK, b"application/json", body)

    async def readyz(_: str) -> page_server.Page:
        status = _OK if ready() else _UNAVAILABLE
        return page_server.Page(status, b"text/plain", b"")

    return {LOOKUP_PATH: lookup, READY_PATH: readyz}


def _first(fields: dict[str, list[str]], name: str) -> str:
    return fields.get(name, [""])[0]
