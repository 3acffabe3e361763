"""Lifecycle of a process: starting, serving, suspended, draining, stopped."""

from __future__ import annotations

import enum

import transitions


class Phase(enum.Enum):
    """Phases of a process.

    In SUSPENDED, work in progress continues but no new work is accepted.
    """

    STARTING = "starting"
    SERVING = "serving"
    SUSPENDED = "suspended"
    DRAINING = "draining"
    STOPPED = "stopped"


_IDLE = [Phase.STARTING, Phase.SUSPENDED]
_LIVE = [Phase.STARTING, Phase.SERVING, Phase.SUSPENDED]


def _transition(
    trigger: str, sources: list[Phase], dest: Phase
) -> dict[str, object]:
    return {"trigger": trigger, "source": sources, "dest": dest}


class Lifecycle:
    """State machine shared by agents and entries.

    SIGTERM, the platform's mark that the VM is leaving, and an operator's
    command all call `drain`, after which the process cannot serve again.
    """

    def __init__(self) -> None:
        """Starts in STARTING."""
        self._machine = transitions.Machine(
            model=self,
            states=Phase,
            initial=Phase.STARTING,
            auto_transitions=False,
            transitions=[
                _transition("_serve", _IDLE, Phase.SERVING),
                _transition("_suspend", [Phase.SERVING], Phase.SUSPENDED),
                _transition("_drain", _LIVE, Phase.DRAINING),
                _transition("_stop", [Phase.DRAINING], Phase.STOPPED),
            ],
            ignore_invalid_triggers=True,
            model_attribute="_phase",
        )

    @property
    def phase(self) -> Phase:
        """The current phase."""
        phase: Phase = getattr(self, "_phase")  # noqa: B009
        return phase

    def serve(self) -> bool:
        """Moves to SERVING; returns whether the phase is SERVING now."""
        self._fire("_serve")
        return self.phase is Phase.SERVING

    def suspend(self) -> None:
        """Moves from SERVING to SUSPENDED."""
        self._fire("_suspend")

    def drain(self) -> None:
        """Moves to DRAINING from any phase in which work may run."""
        self._fire("_drain")

    def stop(self) -> None:
        """Moves from DRAINING to STOPPED."""
        self._fire("_stop")

    def _fire(self, trigger: str) -> None:
        getattr(self, trigger)()
