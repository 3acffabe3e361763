"""Model of version swap permits: one entry, an agent and a competing agent.

At most one of three replicas may be out of service at once. The agent requests
permits in rounds; requests, withdrawals and responses may be delayed or lost,
the agent may be paused between any two steps, and the entry may restart once.
The competing agent (rival) reaches the entry without delay. One tick is half
the lifetime of a permit. Notice that the agent has stopped serving arrives in
less than a tick; the second half of the lifetime is left unused to cover it.
"""

from __future__ import annotations

import dataclasses
import enum

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import swap
from models import report
from models import state_space

_LIFETIME_TICKS = 2
_USABLE_TICKS = 1
_TICK_MS = swap.HOLD_MIN_MS / _LIFETIME_TICKS
_ROUNDS = 2
_QUEUE = 2
_OUT_FRACTION = 0.34
_AGENT = ids.VmId("agent")
_RIVAL = ids.VmId("rival")
_ENTRY = ids.VmId("entry")
_ROUND_ENDS = ("give_up", "look", "done")
"""Actions that may end the agent's round and return it to serving."""


class Phase(enum.Enum):
    """Phase of the agent."""

    SERVING = "serving"
    WAITING = "waiting"
    DECIDED = "decided"
    STOPPED = "stopped"
    SWAPPING = "swapping"


@dataclasses.dataclass(frozen=True)
class Permit:
    """The agent's permit at the entry.

    Attributes:
      number: round that it was issued for.
      left: remaining lifetime in ticks.
    """

    number: int
    left: int


@dataclasses.dataclass(frozen=True)
class Message:
    """A request or withdrawal of a round, or the response to a request.

    Attributes:
      number: number of the round.
      positive: to the entry, True for a request and False for a withdrawal; to
        the agent, whether the permit was issued.
    """

    number: int
    positive: bool


@dataclasses.dataclass(frozen=True)
class State:
    """Combined state of agent, rival, entry and links.

    Attributes:
      phase: phase of the agent.
      number: number of its latest round.
      age: ticks since that round began, capped at a permit's lifetime.
      granted: whether the entry issued a permit for it.
      refused: whether the entry refused it.
      to_entry: messages in transit to the entry, oldest first.
      to_agent: responses in transit to the agent, oldest first.
      notice_ticks: ticks that notice of the stop has been in transit, None
        if none is.
      stop_known: whether the entry knows that the agent stopped serving.
      permit: the agent's permit at the entry.
      rival_out: whether the rival is out of service.
      closed: remaining ticks in which a restarted entry issues no permits.
      restarted: whether the entry has restarted.
    """

    phase: Phase = Phase.SERVING
    number: int = 0
    age: int = 0
    granted: bool = False
    refused: bool = False
    to_entry: tuple[Message, ...] = ()
    to_agent: tuple[Message, ...] = ()
    notice_ticks: int | None = None
    stop_known: bool = False
    permit: Permit | None = None
    rival_out: bool = False
    closed: int = 0
    restarted: bool = False


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    uses_first_half: bool = True
    looks_again: bool = True
    waits_after_start: bool = True
    numbers_withdrawals: bool = True
    ends_rounds: bool = True


def _send(state: State, positive: bool) -> State:
    message = Message(state.number, positive)
    return dataclasses.replace(state, to_entry=(*state.to_entry, message))


def _begin(state: State) -> State:
    begun = dataclasses.replace(
        state,
        phase=Phase.WAITING,
        number=state.number + 1,
        age=0,
        granted=False,
        refused=False,
    )
    return _send(begun, positive=True)


def _serve(state: State) -> State:
    served = dataclasses.replace(
        state, phase=Phase.SERVING, notice_ticks=None, stop_known=False
    )
    return _send(served, positive=False)


def _usable(state: State, rules: Rules) -> bool:
    return state.age < (
        _USABLE_TICKS if rules.uses_first_half else _LIFETIME_TICKS
    )


def _may_issue(state: State) -> bool:
    """Returns whether the entry issues a permit to the agent."""
    return not state.closed and not state.rival_out


def _entry_receives(state: State, rules: Rules) -> State:
    message, *rest = state.to_entry
    state = dataclasses.replace(state, to_entry=tuple(rest))
    if not message.positive:
        return _release(state, message.number, rules)
    granted = _may_issue(state)
    permit = (
        Permit(message.number, _LIFETIME_TICKS) if granted else state.permit
    )
    answer = Message(message.number, granted)
    return dataclasses.replace(
        state, permit=permit, to_agent=(*state.to_agent, answer)
    )


def _release(state: State, number: int, rules: Rules) -> State:
    permit = state.permit
    newer = permit is not None and permit.number > number
    if newer and rules.numbers_withdrawals:
        return state
    return dataclasses.replace(state, permit=None)


def _agent_receives(state: State, rules: Rules) -> State:
    answer, *rest = state.to_agent
    state = dataclasses.replace(state, to_agent=tuple(rest))
    wanted = state.phase is not Phase.SERVING
    if rules.ends_rounds and (not wanted or answer.number != state.number):
        return _return_permit(state, answer) if answer.positive else state
    if answer.positive:
        return dataclasses.replace(state, granted=True)
    return dataclasses.replace(state, refused=True)


def _return_permit(state: State, answer: Message) -> State:
    message = Message(answer.number, positive=False)
    return dataclasses.replace(state, to_entry=(*state.to_entry, message))


def _recheck(state: State, rules: Rules) -> State:
    may_swap = _usable(state, rules) and not state.refused
    if may_swap or not rules.looks_again:
        return dataclasses.replace(state, phase=Phase.SWAPPING)
    return _serve(state)


def _tick(state: State) -> State:
    permit = state.permit
    if permit is not None:
        left = permit.left - 1
        permit = Permit(permit.number, left) if left else None
    notice_ticks = (
        None if state.notice_ticks is None else state.notice_ticks + 1
    )
    return dataclasses.replace(
        state,
        age=min(state.age + 1, _LIFETIME_TICKS),
        permit=permit,
        closed=max(0, state.closed - 1),
        notice_ticks=notice_ticks,
    )


def _restart(state: State, rules: Rules) -> State:
    """Restarts the entry, which must be notified again of a stopped agent."""
    stopped = state.phase in (Phase.STOPPED, Phase.SWAPPING)
    return dataclasses.replace(
        state,
        permit=None,
        stop_known=False,
        notice_ticks=0 if stopped else None,
        closed=_LIFETIME_TICKS if rules.waits_after_start else 0,
        restarted=True,
    )


def _may_issue_to_rival(state: State) -> bool:
    return not state.closed and state.permit is None and not state.stop_known


def _has_room(state: State) -> bool:
    return len(state.to_entry) < _QUEUE


def _agent_actions(rules: Rules) -> list[state_space.Action[State]]:
    return [
        state_space.Action(
            "begin",
            lambda s: (
                s.phase is Phase.SERVING and s.number < _ROUNDS and _has_room(s)
            ),
            _begin,
        ),
        state_space.Action(
            "ask_again",
            lambda s: (
                s.phase is Phase.WAITING and not s.granted and _has_room(s)
            ),
            lambda s: _send(s, positive=True),
        ),
        state_space.Action(
            "give_up",
            lambda s: (
                s.phase is Phase.WAITING
                and (s.refused or not _usable(s, rules))
                and _has_room(s)
            ),
            _serve,
        ),
        state_space.Action(
            "decide",
            lambda s: (
                s.phase is Phase.WAITING
                and s.granted
                and not s.refused
                and _usable(s, rules)
            ),
            lambda s: dataclasses.replace(s, phase=Phase.DECIDED),
        ),
        state_space.Action(
            "stop",
            lambda s: s.phase is Phase.DECIDED,
            lambda s: dataclasses.replace(
                s, phase=Phase.STOPPED, notice_ticks=0
            ),
        ),
        state_space.Action(
            "look",
            lambda s: s.phase is Phase.STOPPED and _has_room(s),
            lambda s: _recheck(s, rules),
        ),
        state_space.Action(
            "done",
            lambda s: (
                s.phase is Phase.SWAPPING
                and s.notice_ticks is None
                and _has_room(s)
            ),
            _serve,
        ),
    ]


def _other_actions(rules: Rules) -> list[state_space.Action[State]]:
    return [
        state_space.Action(
            "entry_takes",
            lambda s: bool(s.to_entry) and len(s.to_agent) < _QUEUE,
            lambda s: _entry_receives(s, rules),
        ),
        state_space.Action(
            "lose_message",
            lambda s: bool(s.to_entry),
            lambda s: dataclasses.replace(s, to_entry=s.to_entry[1:]),
        ),
        state_space.Action(
            "agent_takes",
            lambda s: bool(s.to_agent) and _has_room(s),
            lambda s: _agent_receives(s, rules),
        ),
        state_space.Action(
            "lose_answer",
            lambda s: bool(s.to_agent),
            lambda s: dataclasses.replace(s, to_agent=s.to_agent[1:]),
        ),
        state_space.Action(
            "tell",
            lambda s: s.notice_ticks is not None,
            lambda s: dataclasses.replace(
                s, stop_known=True, notice_ticks=None
            ),
        ),
        state_space.Action(
            "tick",
            lambda s: s.notice_ticks is None or s.notice_ticks < 1,
            _tick,
        ),
        state_space.Action(
            "restart",
            lambda s: not s.restarted,
            lambda s: _restart(s, rules),
        ),
        state_space.Action(
            "rival_asks",
            lambda s: not s.rival_out and _may_issue_to_rival(s),
            lambda s: dataclasses.replace(s, rival_out=True),
        ),
        state_space.Action(
            "rival_is_refused",
            lambda s: not s.rival_out and not _may_issue_to_rival(s),
            lambda s: s,
        ),
        state_space.Action(
            "rival_done",
            lambda s: s.rival_out,
            lambda s: dataclasses.replace(s, rival_out=False),
        ),
    ]


def build(rules: Rules) -> state_space.Model[State]:
    """Returns the model under `rules`."""
    return state_space.Model(
        init=State(),
        actions=[*_agent_actions(rules), *_other_actions(rules)],
        invariants={
            "one_out_at_most": (
                lambda s: not (s.phase is Phase.SWAPPING and s.rival_out)
            ),
        },
        edge_invariants={
            "swaps_on_a_permit": (
                lambda before, action, after: (
                    action != "decide"
                    or after.restarted
                    or after.permit is not None
                )
            ),
        },
    )


class _PermitReplay:
    """Replays a trace on a real permit issuer and collector."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        self.issuer = swap.PermitIssuer(clock.Millis(float("-inf")))
        self.collector = swap.PermitCollector(hold_max_ms=swap.HOLD_MIN_MS)
        self.state = State()
        self.actions = {a.name: a for a in build(Rules()).actions}

    def step(self, action: str) -> None:
        """Executes one action of the model on the real objects."""
        before = self.state
        self.state = self.actions[action].apply(before)
        now_ms = self.time.now_ms()
        if action == "begin":
            self.collector.begin(now_ms)
        elif action in _ROUND_ENDS and self.state.phase is Phase.SERVING:
            self.collector.end()
        elif action == "tick":
            self.time.advance(_TICK_MS)
        elif action == "restart":
            self.issuer = swap.PermitIssuer(now_ms)
        elif action == "entry_takes":
            self._entry_receives(before)
        elif action == "agent_takes":
            self._agent_receives(before)
        elif action.startswith("rival_"):
            self._rival(before, action)

    def _entry_receives(self, before: State) -> None:
        message = before.to_entry[0]
        if message.positive:
            granted = self._try_issue(_AGENT, message.number, before)
            assert granted == self.state.to_agent[-1].positive, message
        else:
            self.issuer.release(_AGENT, ids.Incarnation(1), message.number)

    def _agent_receives(self, before: State) -> None:
        answer = before.to_agent[0]
        returned = self.collector.handle_answer(
            _ENTRY,
            answer.number,
            answer.positive,
            swap.HOLD_MIN_MS,
            self.time.now_ms(),
        )
        assert returned == (len(self.state.to_entry) > len(before.to_entry))

    def _rival(self, before: State, action: str) -> None:
        if action == "rival_done":
            self.issuer.drop(_RIVAL)
            return
        granted = self._try_issue(_RIVAL, 1, before)
        assert granted == (action == "rival_asks"), before

    def _try_issue(self, vm_id: ids.VmId, number: int, state: State) -> bool:
        replicas = [
            swap.Replica(_AGENT, not state.stop_known),
            swap.Replica(_RIVAL, not state.rival_out),
            swap.Replica(ids.VmId("third"), True),
        ]
        permit_request = swap.PermitRequest(
            vm_id,
            ids.ServiceId("pool"),
            ids.Incarnation(1),
            number,
            swap.HOLD_MIN_MS,
        )
        return self.issuer.try_issue(
            permit_request,
            replicas,
            _OUT_FRACTION,
            allow_sole=False,
            now_ms=self.time.now_ms(),
        )

    def project(self) -> State:
        """Returns the model state; asserts that the round's states agree."""
        state = self.state
        if state.phase is Phase.WAITING:
            attempt_state = self.collector.state([_ENTRY], self.time.now_ms())
            assert attempt_state is _attempt_state(state), (
                state,
                attempt_state,
            )
        return state


def _attempt_state(state: State) -> swap.AttemptState:
    if state.refused:
        return swap.AttemptState.REFUSED
    if not _usable(state, Rules()):
        return swap.AttemptState.OVER
    if state.granted:
        return swap.AttemptState.PERMITTED
    return swap.AttemptState.WAITING


def _replay() -> int:
    return report.replay(build(Rules()), State(), _PermitReplay)


SPECIFICATION = report.Specification(
    "swap permits",
    build(Rules()),
    [
        report.SeededBug(
            "a permit is used until it expires",
            build(Rules(uses_first_half=False)),
            "one_out_at_most",
        ),
        report.SeededBug(
            "a paused agent does not recheck its permit",
            build(Rules(looks_again=False)),
            "one_out_at_most",
        ),
        report.SeededBug(
            "a restarted entry issues permits at once",
            build(Rules(waits_after_start=False)),
            "one_out_at_most",
        ),
        report.SeededBug(
            "a delayed withdrawal revokes the permit of a newer round",
            build(Rules(numbers_withdrawals=False)),
            "swaps_on_a_permit",
        ),
        report.SeededBug(
            "responses of an earlier round are accepted",
            build(Rules(ends_rounds=False)),
            "swaps_on_a_permit",
        ),
    ],
    _replay,
)
