"""What an entry makes of crashes: its own, those of others, and good runs.

Load pattern: see `crash_ledger`. A run that ended well clears its request of
one crash, before or after it is blamed for one, here or at another entry. So
requests of popular content, which are under way at every crash, stay free, and
one that crashes replicas now and then does not.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from marlramp import clock
from marlramp import ids
from marlramp.core import crash_ledger
from marlramp.core import good_runs

STRIKES_ALONE = 1.0
"""Strikes from which on a request goes where the fewest others run: if it is
the cause, few are broken off with it, and few are suspected beside it."""

STRIKES_ONCE = 2.0
"""Strikes from which on a request is not sent to a second replica."""


class Verdicts(msgspec.Struct, frozen=True):
    """What changed of the requests that are not to be run again.

    Attributes:
      condemned: requests that are now, and why.
      released: requests that were, and are no longer.
    """

    condemned: dict[ids.Fingerprint, crash_ledger.Evidence]
    released: list[ids.Fingerprint]


class CrashRecord:
    """Crashes, their suspects and the good runs seen by this entry."""

    def __init__(self) -> None:
        """Starts without any."""
        self.ledger = crash_ledger.CrashLedger()
        self._good = good_runs.GoodRuns()
        self._untold: set[ids.CrashId] = set()
        self._judged: set[ids.Fingerprint] = set()

    def note_crash(
        self,
        crash: ids.CrashId,
        fingerprint: ids.Fingerprint,
        *,
        begun: bool,
        now_ms: clock.Millis,
    ) -> None:
        """Takes a request of this entry that was under way at a crash."""
        if self._good.try_spend(fingerprint, now_ms):
            return
        self.ledger.note(crash, fingerprint, begun=begun, now_ms=now_ms)
        self._untold.add(crash)

    def note_good(
        self, fingerprint: ids.Fingerprint, now_ms: clock.Millis
    ) -> None:
        """Takes a run that ended without a crash."""
        crash = self.ledger.clear_one(fingerprint)
        if crash is None:
            self._good.note(fingerprint, now_ms)
        else:
            self._untold.add(crash)

    def clear(self, fingerprint: ids.Fingerprint) -> int:
        """Clears a request of all its crashes; returns how many."""
        crashes = self.ledger.clear_all(fingerprint)
        self._untold.update(crashes)
        return len(crashes)

    def merge(
        self, crashes: Iterable[crash_ledger.Crash], now_ms: clock.Millis
    ) -> bool:
        """Takes what another process knows; returns whether it is new."""
        is_new = False
        for crash in crashes:
            if not self.ledger.merge(crash, now_ms):
                continue
            is_new = True
            self._untold.add(crash.crash_id)
            for suspect in crash.suspects:
                blamed = self.ledger.blames(crash.crash_id, suspect.fingerprint)
                if blamed and self._good.try_spend(suspect.fingerprint, now_ms):
                    self.ledger.clear(crash.crash_id, suspect.fingerprint)
        return is_new

    def is_condemned(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is not to be run again."""
        return fingerprint in self.ledger.condemned()

    def runs_alone(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request goes where the fewest others run."""
        return self.ledger.strikes(fingerprint) >= STRIKES_ALONE

    def runs_once(self, fingerprint: ids.Fingerprint) -> bool:
        """Returns whether a request is sent to one replica at most."""
        return self.ledger.strikes(fingerprint) >= STRIKES_ONCE

    def tick(self, now_ms: clock.Millis) -> None:
        """Forgets what is old."""
        self.ledger.tick(now_ms)

    def take_untold(self) -> set[ids.CrashId]:
        """Returns the crashes that changed since the last time."""
        untold, self._untold = self._untold, set()
        return untold

    def take_verdicts(self) -> Verdicts:
        """Returns what changed of the verdicts since the last time."""
        now = self.ledger.condemned()
        fresh = {name: now[name] for name in now if name not in self._judged}
        released = sorted(self._judged - now.keys())
        self._judged = set(now)
        return Verdicts(fresh, released)
