"""Finds out when versions of weights were named, by asking other processes.

News of a version tell that it was named, not when: nothing bounds how long
they were on their way. The answer to an own question does, by the time that
the question and its answer took together. While it matters, a process goes on
asking, and what the answers allow is intersected: one that comes at once makes
up for others that wait behind something large.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core import catalog
from marlramp.core import event_time
from marlramp.direct.fleet import catalog_log
from marlramp.protocol import fleet_messages

WAY_MAX_MS = 4_000.0
"""Longest time that news are assumed to be on their way, until an answer shows
it: a link on which nothing is acknowledged for 2.5 s ends, and a message waits
1.5 s for a link to open."""

ASK_MS = 400.0
"""Between two questions while the age of a version is in doubt."""

ANSWERS_MAX = 6
"""Answers after which a version is not asked for any more. Those that rest on
an assumption do not count: they correct no other."""

DOUBT_MS = 30.0
"""Doubt that no further question is worth."""

NUMBER_BITS = 48
"""Size of the number of a process's first question, which is drawn."""

OPEN_MAX = 64
"""Questions remembered that got no answer yet, the newest ones."""

Send: TypeAlias = Callable[[str, msgspec.Struct], bool]
Peers: TypeAlias = Callable[[], list[str]]


class VersionAges:
    """Asks others for the ages of versions that this process heard of."""

    def __init__(
        self,
        known: catalog.Catalog,
        send: Send,
        peers: Peers,
        time: clock.Clock,
    ) -> None:
        """Has asked nobody.

        Args:
          known: holds the versions.
          send: sends a message to a process by name.
          peers: returns the processes to ask next, besides the one that told
            of the newest version.
          time: the clock.
        """
        self._catalog = known
        self._send = send
        self._peers = peers
        self._clock = time
        # Numbers of a process that ran here before must not come again.
        self._number = random.getrandbits(NUMBER_BITS)
        self._open: dict[int, float] = {}
        self._answers: dict[tuple[str, int], int] = {}
        self._source = ""
        self._asked_ms = float("-inf")

    def note_news(self, source: str) -> None:
        """Takes that a process told of a version; it is asked at once."""
        self._source = source
        self._asked_ms = self._clock.now_ms()
        self.ask(source)

    def tick(self, bound_ms: float) -> None:
        """Asks again if that is due.

        Args:
          bound_ms: time after its naming from which a version binds.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._asked_ms < ASK_MS:
            return
        in_doubt = self._in_doubt(bound_ms, now_ms)
        if not in_doubt:
            return
        self._asked_ms = now_ms
        names = [self._source] if self._source else []
        names.extend(name for name in self._peers() if name not in names)
        for name in names:
            self.ask(name)

    def ask(self, name: str) -> None:
        """Asks one process."""
        self._number += 1
        self._open[self._number] = self._clock.now_ms()
        while len(self._open) > OPEN_MAX:
            del self._open[next(iter(self._open))]
        request = fleet_messages.VersionAgesRequest(number=self._number)
        self._send(name, request)

    def answer_to(
        self, request: fleet_messages.VersionAgesRequest
    ) -> fleet_messages.VersionAges:
        """Returns what this process knows."""
        return fleet_messages.VersionAges(
            number=request.number,
            versions=self._catalog.aged_versions(self._clock.now_ms()),
        )

    def on_answer(
        self, name: str, answer: fleet_messages.VersionAges
    ) -> float | None:
        """Takes an answer.

        Returns:
          When its question was sent, None if there is no such question.
        """
        asked_ms = self._open.pop(answer.number, None)
        if asked_ms is None:
            return None
        now_ms = self._clock.now_ms()
        before = self._doubts()
        for aged in answer.versions:
            if aged.ages is not None and aged.ages.assumed:
                continue
            named = (aged.model, aged.version)
            self._answers[named] = self._answers.get(named, 0) + 1
        hearing = event_time.Receipt(asked_ms, now_ms)
        self._catalog.merge_ages(answer.versions, hearing)
        for (model, version), doubt_ms in self._doubts().items():
            if doubt_ms >= before.get((model, version), float("inf")):
                continue
            catalog_log.log_version(
                "weights_age",
                self._catalog.targets[model],
                version,
                now_ms,
                source=name,
                way_ms=round(now_ms - asked_ms),
            )
        return asked_ms

    def _in_doubt(
        self, bound_ms: float, now_ms: clock.Millis
    ) -> list[tuple[str, int]]:
        """Returns the versions whose age is worth a question."""
        found = [
            (model, named.version)
            for model, known in self._catalog.targets.items()
            for named in known.named
            if named.needs_refinement(bound_ms, DOUBT_MS, now_ms)
        ]
        return [
            each for each in found if self._answers.get(each, 0) < ANSWERS_MAX
        ]

    def _doubts(self) -> dict[tuple[str, int], float]:
        return {
            (model, named.version): named.named.uncertainty_ms
            for model, known in self._catalog.targets.items()
            for named in known.named
            if named.named is not None
        }
