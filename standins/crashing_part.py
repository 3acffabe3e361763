"""A part of prompts that crashes each engine that begins to write on it."""

from __future__ import annotations

import asyncio
import enum

from standins import raw_http

PART = "dead0bad"
"""Id of the part. As the last part of a prompt it crashes nothing."""

WRITES_S = 0.02
"""Time from the head of the answer to the crash."""

_HALF_EVENT = b"id: 1\ndat"


class CrashStyle(enum.Enum):
    """How an answer looks that the crash ends."""

    CHUNKED = "chunked"
    CHUNKED_WITHIN_EVENT = "chunked_within_event"
    CLOSED = "closed"
    CLOSED_WITHIN_EVENT = "closed_within_event"

    @property
    def resets(self) -> bool:
        """Whether the connections are reset, not closed properly."""
        return self in (CrashStyle.CHUNKED, CrashStyle.CHUNKED_WITHIN_EVENT)

    @property
    def within_event(self) -> bool:
        """Whether the crash comes in the middle of the first event."""
        return self in (
            CrashStyle.CHUNKED_WITHIN_EVENT,
            CrashStyle.CLOSED_WITHIN_EVENT,
        )


def crashes(request: raw_http.SeenRequest) -> bool:
    """Returns whether the answer to a request crashes its engine."""
    parts = request.headers.get("x-prefix-hash", "").split(",")
    return any(part.strip().startswith(f"{PART}:") for part in parts[:-1])


async def begin_answer(
    peer: raw_http.Peer, name: str, style: CrashStyle, headers: str
) -> None:
    """Writes what a request gets before its engine crashes.

    Args:
      peer: the connection.
      name: id of the request.
      style: how the answer looks.
      headers: further header lines, each with its end.
    """
    framing = "transfer-encoding: chunked\r\n" if style.resets else ""
    await peer.write(
        f"HTTP/1.1 200 OK\r\n{framing}content-type: text/event-stream\r\n"
        f"x-attempt-id: {name}\r\n{headers}\r\n".encode()
    )
    if style.within_event:
        data = _HALF_EVENT
        if style.resets:
            data = b"%x\r\n%s\r\n" % (len(data), data)
        await peer.write(data)
    await asyncio.sleep(WRITES_S)
