"""Crashes, suspects and successful runs that one entry knows of.

Load pattern: see `crash_ledger`. A successful run clears its request of one
crash, whether the run ends before or after the request becomes a suspect, at
this entry or at another one. Requests for popular content, which are in flight
at every crash, therefore are not blocked, while a request that crashes replicas
only sometimes is.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import crash_ledger
from marlramp.core import successful_runs

ISOLATION_STRIKES = 1.0
"""Strikes from which a request is sent where the fewest others run: if the
request is the cause, few other requests are aborted and become suspects with
it."""

SINGLE_ATTEMPT_STRIKES = 2.0
"""Strikes from which a request is not sent to a second replica."""


class BlockChanges(msgspec.Struct, frozen=True):
    """Changes to the set of blocked requests.

    Attributes:
      blocked: newly blocked requests and the evidence against each.
      released: requests that are no longer blocked.
    """

    blocked: dict[ids.Fingerprint, crash_ledger.Evidence]
    released: list[ids.Fingerprint]


class CrashRecord:
    """Crashes, their suspects and successful runs known to this entry."""

    def __init__(self) -> None:
        """Creates an empty record."""
        self.ledger = crash_ledger.CrashLedger()
        self._successes = successful_runs.SuccessfulRuns()
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
        """Clears a request of all its crashes and returns their number."""
        crashes = self.ledger.clear_all(fingerprint)
        self._changed.update(crashes)
        return len(crashes)

    def merge(
        self, crashes: Iterable[crash_ledger.Crash], now_ms: clock.Millis
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
                if is_suspect and self._successes.try_spend(
                    suspect.fingerprint, now_ms
                ):
                    self.ledger.clear(crash.crash_id, suspect.fingerprint)
        return is_new

    def is_blocked(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is blocked."""
        return fingerprint in self.ledger.blocked()

    def runs_alone(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is sent where the fewest others run."""
        return self.ledger.strikes(fingerprint) >= ISOLATION_STRIKES

    def runs_once(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is sent to one replica at most."""
        return self.ledger.strikes(fingerprint) >= SINGLE_ATTEMPT_STRIKES

    def tick(self, now_ms: clock.Millis) -> None:
        """Drops old crashes."""
        self.ledger.tick(now_ms)

    def pop_changed(self) -> set[ids.CrashId]:
        """Returns the crashes that changed since the previous call."""
        changed, self._changed = self._changed, set()
        return changed

    def pop_block_changes(self) -> BlockChanges:
        """Returns how the blocked requests changed since the previous call."""
        now = self.ledger.blocked()
        fresh = {
            name: now[name]
            for name in now
            if name not in self._reported_blocked
        }
        released = sorted(self._reported_blocked - now.keys())
        self._reported_blocked = set(now)
        return BlockChanges(fresh, released)
