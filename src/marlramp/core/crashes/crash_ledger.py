"""Suspects of crashes of replicas, as entries and agents report them by gossip.

Load pattern: a request that crashes each replica that runs it is sent again
through any entry, while other requests are in flight at these replicas by
chance. All requests in flight at a replica that crashes are suspects of the
crash. A request is blocked if it was in flight at several crashes and is at
least as likely their cause as all other suspects and causes together. A request
that succeeds is cleared of a crash. Updates from other processes merge in any
order, any number of times, to the same suspects of a crash, so that entries
that hold the same crashes block the same requests. The time at which a crash
was noticed and the crashes that were dropped can differ between processes.

Parts of prompts are suspects as well, see `part_suspicion`. An entry that finds
a part to be the cause marks it as condemned, and all processes that receive the
mark block it.
"""

from __future__ import annotations

from collections.abc import Iterable
import random

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import bucket_digests
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import part_suspicion

STRIKES_MIN = 3.0
"""Strikes that a request needs before it may be blocked."""

PARTIAL_ANSWER_STRIKE = 0.5
"""Strike of a request that had returned part of its answer: at least its prompt
was processed without a crash. A request that had returned nothing counts as 1
strike."""

LIKELIHOOD_EXPONENT = 3.0
"""Exponent that turns strikes into the likelihood of being the cause."""

OTHER_CAUSE_STRIKES = 2.0
"""Assumed strikes of all causes other than requests together: machines,
releases, operators."""

LIKELIHOOD_SHARE_MIN = 0.5
"""Minimum share of the likelihood, as a mean over its crashes, with which a
request is blocked. It is then at least as likely a cause as all others
together."""

CRASHES_MAX = 512
"""Most crashes that the ledger keeps. The earliest ones are dropped first, and
those that block a request last."""

CRASH_AGE_MAX_MS = 600_000.0
"""Time after which a crash is dropped unless it blocks a request."""

BUCKETS = 64
"""Number of buckets of the ledger; their digests are compared separately."""

TRANSIT_MAX_MS = 1_000.0
"""Maximum error of the age of a received crash: the age is sent as a duration
that omits the transit time of each hop, so that it is too low."""

ANSWER_SIZE_MAX = 32.0
"""Largest size of the crashes in one answer, about 8 kB."""

BLOCKING_SIZE_MAX = 24.0
"""Largest size of the crashes in one answer that block a request or a part;
they are sent first."""


class Evidence(msgspec.Struct, frozen=True):
    """Why a request is blocked.

    Attributes:
      strikes: the strikes of the request.
      share: mean share of the likelihood of the request's crashes.
      crash_ids: the crashes that the request is a suspect of.
    """

    strikes: float
    share: float
    crash_ids: list[ids.CrashId]


class _KnownCrash(msgspec.Struct):
    noticed_ms: float
    suspects: dict[ids.Fingerprint, crash_reports.Suspect]


class CrashLedger:
    """Crashes and their suspects that this process knows of.

    Attributes:
      parts: the parts of prompts among the suspects.
    """

    def __init__(self) -> None:
        """Creates an empty ledger."""
        self.parts = part_suspicion.PartSuspects()
        self._crashes: dict[ids.CrashId, _KnownCrash] = {}
        self._crashes_of: dict[ids.Fingerprint, set[ids.CrashId]] = {}
        self._digests = bucket_digests.BucketDigests(BUCKETS)
        self._blocked: dict[ids.Fingerprint, Evidence] | None = {}
        # Latest notice time of the crashes dropped because of `CRASHES_MAX`,
        # -inf if there is none within `CRASH_AGE_MAX_MS`.
        self._dropped_ms = float("-inf")

    # Observations and updates.

    def add_suspect(
        self,
        crash: ids.CrashId,
        fingerprint: ids.Fingerprint,
        *,
        begun: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Adds a request that was in flight at a crash.

        Args:
          crash: the crash.
          fingerprint: the request.
          begun: whether the request had returned part of its answer.
          now_ms: the current time, taken as the time of the crash.
        """
        suspect = crash_reports.Suspect(fingerprint, begun)
        self._merge(crash_reports.Crash(crash, 0.0, [suspect]), now_ms)

    def add_part(
        self,
        crash: ids.CrashId,
        part: ids.PartFingerprint,
        position: int,
        carrier: ids.Fingerprint,
        now_ms: clock.Millis,
    ) -> None:
        """Adds a part of the prompt of a request that was in flight at a crash.

        Args:
          crash: the crash.
          part: the part.
          position: position of the part in the prompt, from 0.
          carrier: the request.
          now_ms: the current time, taken as the time of the crash.
        """
        suspect = crash_reports.Suspect(
            part,
            begun=False,
            carrier=carrier[-crash_reports.CARRIER_DIGITS :],
            position=position,
        )
        self._merge(crash_reports.Crash(crash, 0.0, [suspect]), now_ms)

    def clear_parts(self, crash: ids.CrashId) -> None:
        """Clears all parts of prompts of a crash."""
        for suspect in list(self._crashes[crash].suspects.values()):
            if suspect.is_part and not suspect.cleared:
                self.clear(crash, suspect.fingerprint)

    def condemn(self, part: ids.PartFingerprint) -> ids.CrashId:
        """Marks a part as the cause of its crashes.

        Returns:
          The latest of these crashes, which bears the mark.

        Raises:
          KeyError: if the part is no suspect.
        """
        latest = max(self._crashes_of[part], key=self.noticed_ms)
        known_crash = self._crashes[latest]
        known = known_crash.suspects[part]
        condemned = msgspec.structs.replace(known, condemned=True)
        self._put_suspect(latest, known_crash, condemned)
        return latest

    def record_trial(self, part: ids.PartFingerprint) -> ids.CrashId:
        """Counts a trial of a condemned part.

        Returns:
          The latest crash of the part, which bears the count.

        Raises:
          KeyError: if the part is no suspect.
        """
        latest = max(self._crashes_of[part], key=self.noticed_ms)
        known_crash = self._crashes[latest]
        counted = msgspec.structs.replace(
            known_crash.suspects[part], trials=self.parts.trials(part) + 1
        )
        self._put_suspect(latest, known_crash, counted)
        return latest

    def noticed_ms(self, crash: ids.CrashId) -> float:
        """Returns when a crash was first noticed, a clock reading."""
        return self._crashes[crash].noticed_ms

    def is_suspect(
        self, crash: ids.CrashId, fingerprint: ids.Fingerprint
    ) -> bool:
        """Returns whether a request is an uncleared suspect of a crash."""
        return crash in self._crashes_of.get(fingerprint, ())

    def clear(self, crash: ids.CrashId, fingerprint: ids.Fingerprint) -> None:
        """Clears a request of a crash.

        Raises:
          KeyError: if the ledger does not hold the request as a suspect of the
            crash.
        """
        known_crash = self._crashes[crash]
        known = known_crash.suspects[fingerprint]
        cleared = msgspec.structs.replace(known, cleared=True)
        self._put_suspect(crash, known_crash, cleared)

    def clear_earliest(
        self, fingerprint: ids.Fingerprint
    ) -> ids.CrashId | None:
        """Clears a request of its earliest crash after a successful run.

        Returns:
          The crash, None if the request is no suspect of any.
        """
        crashes = self._crashes_of.get(fingerprint)
        if not crashes:
            return None
        earliest = min(crashes, key=lambda c: self._crashes[c].noticed_ms)
        self.clear(earliest, fingerprint)
        return earliest

    def clear_all(self, fingerprint: ids.Fingerprint) -> list[ids.CrashId]:
        """Clears a request of all its crashes and returns these."""
        crashes = self.crashes_of(fingerprint)
        for crash in crashes:
            self.clear(crash, fingerprint)
        return crashes

    def crashes_of(self, fingerprint: ids.Fingerprint) -> list[ids.CrashId]:
        """Returns the crashes that a suspect is not cleared of."""
        return list(self._crashes_of.get(fingerprint, ()))

    def merge(self, crash: crash_reports.Crash, now_ms: clock.Millis) -> bool:
        """Merges a crash that another process sent.

        The earliest time at which any process noticed a crash becomes its
        notice time. A crash that this ledger may have dropped because of
        `CRASHES_MAX` is not merged: other processes still hold it and would
        send it again and again.

        Returns:
          Whether a suspect changed; an earlier notice time alone does not
          count.
        """
        dropped_ms = self._dropped_ms + TRANSIT_MAX_MS
        known = crash.crash_id in self._crashes
        if not known and now_ms - crash.age_ms <= dropped_ms:
            return False
        return self._merge(crash, now_ms)

    def _merge(self, crash: crash_reports.Crash, now_ms: clock.Millis) -> bool:
        noticed_ms = now_ms - crash.age_ms
        known_crash = self._crashes.get(crash.crash_id)
        if known_crash is None:
            known_crash = self._crashes[crash.crash_id] = _KnownCrash(
                noticed_ms, {}
            )
        known_crash.noticed_ms = min(known_crash.noticed_ms, noticed_ms)
        changed = False
        for update in crash.suspects:
            known = known_crash.suspects.get(update.fingerprint)
            suspect = update if known is None else known.merged(update)
            if suspect != known:
                self._put_suspect(crash.crash_id, known_crash, suspect)
                changed = True
        return changed

    def tick(self, now_ms: clock.Millis) -> None:
        """Drops crashes that are too old or exceed `CRASHES_MAX`."""
        horizon_ms = now_ms - CRASH_AGE_MAX_MS
        if self._dropped_ms < horizon_ms:
            self._dropped_ms = float("-inf")
        blocking = self._blocking_crashes()
        for crash, known_crash in list(self._crashes.items()):
            if known_crash.noticed_ms < horizon_ms and crash not in blocking:
                self._drop(crash)
        excess = len(self._crashes) - CRASHES_MAX
        if excess > 0:
            # Crashes that block a request are dropped last.
            order = sorted(
                self._crashes,
                key=lambda c: (c in blocking, self._crashes[c].noticed_ms),
            )
            for crash in order[:excess]:
                noticed_ms = self._crashes[crash].noticed_ms
                self._dropped_ms = max(self._dropped_ms, noticed_ms)
                self._drop(crash)

    def _blocking_crashes(self) -> set[ids.CrashId]:
        """Returns the crashes that block a request or a part."""
        found: list[Evidence | part_suspicion.PartEvidence] = [
            *self.blocked().values(),
            *self.parts.condemned().values(),
        ]
        return {crash for evidence in found for crash in evidence.crash_ids}

    # Strikes and blocked requests.

    def suspects(self) -> dict[ids.Fingerprint, list[ids.CrashId]]:
        """Returns, by request, the crashes that it is not cleared of."""
        return {
            fingerprint: list(crashes)
            for fingerprint, crashes in self._crashes_of.items()
        }

    def strikes(self, fingerprint: ids.Fingerprint) -> float:
        """Returns the strikes of a request for crashes it is not cleared of.

        A crash that a condemned part of prompts explains is no strike of the
        requests that were in flight there.
        """
        return sum(
            PARTIAL_ANSWER_STRIKE
            if self._crashes[crash].suspects[fingerprint].begun
            else 1.0
            for crash in self._crashes_of.get(fingerprint, ())
            if not self.parts.explains(crash)
        )

    def blocked(self) -> dict[ids.Fingerprint, Evidence]:
        """Returns the blocked requests and the evidence against each."""
        if self._blocked is None:
            self._blocked = self._find_blocked()
        return self._blocked

    def _find_blocked(self) -> dict[ids.Fingerprint, Evidence]:
        strikes = {
            each: self.strikes(each)
            for each in self._crashes_of
            if not self.parts.is_suspect(each)
        }
        blocked = {}
        for fingerprint, own in strikes.items():
            if own < STRIKES_MIN:
                continue
            crash_ids = sorted(self._crashes_of[fingerprint])
            share = sum(
                self._share(own, crash, strikes) for crash in crash_ids
            ) / len(crash_ids)
            if share >= LIKELIHOOD_SHARE_MIN:
                blocked[fingerprint] = Evidence(own, share, crash_ids)
        return blocked

    def _share(
        self,
        own: float,
        crash: ids.CrashId,
        strikes: dict[ids.Fingerprint, float],
    ) -> float:
        """Returns a request's share of the likelihood of causing a crash.

        Args:
          own: strikes of the request.
          crash: the crash.
          strikes: strikes of all requests.
        """
        suspects = self._crashes[crash].suspects.values()
        likelihoods = [
            strikes[suspect.fingerprint] ** LIKELIHOOD_EXPONENT
            for suspect in suspects
            if not suspect.cleared and not suspect.is_part
        ]
        other = OTHER_CAUSE_STRIKES**LIKELIHOOD_EXPONENT
        return float(own**LIKELIHOOD_EXPONENT / (sum(likelihoods) + other))

    # Exchange with other processes.

    def export(
        self, crashes: Iterable[ids.CrashId], now_ms: clock.Millis
    ) -> list[crash_reports.Crash]:
        """Returns crashes in the form that is sent to other processes.

        Args:
          crashes: ids of the crashes; ids that the ledger has dropped are
            skipped.
          now_ms: the current time.
        """
        return [
            crash_reports.Crash(
                crash,
                now_ms - known_crash.noticed_ms,
                list(known_crash.suspects.values()),
            )
            for crash in crashes
            if (known_crash := self._crashes.get(crash)) is not None
        ]

    def digest(self) -> int:
        """Returns the digest of the whole ledger, 0 if the ledger is empty."""
        return self._digests.joined()

    def digests(self) -> list[int]:
        """Returns the digest of each bucket."""
        return self._digests.all()

    def differing(
        self, digests: list[int], rng: random.Random
    ) -> list[ids.CrashId]:
        """Returns crashes that another ledger may lack, for one answer.

        If their size exceeds `ANSWER_SIZE_MAX`, crashes that block a request or
        a part come first, up to `BLOCKING_SIZE_MAX`. The others are added
        bucket by bucket, in random order of the buckets, so that a few complete
        buckets are sent, which then no longer differ. A random choice from all
        buckets would send most crashes many times.

        Args:
          digests: the digests of the other ledger's buckets.
          rng: picks the buckets that are sent if not all crashes fit.
        """
        buckets = set(self._digests.differing(digests))
        found = [
            crash
            for crash in self._crashes
            if self._digests.bucket_of(crash) in buckets
        ]
        if self._size(found) <= ANSWER_SIZE_MAX:
            return found
        blocking = self._blocking_crashes()
        rng.shuffle(found)
        ranks = {bucket: rng.random() for bucket in buckets}
        found.sort(key=lambda crash: ranks[self._digests.bucket_of(crash)])
        first = self._fitting(
            [crash for crash in found if crash in blocking], BLOCKING_SIZE_MAX
        )
        rest = [crash for crash in found if crash not in first]
        return first + self._fitting(rest, ANSWER_SIZE_MAX - self._size(first))

    def _size(self, crashes: Iterable[ids.CrashId]) -> float:
        """Returns the size of crashes in a message."""
        return sum(
            each.size for each in self.export(crashes, clock.Millis(0.0))
        )

    def _fitting(
        self, crashes: list[ids.CrashId], size_max: float
    ) -> list[ids.CrashId]:
        """Returns the first crashes up to a size, at least one of several."""
        fitting: list[ids.CrashId] = []
        size = 0.0
        for crash in crashes:
            size += self._size([crash])
            if fitting and size > size_max:
                break
            fitting.append(crash)
        return fitting

    # Updates of the suspects, the indexes and the digests.

    def _put_suspect(
        self,
        crash: ids.CrashId,
        known_crash: _KnownCrash,
        suspect: crash_reports.Suspect,
    ) -> None:
        fingerprint = suspect.fingerprint
        known = known_crash.suspects.get(fingerprint)
        if known is not None:
            self._toggle_digest(crash, known)
        known_crash.suspects[fingerprint] = suspect
        self._toggle_digest(crash, suspect)
        crashes = self._crashes_of.setdefault(fingerprint, set())
        if suspect.cleared:
            crashes.discard(crash)
        else:
            crashes.add(crash)
        if not crashes:
            del self._crashes_of[fingerprint]
        if suspect.is_part:
            self.parts.put(crash, suspect, known_crash.noticed_ms)
        if suspect.condemned or not suspect.is_part:
            self._blocked = None

    def _drop(self, crash: ids.CrashId) -> None:
        known_crash = self._crashes.pop(crash)
        for fingerprint, suspect in known_crash.suspects.items():
            self._toggle_digest(crash, suspect)
            crashes = self._crashes_of.get(fingerprint, set())
            crashes.discard(crash)
            if not crashes:
                self._crashes_of.pop(fingerprint, None)
            if suspect.is_part:
                self.parts.discard(crash, ids.PartFingerprint(fingerprint))
        self._blocked = None

    def _toggle_digest(
        self, crash: ids.CrashId, suspect: crash_reports.Suspect
    ) -> None:
        flags = f"{suspect.begun:d}{suspect.cleared:d}"
        if suspect.is_part:
            flags += f"{suspect.condemned:d}{suspect.position}"
            if suspect.trials:
                flags += f"\0{suspect.trials}"
            flags += f"\0{suspect.carrier}"
        self._digests.toggle(crash, f"{crash}\0{suspect.fingerprint}\0{flags}")
