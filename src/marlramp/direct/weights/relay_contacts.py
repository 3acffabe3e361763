"""An agent's dealings with the entries that relay pieces to it."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol

import msgspec

from marlramp import clock
from marlramp.core import swarm

HELLO_MS = 700.0
"""Between two greetings of the relays while pieces are missing: their answer
shows that they are there, and mends what an announcement lost."""

ALIVE_MS = 1_600.0
"""A relay that was heard this lately works: it may miss one greeting."""


class Links(Protocol):
    """What carries messages to entries."""

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends a message; returns whether a link took it."""
        ...


class RelayContacts:
    """Greets relays and knows which of them work.

    Attributes:
      names: the entries near that relay pieces.
    """

    def __init__(
        self, greet: Callable[[str, bool], None], time: clock.Clock
    ) -> None:
        """Knows no relay.

        Args:
          greet: tells a relay what is held here, and whether it is to answer.
          time: the clock.
        """
        self._greet = greet
        self._clock = time
        self._links: Links | None = None
        self._heard_ms: dict[str, float] = {}
        self._greeted_ms = float("-inf")
        self._told = False
        self.names: frozenset[str] = frozenset()

    def attach(self, links: Links) -> None:
        """Takes the links to entries."""
        self._links = links

    def set_names(self, names: Iterable[str]) -> None:
        """Takes the entries near that relay pieces."""
        self.names = frozenset(names)
        self.look()

    def look(self) -> None:
        """Has the relays greeted at once, as for another version."""
        self._greeted_ms = float("-inf")
        self._told = False

    def heard(self, name: str) -> None:
        """Records that a relay was heard."""
        if name in self.names:
            self._heard_ms[name] = self._clock.now_ms()

    def send(self, name: str, message: msgspec.Struct) -> bool:
        """Sends to a relay; returns whether a link took it."""
        return self._links is not None and self._links.send(name, message)

    def tick(self, current: swarm.Swarm) -> None:
        """Asks relays what they hold, and names those that answer.

        Once nothing is missing here they are told so, once: what an agent
        holds need not leave the origin again.
        """
        if current.complete:
            if not self._told:
                self._told = True
                self._greet_all(reply=False)
            return
        now_ms = self._clock.now_ms()
        current.set_relays(
            [
                name
                for name in self.names
                if now_ms - self._heard_ms.get(name, float("-inf")) <= ALIVE_MS
            ]
        )
        if now_ms - self._greeted_ms >= HELLO_MS:
            self._greeted_ms = now_ms
            self._greet_all(reply=True)

    def _greet_all(self, *, reply: bool) -> None:
        for name in sorted(self.names):
            self._greet(name, reply)
