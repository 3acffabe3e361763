"""Exchanges messages with the entries that relay pieces to an agent."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp.core.weights import swarm

HELLO_MS = 700.0
"""Interval between hello messages to the relays while pieces are missing. The
replies show that the relays are alive, and replace lost announcements."""

ALIVE_MS = 1_600.0
"""Time after the last message of a relay during which it counts as alive; one
hello message may stay unanswered."""


class Links(Protocol):
    """Links that carry messages to entries."""

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message; returns whether a link took it."""
        ...


class RelayContacts:
    """Sends hello messages to the relays and tracks which of them are alive.

    Attributes:
      names: the nearby entries that relay pieces.
    """

    def __init__(
        self, send_hello: Callable[[str, bool], None], time: clock.Clock
    ) -> None:
        """Starts without relays.

        Args:
          send_hello: sends a relay the pieces held here, and whether it is to
            reply.
          time: the clock.
        """
        self._send_hello = send_hello
        self._clock = time
        self._links: Links | None = None
        self._last_message_ms: dict[str, float] = {}
        self._hello_sent_ms = float("-inf")
        self._completion_reported = False
        self.names: frozenset[str] = frozenset()

    def attach(self, links: Links) -> None:
        """Sets the links to entries."""
        self._links = links

    def set_names(self, names: Iterable[str]) -> None:
        """Sets the nearby entries that relay pieces."""
        self.names = frozenset(names)
        self.restart()

    def restart(self) -> None:
        """Lets the next check send hello messages, as for another version."""
        self._hello_sent_ms = float("-inf")
        self._completion_reported = False

    def record_message(self, name: str) -> None:
        """Records the time of a message if a relay sent it."""
        if name in self.names:
            self._last_message_ms[name] = self._clock.now_ms()

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message to a relay; returns whether a link took it."""
        return self._links is not None and self._links.send(name, message)

    def tick(self, current: swarm.Swarm) -> None:
        """Requests the holdings of the relays and updates the swarm's relays.

        Only relays that are alive are set in the swarm. When no piece is
        missing any more, a single hello message reports this to the relays,
        because pieces that an agent holds need not leave the origin again.

        Args:
          current: the swarm of the version that is fetched.
        """
        if current.complete:
            if not self._completion_reported:
                self._completion_reported = True
                self._send_hello_to_all(reply=False)
            return
        now_ms = self._clock.now_ms()
        current.set_relays(
            [
                name
                for name in self.names
                if now_ms - self._last_message_ms.get(name, float("-inf"))
                <= ALIVE_MS
            ]
        )
        if now_ms - self._hello_sent_ms >= HELLO_MS:
            self._hello_sent_ms = now_ms
            self._send_hello_to_all(reply=True)

    def _send_hello_to_all(self, *, reply: bool) -> None:
        for name in sorted(self.names):
            self._send_hello(name, reply)
