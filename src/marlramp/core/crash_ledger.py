"""Which requests crash the replicas that run them, as entries tell each other.

Load pattern: a request that ends each replica that runs it and comes again
through any entry, beside requests that were under way at the same replicas by
chance. All requests under way at a replica that crashed are its suspects. A
request is condemned if it was under way at several crashes and is the likelier
cause of them than everything else that was; one that ends well is cleared of a
crash. What the entries know merges in any order, any number of times, to the
same ledger, so that all of them condemn the same requests.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import bucket_digests

STRIKES_MIN = 3.0
"""Strikes of a request before it may be condemned."""

BEGUN_STRIKE = 0.5
"""Strike of a request that had brought a part of its answer: its prompt at
least was read without a crash. One that had not counts as a whole strike."""

LIKELIER_POWER = 3.0
"""How steeply the likelihood of being the cause rises with the strikes."""

OTHER_CAUSE_STRIKES = 2.0
"""Strikes of what is no request: machines, releases, operators."""

SHARE_MIN = 0.5
"""Mean share of the likelihood of its crashes from which on a request is
condemned: it is the likelier cause than all else together."""

CRASHES_MAX = 512
"""Crashes that are remembered, the latest ones."""

CRASH_AGE_MAX_MS = 600_000.0
"""How long a crash is remembered that no condemned request is blamed for."""

BUCKETS = 64
"""Parts of the ledger that are compared by themselves."""

TRANSIT_MAX_MS = 1_000.0
"""By how much a crash may seem younger than it is: its age, told as a duration,
leaves out the time on the way at each process that passes it on."""

TOLD_MAX = 32
"""Crashes told in one answer: some 8 kB."""

TOLD_CONDEMNED_MAX = 24
"""The same of crashes that condemn a request, which are told first."""


class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that was under way at a replica when it crashed.

    Attributes:
      fingerprint: the request.
      begun: whether it had brought a part of its answer.
      cleared: whether it has ended well elsewhere for this crash.
    """

    fingerprint: ids.Fingerprint
    begun: bool
    cleared: bool = False

    def merged(self, other: Suspect) -> Suspect:
        """Returns what two entries know together of the same suspect."""
        return Suspect(
            self.fingerprint,
            self.begun and other.begun,
            self.cleared or other.cleared,
        )


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of a replica, as entries tell it.

    Attributes:
      crash_id: the replica and its start.
      age_ms: time since it was noticed.
      suspects: requests that were under way there.
    """

    crash_id: ids.CrashId
    age_ms: float
    suspects: list[Suspect]


class Evidence(msgspec.Struct, frozen=True):
    """Why a request is condemned.

    Attributes:
      strikes: its strikes.
      share: mean share of the likelihood of its crashes.
      crash_ids: the crashes.
    """

    strikes: float
    share: float
    crash_ids: list[ids.CrashId]


class _Noted(msgspec.Struct):
    noticed_ms: float
    suspects: dict[ids.Fingerprint, Suspect]


def crash_id(replica_id: str, born_ms: int | None) -> ids.CrashId:
    """Returns the id of the crash that ends one start of a replica."""
    return ids.CrashId(f"{replica_id}@{born_ms or 0}")


class CrashLedger:
    """Crashes and their suspects, as far as this entry knows."""

    def __init__(self) -> None:
        """Starts without a crash."""
        self._crashes: dict[ids.CrashId, _Noted] = {}
        self._blamed: dict[ids.Fingerprint, set[ids.CrashId]] = {}
        self._digests = bucket_digests.BucketDigests(BUCKETS)
        self._condemned: dict[ids.Fingerprint, Evidence] | None = {}
        self._forgotten_ms = float("-inf")

    # What was seen.

    def note(
        self,
        crash: ids.CrashId,
        fingerprint: ids.Fingerprint,
        *,
        begun: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Takes a request that was under way at a crash."""
        suspect = Suspect(fingerprint, begun)
        self._take(Crash(crash, 0.0, [suspect]), now_ms)

    def blames(self, crash: ids.CrashId, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is a suspect of a crash."""
        return crash in self._blamed.get(fingerprint, ())

    def clear(self, crash: ids.CrashId, fingerprint: ids.Fingerprint) -> None:
        """Clears a request that is a suspect of a crash."""
        noted = self._crashes[crash]
        known = noted.suspects[fingerprint]
        cleared = msgspec.structs.replace(known, cleared=True)
        self._put(crash, noted, cleared)

    def clear_one(self, fingerprint: ids.Fingerprint) -> ids.CrashId | None:
        """Clears a request of its earliest crash, since it ended well.

        Returns:
          The crash, None if it is not blamed for any.
        """
        blamed = self._blamed.get(fingerprint)
        if not blamed:
            return None
        earliest = min(blamed, key=lambda c: self._crashes[c].noticed_ms)
        self.clear(earliest, fingerprint)
        return earliest

    def clear_all(self, fingerprint: ids.Fingerprint) -> list[ids.CrashId]:
        """Clears a request of all its crashes; returns them."""
        blamed = list(self._blamed.get(fingerprint, ()))
        for crash in blamed:
            self.clear(crash, fingerprint)
        return blamed

    def merge(self, crash: Crash, now_ms: clock.Millis) -> bool:
        """Takes what another entry knows of a crash; returns whether it is new.

        A crash counts from when it was noticed first. One that this ledger may
        have forgotten for want of room is not taken: others hold it still, and
        would tell it again and again.
        """
        forgotten_ms = self._forgotten_ms + TRANSIT_MAX_MS
        known = crash.crash_id in self._crashes
        if not known and now_ms - crash.age_ms <= forgotten_ms:
            return False
        return self._take(crash, now_ms)

    def _take(self, crash: Crash, now_ms: clock.Millis) -> bool:
        noticed_ms = now_ms - crash.age_ms
        noted = self._crashes.get(crash.crash_id)
        if noted is None:
            noted = self._crashes[crash.crash_id] = _Noted(noticed_ms, {})
        noted.noticed_ms = min(noted.noticed_ms, noticed_ms)
        changed = False
        for told in crash.suspects:
            known = noted.suspects.get(told.fingerprint)
            suspect = told if known is None else known.merged(told)
            if suspect != known:
                self._put(crash.crash_id, noted, suspect)
                changed = True
        return changed

    def tick(self, now_ms: clock.Millis) -> None:
        """Forgets crashes that are old, or more than are remembered."""
        horizon_ms = now_ms - CRASH_AGE_MAX_MS
        if self._forgotten_ms < horizon_ms:
            self._forgotten_ms = float("-inf")
        kept = self._condemning()
        for crash, noted in list(self._crashes.items()):
            if noted.noticed_ms < horizon_ms and crash not in kept:
                self._forget(crash)
        excess = len(self._crashes) - CRASHES_MAX
        if excess > 0:
            # Those that condemn a request go last.
            order = sorted(
                self._crashes,
                key=lambda c: (c in kept, self._crashes[c].noticed_ms),
            )
            for crash in order[:excess]:
                noticed_ms = self._crashes[crash].noticed_ms
                self._forgotten_ms = max(self._forgotten_ms, noticed_ms)
                self._forget(crash)

    def _condemning(self) -> set[ids.CrashId]:
        """Returns the crashes that condemn a request."""
        return {
            crash
            for evidence in self.condemned().values()
            for crash in evidence.crash_ids
        }

    # What follows from it.

    def suspects(self) -> dict[ids.Fingerprint, list[ids.CrashId]]:
        """Returns the crashes that each request is not cleared of."""
        return {name: list(blamed) for name, blamed in self._blamed.items()}

    def strikes(self, fingerprint: ids.Fingerprint) -> float:
        """Returns the strikes of a request that it is not cleared of."""
        return sum(
            BEGUN_STRIKE
            if self._crashes[crash].suspects[fingerprint].begun
            else 1.0
            for crash in self._blamed.get(fingerprint, ())
        )

    def condemned(self) -> dict[ids.Fingerprint, Evidence]:
        """Returns the requests that are not to be run again, and why."""
        if self._condemned is None:
            self._condemned = self._judge()
        return self._condemned

    def _judge(self) -> dict[ids.Fingerprint, Evidence]:
        strikes = {name: self.strikes(name) for name in self._blamed}
        condemned = {}
        for fingerprint, own in strikes.items():
            if own < STRIKES_MIN:
                continue
            crash_ids = sorted(self._blamed[fingerprint])
            share = sum(
                self._share(own, crash, strikes) for crash in crash_ids
            ) / len(crash_ids)
            if share >= SHARE_MIN:
                condemned[fingerprint] = Evidence(own, share, crash_ids)
        return condemned

    def _share(
        self,
        own: float,
        crash: ids.CrashId,
        strikes: dict[ids.Fingerprint, float],
    ) -> float:
        """Returns the share of a request with `own` strikes in a crash."""
        suspects = self._crashes[crash].suspects.values()
        likelihoods = [
            strikes[suspect.fingerprint] ** LIKELIER_POWER
            for suspect in suspects
            if not suspect.cleared
        ]
        other = OTHER_CAUSE_STRIKES**LIKELIER_POWER
        return float(own**LIKELIER_POWER / (sum(likelihoods) + other))

    # What entries tell each other.

    def told(
        self, crashes: Iterable[ids.CrashId], now_ms: clock.Millis
    ) -> list[Crash]:
        """Returns what is known of some crashes, without those forgotten."""
        return [
            Crash(
                crash,
                now_ms - noted.noticed_ms,
                list(noted.suspects.values()),
            )
            for crash in crashes
            if (noted := self._crashes.get(crash)) is not None
        ]

    def digest(self) -> int:
        """Returns one digest of the ledger, 0 if it is empty."""
        return self._digests.joined()

    def digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return self._digests.all()

    def differing(
        self, digests: list[int], rng: random.Random
    ) -> list[ids.CrashId]:
        """Returns crashes that another ledger may lack, as many as are told.

        If there are more, they are those of a few whole buckets, which then
        differ no longer: drawn from all, most would be told many times.

        Args:
          digests: the digests of the other ledger's buckets.
          rng: draws the buckets that are told if there are more.
        """
        buckets = set(self._digests.differing(digests))
        found = [
            crash
            for crash in self._crashes
            if self._digests.bucket_of(crash) in buckets
        ]
        if len(found) <= TOLD_MAX:
            return found
        kept = self._condemning()
        rng.shuffle(found)
        ranks = {bucket: rng.random() for bucket in buckets}
        found.sort(key=lambda crash: ranks[self._digests.bucket_of(crash)])
        first = [crash for crash in found if crash in kept]
        first = first[:TOLD_CONDEMNED_MAX]
        rest = [crash for crash in found if crash not in first]
        return [*first, *rest[: TOLD_MAX - len(first)]]

    # Keeping all of it in step.

    def _put(self, crash: ids.CrashId, noted: _Noted, suspect: Suspect) -> None:
        fingerprint = suspect.fingerprint
        known = noted.suspects.get(fingerprint)
        if known is not None:
            self._toggle(crash, known)
        noted.suspects[fingerprint] = suspect
        self._toggle(crash, suspect)
        blamed = self._blamed.setdefault(fingerprint, set())
        if suspect.cleared:
            blamed.discard(crash)
        else:
            blamed.add(crash)
        if not blamed:
            del self._blamed[fingerprint]
        self._condemned = None

    def _forget(self, crash: ids.CrashId) -> None:
        noted = self._crashes.pop(crash)
        for fingerprint, suspect in noted.suspects.items():
            self._toggle(crash, suspect)
            blamed = self._blamed.get(fingerprint, set())
            blamed.discard(crash)
            if not blamed:
                self._blamed.pop(fingerprint, None)
        self._condemned = None

    def _toggle(self, crash: ids.CrashId, suspect: Suspect) -> None:
        flags = f"{suspect.begun:d}{suspect.cleared:d}"
        self._digests.toggle(crash, f"{crash}\0{suspect.fingerprint}\0{flags}")
