"""Model of a version swap at an engine that ignores fencing numbers.

The agent serves version 1 and swaps the engine to version 2. Orders of another
client, or a delayed order of an earlier agent, may change the engine at any
time; the engine may hold weights that differ from the manifest. The agent may
be paused between any two steps. One response of three parts is in progress;
each part is stamped with the version that produced it.
"""

from __future__ import annotations

import dataclasses
import enum

from marlramp import clock
from marlramp import errors
from marlramp import ids
from marlramp.core.grant_calls import assembly
from marlramp.core.grant_calls import guard
from models import report
from models import state_space

_PARTS = 3


class Engine(enum.Enum):
    """Weights that the engine serves."""

    OLD = "v1"
    NEW = "v2"
    DAMAGED = "v2-damaged"
    NOTHING = "nothing"


@dataclasses.dataclass(frozen=True)
class State:
    """Combined state of engine, agent and one response.

    Attributes:
      engine: weights that the engine serves.
      seen: weights that the agent last observed, None if it must observe
        the engine again.
      open: whether the agent accepts new runs.
      swapping: whether the agent has closed but not yet sent the order.
      running: version that the run was started on, None without a run.
      delivered: weights behind the parts delivered to the caller.
      done: whether the response was declared complete.
      foreign_orders: number of orders from other clients.
    """

    engine: Engine = Engine.OLD
    seen: Engine | None = None
    open: bool = False
    swapping: bool = False
    running: Engine | None = None
    delivered: tuple[Engine, ...] = ()
    done: bool = False
    foreign_orders: int = 0


@dataclasses.dataclass(frozen=True)
class Rules:
    """Switches that seed one bug each when turned off."""

    checks_stamp: bool = True
    checks_digest: bool = True
    waits_for_idle: bool = True


def _may_serve(seen: Engine | None, rules: Rules) -> bool:
    if seen is Engine.DAMAGED:
        return not rules.checks_digest
    return seen in (Engine.OLD, Engine.NEW)


def _observe(state: State, rules: Rules) -> State:
    may_open = _may_serve(state.engine, rules) and not state.swapping
    return dataclasses.replace(state, seen=state.engine, open=may_open)


def _version(engine: Engine) -> str:
    """Returns the version stamp; damaged weights carry the intact one's."""
    return Engine.NEW.value if engine is Engine.DAMAGED else engine.value


def _deliver_part(state: State, rules: Rules) -> State:
    assert state.running is not None
    if rules.checks_stamp and _version(state.engine) != _version(state.running):
        return dataclasses.replace(state, running=None, seen=None, open=False)
    delivered = (*state.delivered, state.engine)
    done = len(delivered) == _PARTS
    running = None if done else state.running
    return dataclasses.replace(
        state, delivered=delivered, done=done, running=running
    )


def _foreign_load(engine: Engine) -> state_space.Action[State]:
    return state_space.Action(
        f"stranger_loads_{engine.name}",
        lambda s: s.foreign_orders < 1 and s.running is None,
        lambda s: dataclasses.replace(
            s, engine=engine, foreign_orders=s.foreign_orders + 1
        ),
    )


def _foreign_switch() -> state_space.Action[State]:
    """Returns an action of another client: a switch during a run."""
    return state_space.Action(
        "stranger_switches",
        lambda s: s.foreign_orders < 1 and s.running is not None,
        lambda s: dataclasses.replace(
            s,
            engine=Engine.NEW if s.engine is Engine.OLD else Engine.OLD,
            foreign_orders=s.foreign_orders + 1,
        ),
    )


def _may_start(state: State) -> bool:
    """Returns whether a run may start; a stale observation is not used."""
    fresh = state.seen is state.engine
    return state.open and fresh and not state.running and not state.delivered


def build(rules: Rules) -> state_space.Model[State]:
    """Returns the model under `rules`."""
    return state_space.Model(
        init=State(),
        actions=[
            state_space.Action(
                "observe", lambda s: True, lambda s: _observe(s, rules)
            ),
            state_space.Action(
                "start",
                _may_start,
                lambda s: dataclasses.replace(s, running=s.seen),
            ),
            state_space.Action(
                "part",
                lambda s: s.running is not None,
                lambda s: _deliver_part(s, rules),
            ),
            state_space.Action(
                "suspend",
                lambda s: s.open and s.seen is Engine.OLD,
                lambda s: dataclasses.replace(s, open=False, swapping=True),
            ),
            state_space.Action(
                "order",
                lambda s: (
                    s.swapping
                    and (s.running is None or not rules.waits_for_idle)
                ),
                lambda s: dataclasses.replace(
                    s, engine=Engine.NEW, swapping=False, seen=None
                ),
            ),
            _foreign_load(Engine.NEW),
            _foreign_load(Engine.DAMAGED),
            _foreign_load(Engine.NOTHING),
            _foreign_switch(),
        ],
        invariants={
            "one_version_per_answer": lambda s: len(set(s.delivered)) <= 1,
            "only_whole_weights": (
                lambda s: (
                    Engine.DAMAGED not in s.delivered
                    and Engine.NOTHING not in s.delivered
                )
            ),
        },
        edge_invariants={
            "own_order_cuts_no_run": (
                lambda before, action, after: (
                    action != "order" or before.running is None
                )
            ),
        },
    )


_DIGESTS = {
    Engine.OLD: ids.Digest("1" * 64),
    Engine.NEW: ids.Digest("2" * 64),
    Engine.DAMAGED: ids.Digest("3" * 64),
}


class _GuardReplay:
    """Replays a trace on a real engine guard and response assembly."""

    def __init__(self) -> None:
        self.time = clock.ManualClock()
        self.guard = guard.EngineGuard()
        self.guard.trust(ids.VersionId("v1"), _DIGESTS[Engine.OLD])
        self.target = guard.Target(
            "model", ids.VersionId("v2"), _DIGESTS[Engine.NEW], 1
        )
        self.assembly = assembly.Assembly()
        self.state = State()

    def step(self, action: str) -> None:
        """Executes one action of the model on the real objects."""
        state = self.state
        if action == "observe":
            self._observe()
        elif action == "part":
            self._deliver_part()
        else:
            found = next(a for a in build(Rules()).actions if a.name == action)
            self.state = found.apply(state)
            if self.state.seen is None:
                self.guard.invalidate()

    def _observe(self) -> None:
        engine = self.state.engine
        version = ids.VersionId("")
        loaded = {}
        if engine is not Engine.NOTHING:
            version = ids.VersionId(_version(engine))
            loaded = {version: _DIGESTS[engine]}
        self.guard.observe(
            guard.EngineState(version, loaded), self.time.now_ms()
        )
        verdict = self.guard.verdict(self.target, self.time.now_ms())
        may_open = verdict is not guard.Verdict.CLOSED
        self.state = dataclasses.replace(
            self.state,
            seen=engine,
            open=may_open and not self.state.swapping,
        )

    def _deliver_part(self) -> None:
        state = self.state
        assert state.running is not None
        seq = len(state.delivered)
        stamp = ids.VersionId(_version(state.engine))
        expected = ids.VersionId(_version(state.running))
        if stamp != expected:
            self._assert_entry_rejects(seq, stamp, expected)
            self.guard.invalidate()
            self.state = dataclasses.replace(
                state, running=None, seen=None, open=False
            )
            return
        last = seq == _PARTS - 1
        part = assembly.Part(seq, b"x", stamp, last)
        assert self.assembly.add(part) == [part]
        assert self.assembly.complete == last
        self.state = _deliver_part(state, Rules())

    def _assert_entry_rejects(
        self, seq: int, stamp: ids.VersionId, expected: ids.VersionId
    ) -> None:
        """Asserts that an entry also rejects a part that the agent forwards."""
        if seq == 0:
            return
        assert self.assembly.version == expected
        try:
            self.assembly.add(assembly.Part(seq, b"x", stamp))
        except errors.CallError as error:
            assert error.kind is errors.ErrorKind.VERSION_CHANGED
            return
        raise AssertionError("a part of another version was accepted")

    def project(self) -> State:
        """Returns the model state that corresponds to the real objects."""
        return self.state


def _replay() -> int:
    return report.replay(build(Rules()), State(), _GuardReplay)


SPECIFICATION = report.Specification(
    "version swap",
    build(Rules()),
    [
        report.SeededBug(
            "version stamps of parts are not checked",
            build(Rules(checks_stamp=False)),
            "one_version_per_answer",
        ),
        report.SeededBug(
            "the digest of loaded weights is not checked",
            build(Rules(checks_digest=False)),
            "only_whole_weights",
        ),
        report.SeededBug(
            "the order does not wait for the run to end",
            build(Rules(waits_for_idle=False)),
            "own_order_cuts_no_run",
        ),
    ],
    _replay,
)
