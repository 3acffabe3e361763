"""Operators' pages that list what crashes replicas and release it."""

from __future__ import annotations

from collections.abc import Callable
import urllib.parse

import msgspec

from marlramp import ids
from marlramp import logs
from marlramp.core.crashes import crash_record
from marlramp.direct import page_server

CRASHES_PATH = "/crashes"
RELEASE_PATH = "/crashes/release"

_OK = 200
_NOT_FOUND = 404
_JSON = b"application/json"


class SuspectRow(msgspec.Struct, frozen=True, kw_only=True):
    """A request that was in flight when replicas crashed, or a part of prompts.

    Attributes:
      fingerprint: fingerprint of the request, as in its attempts' log lines, or
        the part as "MODEL/ID".
      condemned: whether the request is blocked, or all requests with the part
        are, so that they are no longer run.
      strikes: number of crashes that it is a suspect of. A crash before which
        a request had returned a part of its answer counts half.
      crashes: the crashed replicas and their start times, as "ID@BORN".
      part: whether this is a part of prompts.
    """

    fingerprint: str
    condemned: bool
    strikes: float
    crashes: list[str]
    part: bool = False


class Released(msgspec.Struct, frozen=True):
    """Answer to a release.

    Attributes:
      crashes: number of crashes that the request was cleared of.
    """

    crashes: int


def rows_of(record: crash_record.CrashRecord) -> list[SuspectRow]:
    """Returns the suspects in descending order of strikes."""
    parts = record.ledger.parts
    rows = [
        SuspectRow(
            fingerprint=fingerprint,
            condemned=record.is_blocked(fingerprint),
            strikes=_strikes(record, fingerprint),
            crashes=sorted(crashes),
            part=parts.is_suspect(fingerprint),
        )
        for fingerprint, crashes in record.ledger.suspects().items()
    ]
    return sorted(rows, key=lambda row: (-row.strikes, row.fingerprint))


def _strikes(
    record: crash_record.CrashRecord, fingerprint: ids.Fingerprint
) -> float:
    ledger = record.ledger
    if ledger.parts.is_suspect(fingerprint):
        return ledger.parts.strikes(ids.PartFingerprint(fingerprint))
    return ledger.strikes(fingerprint)


def build(
    record: crash_record.CrashRecord, on_change: Callable[[], None]
) -> page_server.Pages:
    """Returns the pages that list and release requests.

    Args:
      record: the known crashes.
      on_change: is called when a request was released, to notify the other
        entries.
    """

    async def show(_: str) -> page_server.Page:
        body = msgspec.json.encode(rows_of(record))
        return page_server.Page(_OK, _JSON, body)

    async def release(query: str) -> page_server.Page:
        (text,) = urllib.parse.parse_qs(query).get("fingerprint", [""])[:1]
        cleared = record.clear(ids.Fingerprint(text))
        if not cleared:
            return page_server.Page(_NOT_FOUND, b"text/plain", b"")
        logs.log("request_cleared", fingerprint=text, crashes=cleared)
        on_change()
        body = msgspec.json.encode(Released(cleared))
        return page_server.Page(_OK, _JSON, body)

    return {CRASHES_PATH: show, f"POST {RELEASE_PATH}": release}
