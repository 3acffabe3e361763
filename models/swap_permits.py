"""Model of the permits of a version swap: one entry, an agent and a rival.

One of three replicas may be out at once. The agent asks in rounds; questions,
withdrawals and answers may be late or lost, the agent may be paused between any
two steps, and the entry may be started again once. The rival asks the entry
without delay. Time goes in halves of a permit's life. The news that the agent
has stopped takes less than one of them, which is what the unused half is for.
"""

from __future__ import annotations

import dataclasses
import enum

from marlramp import clock
from marlramp import ids
from marlramp.core.weights import swap
from models import report
from models import state_space

_LIFE = 2
_USABLE = 1
_TICK_MS = swap.HOLD_MIN_MS / _LIFE
_ROUNDS = 2
_QUEUE = 2
_OUT_FRACTION = 0.34
_AGENT = ids.VmId("agent")
_RIVAL = ids.VmId("rival")
_ENTRY = ids.VmId("entry")
_ENDS = ("give_up", "look", "done")
"""Actions after which the agent may be serving, and its round over."""


class Phase(enum.Enum):
    """What the agent does."""

    SERVING = "serving"
    WAITING = "waiting"
    DECIDED = "decided"
    STOPPED = "stopped"
    SWAPPING = "swapping"


@dataclasses.dataclass(frozen=True)
class Permit:
    """The agent's permit at the entry; `left` is its life in ticks."""

    number: int
    left: int


@dataclasses.dataclass(frozen=True)
class Message:
    """A question or withdrawal of a round, or the answer to a question.

    Attributes:
      number: the round.
      says: whether it asks, or permits.
    """

    number: int
    says: bool


@dataclasses.dataclass(frozen=True)
class State:
    """State of agent, rival, entry and links.

    Attributes:
      phase: what the agent does.
      number: its last round.
      age: ticks since that began, at most the life of a permit.
      granted: whether the entry permitted it.
      refused: whether the entry refused it.
      to_entry: messages on their way to the entry, oldest first.
      to_agent: answers on their way, oldest first.
      telling: ticks for which news of the stop is on its way, None if none is.
      told: whether the entry knows that the agent has stopped.
      permit: the agent's permit at the entry.
      rival_out: whether the rival is out.
      closed: ticks for which an entry that started again permits nothing.
      restarted: whether the entry was started again.
    """

    phase: Phase = Phase.SERVING
    number: int = 0
    age: int = 0
    granted: bool = False
    refused: bool = False
    to_entry: tuple[Message, ...] = ()
    to_agent: tuple[Message, ...] = ()
    telling: int | None = None
    told: bool = False
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


def _send(state: State, says: bool) -> State:
    message = Message(state.number, says)
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
    return _send(begun, says=True)


def _serve(state: State) -> State:
    served = dataclasses.replace(
        state, phase=Phase.SERVING, telling=None, told=False
    )
    return _send(served, says=False)


def _usable(state: State, rules: Rules) -> bool:
    return state.age < (_USABLE if rules.uses_first_half else _LIFE)


def _permits(state: State) -> bool:
    """Returns whether the entry permits the agent's question."""
    return not state.closed and not state.rival_out


def _entry_takes(state: State, rules: Rules) -> State:
    message, *rest = state.to_entry
    state = dataclasses.replace(state, to_entry=tuple(rest))
    if not message.says:
        return _released(state, message.number, rules)
    granted = _permits(state)
    permit = Permit(message.number, _LIFE) if granted else state.permit
    answer = Message(message.number, granted)
    return dataclasses.replace(
        state, permit=permit, to_agent=(*state.to_agent, answer)
    )


def _released(state: State, number: int, rules: Rules) -> State:
    permit = state.permit
    newer = permit is not None and permit.number > number
    if newer and rules.numbers_withdrawals:
        return state
    return dataclasses.replace(state, permit=None)


def _agent_takes(state: State, rules: Rules) -> State:
    answer, *rest = state.to_agent
    state = dataclasses.replace(state, to_agent=tuple(rest))
    wanted = state.phase is not Phase.SERVING
    if rules.ends_rounds and (not wanted or answer.number != state.number):
        return _give_back(state, answer) if answer.says else state
    if answer.says:
        return dataclasses.replace(state, granted=True)
    return dataclasses.replace(state, refused=True)


def _give_back(state: State, answer: Message) -> State:
    message = Message(answer.number, says=False)
    return dataclasses.replace(state, to_entry=(*state.to_entry, message))


def _look(state: State, rules: Rules) -> State:
    may_swap = _usable(state, rules) and not state.refused
    if may_swap or not rules.looks_again:
        return dataclasses.replace(state, phase=Phase.SWAPPING)
    return _serve(state)


def _tick(state: State) -> State:
    permit = state.permit
    if permit is not None:
        left = permit.left - 1
        permit = Permit(permit.number, left) if left else None
    telling = None if state.telling is None else state.telling + 1
    return dataclasses.replace(
        state,
        age=min(state.age + 1, _LIFE),
        permit=permit,
        closed=max(0, state.closed - 1),
        telling=telling,
    )


def _restart(state: State, rules: Rules) -> State:
    """The new process is told anew of an agent that has stopped."""
    stopped = state.phase in (Phase.STOPPED, Phase.SWAPPING)
    return dataclasses.replace(
        state,
        permit=None,
        told=False,
        telling=0 if stopped else None,
        closed=_LIFE if rules.waits_after_start else 0,
        restarted=True,
    )


def _rival_may(state: State) -> bool:
    return not state.closed and state.permit is None and not state.told


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
            lambda s: _send(s, says=True),
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
            lambda s: dataclasses.replace(s, phase=Phase.STOPPED, telling=0),
        ),
        state_space.Action(
            "look",
            lambda s: s.phase is Phase.STOPPED and _has_room(s),
            lambda s: _look(s, rules),
        ),
        state_space.Action(
            "done",
            lambda s: (
                s.phase is Phase.SWAPPING and s.telling is None and _has_room(s)
            ),
            _serve,
        ),
    ]


def _other_actions(rules: Rules) -> list[state_space.Action[State]]:
    return [
        state_space.Action(
            "entry_takes",
            lambda s: bool(s.to_entry) and len(s.to_agent) < _QUEUE,
            lambda s: _entry_takes(s, rules),
        ),
        state_space.Action(
            "lose_message",
            lambda s: bool(s.to_entry),
            lambda s: dataclasses.replace(s, to_entry=s.to_entry[1:]),
        ),
        state_space.Action(
            "agent_takes",
            lambda s: bool(s.to_agent) and _has_room(s),
            lambda s: _agent_takes(s, rules),
        ),
        state_space.Action(
            "lose_answer",
            lambda s: bool(s.to_agent),
            lambda s: dataclasses.replace(s, to_agent=s.to_agent[1:]),
        ),
        state_space.Action(
            "tell",
            lambda s: s.telling is not None,
            lambda s: dataclasses.replace(s, told=True, telling=None),
        ),
        state_space.Action(
            "tick", lambda s: s.telling is None or s.telling < 1, _tick
        ),
        state_space.Action(
            "restart",
            lambda s: not s.restarted,
            lambda s: _restart(s, rules),
        ),
        state_space.Action(
            "rival_asks",
            lambda s: not s.rival_out and _rival_may(s),
            lambda s: dataclasses.replace(s, rival_out=True),
        ),
        state_space.Action(
            "rival_is_refused",
            lambda s: not s.rival_out and not _rival_may(s),
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


class _Real:
    """The shipped desk and round, driven along a trace."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        self.desk = swap.PermitIssuer(clock.Millis(float("-inf")))
        self.round = swap.PermitCollector(hold_max_ms=swap.HOLD_MIN_MS)
        self.state = State()
        self.actions = {a.name: a for a in build(Rules()).actions}

    def step(self, action: str) -> None:
        """Does one action of the model with the real objects."""
        before = self.state
        self.state = self.actions[action].apply(before)
        now_ms = self.time.now_ms()
        if action == "begin":
            self.round.begin(now_ms)
        elif action in _ENDS and self.state.phase is Phase.SERVING:
            self.round.end()
        elif action == "tick":
            self.time.advance(_TICK_MS)
        elif action == "restart":
            self.desk = swap.PermitIssuer(now_ms)
        elif action == "entry_takes":
            self._entry_takes(before)
        elif action == "agent_takes":
            self._agent_takes(before)
        elif action.startswith("rival_"):
            self._rival(before, action)

    def _entry_takes(self, before: State) -> None:
        message = before.to_entry[0]
        if message.says:
            granted = self._ask(_AGENT, message.number, before)
            assert granted == self.state.to_agent[-1].says, message
        else:
            self.desk.release(_AGENT, ids.Incarnation(1), message.number)

    def _agent_takes(self, before: State) -> None:
        answer = before.to_agent[0]
        returned = self.round.handle_answer(
            _ENTRY,
            answer.number,
            answer.says,
            swap.HOLD_MIN_MS,
            self.time.now_ms(),
        )
        assert returned == (len(self.state.to_entry) > len(before.to_entry))

    def _rival(self, before: State, action: str) -> None:
        if action == "rival_done":
            self.desk.drop(_RIVAL)
            return
        granted = self._ask(_RIVAL, 1, before)
        assert granted == (action == "rival_asks"), before

    def _ask(self, vm_id: ids.VmId, number: int, state: State) -> bool:
        replicas = [
            swap.Replica(_AGENT, not state.told),
            swap.Replica(_RIVAL, not state.rival_out),
            swap.Replica(ids.VmId("third"), True),
        ]
        question = swap.PermitRequest(
            vm_id,
            ids.ServiceId("pool"),
            ids.Incarnation(1),
            number,
            swap.HOLD_MIN_MS,
        )
        return self.desk.try_issue(
            question,
            replicas,
            _OUT_FRACTION,
            allow_sole=False,
            now_ms=self.time.now_ms(),
        )

    def project(self) -> State:
        """Returns the model state, whose round must stand as the real one."""
        state = self.state
        if state.phase is Phase.WAITING:
            standing = self.round.state([_ENTRY], self.time.now_ms())
            assert standing is _standing(state), (state, standing)
        return state


def _standing(state: State) -> swap.AttemptState:
    if state.refused:
        return swap.AttemptState.REFUSED
    if not _usable(state, Rules()):
        return swap.AttemptState.OVER
    if state.granted:
        return swap.AttemptState.PERMITTED
    return swap.AttemptState.WAITING


def _replay() -> int:
    return report.replay(build(Rules()), State(), _Real)


SPECIFICATION = report.Specification(
    "swap permits",
    build(Rules()),
    [
        report.SeededBug(
            "a permit is used until its end",
            build(Rules(uses_first_half=False)),
            "one_out_at_most",
        ),
        report.SeededBug(
            "a paused agent does not look again",
            build(Rules(looks_again=False)),
            "one_out_at_most",
        ),
        report.SeededBug(
            "an entry that started permits at once",
            build(Rules(waits_after_start=False)),
            "one_out_at_most",
        ),
        report.SeededBug(
            "a late withdrawal takes back the permit of a newer round",
            build(Rules(numbers_withdrawals=False)),
            "swaps_on_a_permit",
        ),
        report.SeededBug(
            "answers of an earlier round count",
            build(Rules(ends_rounds=False)),
            "swaps_on_a_permit",
        ),
    ],
    _replay,
)
