"""What an agent knows of the weights that its engine holds.

An engine takes the staged pieces as they are when it accepts a load order. What
was verified before the order may have changed by then: the order may be
accepted late, or pieces may have become corrupt. Weights are therefore trusted
only if the pieces were verified after the order was accepted, while nothing
else was staged: corrupt pieces do not become correct by themselves.
"""

from __future__ import annotations

import enum

from marlramp.core.replicas import engine_state


class LoadTrust(enum.Enum):
    """Trust in the weights that an engine holds.

    Attributes:
      VERIFIED: the engine has accepted no order since its start, or the pieces
        were verified after it accepted the last one.
      FOUND: the weights were loaded before this process started.
      UNVERIFIED: the pieces were not verified since the last order.
      SPOILT: the engine took corrupt pieces, or may have.
    """

    VERIFIED = "verified"
    FOUND = "found"
    UNVERIFIED = "unverified"
    SPOILT = "spoilt"


class LoadedWeights:
    """Trust in the weights that the engine on this VM holds."""

    def __init__(self) -> None:
        """Starts without a report of the engine."""
        self._born_ms: int | None = None
        self._order_number: int | None = None
        self._trust = LoadTrust.FOUND

    def record_report(self, report: engine_state.EngineReport) -> None:
        """Records a report of the engine.

        An order that was accepted since the last report makes the weights
        unverified, whoever gave it.
        """
        known = (self._born_ms, self._order_number)
        if known == (report.born_ms, report.order_number):
            return
        if self._order_number is not None:
            self._trust = LoadTrust.UNVERIFIED
        self._born_ms = report.born_ms
        self._order_number = report.order_number

    def record_check(
        self, report: engine_state.EngineReport, *, spoilt: bool
    ) -> None:
        """Records that the pieces were verified after an order was accepted.

        Args:
          report: a report that was read before the first piece was. The result
            is ignored if another order was accepted since.
          spoilt: whether a piece was missing or corrupt.
        """
        if self._order_number is None:
            self.record_report(report)
        if (report.born_ms, report.order_number) == (
            self._born_ms,
            self._order_number,
        ):
            self._trust = LoadTrust.SPOILT if spoilt else LoadTrust.VERIFIED

    def trust(self, report: engine_state.EngineReport) -> LoadTrust:
        """Returns the trust in the weights of a report."""
        if report.order_number == 0:
            return LoadTrust.VERIFIED
        if self._order_number is None:
            return LoadTrust.FOUND
        if (report.born_ms, report.order_number) != (
            self._born_ms,
            self._order_number,
        ):
            return LoadTrust.UNVERIFIED
        return self._trust

    def usable_weights(self, report: engine_state.EngineReport) -> int:
        """Returns the version that requests may run on, 0 for none."""
        trusted = self.trust(report) in (LoadTrust.VERIFIED, LoadTrust.FOUND)
        return report.weights if trusted else 0
