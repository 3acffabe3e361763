"""Model of grants: one reserved grant, carried by two entries.

A caller sends the same non-idempotent request through entry A and again
through entry B, both naming one grant. Messages may be lost, duplicated and
delayed without bound; the agent may restart, leave, or see the grant expire;
an entry may cancel. Delayed delivery also covers an entry that was paused.
"""

from __future__ import annotations

from collections.abc import Callable
import dataclasses
import enum

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import grants
from models import report
from models import state_space

_ENTRY = ids.VmId("entry")
_TTL_MS = 1_000.0


class Status(enum.Enum):
    """What the agent knows of the grant."""

    OUT = "out"
    VOID = "void"
    RUNNING = "running"
    ENDED = "ended"
    LOST = "lost"


class Told(enum.Enum):
    """What the caller was told."""

    NOTHING = "nothing"
    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class State:
    """State of agent, network and caller.

    Attributes:
      status: the grant at the agent.
      open: whether the agent takes work.
      restarted: whether the agent lost its memory once.
      sent: entries whose run message is in the network.
      cancel_sent: whether a cancel is in the network.
      runs: how often the request was started.
      runs_at_close: runs when the agent closed, None while it is open.
      told: the last final answer.
    """

    status: Status = Status.OUT
    open: bool = True
    restarted: bool = False
    sent: frozenset[str] = frozenset()
    cancel_sent: bool = False
    runs: int = 0
    runs_at_close: int | None = None
    told: Told = Told.NOTHING


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    spends: bool = True
    restart_is_unknown: bool = True
    cancel_voids: bool = True
    expiry_voids: bool = True
    close_voids: bool = True
    entry_refusal_is_unknown: bool = True


def _deliver(state: State, rules: Rules) -> State:
    """Delivers a run message; it stays in the network as a duplicate."""
    runs = state.runs
    if state.status is Status.LOST:
        told = Told.UNKNOWN if rules.restart_is_unknown else Told.NOT_RUN
        return dataclasses.replace(state, told=told)
    if state.status is Status.VOID:
        return dataclasses.replace(state, told=Told.NOT_RUN)
    if state.status is Status.OUT:
        status = Status.RUNNING if rules.spends else Status.OUT
        return dataclasses.replace(state, status=status, runs=runs + 1)
    return dataclasses.replace(state, told=Told.RAN)


def _cancel(state: State, rules: Rules) -> State:
    """Delivers a cancel and its answer."""
    if state.status is Status.OUT:
        status = Status.VOID if rules.cancel_voids else Status.OUT
        return dataclasses.replace(state, status=status, told=Told.NOT_RUN)
    if state.status is Status.VOID:
        return dataclasses.replace(state, told=Told.NOT_RUN)
    told = Told.UNKNOWN if state.status is Status.LOST else Told.RAN
    return dataclasses.replace(state, told=told)


def _expire(state: State, rules: Rules) -> State:
    status = Status.VOID if rules.expiry_voids else state.status
    return dataclasses.replace(state, status=status, told=Told.NOT_RUN)


def _close(state: State, rules: Rules) -> State:
    status = state.status
    if status is Status.OUT and rules.close_voids:
        status = Status.VOID
    return dataclasses.replace(
        state, open=False, status=status, runs_at_close=state.runs
    )


def _refuse_at_entry(state: State, rules: Rules) -> State:
    """An entry refuses a resend, for a limit or a lost link."""
    told = Told.UNKNOWN if rules.entry_refusal_is_unknown else Told.NOT_RUN
    return dataclasses.replace(state, told=told)


def _restart(state: State) -> State:
    return dataclasses.replace(
        state,
        status=Status.LOST,
        restarted=True,
        open=True,
        runs_at_close=None,
    )


def _sender(entry: str) -> state_space.Action[State]:
    return state_space.Action(
        f"send_{entry}",
        lambda s: entry not in s.sent,
        lambda s: dataclasses.replace(s, sent=s.sent | {entry}),
    )


def build(rules: Rules) -> state_space.Model[State]:
    """Returns the model under `rules`."""

    def when(
        name: str,
        enabled: Callable[[State], bool],
        apply: Callable[[State], State],
    ) -> state_space.Action[State]:
        return state_space.Action(name, enabled, apply)

    return state_space.Model(
        init=State(),
        actions=[
            _sender("A"),
            _sender("B"),
            when(
                "deliver",
                lambda s: bool(s.sent) and s.runs < 3,
                lambda s: _deliver(s, rules),
            ),
            when(
                "cancel_sent",
                lambda s: not s.cancel_sent,
                lambda s: dataclasses.replace(s, cancel_sent=True),
            ),
            when(
                "cancel", lambda s: s.cancel_sent, lambda s: _cancel(s, rules)
            ),
            when(
                "expire",
                lambda s: s.status is Status.OUT and s.told is Told.NOTHING,
                lambda s: _expire(s, rules),
            ),
            when(
                "finish",
                lambda s: s.status is Status.RUNNING,
                lambda s: dataclasses.replace(s, status=Status.ENDED),
            ),
            when(
                "refuse_at_entry",
                lambda s: True,
                lambda s: _refuse_at_entry(s, rules),
            ),
            when("close", lambda s: s.open, lambda s: _close(s, rules)),
            when("restart", lambda s: not s.restarted, _restart),
        ],
        invariants={
            "at_most_once": lambda s: s.runs <= 1,
            "not_run_is_true": (
                lambda s: s.told is not Told.NOT_RUN or s.runs == 0
            ),
            "closed_starts_nothing": (
                lambda s: s.runs_at_close in (None, s.runs)
            ),
        },
    )


class _Real:
    """The shipped ledger, driven along a trace."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        self.ledger = self._ledger(1)
        self.first = ids.Incarnation(1)
        number = self.ledger.reserve(_ENTRY, self.time.now_ms())
        assert number is not None
        self.number = number
        self.model_state = State()

    def _ledger(self, incarnation: int) -> grants.GrantLedger:
        ledger = grants.GrantLedger(
            ids.Incarnation(incarnation), 4, _TTL_MS, _TTL_MS
        )
        ledger.open()
        return ledger

    def step(self, action: str) -> None:
        """Does one action of the model with the real ledger."""
        state = self.model_state
        if action.startswith("send_"):
            sent = state.sent | {action[-1]}
            self.model_state = dataclasses.replace(state, sent=sent)
        elif action == "refuse_at_entry":
            self._tell(Told.UNKNOWN)
        elif action == "cancel_sent":
            self.model_state = dataclasses.replace(state, cancel_sent=True)
        elif action == "deliver":
            self._deliver()
        elif action == "cancel":
            told = self.ledger.cancel(
                self.first, self.number, self.time.now_ms()
            )
            self._tell(_TOLD[told])
        elif action == "expire":
            self.time.advance(_TTL_MS + 1)
            self._tell(Told.NOT_RUN)
        elif action == "finish":
            self.ledger.finish(
                self.number, grants.RunState.SUCCEEDED, self.time.now_ms()
            )
        elif action == "close":
            self.ledger.close(self.time.now_ms())
            self.model_state = dataclasses.replace(
                state, open=False, runs_at_close=state.runs
            )
        elif action == "restart":
            self.ledger = self._ledger(2)
            self.model_state = _restart(state)

    def _deliver(self) -> None:
        refusal = self.ledger.consume(
            self.first,
            self.number,
            _ENTRY,
            self.time.now_ms(),
            from_token=True,
        )
        if refusal is None:
            runs = self.model_state.runs + 1
            self.model_state = dataclasses.replace(self.model_state, runs=runs)
        else:
            self._tell(_TOLD_BY_RAN[refusal.ran])

    def _tell(self, told: Told) -> None:
        self.model_state = dataclasses.replace(self.model_state, told=told)

    def project(self) -> State:
        """Returns the model state that the real ledger is in."""
        state = self.ledger.state(self.first, self.number, self.time.now_ms())
        return dataclasses.replace(self.model_state, status=_STATUS[state])


_TOLD = {
    grants.RunState.VOID: Told.NOT_RUN,
    grants.RunState.RUNNING: Told.RAN,
    grants.RunState.SUCCEEDED: Told.RAN,
    grants.RunState.FAILED: Told.RAN,
    grants.RunState.UNKNOWN: Told.UNKNOWN,
}
_TOLD_BY_RAN = {
    errors.Ran.NO: Told.NOT_RUN,
    errors.Ran.YES: Told.RAN,
    errors.Ran.UNKNOWN: Told.UNKNOWN,
}
_STATUS = {
    grants.RunState.NOT_STARTED: Status.OUT,
    grants.RunState.VOID: Status.VOID,
    grants.RunState.RUNNING: Status.RUNNING,
    grants.RunState.SUCCEEDED: Status.ENDED,
    grants.RunState.FAILED: Status.ENDED,
    grants.RunState.UNKNOWN: Status.LOST,
}


def _replay() -> int:
    return report.replay(build(Rules()), State(), _Real)


SPECIFICATION = report.Specification(
    "grants",
    build(Rules()),
    [
        report.SeededBug(
            "a taken grant stays out",
            build(Rules(spends=False)),
            "at_most_once",
        ),
        report.SeededBug(
            "a restart is answered with not run",
            build(Rules(restart_is_unknown=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "an entry that refuses a resend says not run",
            build(Rules(entry_refusal_is_unknown=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "a cancel does not void",
            build(Rules(cancel_voids=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "an expired grant can be taken",
            build(Rules(expiry_voids=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "a leaving agent takes grants that are out",
            build(Rules(close_voids=False)),
            "closed_starts_nothing",
        ),
    ],
    _replay,
)
