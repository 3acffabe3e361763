"""Determines when versions of weights were announced, by querying processes.

An update that arrives unrequested proves that a version was announced, but not
when, because nothing bounds its path latency. The answer to a query bounds the
time by the round trip of the query. A process repeats the query while a better
bound matters, and intersects the intervals that the answers give: one fast
answer makes up for others that were queued behind a large message.
"""

from __future__ import annotations

from collections.abc import Callable
import random
from typing import TypeAlias

import msgspec

from marlramp import clock
from marlramp.core.configuration import catalog
from marlramp.core.configuration import event_time
from marlramp.direct.fleet import catalog_log
from marlramp.protocol import fleet_messages

PATH_LATENCY_MAX_MS = 4_000.0
"""Assumed maximum path latency of an update until an answer bounds it. A link
on which nothing is acknowledged for 2.5 s is closed, and a message waits up to
1.5 s for a link to open."""

AGE_QUERY_MS = 400.0
"""Interval between two queries while the age of a version is uncertain."""

ANSWERS_MAX = 6
"""Number of answers after which a version is no longer queried. Answers that
rest on an assumed path latency do not count, as they cannot correct another."""

UNCERTAINTY_MIN_MS = 30.0
"""Uncertainty of the time of an announcement that needs no further query."""

NUMBER_BITS = 48
"""Size in bits of the random number of a process's first query."""

PENDING_MAX = 64
"""Maximum number of unanswered queries kept, the newest ones."""

Send: TypeAlias = Callable[[str, msgspec.Struct], bool]
Peers: TypeAlias = Callable[[], list[str]]


class VersionAges:
    """Queries other processes for the ages of the versions in the catalog."""

    def __init__(
        self,
        known: catalog.Catalog,
        send: Send,
        peers: Peers,
        time: clock.Clock,
    ) -> None:
        """Starts without any query.

        Args:
          known: holds the versions.
          send: sends a message to a process by name.
          peers: returns the processes to query next, besides the one that sent
            the newest version.
          time: the clock.
        """
        self._catalog = known
        self._send = send
        self._peers = peers
        self._clock = time
        # An answer to a query of an earlier process on this VM must not match
        # a query of this one.
        self._number = random.getrandbits(NUMBER_BITS)
        self._pending: dict[int, float] = {}
        self._answers: dict[tuple[str, int], int] = {}
        self._source = ""
        self._requested_ms = float("-inf")

    def on_version_announced(self, source: str) -> None:
        """Records which process sent a version, and queries it immediately."""
        self._source = source
        self._requested_ms = self._clock.now_ms()
        self.query(source)

    def tick(self, bound_ms: float) -> None:
        """Repeats the queries if they are due.

        Args:
          bound_ms: time after its announcement from which a version is
            mandatory.
        """
        now_ms = self._clock.now_ms()
        if now_ms - self._requested_ms < AGE_QUERY_MS:
            return
        uncertain = self._uncertain_versions(bound_ms, now_ms)
        if not uncertain:
            return
        self._requested_ms = now_ms
        names = [self._source] if self._source else []
        names.extend(name for name in self._peers() if name not in names)
        for name in names:
            self.query(name)

    def query(self, name: str) -> None:
        """Sends a query to one process."""
        self._number += 1
        self._pending[self._number] = self._clock.now_ms()
        while len(self._pending) > PENDING_MAX:
            del self._pending[next(iter(self._pending))]
        request = fleet_messages.VersionAgesRequest(number=self._number)
        self._send(name, request)

    def answer_to(
        self, request: fleet_messages.VersionAgesRequest
    ) -> fleet_messages.VersionAges:
        """Returns the answer to another process's query."""
        return fleet_messages.VersionAges(
            number=request.number,
            versions=self._catalog.aged_versions(self._clock.now_ms()),
        )

    def on_answer(
        self, name: str, answer: fleet_messages.VersionAges
    ) -> float | None:
        """Applies the answer to a query to the catalog.

        Returns:
          When the query was sent, None if no query has the answer's number.
        """
        requested_ms = self._pending.pop(answer.number, None)
        if requested_ms is None:
            return None
        now_ms = self._clock.now_ms()
        before = self._uncertainties()
        for aged in answer.versions:
            if aged.ages is not None and aged.ages.assumed:
                continue
            named = (aged.model, aged.version)
            self._answers[named] = self._answers.get(named, 0) + 1
        known = {
            (model, version.version)
            for model, target in self._catalog.targets.items()
            for version in target.named
        }
        self._answers = {
            named: count
            for named, count in self._answers.items()
            if named in known
        }
        receipt = event_time.Receipt(requested_ms, now_ms)
        self._catalog.merge_ages(answer.versions, receipt)
        for (model, version), uncertainty_ms in self._uncertainties().items():
            if uncertainty_ms >= before.get((model, version), float("inf")):
                continue
            catalog_log.log_version(
                "weights_age",
                self._catalog.targets[model],
                version,
                now_ms,
                source=name,
                way_ms=round(now_ms - requested_ms),
            )
        return requested_ms

    def _uncertain_versions(
        self, bound_ms: float, now_ms: clock.Millis
    ) -> list[tuple[str, int]]:
        """Returns the versions whose age needs another query."""
        found = [
            (model, named.version)
            for model, known in self._catalog.targets.items()
            for named in known.named
            if named.needs_refinement(bound_ms, UNCERTAINTY_MIN_MS, now_ms)
        ]
        return [
            each for each in found if self._answers.get(each, 0) < ANSWERS_MAX
        ]

    def _uncertainties(self) -> dict[tuple[str, int], float]:
        return {
            (model, named.version): named.named.uncertainty_ms
            for model, known in self._catalog.targets.items()
            for named in known.named
            if named.named is not None
        }
