"""Model of grants: one reserved grant, used through two entries.

A caller sends the same non-idempotent request through entry A and again
through entry B, both with the same grant. Messages may be lost, duplicated and
delayed without bound; the agent may restart or leave, the grant may expire,
and an entry may cancel it. Delayed delivery also covers a paused entry.
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
    """Status of the grant at the agent."""

    OUT = "out"
    VOID = "void"
    RUNNING = "running"
    ENDED = "ended"
    LOST = "lost"


class Answer(enum.Enum):
    """Final answer that the caller received."""

    NOTHING = "nothing"
    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class State:
    """Combined state of agent, network and caller.

    Attributes:
      status: status of the grant at the agent.
      open: whether the agent accepts work.
      restarted: whether the agent restarted and lost its state.
      sent: entries whose run message is in transit.
      cancel_sent: whether a cancel message is in transit.
      runs: number of times the request was started.
      runs_at_close: `runs` when the agent closed, None while it is open.
      answer: last final answer to the caller.
    """

    status: Status = Status.OUT
    open: bool = True
    restarted: bool = False
    sent: frozenset[str] = frozenset()
    cancel_sent: bool = False
    runs: int = 0
    runs_at_close: int | None = None
    answer: Answer = Answer.NOTHING


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    consumes_once: bool = True
    restart_is_unknown: bool = True
    cancel_voids: bool = True
    expiry_voids: bool = True
    close_voids: bool = True
    entry_refusal_is_unknown: bool = True


def _deliver(state: State, rules: Rules) -> State:
    """Delivers a run message, which stays in transit as a duplicate."""
    runs = state.runs
    if state.status is Status.LOST:
        answer = Answer.UNKNOWN if rules.restart_is_unknown else Answer.NOT_RUN
        return dataclasses.replace(state, answer=answer)
    if state.status is Status.VOID:
        return dataclasses.replace(state, answer=Answer.NOT_RUN)
    if state.status is Status.OUT:
        status = Status.RUNNING if rules.consumes_once else Status.OUT
        return dataclasses.replace(state, status=status, runs=runs + 1)
    return dataclasses.replace(state, answer=Answer.RAN)


def _cancel(state: State, rules: Rules) -> State:
    """Delivers a cancel message and its response."""
    if state.status is Status.OUT:
        status = Status.VOID if rules.cancel_voids else Status.OUT
        return dataclasses.replace(state, status=status, answer=Answer.NOT_RUN)
    if state.status is Status.VOID:
        return dataclasses.replace(state, answer=Answer.NOT_RUN)
    answer = Answer.UNKNOWN if state.status is Status.LOST else Answer.RAN
    return dataclasses.replace(state, answer=answer)


def _expire(state: State, rules: Rules) -> State:
    status = Status.VOID if rules.expiry_voids else state.status
    return dataclasses.replace(state, status=status, answer=Answer.NOT_RUN)


def _close(state: State, rules: Rules) -> State:
    status = state.status
    if status is Status.OUT and rules.close_voids:
        status = Status.VOID
    return dataclasses.replace(
        state, open=False, status=status, runs_at_close=state.runs
    )


def _refuse_at_entry(state: State, rules: Rules) -> State:
    """Rejects a resend at the entry, due to a limit or a lost link."""
    answer = (
        Answer.UNKNOWN if rules.entry_refusal_is_unknown else Answer.NOT_RUN
    )
    return dataclasses.replace(state, answer=answer)


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
                lambda s: s.status is Status.OUT and s.answer is Answer.NOTHING,
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
                lambda s: s.answer is not Answer.NOT_RUN or s.runs == 0
            ),
            "closed_starts_nothing": (
                lambda s: s.runs_at_close in (None, s.runs)
            ),
        },
    )


class _LedgerReplay:
    """Replays a trace on a real grant ledger."""

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
        """Executes one action of the model on the real ledger."""
        state = self.model_state
        if action.startswith("send_"):
            sent = state.sent | {action[-1]}
            self.model_state = dataclasses.replace(state, sent=sent)
        elif action == "refuse_at_entry":
            self._set_answer(Answer.UNKNOWN)
        elif action == "cancel_sent":
            self.model_state = dataclasses.replace(state, cancel_sent=True)
        elif action == "deliver":
            self._deliver()
        elif action == "cancel":
            answer = self.ledger.cancel(
                self.first, self.number, self.time.now_ms()
            )
            self._set_answer(_ANSWER_BY_STATE[answer])
        elif action == "expire":
            self.time.advance(_TTL_MS + 1)
            self._set_answer(Answer.NOT_RUN)
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
            self._set_answer(_ANSWER_BY_RAN[refusal.ran])

    def _set_answer(self, answer: Answer) -> None:
        self.model_state = dataclasses.replace(self.model_state, answer=answer)

    def project(self) -> State:
        """Returns the model state that corresponds to the real ledger."""
        state = self.ledger.state(self.first, self.number, self.time.now_ms())
        return dataclasses.replace(self.model_state, status=_STATUS[state])


_ANSWER_BY_STATE = {
    grants.RunState.VOID: Answer.NOT_RUN,
    grants.RunState.RUNNING: Answer.RAN,
    grants.RunState.SUCCEEDED: Answer.RAN,
    grants.RunState.FAILED: Answer.RAN,
    grants.RunState.UNKNOWN: Answer.UNKNOWN,
}
_ANSWER_BY_RAN = {
    errors.Ran.NO: Answer.NOT_RUN,
    errors.Ran.YES: Answer.RAN,
    errors.Ran.UNKNOWN: Answer.UNKNOWN,
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
    return report.replay(build(Rules()), State(), _LedgerReplay)


SPECIFICATION = report.Specification(
    "grants",
    build(Rules()),
    [
        report.SeededBug(
            "a consumed grant can be consumed again",
            build(Rules(consumes_once=False)),
            "at_most_once",
        ),
        report.SeededBug(
            "a restarted agent reports not run",
            build(Rules(restart_is_unknown=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "an entry that rejects a resend reports not run",
            build(Rules(entry_refusal_is_unknown=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "a cancel does not void the grant",
            build(Rules(cancel_voids=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "an expired grant can be consumed",
            build(Rules(expiry_voids=False)),
            "not_run_is_true",
        ),
        report.SeededBug(
            "a leaving agent accepts outstanding grants",
            build(Rules(close_voids=False)),
            "closed_starts_nothing",
        ),
    ],
    _replay,
)
