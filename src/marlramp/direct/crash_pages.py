"""Shows the requests that crash replicas, and releases them, for operators."""

from __future__ import annotations

from collections.abc import Callable
import urllib.parse

import msgspec

from marlramp import ids
from marlramp import logs
from marlramp.core import crash_record
from marlramp.direct import side_server

CRASHES_PATH = "/crashes"
RELEASE_PATH = "/crashes/release"

_OK = 200
_NOT_FOUND = 404
_JSON = b"application/json"


class SuspectRow(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was under way when replicas crashed.

    Attributes:
      fingerprint: the request, as in the log lines of its attempts.
      condemned: whether it is run no more.
      strikes: crashes that it is a suspect of; half for each at which it had
        brought a part of its answer.
      crashes: replicas and their starts, "ID@BORN".
    """

    fingerprint: str
    condemned: bool
    strikes: float
    crashes: list[str]


class Released(msgspec.Struct, frozen=True):
    """Answer to a release: the crashes that the request was cleared of."""

    crashes: int


def rows_of(record: crash_record.CrashRecord) -> list[SuspectRow]:
    """Returns the suspects, those with the most strikes first."""
    condemned = record.ledger.blocked()
    rows = [
        SuspectRow(
            fingerprint=fingerprint,
            condemned=fingerprint in condemned,
            strikes=record.ledger.strikes(fingerprint),
            crashes=sorted(crashes),
        )
        for fingerprint, crashes in record.ledger.suspects().items()
    ]
    return sorted(rows, key=lambda row: (-row.strikes, row.fingerprint))


def build(
    record: crash_record.CrashRecord, on_change: Callable[[], None]
) -> side_server.Pages:
    """Returns the pages.

    Args:
      record: the crashes known.
      on_change: hears that a request was released, for the other entries.
    """

    async def show(_: str) -> side_server.Page:
        body = msgspec.json.encode(rows_of(record))
        return side_server.Page(_OK, _JSON, body)

    async def release(query: str) -> side_server.Page:
        (told,) = urllib.parse.parse_qs(query).get("fingerprint", [""])[:1]
        cleared = record.clear(ids.Fingerprint(told))
        if not cleared:
            return side_server.Page(_NOT_FOUND, b"text/plain", b"")
        logs.log("request_cleared", fingerprint=told, crashes=cleared)
        on_change()
        body = msgspec.json.encode(Released(cleared))
        return side_server.Page(_OK, _JSON, body)

    return {CRASHES_PATH: show, f"POST {RELEASE_PATH}": release}
