"""A prompt part that crashes every engine generating from it."""

from __future__ import annotations

import asyncio
import enum

from standins import raw_http

PART = "dead0bad"
"""Id of the part. It causes no crash as the last part of a prompt."""

CRASH_DELAY_S = 0.02
"""Delay between the response head and the crash."""

_PARTIAL_EVENT = b"id: 1\ndat"


class CrashStyle(enum.Enum):
    """Framing and completeness of a response that a crash cuts off."""

    CHUNKED = "chunked"
    CHUNKED_WITHIN_EVENT = "chunked_within_event"
    CLOSED = "closed"
    CLOSED_WITHIN_EVENT = "closed_within_event"

    @property
    def resets(self) -> bool:
        """Whether connections are reset rather than closed cleanly."""
        return self in (CrashStyle.CHUNKED, CrashStyle.CHUNKED_WITHIN_EVENT)

    @property
    def within_event(self) -> bool:
        """Whether the crash happens in the middle of the first event."""
        return self in (
            CrashStyle.CHUNKED_WITHIN_EVENT,
            CrashStyle.CLOSED_WITHIN_EVENT,
        )


def crashes(request: raw_http.SeenRequest) -> bool:
    """Returns whether generating the response crashes the engine."""
    parts = request.headers.get("x-prefix-hash", "").split(",")
    return any(part.strip().startswith(f"{PART}:") for part in parts[:-1])


async def begin_answer(
    peer: raw_http.Peer, name: str, style: CrashStyle, headers: str
) -> None:
    """Writes the part of a response that precedes the engine's crash.

    Args:
      peer: the connection.
      name: id of the request.
      style: framing and completeness of the response.
      headers: additional header lines, each ending in CRLF.
    """
    framing = "transfer-encoding: chunked\r\n" if style.resets else ""
    await peer.write(
        f"HTTP/1.1 200 OK\r\n{framing}content-type: text/event-stream\r\n"
        f"x-attempt-id: {name}\r\n{headers}\r\n".encode()
    )
    if style.within_event:
        data = _PARTIAL_EVENT
        if style.resets:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        await peer.write(data)
    await asyncio.sleep(CRASH_DELAY_S)
