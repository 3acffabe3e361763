"""Guards an engine: decides which version may be served, and numbers orders.

Each order carries a fencing number, which consists of the settings revision
that caused the order and a count, so that it increases with the settings and
across agent restarts. An engine may ignore the number or accept orders from
others. Therefore the engine's reports before and after each order are compared,
and after any unexpected report nothing is served until the engine has been
read again.
"""

from __future__ import annotations

import enum

import msgspec

from marlramp import clock
from marlramp import ids

FENCING_COUNT_BITS = 16
"""Low bits of a fencing number that hold the count."""

PAUSE_MS = 2_000.0
"""Age of a report above which this process is assumed to have been paused.

A report reaches this age neither while the engine is silent for a second nor
while this process is."""


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine reports.

    Attributes:
      serving: version that the engine answers with, empty if none.
      loaded: digest of the complete weights of each loaded version.
      fencing: highest fencing number that the engine accepted, 0 if it keeps
        none.
      loading: whether the engine is carrying out an order.
    """

    serving: ids.VersionId
    loaded: dict[ids.VersionId, ids.Digest]
    fencing: int = 0
    loading: bool = False


class Target(msgspec.Struct, frozen=True):
    """The version that the settings specify.

    Attributes:
      model: the model.
      version: the version that answers are labelled with.
      whole: digest of the version's complete weights.
      revision: highest settings revision in force when the target was decided.
    """

    model: str
    version: ids.VersionId
    whole: ids.Digest
    revision: int


class Verdict(enum.Enum):
    """Version that the guard allows to be served.

    Attributes:
      SERVE_TARGET: the engine serves the target version.
      SERVE_OLD: the engine serves another version with a verified digest.
      CLOSED: nothing may be served.
    """

    SERVE_TARGET = "serve_target"
    SERVE_OLD = "serve_old"
    CLOSED = "closed"


class EngineGuard:
    """Decides admission and fencing for one engine."""

    def __init__(self) -> None:
        """Starts closed until the engine's state is observed."""
        self._trusted: dict[ids.VersionId, ids.Digest] = {}
        self._state: EngineState | None = None
        self._read_ms = float("-inf")
        self._count = 0

    @property
    def state(self) -> EngineState | None:
        """The engine's last report, None if it must be read again."""
        return self._state

    def trust(self, version: ids.VersionId, whole: ids.Digest) -> None:
        """Records the digest of a version whose chunks were all verified."""
        self._trusted[version] = whole

    def observe(self, state: EngineState, now_ms: clock.Millis) -> None:
        """Records a report that was just read from the engine."""
        self._state = state
        self._read_ms = now_ms

    def invalidate(self) -> None:
        """Closes admission until the engine is read again."""
        self._state = None

    def is_fresh(self, now_ms: clock.Millis) -> bool:
        """Returns whether there is a report that is at most `PAUSE_MS` old.

        After a pause of this process, the last report is out of date.
        """
        return self._state is not None and now_ms - self._read_ms <= PAUSE_MS

    def verdict(self, target: Target | None, now_ms: clock.Millis) -> Verdict:
        """Returns which version may be served now.

        Args:
          target: version that the settings specify, None if there is none.
          now_ms: the time.
        """
        state = self._state
        if state is None or not self.is_fresh(now_ms) or not state.serving:
            return Verdict.CLOSED
        reported = state.loaded.get(state.serving)
        if reported is None:
            return Verdict.CLOSED
        if target is not None and state.serving == target.version:
            matches = reported == target.whole
            return Verdict.SERVE_TARGET if matches else Verdict.CLOSED
        trusted = self._trusted.get(state.serving)
        return Verdict.SERVE_OLD if trusted == reported else Verdict.CLOSED

    def next_fencing(self, target: Target) -> int | None:
        """Returns the fencing number for an order to load or serve `target`.

        Returns:
          None if the engine must be read first, or if it has accepted an order
          for a newer settings revision, which means that this process's
          settings are out of date.
        """
        if self._state is None:
            return None
        base = target.revision << FENCING_COUNT_BITS
        seen = self._state.fencing
        if seen >> FENCING_COUNT_BITS > target.revision:
            return None
        self._count = max(self._count + 1, seen - base + 1, 1)
        return base + self._count
