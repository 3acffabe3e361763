"""Evidence that a part of prompts is the cause of crashes.

Load pattern: requests of which no two are alike share a part of their prompts,
and each replica that begins to write an answer on this part crashes. Parts that
stand beside it, such as the first part that all requests of a route share, are
in flight at the same crashes. Sound parts are told from the culprit by runs
that survive, see `part_survivals`, which clear a part of all its crashes.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.crashes import crash_reports

STRIKES_MIN = 3
"""Least number of strikes for which a part may be condemned."""

STRIKE_MS = 300.0
"""Period in which all crashes of a part are one strike: replicas that a machine
or an operator ends together are one event, at which a popular part has requests
in flight at several of them."""

CARRIERS_MIN = 2
"""Least number of different requests that had the part at its crashes. A single
request that is sent again is condemned by its own content."""

SETTLE_MS = 100.0
"""Age of a crash from which it counts for a verdict: entries report the
requests that were in flight there one after the other."""

COVERED_SHARE_MIN = 0.3
"""Least share of all strikes since its first crash that are a part's own. If
replicas crash whatever they run, each of many parts has a few."""

LEADING_SHARE_MIN = 0.5
"""Least share of a part's crashes at which no other suspected part explains
more crashes. Parts that were in flight beside the culprit explain fewer. Of
parts that explain as many, one that stands later in its prompt goes first:
fewer sound requests have it."""


class PartEvidence(msgspec.Struct, frozen=True):
    """The evidence against a part.

    Attributes:
      strikes: number of crashes that the part is a suspect of, where those
        within `STRIKE_MS` count as one.
      carriers: number of different requests that had the part there.
      crash_ids: these crashes.
    """

    strikes: int
    carriers: int
    crash_ids: list[ids.CrashId]


class PartSuspects:
    """The parts that are suspects of crashes that they are not cleared of."""

    def __init__(self) -> None:
        """Starts without suspects."""
        # The carrier of each part at each of its crashes.
        self._carriers: dict[ids.PartFingerprint, dict[ids.CrashId, str]] = {}
        self._positions: dict[ids.PartFingerprint, int] = {}
        self._noticed_ms: dict[ids.CrashId, float] = {}
        self._parts_at: dict[ids.CrashId, set[ids.PartFingerprint]] = {}
        self._frequent: set[ids.PartFingerprint] = set()
        self._condemned: set[ids.PartFingerprint] = set()
        self._trials: dict[ids.PartFingerprint, int] = {}

    def put(
        self,
        crash: ids.CrashId,
        suspect: crash_reports.Suspect,
        noticed_ms: float,
    ) -> None:
        """Adds or updates a suspect; one that was cleared is removed.

        Args:
          crash: the crash.
          suspect: the part.
          noticed_ms: clock reading when the crash was noticed.
        """
        part = ids.PartFingerprint(suspect.fingerprint)
        if suspect.cleared:
            self.discard(crash, part)
            return
        crashes = self._carriers.setdefault(part, {})
        crashes[crash] = suspect.carrier
        position = max(suspect.position, self._positions.get(part, 0))
        self._positions[part] = position
        self._parts_at.setdefault(crash, set()).add(part)
        self._noticed_ms[crash] = noticed_ms
        if len(crashes) >= STRIKES_MIN:
            self._frequent.add(part)
        if suspect.condemned:
            self._condemned.add(part)
        if suspect.trials:
            self._trials[part] = max(suspect.trials, self.trials(part))

    def discard(self, crash: ids.CrashId, part: ids.PartFingerprint) -> None:
        """Removes a part from the suspects of a crash."""
        crashes = self._carriers.get(part, {})
        if crashes.pop(crash, None) is None:
            return
        self._parts_at[crash].discard(part)
        if not self._parts_at[crash]:
            del self._parts_at[crash]
            del self._noticed_ms[crash]
        if len(crashes) < STRIKES_MIN:
            self._frequent.discard(part)
        if not crashes:
            del self._carriers[part]
            del self._positions[part]
            self._condemned.discard(part)
            self._trials.pop(part, None)

    def trials(self, part: ids.PartFingerprint) -> int:
        """Returns how many trials of a condemned part were begun."""
        return self._trials.get(part, 0)

    def crash_count(self, part: ids.PartFingerprint) -> int:
        """Returns how many crashes a part is a suspect of."""
        return len(self._carriers.get(part, ()))

    def is_suspect(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether this is a part that is a suspect of a crash."""
        return fingerprint in self._carriers

    def count_at(self, crash: ids.CrashId) -> int:
        """Returns how many parts are suspects of a crash."""
        return len(self._parts_at.get(crash, ()))

    def is_condemned(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether an entry found a part to be the cause."""
        return fingerprint in self._condemned

    def condemned(self) -> dict[ids.PartFingerprint, PartEvidence]:
        """Returns the condemned parts and the evidence against each."""
        return {
            part: self._evidence(part, self._carriers[part])
            for part in sorted(self._condemned)
        }

    def candidates(
        self, now_ms: clock.Millis
    ) -> dict[ids.PartFingerprint, PartEvidence]:
        """Returns the parts that may be condemned and are not yet.

        Args:
          now_ms: the current time; crashes that are younger than `SETTLE_MS`
            don't count.
        """
        settled_ms = now_ms - SETTLE_MS
        found = {}
        for part in sorted(self._frequent - self._condemned):
            crashes = self._settled(part, settled_ms)
            evidence = self._evidence(part, crashes)
            if (
                evidence.strikes >= STRIKES_MIN
                and evidence.carriers >= CARRIERS_MIN
                and self._covers(crashes, evidence.strikes, settled_ms)
                and self._leads(part, crashes, settled_ms)
            ):
                found[part] = evidence
        return found

    def strikes(self, part: ids.PartFingerprint) -> int:
        """Returns the strikes of a part.

        Crashes that a condemned part explains as well are no strikes.
        """
        return self._strikes_of(part, self._carriers.get(part, ()))

    def _strikes_of(
        self, part: ids.PartFingerprint, crashes: Iterable[ids.CrashId]
    ) -> int:
        return _strikes(
            self._noticed_ms[crash]
            for crash in crashes
            if not self._is_explained(crash, part)
        )

    def _is_explained(
        self, crash: ids.CrashId, part: ids.PartFingerprint
    ) -> bool:
        """Returns whether a condemned part explains a part's crash as well."""
        if part in self._condemned:
            return False
        rank = self._rank(part)
        return any(
            other in self._condemned and self._rank(other) >= rank
            for other in self._parts_at[crash]
        )

    def explains(self, crash: ids.CrashId) -> bool:
        """Returns whether a condemned part was in flight at a crash."""
        return not self._condemned.isdisjoint(self._parts_at.get(crash, ()))

    def _settled(
        self, part: ids.PartFingerprint, settled_ms: float
    ) -> list[ids.CrashId]:
        """Returns the crashes of a part that count for a verdict."""
        return [
            crash
            for crash in self._carriers[part]
            if self._noticed_ms[crash] <= settled_ms
        ]

    def _covers(
        self, crashes: list[ids.CrashId], strikes: int, settled_ms: float
    ) -> bool:
        """Returns whether a part is a suspect of enough of all crashes."""
        first_ms = min(self._noticed_ms[crash] for crash in crashes)
        since = [
            each
            for each in self._noticed_ms.values()
            if first_ms <= each <= settled_ms
        ]
        return strikes >= COVERED_SHARE_MIN * _strikes(since)

    def _leads(
        self,
        part: ids.PartFingerprint,
        crashes: list[ids.CrashId],
        settled_ms: float,
    ) -> bool:
        """Returns whether no other part explains most crashes better."""
        rank = self._rank(part, settled_ms)
        led = sum(
            all(
                self._rank(other, settled_ms) <= rank
                for other in self._parts_at[crash]
            )
            for crash in crashes
        )
        return led >= LEADING_SHARE_MIN * len(crashes)

    def _rank(
        self, part: ids.PartFingerprint, settled_ms: float = float("inf")
    ) -> tuple[int, int]:
        """Returns how well a part explains crashes, for comparison."""
        crashes = len(self._settled(part, settled_ms))
        return crashes, self._positions[part]

    def _evidence(
        self, part: ids.PartFingerprint, crashes: Collection[ids.CrashId]
    ) -> PartEvidence:
        carriers = self._carriers[part]
        return PartEvidence(
            self._strikes_of(part, crashes),
            len({carriers[crash] for crash in crashes}),
            sorted(crashes),
        )


def _strikes(times_ms: Iterable[float]) -> int:
    """Returns the strikes of crashes that were noticed at these times."""
    strikes = 0
    until_ms = float("-inf")
    for noticed_ms in sorted(times_ms):
        if noticed_ms >= until_ms:
            strikes += 1
            until_ms = noticed_ms + STRIKE_MS
    return strikes
