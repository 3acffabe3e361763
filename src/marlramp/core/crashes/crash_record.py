"""Crashes, suspects and successful runs that one entry knows of.

Load pattern: see `crash_ledger` and `part_suspicion`. A successful run clears
its request of one crash, whether the run ends before or after the request
becomes a suspect, at this entry or at another one. Requests for popular
content, which are in flight at every crash, therefore are not blocked, while a
request that crashes replicas only sometimes is. A run that survives clears the
parts of its prompt of all crashes until then.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Sequence

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core.crashes import crash_ledger
from marlramp.core.crashes import crash_reports
from marlramp.core.crashes import part_survivals
from marlramp.core.crashes import part_suspicion
from marlramp.core.crashes import part_trials
from marlramp.core.crashes import possible_causes
from marlramp.core.crashes import run_outcomes
from marlramp.core.crashes import successful_runs

ISOLATION_STRIKES = 1.0
"""Strikes from which a request is sent where the fewest others run: if the
request is the cause, few other requests are aborted and become suspects with
it."""

SINGLE_ATTEMPT_STRIKES = 2.0
"""Strikes from which a request is not sent to a second replica."""

PART_STRIKES = 2
"""Strikes of a part of prompts from which requests with it are sent where the
fewest others run, and to one replica only. After one event that ends several
replicas many sound parts have one."""

PARTS_PER_CRASH_MAX = 64
"""Parts among the suspects of a crash from which this entry adds no others."""

CHANCE_MAX = 0.005
"""Probability that a sound part loses as many runs in a row, up to which a part
is condemned."""


class BlockChanges(msgspec.Struct, frozen=True):
    """Changes to the set of blocked requests and parts of prompts.

    Attributes:
      blocked: newly blocked requests and the evidence against each.
      parts: newly blocked parts and the evidence against each.
      released: requests and parts that are no longer blocked.
    """

    blocked: dict[ids.Fingerprint, crash_ledger.Evidence]
    parts: dict[ids.PartFingerprint, part_suspicion.PartEvidence]
    released: list[ids.Fingerprint]


class CrashRecord:
    """Crashes, their suspects and successful runs known to this entry."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self.ledger = crash_ledger.CrashLedger()
        self._successes = successful_runs.SuccessfulRuns()
        self._survivals = part_survivals.PartSurvivals()
        self._outcomes = run_outcomes.RunOutcomes()
        self._trials = part_trials.PartTrials()
        self._changed: set[ids.CrashId] = set()
        self._reported_blocked: set[ids.Fingerprint] = set()

    def add_suspect(
        self,
        crash: ids.CrashId,
        fingerprint: ids.Fingerprint,
        *,
        begun: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Adds a request of this entry as a suspect of a crash.

        If a successful run of the request is left, the run is consumed and the
        request is not added.

        Args:
          crash: the crash.
          fingerprint: the request that was in flight.
          begun: whether the request had returned part of its answer.
          now_ms: the current time.
        """
        if self._successes.try_spend(fingerprint, now_ms):
            return
        self.ledger.add_suspect(crash, fingerprint, begun=begun, now_ms=now_ms)
        self._changed.add(crash)

    def add_part_suspects(
        self,
        crash: ids.CrashId,
        causes: possible_causes.PossibleCauses,
        now_ms: clock.Millis,
    ) -> None:
        """Adds the parts of a request whose run a crash ended as it began.

        Parts that survived a run here a short time ago are not added.

        Args:
          crash: the crash.
          causes: the request and the parts of its prompt.
          now_ms: the current time.
        """
        self._outcomes.record_lost(crash, now_ms)
        for position, part in enumerate(causes.parts):
            if self._survivals.clears(part, now_ms):
                continue
            if self.ledger.parts.count_at(crash) >= PARTS_PER_CRASH_MAX:
                break
            self.ledger.add_part(crash, part, position, causes.content, now_ms)
            self._changed.add(crash)

    def record_survival(
        self, parts: Sequence[ids.PartFingerprint], begun_ms: clock.Millis
    ) -> None:
        """Records a run that was not ended by a crash as it began.

        Args:
          parts: the parts of its prompt.
          begun_ms: clock reading when the run began.
        """
        self._outcomes.record_survived(begun_ms)
        self._survivals.record(parts, begun_ms)
        for part in parts:
            for crash in self.ledger.crashes_of(part):
                if self._survivals.clears(part, self.ledger.noticed_ms(crash)):
                    self.ledger.clear(crash, part)
                    self._changed.add(crash)

    def record_success(
        self, fingerprint: ids.Fingerprint, now_ms: clock.Millis
    ) -> None:
        """Records a run that ended without a crash."""
        crash = self.ledger.clear_earliest(fingerprint)
        if crash is None:
            self._successes.record(fingerprint, now_ms)
        else:
            self._changed.add(crash)

    def clear(self, fingerprint: ids.Fingerprint) -> int:
        """Clears a request, or a part of prompts, of all its crashes.

        Parts that were in flight at the crashes of a released part are cleared
        of these as well: otherwise they would explain the crashes best.

        Returns:
          The number of crashes.
        """
        is_part = self.ledger.parts.is_suspect(fingerprint)
        crashes = self.ledger.clear_all(fingerprint)
        if is_part:
            for crash in crashes:
                self.ledger.clear_parts(crash)
        self._changed.update(crashes)
        return len(crashes)

    def merge(
        self, crashes: Iterable[crash_reports.Crash], now_ms: clock.Millis
    ) -> bool:
        """Merges crashes that another process sent.

        Returns:
          Whether the ledger changed.
        """
        is_new = False
        for crash in crashes:
            if not self.ledger.merge(crash, now_ms):
                continue
            is_new = True
            self._changed.add(crash.crash_id)
            for suspect in crash.suspects:
                is_suspect = self.ledger.is_suspect(
                    crash.crash_id, suspect.fingerprint
                )
                if is_suspect and self._is_cleared(crash, suspect, now_ms):
                    self.ledger.clear(crash.crash_id, suspect.fingerprint)
        return is_new

    def _is_cleared(
        self,
        crash: crash_reports.Crash,
        suspect: crash_reports.Suspect,
        now_ms: clock.Millis,
    ) -> bool:
        """Returns whether a run at this entry clears a received suspect."""
        if not suspect.is_part:
            return self._successes.try_spend(suspect.fingerprint, now_ms)
        part = ids.PartFingerprint(suspect.fingerprint)
        noticed_ms = self.ledger.noticed_ms(crash.crash_id)
        return self._survivals.clears(part, noticed_ms)

    def judge_parts(self, now_ms: clock.Millis) -> bool:
        """Condemns the parts that lost too many runs to be sound.

        Returns:
          Whether there were any.
        """
        found = False
        for part, evidence in self.ledger.parts.candidates(now_ms).items():
            lost = self._outcomes.loss_probability(evidence.crash_ids, now_ms)
            if lost**evidence.strikes <= CHANCE_MAX:
                self._changed.add(self.ledger.condemn(part))
                found = True
        return found

    def is_blocked(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request or a part of prompts is blocked."""
        return (
            fingerprint in self.ledger.blocked()
            or self.ledger.parts.is_condemned(fingerprint)
        )

    def part_to_try(
        self, causes: possible_causes.PossibleCauses, now_ms: clock.Millis
    ) -> ids.PartFingerprint | None:
        """Returns the condemned part of which a request may be a trial.

        Returns:
          None if the request is not blocked, or may not run as a trial.
        """
        parts = self.ledger.parts
        condemned = [part for part in causes.parts if parts.is_condemned(part)]
        if len(condemned) != 1 or causes.content in self.ledger.blocked():
            return None
        (tried,) = condemned
        if any(
            parts.crash_count(part) > part_trials.OTHER_CRASHES_MAX
            for part in causes.parts
            if part != tried
        ):
            return None
        due = self._trials.is_due(tried, parts.trials(tried), now_ms)
        return tried if due else None

    def begin_trial(self, part: ids.PartFingerprint) -> None:
        """Counts a trial of a condemned part that begins."""
        self._changed.add(self.ledger.record_trial(part))

    def runs_alone(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a request is sent where the fewest others run."""
        strikes = self.ledger.strikes(causes.content)
        return strikes >= ISOLATION_STRIKES or self._has_suspected_part(causes)

    def runs_once(self, causes: possible_causes.PossibleCauses) -> bool:
        """Returns whether a request is sent to one replica at most."""
        strikes = self.ledger.strikes(causes.content)
        return strikes >= SINGLE_ATTEMPT_STRIKES or self._has_suspected_part(
            causes
        )

    def _has_suspected_part(
        self, causes: possible_causes.PossibleCauses
    ) -> bool:
        return any(
            self.ledger.parts.strikes(part) >= PART_STRIKES
            for part in causes.parts
        )

    def tick(self, now_ms: clock.Millis) -> None:
        """Drops old crashes, and schedules trials of condemned parts."""
        self.ledger.tick(now_ms)
        self._trials.update(self.ledger.parts.condemned(), now_ms)

    def pop_changed(self) -> set[ids.CrashId]:
        """Returns the crashes that changed since the previous call."""
        changed, self._changed = self._changed, set()
        return changed

    def pop_block_changes(self) -> BlockChanges:
        """Returns what changed since the previous call."""
        requests = self.ledger.blocked()
        parts = self.ledger.parts.condemned()
        reported = self._reported_blocked
        self._reported_blocked = {*requests, *parts}
        return BlockChanges(
            {
                name: evidence
                for name, evidence in requests.items()
                if name not in reported
            },
            {
                name: evidence
                for name, evidence in parts.items()
                if name not in reported
            },
            sorted(reported - self._reported_blocked),
        )
