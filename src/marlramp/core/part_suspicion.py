"""Evidence that a part of prompts is the cause of crashes.

Load pattern: requests of which no two are alike share a part of their prompts,
and each replica that begins to write an answer on this part crashes. Parts that
stand beside it, such as the first part that all requests of a route share, are
in flight at the same crashes. Sound parts are told from the culprit by runs
that survive, see `part_survivals`, which clear a part of all its crashes.
"""

from __future__ import annotations

import msgspec

from marlramp import ids
from marlramp.core import crash_reports

STRIKES_MIN = 3
"""Least number of strikes for which a part may be condemned."""

STRIKE_MS = 300.0
"""Period in which all crashes of a part are one strike: replicas that a machine
or an operator ends together are one event, at which a popular part has requests
in flight at several of them."""

CARRIERS_MIN = 2
"""Least number of different requests that had the part at its crashes. A single
request that is sent again is condemned by its own content."""

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

    def is_suspect(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether this is a part that is a suspect of a crash."""
        return fingerprint in self._carriers

    def count_at(self, crash: ids.CrashId) -> int:
        """Returns how many parts are suspects of a crash."""
        return len(self._parts_at.get(crash, ()))

    def is_condemned(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether an entry found a part to be the cause."""
        return fingerprint in self._condemned

    def strikes(self, part: ids.PartFingerprint) -> int:
        """Returns the strikes of a part.

        Crashes that a condemned part explains as well are no strikes.
        """
        times_ms = [
            self._noticed_ms[crash]
            for crash in self._carriers.get(part, ())
            if not self._is_explained(crash, part)
        ]
        strikes = 0
        until_ms = float("-inf")
        for noticed_ms in sorted(times_ms):
            if noticed_ms >= until_ms:
                strikes += 1
                until_ms = noticed_ms + STRIKE_MS
        return strikes

    def explains(self, crash: ids.CrashId) -> bool:
        """Returns whether a condemned part was in flight at a crash."""
        return not self._condemned.isdisjoint(self._parts_at.get(crash, ()))

    def condemned(self) -> dict[ids.PartFingerprint, PartEvidence]:
        """Returns the condemned parts and the evidence against each."""
        return {part: self._evidence(part) for part in sorted(self._condemned)}

    def candidates(self) -> dict[ids.PartFingerprint, PartEvidence]:
        """Returns the parts that may be condemned and are not yet."""
        found = {}
        for part in sorted(self._frequent - self._condemned):
            evidence = self._evidence(part)
            if (
                evidence.strikes >= STRIKES_MIN
                and evidence.carriers >= CARRIERS_MIN
                and self._leads(part)
            ):
                found[part] = evidence
        return found

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

    def _leads(self, part: ids.PartFingerprint) -> bool:
        """Returns whether no other part explains most crashes better."""
        crashes = self._carriers[part]
        rank = self._rank(part)
        led = sum(
            all(self._rank(other) <= rank for other in self._parts_at[crash])
            for crash in crashes
        )
        return led >= LEADING_SHARE_MIN * len(crashes)

    def _rank(self, part: ids.PartFingerprint) -> tuple[int, int]:
        """Returns how well a part explains crashes, for comparison."""
        return len(self._carriers[part]), self._positions[part]

    def _evidence(self, part: ids.PartFingerprint) -> PartEvidence:
        crashes = self._carriers[part]
        return PartEvidence(
            self.strikes(part), len(set(crashes.values())), sorted(crashes)
        )
