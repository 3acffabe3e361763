"""HTTP pages for address lookup and readiness, in the platform's format."""

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
    """A caller's query for the addresses of entries.

    Attributes:
      host: host of the caller's requests, in lower case, "" if not given.
      region: region of the caller, "" if not given.
      data_centre: data centre of the caller, "" if not given.
    """

    host: str
    region: str
    data_centre: str


class _Answer(msgspec.Struct):
    addresses: list[str]
    # Time for which callers may cache the addresses, in seconds.
    ttl_s: float


def build(
    addresses: Callable[[Lookup], list[str]],
    ttl_s: float,
    ready: Callable[[], bool],
) -> page_server.Pages:
    """Returns the lookup and readiness pages by path.

    Args:
      addresses: returns the addresses of the entries for a lookup.
      ttl_s: time for which callers may cache the addresses, in seconds.
      ready: returns whether this entry accepts requests.
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
